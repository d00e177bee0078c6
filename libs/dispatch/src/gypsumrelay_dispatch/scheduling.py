"""Events of the coordinator: placement requests, results and ticks."""

from __future__ import annotations

from collections import Counter, defaultdict
from functools import partial
from typing import Final

from gypsumrelay_errors import NoUpstream, Overloaded, StreamNotResumable

from gypsumrelay_dispatch import (
    fair_queueing,
    rebalancing,
    resumptions,
)
from gypsumrelay_dispatch.admission import (
    DEFAULT_RETRY_SECONDS,
    build_rejection,
    check_limits,
    refund_charge,
    reject_overloaded,
)
from gypsumrelay_dispatch.crashes import quarantine_failure
from gypsumrelay_dispatch.granting import (
    grant_placement,
)
from gypsumrelay_dispatch.models import (
    Decision,
    PlacementRequest,
    Rejection,
)
from gypsumrelay_dispatch.pauses import drop_ended
from gypsumrelay_dispatch.performance_results import adjust_limits
from gypsumrelay_dispatch.queueing import (
    Urgency,
    describe_request,
    estimate_wait,
    observe_queues,
    rank,
    urgency_of,
    wait_at_grant_rate,
    withdraw,
)
from gypsumrelay_dispatch.rollouts import advance_rollouts
from gypsumrelay_dispatch.scheduler_state import (
    QueuedRequest,
    SchedulerState,
    expire_placements,
    is_usable,
    remove_departed,
    remove_placement,
)
from gypsumrelay_dispatch.selection import (
    choose,
    has_version,
    is_held,
    limited_until,
)

# Part of the estimated wait in the best case. A queue may move up to twice as
# fast as measured, since cheap requests are served first; requests that would
# be late even then are rejected.
BEST_CASE_SHARE: Final = 0.5


