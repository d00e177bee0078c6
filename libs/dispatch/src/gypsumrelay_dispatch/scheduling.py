"""Events of the coordinator: placement requests, results and ticks."""

from __future__ import annotations

from collections import Counter, defaultdict
from functools import partial
from typing import Final

from gypsumrelay_errors import NoUpstream, Overloaded, StreamNotResumable

from gypsumrelay_dispatch import (
    accounts,
    placement_reports,
    rate_limits,
    rebalancing,
    resumptions,
)
from gypsumrelay_dispatch.admission import (
    DEFAULT_RETRY_SECONDS,
    build_rejection,
    check_limits,
    refund_attempt,
    refund_charge,
    reject_overloaded,
)
from gypsumrelay_dispatch.crashes import attribute, quarantine_failure
from gypsumrelay_dispatch.granting import (
    grant_placement,
    is_direct_prefill,
)
from gypsumrelay_dispatch.loads import (
    ActivePlacement,
    observe_ending,
    observe_kv_fetch,
    observe_prefill,
)
from gypsumrelay_dispatch.models import (
    Decision,
    Ending,
    PlacementRequest,
    Rejection,
)
from gypsumrelay_dispatch.pauses import Pause, drop_ended, start_pause
from gypsumrelay_dispatch.queueing import (
    MS_PER_SECOND,
    Urgency,
    cost_delay,
    earlier_requests,
    expected_wait,
    observe_queues,
    rank,
    urgency_of,
    wait_at_grant_rate,
    withdraw,
)
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

# Milliseconds per token; observations outside this range are clamped as
# outliers.
MIN_PACE_MS: Final = 0.5
MAX_PACE_MS: Final = 50.0
# Weight of the newest stream in the moving average of the decode time; low,
# because the output lengths that callers announce are often far off.
PACE_SMOOTHING: Final = 0.03
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
    return _request_bound(scheduler, bound, now)


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
    overdrawn = accounts.is_overdrawn(
        scheduler.accounts, request.client_account
    )
    delay = cost_delay(scheduler, request)
    if request.prompt_tokens and request.attempt == 1:
        rebalancing.observe_request(scheduler, request)
    waiting = QueuedRequest(request, now, overdrawn, delay)
    earlier = earlier_requests(scheduler, waiting, now)
    wait = expected_wait(scheduler, request, earlier)
    limit_ends_at = limited_until(scheduler, request, len(earlier), now)
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


def complete_report(
    scheduler: SchedulerState,
    entry: str,
    live_entries: frozenset[str],
    now: float,
) -> list[Decision]:
    """Record that an instance has reported all its placements."""
    placement_reports.record_report(
        scheduler.placement_reports, entry, live_entries, now
    )
    return serve(scheduler, now)


def apply_rate_limit(
    scheduler: SchedulerState, upstream: str, per_second: float, now: float
) -> None:
    """Apply the rate limit that an upstream states in an answer."""
    rate_limits.state_limit(scheduler.rate_limits, upstream, per_second, now)


def end_rate_limit(
    scheduler: SchedulerState,
    upstream: str,
    key: tuple[str, int],
    now: float,
) -> list[Decision]:
    """End a rate limit that the answer to an attempt no longer states."""
    placement = scheduler.placements.get(key)
    if placement is None or placement.is_restored:
        return []
    service = placement.request.service
    limits = scheduler.rate_limits
    if rate_limits.end_limit(limits, upstream, placement.granted_at):
        return serve(scheduler, now, service)
    return []


def apply_pause(
    scheduler: SchedulerState, entry: str, upstream: str, pause: Pause
) -> None:
    """Apply a pause that an upstream asked an instance for."""
    start_pause(scheduler.pauses, entry, upstream, pause)


def end_prefill(
    scheduler: SchedulerState,
    key: tuple[str, int],
    ending: Ending,
    now: float,
) -> list[Decision]:
    """Record the result of an attempt's prefill."""
    placement = scheduler.placements.get(key)
    load = scheduler.loads.get(placement.prefill) if placement else None
    if placement is None or load is None:
        return []
    load.prefill_work_ms.pop(key, None)
    if ending is not Ending.answered:
        attribute(scheduler, placement, load, ending, now, began=False)
    seconds = now - placement.granted_at
    if ending is Ending.answered:
        observe_prefill(load, placement.prefill_ms, seconds)
    observe_ending(load, ending, seconds, scheduler.settings, now)
    placement.prefilled_by = placement.prefill
    placement.prefill = ''
    placement.started_at = now
    return serve(scheduler, now, placement.request.service)


