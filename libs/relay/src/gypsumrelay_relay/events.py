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
    """A request was read and matched to a route and an account."""

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
    """The coordinator gave an attempt its upstreams."""

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
    """Base of what one upstream's part in a request came to."""

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
    """The first event of a stream goes to the caller."""

    event: ClassVar[str] = 'first_event'
    routine: ClassVar[bool] = True

    attempt: int
    elapsed_ms: int


@attrs.frozen
class RequestRefused(Decision):
    """The request was refused or failed, with what decided it."""

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
    """The request was answered in full."""

    event: ClassVar[str] = 'answered'
    routine: ClassVar[bool] = True

    status: int
    elapsed_ms: int
    attempts: int


@attrs.frozen
class RequestBroken(Decision):
    """The answer broke off after its start, or the caller left."""

    event: ClassVar[str] = 'broken'

    cause: str
    elapsed_ms: int
    attempts: int
    reason: str
