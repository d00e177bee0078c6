"""The decisions that a relay logs, one class for each kind."""

from __future__ import annotations

from typing import ClassVar

import attrs


@attrs.frozen
class Decision:
    """Base of all decisions.

    Attributes:
        request_id: The caller's request.
    """

    event: ClassVar[str] = ''
    routine: ClassVar[bool] = False

    request_id: str


@attrs.frozen
class Accepted(Decision):
    """A request was read and matched to a route and an account.

    Attributes:
        route: The route that its host and path select.
        service: The service that runs it.
        client_account: The account of its key; empty on public routes.
        configuration: Version of the configuration that it was matched by.
        position: Position of the operators' records.
        tokens: What the account is charged.
        expected_tokens: Output that the caller expects.
        wait_ms: How long the caller waits.
    """

    event: ClassVar[str] = 'accepted'
    routine: ClassVar[bool] = True

    route: str
    service: str
    client_account: str
    configuration: int
    position: int
    tokens: int
    expected_tokens: int
    wait_ms: int


@attrs.frozen
class PlaceGiven(Decision):
    """The coordinator gave an attempt its upstreams.

    Attributes:
        attempt: Number of the attempt.
        coordinator: The relay that decided.
        upstream: The upstream that runs it.
        prefill: The upstream that reads its prompt; empty for none.
        load: Requests that ran at the upstream before.
        waited_ms: Time in the queue.
        list_position: Position of the list of upstreams.
    """

    event: ClassVar[str] = 'placed'
    routine: ClassVar[bool] = True

    attempt: int
    coordinator: str
    upstream: str
    prefill: str
    load: int
    waited_ms: int
    list_position: int


@attrs.frozen
class UpstreamEnded(Decision):
    """Base of what one upstream's part in a request came to.

    Attributes:
        attempt: Number of the attempt.
        upstream: The upstream.
        ending: How its part ended; `lost` where it may have run.
        status: Status of its answer; 0 for none.
        elapsed_ms: Time since the place was given.
        reason: What failed.
    """

    routine: ClassVar[bool] = True

    attempt: int
    upstream: str
    ending: str
    status: int
    elapsed_ms: int
    reason: str


@attrs.frozen
class PromptDone(UpstreamEnded):
    """An upstream read a prompt, or failed to."""

    event: ClassVar[str] = 'prompt'


@attrs.frozen
class AttemptEnded(UpstreamEnded):
    """An upstream's part in an answer ended."""

    event: ClassVar[str] = 'attempt'


@attrs.frozen
class FirstEvent(Decision):
    """The first event of a stream goes to the caller.

    Attributes:
        attempt: Number of the attempt.
        elapsed_ms: Time since the request was read.
    """

    event: ClassVar[str] = 'first_event'
    routine: ClassVar[bool] = True

    attempt: int
    elapsed_ms: int


@attrs.frozen
class RequestRefused(Decision):
    """The request was refused or failed, with what decided it.

    Attributes:
        code: Code of the failure.
        status: Status that the caller gets.
        outcome: `not_run`, `unknown` or `failed`.
        retry_ms: When the caller is told to return; 0 for not at all.
        elapsed_ms: Time since the request was read.
        attempts: Places that it asked for.
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


@attrs.frozen
class RequestAnswered(Decision):
    """The request was answered in full.

    Attributes:
        status: Status of the answer.
        elapsed_ms: Time since the request was read.
        attempts: Places that it asked for.
    """

    event: ClassVar[str] = 'answered'
    routine: ClassVar[bool] = True

    status: int
    elapsed_ms: int
    attempts: int


@attrs.frozen
class RequestBroken(Decision):
    """The answer broke off after its start, or the caller left.

    Attributes:
        cause: `gone`, `deadline` or `lost`.
        elapsed_ms: Time since the request was read.
        attempts: Places that it asked for.
        reason: What ended it.
    """

    event: ClassVar[str] = 'broken'

    cause: str
    elapsed_ms: int
    attempts: int
    reason: str
