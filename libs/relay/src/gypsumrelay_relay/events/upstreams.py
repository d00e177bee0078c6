"""Log events of placements and upstreams.

The events are never compared; generating comparisons would take half of the
time of their definition at each start.
"""

from __future__ import annotations

from typing import ClassVar

import attrs

from gypsumrelay_relay.events.state import StateChange


@attrs.frozen(eq=False)
class PlacementRejected(StateChange):
    """The coordinator rejected a placement request.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        relay: The relay that asked.
        service: The requested service.
        client_account: The client account that the request runs for.
        code: Code of the failure.
        reason: The failure in words.
        waiting: Queued requests for the service.
        pace_ms: Time in milliseconds between two grants while requests are
            queued; 0 if unknown.
        tokens_left: Tokens in the account's token bucket; below 0 if overdrawn.
        retry_ms: Time in milliseconds after which to retry.
        list_epoch: Epoch of the store that the list of upstreams is from.
        list_position: Offset of that list in the epoch.
        rejections: How often the caller has been rejected, as far as the
            coordinator knows; 1 with the queue policy `strict`.
    """

    event: ClassVar[str] = 'denied'
    template: ClassVar[str] = (
        'Placement rejected for request {request_id}: {reason}.'
    )

    request_id: str
    attempt: int
    relay: str
    service: str
    client_account: str
    code: str
    reason: str
    waiting: int
    pace_ms: int
    tokens_left: int
    retry_ms: int
    list_epoch: int
    list_position: int
    rejections: int = 1


@attrs.frozen(eq=False)
class PlacementReturned(StateChange):
    """The relay returned a placement without a send and requests another.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        upstream: The upstreams that must not be used, separated by commas.
    """

    event: ClassVar[str] = 'place_returned'
    template: ClassVar[str] = (
        'Placement of request {request_id} at {upstream} returned.'
    )

    request_id: str
    attempt: int
    upstream: str


@attrs.frozen(eq=False)
class UpstreamLeaving(StateChange):
    """An upstream's answer to this relay states that it is leaving.

    Attributes:
        upstream: Name of the upstream.
        started_ms: Start of the upstream, Unix milliseconds; 0 if unknown.
    """

    event: ClassVar[str] = 'upstream_leaving'
    template: ClassVar[str] = 'Upstream {upstream} states that it is leaving.'

    upstream: str
    started_ms: int


@attrs.frozen(eq=False)
class UpstreamPaused(StateChange):
    """An upstream turned a request away and asked this relay for a pause.

    Attributes:
        upstream: Name of the upstream.
        seconds: Time in seconds for which it wants no request.
    """

    event: ClassVar[str] = 'upstream_paused'
    template: ClassVar[str] = (
        'Upstream {upstream} wants no request for {seconds} s.'
    )

    upstream: str
    seconds: float


@attrs.frozen(eq=False)
class CrashConfirmed(StateChange):
    """The coordinator knows for certain that an upstream crashed.

    Attributes:
        upstream: Name of the upstream.
        lost: Number of requests whose connection was lost.
        unanswered: Digests of the contents of those without an event of an
            answer, separated by commas.
        parts: Digests of the shared parts of their prompts, likewise.
        delay_ms: Time in milliseconds since the first connection was lost.
    """

    event: ClassVar[str] = 'upstream_crashed'
    severity: ClassVar[str] = 'WARNING'
    template: ClassVar[str] = (
        'Upstream {upstream} crashed {delay_ms} ms ago; {lost} requests lost.'
    )

    upstream: str
    lost: int
    unanswered: str
    parts: str
    delay_ms: int


@attrs.frozen(eq=False)
class CauseFound(StateChange):
    """Crashes are attributed to a content or part, which is rejected now.

    Attributes:
        digest: Digest of the content or part.
        is_part: Whether it is a part of prompts.
        crashes: Number of crashes that it explains.
    """

    event: ClassVar[str] = 'cause_found'
    severity: ClassVar[str] = 'WARNING'
    template: ClassVar[str] = (
        'Requests with {digest} are rejected after {crashes} crashes.'
    )

    digest: str
    is_part: bool
    crashes: int


@attrs.frozen(eq=False)
class CauseCleared(StateChange):
    """Crashes are no longer attributed to a content or part."""

    event: ClassVar[str] = 'cause_cleared'
    template: ClassVar[str] = 'Requests with {digest} are admitted again.'

    digest: str


@attrs.frozen(eq=False)
class PhaseSwitchOrdered(StateChange):
    """An upstream was ordered to switch between prefill and decode.

    Attributes:
        upstream: Name of the upstream.
        phase: The phase to which it switches.
        prefill: Prefill upstreams before the switch.
        decode: Decode upstreams before the switch.
        wanted: Target number of prefill upstreams.
        token: Fencing token of the order.
        answer: Status code of the answer, or the error if there was none.
        pressed: Whether the pool that gets the upstream is the bottleneck now,
            so that the switch was not delayed.
    """

    event: ClassVar[str] = 'phase_ordered'
    template: ClassVar[str] = (
        'Ordered upstream {upstream} to switch to {phase}, fencing token '
        '{token}: answer {answer}; {prefill} prefill and {decode} decode '
        'upstreams before, target {wanted} prefill.'
    )

    upstream: str
    phase: str
    prefill: int
    decode: int
    wanted: int
    token: int
    answer: str
    pressed: bool = False


@attrs.frozen(eq=False)
class RateLimitStated(StateChange):
    """An upstream's answer to this relay states a new or changed rate limit.

    Attributes:
        upstream: Name of the upstream.
        limit: Requests per second that it accepts from all relays together.
        previous: The limit that it stated before; 0 if it stated none.
    """

    event: ClassVar[str] = 'limit_stated'
    template: ClassVar[str] = (
        'Upstream {upstream} states a limit of {limit} requests per second; '
        'before: {previous}.'
    )

    upstream: str
    limit: float
    previous: float


@attrs.frozen(eq=False)
class RateLimitEnded(StateChange):
    """An upstream's answer to this relay states its rate limit no longer.

    Attributes:
        upstream: Name of the upstream.
        previous: The limit that it stated before, in requests per second.
    """

    event: ClassVar[str] = 'limit_ended'
    template: ClassVar[str] = (
        'Upstream {upstream} no longer states its limit of {previous} '
        'requests per second.'
    )

    upstream: str
    previous: float
