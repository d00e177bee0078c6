"""Log events of the decisions on a request, one class for each event.

The events are never compared; generating comparisons would take half of the
time of their definition at each start.
"""

from __future__ import annotations

from typing import ClassVar

import attrs


@attrs.frozen(eq=False)
class RequestEvent:
    """Base of all decisions on a request.

    Attributes:
        event: Name of the event.
        routine: Whether the event may be sampled under load.
        request_id: Id of the caller's request.
    """

    event: ClassVar[str] = ''
    routine: ClassVar[bool] = False

    request_id: str


@attrs.frozen(eq=False)
class Accepted(RequestEvent):
    """A request was matched to a route and a client account.

    Attributes:
        route: Name of the route.
        service: Name of the service that runs the request.
        client_account: Client account of the API key; empty on public routes.
        configuration: Version of the configuration that was used.
        epoch: Epoch of the store that the operator records are from.
        position: Offset of the operator records in that epoch.
        tokens: Tokens that the account is charged.
        expected_tokens: Output tokens that the caller expects.
        wait_ms: Time in milliseconds until the caller's deadline.
        digest: Digest of the content, for crash attribution.
        parts: Digests of the prompt's shared parts, separated by commas.
        last_event: Start of the id of the event that the caller's stream goes
            on after; empty for a new stream.
        resumes: Start of the id of the request that began this stream, as the
            caller states it.
    """

    event: ClassVar[str] = 'accepted'
    routine: ClassVar[bool] = True

    route: str
    service: str
    client_account: str
    configuration: int
    epoch: int
    position: int
    tokens: int
    expected_tokens: int
    wait_ms: int
    digest: str
    parts: str
    last_event: str
    resumes: str


@attrs.frozen(eq=False)
class PlacementGranted(RequestEvent):
    """The coordinator granted an attempt its upstreams.

    Attributes:
        attempt: Number of the attempt.
        coordinator: The relay that granted the placement.
        upstream: The upstream that runs the attempt.
        prefill: The upstream that computes the prompt's KV cache; empty for
            none.
        load: Requests or tokens in use at the upstream before the grant.
        waited_ms: Time in the queue in milliseconds.
        list_epoch: Epoch of the store that the list of upstreams is from.
        list_position: Offset of that list in the epoch.
        rate_limit: Rate limit that the coordinator applies to the upstream,
            in requests per second; -1 for none.
        version: Version of the upstream's software.
    """

    event: ClassVar[str] = 'placed'
    routine: ClassVar[bool] = True

    attempt: int
    coordinator: str
    upstream: str
    prefill: str
    load: int
    waited_ms: int
    list_epoch: int
    list_position: int
    rate_limit: float
    version: str


@attrs.frozen(eq=False)
class UpstreamWorkEnded(RequestEvent):
    """Base of the results of one upstream's work on a request.

    Attributes:
        attempt: Number of the attempt.
        upstream: Name of the upstream.
        ending: How the work ended; `lost` if it may have run.
        status: Status code of the answer; 0 without one.
        elapsed_ms: Time in milliseconds since the work started.
        reason: The error, if any.
    """

    routine: ClassVar[bool] = True

    attempt: int
    upstream: str
    ending: str
    status: int
    elapsed_ms: int
    reason: str


@attrs.frozen(eq=False)
class PrefillWorkEnded(UpstreamWorkEnded):
    """A prefill ended or failed."""

    event: ClassVar[str] = 'prompt'


@attrs.frozen(eq=False)
class AttemptEnded(UpstreamWorkEnded):
    """An attempt ended: a plain answer, or the decode of a stream.

    Attributes:
        began: Whether the upstream had sent an event of a stream.
    """

    event: ClassVar[str] = 'attempt'

    began: bool


@attrs.frozen(eq=False)
class FirstEvent(RequestEvent):
    """The first event of a stream is sent to the caller.

    Attributes:
        attempt: Number of the attempt.
        elapsed_ms: Time in milliseconds since the request arrived.
    """

    event: ClassVar[str] = 'first_event'
    routine: ClassVar[bool] = True

    attempt: int
    elapsed_ms: int


@attrs.frozen(eq=False)
class RequestRejected(RequestEvent):
    """The request was rejected or failed.

    Attributes:
        code: Code of the failure.
        status: Status code of the answer.
        outcome: `not_run`, `unknown` or `failed`.
        retry_ms: Value of `Retry-After` in milliseconds; 0 without one.
        elapsed_ms: Time in milliseconds since the request arrived.
        attempts: Number of placement requests.
        configuration: Version of the configuration in force.
        reason: The failure in words.
    """

    event: ClassVar[str] = 'refused'

    code: str
    status: int
    outcome: str
    retry_ms: int
    elapsed_ms: int
    attempts: int
    configuration: int
    reason: str


@attrs.frozen(eq=False)
class RequestAnswered(RequestEvent):
    """The request was answered in full.

    Attributes:
        status: Status code of the answer.
        elapsed_ms: Time in milliseconds since the request arrived.
        attempts: Number of placement requests.
    """

    event: ClassVar[str] = 'answered'
    routine: ClassVar[bool] = True

    status: int
    elapsed_ms: int
    attempts: int


@attrs.frozen(eq=False)
class RequestAborted(RequestEvent):
    """The answer was aborted after its start, or the caller disconnected.

    Attributes:
        cause: `gone` if the caller disconnected, `deadline` or `lost`.
        elapsed_ms: Time in milliseconds since the request arrived.
        attempts: Number of placement requests.
        reason: What ended the request.
    """

    event: ClassVar[str] = 'broken'

    cause: str
    elapsed_ms: int
    attempts: int
    reason: str