def request_placement(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> list[Decision]:
    """Grant, reject or queue a placement request.

    A repeated request replaces the first one, since the instance did not
    receive the first answer.
    """
    withdraw(scheduler, request.key)
    remove_placement(scheduler, request.key)
    bound = resumptions.bind_to_version(scheduler, request)
    if bound is None:
        resumptions.hold(scheduler, request, now)
        return []
    recognised = fair_queueing.recognise_return(scheduler, bound, now)
    return _request_bound(scheduler, recognised, now)


def settle_resumptions(scheduler: SchedulerState, now: float) -> list[Decision]:
    """Place or reject the requests that wait for the start of their stream."""
    decisions: list[Decision] = []
    for request in resumptions.release_bound(scheduler):
        decisions.extend(request_placement(scheduler, request, now))
    return [*decisions, *resumptions.reject_unknown(scheduler, now)]


def _request_bound(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> list[Decision]:
    rejection = check_limits(scheduler, request, now)
    if rejection is not None:
        return [rejection]
    waiting = describe_request(scheduler, request, now)
    if request.prompt_tokens and request.attempt == 1:
        rebalancing.observe_request(scheduler, request, now)
    estimate = estimate_wait(scheduler, waiting, now)
    wait, limit_ends_at = estimate.wait_seconds, estimate.limited_until
    scheduler.queue.append(waiting)
    decisions = serve(scheduler, now, request.service)
    placed_at = max(now + wait, limit_ends_at)
    if placed_at > request.wait_until and withdraw(scheduler, request.key):
        decisions.append(
            reject_overloaded(scheduler, request, wait, limit_ends_at, now)
        )
    return decisions


def reject_failed(
    scheduler: SchedulerState, request: PlacementRequest
) -> Rejection:
    """Reject a request whose scheduling failed, and remove it.

    If it stayed in the queue, each later scheduling pass would fail at it.
    """
    withdraw(scheduler, request.key)
    remove_placement(scheduler, request.key)
    return build_rejection(
        scheduler, request, NoUpstream('the request cannot be placed')
    )


def serve(
    scheduler: SchedulerState, now: float, service: str = ''
) -> list[Decision]:
    """Place queued requests and reject those whose queue time is over.

    Args:
        scheduler: The coordinator's state.
        now: The present instant.
        service: Service to serve; empty for all. A pass over one service
            keeps a long queue of another one from slowing down each event.
    """
    decisions: list[Decision] = []
    remaining = []
    observe_queues(scheduler, now)
    scheduler.queue.sort(key=partial(rank, scheduler, now))
    # Services whose capacity is reserved for an urgent request in the queue.
    blocked: set[str] = set()
    # Requests that could not be placed in this pass; those of an instance
    # with pauses say nothing about the others.
    failed: dict[str, list[PlacementRequest]] = defaultdict(list)
    for waiting in scheduler.queue:
        request = waiting.request
        if service and request.service != service:
            remaining.append(waiting)
            continue
        is_blocked = request.service in blocked and bool(request.prompt_tokens)
        alike = failed[_paused_entry(scheduler, request)]
        is_attempted = not is_blocked and not cannot_be_placed(request, alike)
        decision = _serve_one(
            scheduler, waiting, now, is_attempted=is_attempted
        )
        if decision is not None:
            decisions.append(decision)
            continue
        remaining.append(waiting)
        if is_attempted:
            alike.append(request)
        if _reserves_capacity(scheduler, waiting, now):
            blocked.add(request.service)
    scheduler.queue = remaining
    observe_queues(scheduler, now)
    return decisions


def tick(scheduler: SchedulerState, now: float) -> list[Decision]:
    """Expire placements, serve the queue and reject requests early."""
    remove_departed(scheduler, now)
    drop_ended(scheduler.pauses, now)
    expire_placements(scheduler, now)
    adjust_limits(scheduler, now)
    fair_queueing.expire_promises(scheduler, now)
    advance_rollouts(scheduler, now)
    return [
        *settle_resumptions(scheduler, now),
        *serve(scheduler, now),
        *reject_late(scheduler, now),
    ]


def reject_late(scheduler: SchedulerState, now: float) -> list[Decision]:
    """Reject requests that will not be placed in time even in the best case.

    An early rejection lets the caller retry once there is capacity.
    """
    decisions: list[Decision] = []
    ahead: Counter[str] = Counter()
    remaining = []
    for waiting in scheduler.queue:
        request = waiting.request
        earlier = ahead[request.service]
        wait = wait_at_grant_rate(scheduler, request, earlier) or 0
        limit_ends_at = limited_until(scheduler, request, earlier, now)
        placed_at = max(now + wait * BEST_CASE_SHARE, limit_ends_at)
        if placed_at > request.wait_until and not request.resumed:
            decisions.append(
                reject_overloaded(scheduler, request, wait, limit_ends_at, now)
            )
        else:
            ahead[request.service] += not is_held(scheduler, request, now)
            remaining.append(waiting)
    scheduler.queue = remaining
    return decisions


def _paused_entry(scheduler: SchedulerState, request: PlacementRequest) -> str:
    """Return the instance of a request if it has pauses; else nothing."""
    return request.entry if request.entry in scheduler.pauses else ''


def _reserves_capacity(
    scheduler: SchedulerState, waiting: QueuedRequest, now: float
) -> bool:
    """Return whether later prompts wait for an urgent one.

    One that only a pause of its instance keeps waiting needs no capacity yet.
    One that is bound to a version needs capacity that others may lack.
    """
    request = waiting.request
    if request.version:
        return False
    if fair_queueing.is_weighted(scheduler):
        is_urgent = fair_queueing.reserves_capacity(scheduler, waiting, now)
    else:
        urgency = urgency_of(scheduler.settings, request, now)
        is_urgent = urgency is Urgency.urgent
    return is_urgent and not is_held(scheduler, request, now)


def cannot_be_placed(
    request: PlacementRequest, failed: list[PlacementRequest]
) -> bool:
    """Return whether an equal or smaller request could not be placed.

    Capacity only shrinks during a pass, so that most requests of a long
    queue are skipped without a check of each upstream.
    """
    return any(_needs_no_more(other, request) for other in failed)


def _needs_no_more(other: PlacementRequest, request: PlacementRequest) -> bool:
    return (
        other.prompt_tokens <= request.prompt_tokens
        and other.expected_tokens <= request.expected_tokens
        and other.objective_at <= request.objective_at
        and _comparison_key(other) == _comparison_key(request)
    )


def _comparison_key(
    request: PlacementRequest,
) -> tuple[str, str, bool, bool, frozenset[str]]:
    """Return the properties that must be equal to compare two requests.

    They include the excluded upstreams, because suspended upstreams are
    candidates if all others are excluded.
    """
    has_prompt = bool(request.prompt_tokens)
    return (
        request.service,
        request.version,
        request.read,
        has_prompt,
        request.excluded,
    )


def _serve_one(
    scheduler: SchedulerState,
    waiting: QueuedRequest,
    now: float,
    *,
    is_attempted: bool,
) -> Decision | None:
    request = waiting.request
    # Its content or a part may have crashed upstreams while it waited.
    quarantined = quarantine_failure(scheduler, request, now)
    if quarantined is not None:
        refund_charge(scheduler, request)
        return build_rejection(scheduler, request, quarantined)
    unresumable = _version_failure(scheduler, request, now)
    if unresumable is not None:
        refund_charge(scheduler, request)
        return build_rejection(scheduler, request, unresumable)
    may_place = is_attempted and _may_place(scheduler, request, now)
    choice = choose(scheduler, request, now) if may_place else None
    if choice is not None:
        return grant_placement(scheduler, waiting, choice, now)
    if now < request.wait_until:
        return None
    refund_charge(scheduler, request)
    retry_at = max(
        now + DEFAULT_RETRY_SECONDS,
        limited_until(scheduler, request, 0, now),
    )
    if _has_upstream(scheduler, request, now):
        if fair_queueing.is_weighted(scheduler):
            retry_at = fair_queueing.promise_retry(
                scheduler, request, retry_at, now
            )
        late = Overloaded('no place came free in time', retry_at=retry_at)
        return build_rejection(scheduler, request, late)
    sentence = 'no upstream takes this request'
    return build_rejection(
        scheduler, request, NoUpstream(sentence, retry_at=retry_at)
    )


def _version_failure(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> StreamNotResumable | None:
    """Return why no upstream can go on with the stream of a request.

    An old list of upstreams does not show which versions there are. If it is
    used all the same, an upstream may have started again at another version
    while this instance missed it.
    """
    if not request.version or now >= scheduler.list_expires_at:
        return None
    if not scheduler.versions_known:
        return StreamNotResumable(
            'the versions of the upstreams are not known',
            retry_at=now + DEFAULT_RETRY_SECONDS,
        )
    if scheduler.list_position < 0 or has_version(scheduler, request, now):
        return None
    return StreamNotResumable(
        'no upstream has the version that began the stream'
    )


def _may_place(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> bool:
    """Return whether the state is complete enough to place a request.

    While placements may be unreported, plain requests are placed, since
    overloaded plain services reject at no cost; so are requests after
    prefill, since their KV cache would expire. Upstreams with a cold limit
    can crash instead.
    """
    if now >= scheduler.list_expires_at:
        return False
    service = scheduler.services.get(request.service)
    may_crash = bool(service and service.cold_per_second)
    is_plain = not request.prompt_tokens and not may_crash
    is_safe = request.read or is_plain
    return is_safe or not scheduler.placement_reports.is_incomplete(now)


def _has_upstream(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> bool:
    return any(
        load.upstream.service == request.service
        and is_usable(scheduler, load, now)
        for load in scheduler.loads.values()
    )