def end_attempt(
    scheduler: SchedulerState,
    key: tuple[str, int],
    ending: Ending,
    now: float,
    *,
    began: bool = False,
) -> list[Decision]:
    """Record the result of an attempt and remove its placement.

    Args:
        scheduler: The coordinator's state.
        key: Request id and number of the attempt.
        ending: How the attempt ended.
        now: The present instant.
        began: Whether the upstream had sent an event of the answer.
    """
    withdraw(scheduler, key)
    placement = remove_placement(scheduler, key)
    if placement is None:
        return []
    if ending is Ending.returned:
        refund_attempt(scheduler, placement.request)
    load = scheduler.loads.get(placement.upstream)
    if load is not None and not placement.prefill:
        seconds = now - placement.granted_at
        observe_ending(load, ending, seconds, scheduler.settings, now)
        if is_direct_prefill(placement):
            load.direct_prefill_until = min(load.direct_prefill_until, now)
        attribute(scheduler, placement, load, ending, now, began=began)
        if ending is Ending.answered:
            _observe_pace(scheduler, placement, now)
    prefill_load = scheduler.loads.get(placement.prefilled_by)
    if prefill_load is not None:
        observe_kv_fetch(prefill_load, ending, scheduler.settings, now)
    return serve(scheduler, now, placement.request.service)


def remove_instance(
    scheduler: SchedulerState, entry: str, now: float
) -> list[Decision]:
    """Remove all placements and queued requests of a departed instance."""
    placement_reports.remove_entry(scheduler.placement_reports, entry)
    scheduler.pauses.pop(entry, None)
    scheduler.queue = [
        waiting for waiting in scheduler.queue if waiting.request.entry != entry
    ]
    for held in list(scheduler.unbound.values()):
        if held.request.entry == entry:
            scheduler.unbound.pop(held.request.key)
    for key, placement in list(scheduler.placements.items()):
        if placement.request.entry == entry:
            remove_placement(scheduler, key)
    return serve(scheduler, now)


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
    scheduler.queue.sort(key=partial(rank, scheduler.settings, now))
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
        if _reserves_capacity(scheduler, request, now):
            blocked.add(request.service)
    scheduler.queue = remaining
    observe_queues(scheduler, now)
    return decisions


def tick(scheduler: SchedulerState, now: float) -> list[Decision]:
    """Expire placements, serve the queue and reject requests early."""
    remove_departed(scheduler, now)
    drop_ended(scheduler.pauses, now)
    expire_placements(scheduler, now)
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
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> bool:
    """Return whether later prompts wait for an urgent one.

    One that only a pause of its instance keeps waiting needs no capacity yet.
    One that is bound to a version needs capacity that others may lack.
    """
    if request.version:
        return False
    is_urgent = urgency_of(scheduler.settings, request, now) is Urgency.urgent
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
    if _lacks_version(scheduler, request, now):
        refund_charge(scheduler, request)
        failure = StreamNotResumable(
            'no upstream has the version that began the stream'
        )
        return build_rejection(scheduler, request, failure)
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
        late = Overloaded('no place came free in time', retry_at=retry_at)
        return build_rejection(scheduler, request, late)
    sentence = 'no upstream takes this request'
    return build_rejection(
        scheduler, request, NoUpstream(sentence, retry_at=retry_at)
    )


def _lacks_version(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> bool:
    """Return whether no upstream has the version that a request is bound to.

    An old list of upstreams does not show that.
    """
    if not request.version or now >= scheduler.list_expires_at:
        return False
    is_listed = scheduler.list_position >= 0
    return is_listed and not has_version(scheduler, request, now)


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


def _observe_pace(
    scheduler: SchedulerState, placement: ActivePlacement, now: float
) -> None:
    expected = placement.request.expected_tokens
    if expected:
        pace_ms = (now - placement.started_at) * MS_PER_SECOND / expected
        pace_ms = min(MAX_PACE_MS, max(MIN_PACE_MS, pace_ms))
        scheduler.pace_ms += PACE_SMOOTHING * (pace_ms - scheduler.pace_ms)
