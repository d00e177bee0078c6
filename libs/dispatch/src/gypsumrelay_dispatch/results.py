"""Results of attempts, and what upstreams state in their answers."""

from __future__ import annotations

from typing import Final

from gypsumrelay_dispatch import placement_reports, rate_limits
from gypsumrelay_dispatch.admission import refund_attempt
from gypsumrelay_dispatch.crashes import attribute
from gypsumrelay_dispatch.granting import is_direct_prefill
from gypsumrelay_dispatch.loads import (
    ActivePlacement,
    observe_ending,
    observe_kv_fetch,
    observe_prefill,
)
from gypsumrelay_dispatch.models import (
    UNMEASURED,
    Decision,
    Ending,
    StreamPace,
)
from gypsumrelay_dispatch.pauses import Pause, start_pause
from gypsumrelay_dispatch.performance_results import (
    observe_end,
    observe_prefill_end,
)
from gypsumrelay_dispatch.queueing import MS_PER_SECOND, withdraw
from gypsumrelay_dispatch.rollouts import (
    observe_answer,
    observe_prefill_answer,
)
from gypsumrelay_dispatch.scheduler_state import (
    SchedulerState,
    remove_placement,
)
from gypsumrelay_dispatch.scheduling import serve
from gypsumrelay_dispatch.transfer_costs import observe_result

# Milliseconds per token; observations outside this range are clamped as
# outliers.
MIN_PACE_MS: Final = 0.5
MAX_PACE_MS: Final = 50.0
# Weight of the newest stream in the moving average of the decode time; low,
# because the output lengths that callers announce are often far off.
PACE_SMOOTHING: Final = 0.03


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
    observe_prefill_answer(scheduler, placement, load, ending, now)
    seconds = now - placement.granted_at
    observe_prefill_end(scheduler, load, placement, ending, now)
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
    pace: StreamPace = UNMEASURED,
    transfer_ms: int = -1,
) -> list[Decision]:
    """Record the result of an attempt and remove its placement.

    Args:
        scheduler: The coordinator's state.
        key: Request id and number of the attempt.
        ending: How the attempt ended.
        now: The present instant.
        began: Whether the upstream had sent an event of the answer.
        pace: Events of the stream after the first ones and their time.
        transfer_ms: Time in milliseconds from the end of the prefill to the
            first event; -1 if unknown.
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
        observe_answer(scheduler, placement, load, ending, now)
        if is_direct_prefill(placement):
            load.direct_prefill_until = min(load.direct_prefill_until, now)
        attribute(scheduler, placement, load, ending, now, began=began)
        if ending is Ending.answered:
            _observe_pace(scheduler, placement, now)
            observe_end(scheduler, load, placement, pace, now)
    prefill_load = scheduler.loads.get(placement.prefilled_by)
    if prefill_load is not None:
        observe_kv_fetch(prefill_load, ending, scheduler.settings, now)
    observe_result(scheduler, placement, ending, transfer_ms, now)
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


def _observe_pace(
    scheduler: SchedulerState, placement: ActivePlacement, now: float
) -> None:
    expected = placement.request.expected_tokens
    if expected:
        pace_ms = (now - placement.started_at) * MS_PER_SECOND / expected
        pace_ms = min(MAX_PACE_MS, max(MIN_PACE_MS, pace_ms))
        scheduler.pace_ms += PACE_SMOOTHING * (pace_ms - scheduler.pace_ms)
