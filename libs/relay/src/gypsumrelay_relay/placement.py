"""Placements as a relay uses them, and the messages that carry them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

import attrs
from gypsumrelay_dispatch import (
    ActivePlacement,
    Ending,
    Grant,
    PlacementRequest,
    Rejection,
    RolloutCounts,
)
from gypsumrelay_errors import (
    Failure,
    NoUpstream,
    Overloaded,
    PartQuarantined,
    RateExceeded,
    RequestQuarantined,
    StreamNotResumable,
)
from gypsumrelay_rollouts import Totals
from gypsumrelay_wire import (
    PlaceGranted,
    PlaceHeld,
    PlaceRefused,
    PlaceRequest,
    to_deadline,
    to_remaining_ms,
    to_retry_at,
    to_retry_ms,
)

MS_PER_SECOND: Final = 1000
# Seconds for which a rate limit in a message states the number of requests.
RATE_SECONDS: Final = 1000
# Latest start time that a message can carry.
MAX_START_MS: Final = 9_007_199_254_740_991
# Range of urgencies; a request without one gets the default of its upstream.
LEAST_URGENT: Final = 9
NO_URGENCY: Final = -1
# Longest time in seconds for which a placement that another coordinator granted
# is counted; no request runs longer.
REPORTED_SECONDS: Final = 20.0
# Counts in a message where no roll-out runs.
NO_ROLLOUT: Final = RolloutCounts('', 0, 0)

# Failures that a coordinator returns; an unknown code is handled as overload.
_FAILURES: Final = {
    kind.code: kind
    for kind in (
        NoUpstream,
        Overloaded,
        PartQuarantined,
        RateExceeded,
        RequestQuarantined,
        StreamNotResumable,
    )
}


@attrs.frozen
class Placement:
    """The upstreams that were granted to one attempt.

    Attributes:
        request: The request for this placement.
        upstream: Name of the upstream that runs the attempt.
        address: Its `host:port`.
        prefill: Name of the upstream that computes the prompt's KV cache; empty
            if `upstream` does that itself.
        prefill_address: Its `host:port`.
        load: Requests or tokens in use at the upstream before the grant.
        waited_ms: Time in milliseconds that the request was queued.
        list_position: Position of the list of upstreams that was used.
        rate_limits: Rate limits in force at these upstreams in requests per
            second, by upstream.
        retries_used: Retries of the service that the coordinator counted.
        started_ms: Start of these upstreams, Unix milliseconds, by upstream;
            none where unknown.
        granted_at: Instant at which this relay got the placement.
        version: Version of the upstream's software; empty where unknown.
        urgency: Urgency that these upstreams get, 0 to 9; -1 for none.
        rollout: Counts of the service's roll-out; None if none is running.
    """

    request: PlacementRequest
    upstream: str
    address: str
    prefill: str = ''
    prefill_address: str = ''
    load: int = 0
    waited_ms: int = 0
    list_position: int = -1
    rate_limits: Mapping[str, float] = attrs.field(factory=dict)
    retries_used: int = 0
    started_ms: Mapping[str, int] = attrs.field(factory=dict)
    granted_at: float = 0
    version: str = ''
    urgency: int = NO_URGENCY
    rollout: RolloutCounts | None = None

    @property
    def upstreams(self) -> tuple[str, ...]:
        """Return the names of the upstreams that get a send."""
        return tuple(filter(None, (self.upstream, self.prefill)))


def granted_placement(grant: Grant) -> Placement:
    """Return a grant as the placement of the requesting relay."""
    prefill = grant.prefill
    granted = filter(None, (grant.upstream, prefill))
    return Placement(
        grant.request,
        grant.upstream.name,
        grant.upstream.address,
        prefill.name if prefill else '',
        prefill.address if prefill else '',
        grant.load,
        int(grant.waited_seconds * MS_PER_SECOND),
        grant.list_position,
        grant.rate_limits,
        grant.retries_used,
        {upstream.name: upstream.started_ms for upstream in granted},
        version=grant.upstream.version,
        urgency=grant.urgency,
        rollout=grant.rollout,
    )


def request_message(request: PlacementRequest, now: float) -> PlaceRequest:
    """Return the message that requests a placement."""
    return PlaceRequest(
        request_id=request.request_id,
        attempt=request.attempt,
        availability_zone=request.availability_zone,
        service=request.service,
        client_account=request.client_account,
        cost_tokens=request.cost_tokens,
        priority=request.priority,
        aim_ms=to_remaining_ms(request.objective_at, now),
        remaining_ms=to_remaining_ms(request.deadline, now),
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        expected_tokens=request.expected_tokens,
        read=request.read,
        excluded=sorted(request.excluded),
        digest=request.digest,
        wait_ms=to_remaining_ms(request.wait_until, now),
        reread=request.reread,
        resumed=request.resumed,
        parts=list(request.parts),
        version=request.version,
        resumes=request.resumes,
        route=request.route,
    )


def request_from_message(
    message: PlaceRequest, entry: str, now: float
) -> PlacementRequest:
    """Return the placement request in a message from another relay."""
    return PlacementRequest(
        request_id=message.request_id,
        attempt=message.attempt,
        entry=entry,
        availability_zone=message.availability_zone,
        service=message.service,
        client_account=message.client_account,
        cost_tokens=message.cost_tokens,
        priority=message.priority,
        objective_at=to_deadline(message.aim_ms, now),
        deadline=to_deadline(message.remaining_ms, now),
        wait_until=to_deadline(message.wait_ms, now),
        prompt_tokens=message.prompt_tokens,
        output_tokens=message.output_tokens,
        expected_tokens=message.expected_tokens,
        read=message.read,
        reread=message.reread,
        resumed=message.resumed,
        excluded=frozenset(message.excluded),
        digest=message.digest,
        parts=tuple(message.parts),
        version=message.version,
        resumes=message.resumes,
        route=message.route,
    )


def answer_message(
    decision: Grant | Rejection,
    now: float,
) -> PlaceGranted | PlaceRefused:
    """Return the message that answers a placement request."""
    request = decision.request
    if isinstance(decision, Rejection):
        failure = decision.failure
        return PlaceRefused(
            request.request_id,
            request.attempt,
            failure.code,
            failure.sentence,
            to_retry_ms(failure.retry_at, now),
        )
    placement = granted_placement(decision)
    rollout = placement.rollout or NO_ROLLOUT
    return PlaceGranted(
        request.request_id,
        request.attempt,
        placement.upstream,
        placement.address,
        placement.prefill,
        placement.prefill_address,
        placement.load,
        placement.waited_ms,
        placement.list_position,
        rate_to_wire(placement.rate_limits.get(placement.upstream)),
        rate_to_wire(placement.rate_limits.get(placement.prefill)),
        placement.retries_used,
        start_to_wire(placement.started_ms.get(placement.upstream, 0)),
        start_to_wire(placement.started_ms.get(placement.prefill, 0)),
        placement.version,
        placement.urgency,
        rollout_version=rollout.version,
        rollout_requests=rollout.requests,
        rollout_sent=rollout.sent,
        rollout_slow=rollout.totals.slow,
        rollout_old_answers=rollout.totals.old_answers,
        rollout_old_slow=rollout.totals.old_slow,
        rollout_old_failed=rollout.totals.old_failed,
        rollout_partial=rollout.is_partial,
    )


def answer_from_message(
    message: PlaceGranted | PlaceRefused,
    request: PlacementRequest,
    now: float,
) -> Placement | Failure:
    """Return the coordinator's answer to a request of this relay."""
    if isinstance(message, PlaceRefused):
        kind = _FAILURES.get(message.code, Overloaded)
        return kind(
            message.sentence,
            retry_at=to_retry_at(message.retry_ms, now),
        )
    rates = {
        message.upstream: message.rate_limit,
        message.prefill: message.prefill_rate_limit,
    }
    started_ms = {
        message.upstream: message.started_ms,
        message.prefill: message.prefill_started_ms,
    }
    return Placement(
        request,
        message.upstream,
        message.address,
        message.prefill,
        message.prefill_address,
        message.load,
        message.waited_ms,
        message.list_position,
        {
            name: rate_from_wire(rate)
            for name, rate in rates.items()
            if name and rate >= 0
        },
        message.repeats_used,
        started_ms,
        version=message.version,
        urgency=urgency_from_wire(message.urgency),
        rollout=_rollout_from_wire(message),
    )


def _rollout_from_wire(message: PlaceGranted) -> RolloutCounts | None:
    if not message.rollout_version:
        return None
    return RolloutCounts(
        message.rollout_version,
        message.rollout_requests,
        message.rollout_sent,
        Totals(
            max(0, message.rollout_slow),
            max(0, message.rollout_old_answers),
            max(0, message.rollout_old_slow),
            max(0, message.rollout_old_failed),
        ),
        message.rollout_partial,
    )


def urgency_from_wire(urgency: int) -> int:
    """Return an urgency of a message; none for one outside of the range."""
    return urgency if 0 <= urgency <= LEAST_URGENT else NO_URGENCY


def start_to_wire(started_ms: int) -> int:
    """Return a start time for a message; 0 for one that has no encoding."""
    return started_ms if 0 <= started_ms <= MAX_START_MS else 0


def rate_to_wire(per_second: float | None) -> int:
    """Return a rate limit in requests per 1,000 seconds; -1 for none."""
    return -1 if per_second is None else round(per_second * RATE_SECONDS)


def rate_from_wire(rate: int) -> float:
    """Return a rate limit in requests per second."""
    return rate / RATE_SECONDS


def report_message(placement: ActivePlacement) -> PlaceHeld:
    """Return the message that reports a placement to a new coordinator."""
    request = placement.request
    return PlaceHeld(
        request.request_id,
        request.attempt,
        request.service,
        request.prompt_tokens,
        request.output_tokens,
        request.expected_tokens,
        placement.upstream,
        request.digest,
        list(request.parts),
    )


def reported_placement(
    message: PlaceHeld, entry: str, now: float
) -> ActivePlacement:
    """Return the reported placement in a message from another relay."""
    request = PlacementRequest(
        request_id=message.request_id,
        attempt=message.attempt,
        entry=entry,
        availability_zone='',
        service=message.service,
        client_account='',
        cost_tokens=0,
        priority=0,
        objective_at=now,
        deadline=now + REPORTED_SECONDS,
        wait_until=now,
        prompt_tokens=message.prompt_tokens,
        output_tokens=message.output_tokens,
        expected_tokens=message.expected_tokens,
        digest=message.digest,
        parts=tuple(message.parts),
    )
    return ActivePlacement(
        request, message.upstream, '', 0, now, started_at=now
    )


def own_placement(placement: Placement, now: float) -> ActivePlacement:
    """Return a placement of this relay for its own coordinator's state."""
    return ActivePlacement(
        placement.request, placement.upstream, '', 0, now, started_at=now
    )


def parse_ending(text: str) -> Ending:
    """Return the ending in a message; an unknown one counts as cancelled."""
    try:
        return Ending(text)
    except ValueError:
        return Ending.cancelled
