"""Measurements of upstreams, and the limits that follow from them."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Final

import gypsumrelay_performance as performance

from gypsumrelay_dispatch.models import Ending, Phase
from gypsumrelay_dispatch.upstream_performance import allowed_slots

if TYPE_CHECKING:
    from gypsumrelay_dispatch.loads import ActivePlacement, Load
    from gypsumrelay_dispatch.models import StreamPace
    from gypsumrelay_dispatch.scheduler_state import SchedulerState

MS_PER_SECOND: Final = 1000
# Changes of limits that are kept until they are logged.
MAX_KEPT_CHANGES: Final = 256


def observe_end(
    scheduler: SchedulerState,
    load: Load,
    placement: ActivePlacement,
    pace: StreamPace,
    now: float,
) -> None:
    """Learn from an answer that an upstream completed.

    Args:
        scheduler: The coordinator's state.
        load: The upstream, without this placement.
        placement: The placement.
        pace: Events of the stream after the first ones, and their time.
        now: The present instant.
    """
    if not scheduler.settings.learn_performance:
        return
    running = (placement.running_at_grant + len(load.running) + 1) / 2
    if not placement.request.prompt_tokens:
        seconds = now - placement.granted_at
        if not placement.is_restored:
            performance.observe_service(load.performance, running, seconds, now)
    elif pace.events:
        size = scheduler.event_size(placement.request.service)
        if not placement.request.resumed:
            size.observe(placement.request.expected_tokens, pace.events + 1)
        ms_per_token = pace.stream_ms / pace.events / size.tokens_per_event
        performance.observe_decode(load.performance, running, ms_per_token, now)


def observe_prefill_end(
    scheduler: SchedulerState,
    load: Load,
    placement: ActivePlacement,
    ending: Ending,
    now: float,
) -> None:
    """Learn the speed of an upstream from a prefill.

    The upstream began it when the one before it had ended.
    """
    started_at = max(placement.granted_at, load.prefill_ended_at)
    load.prefill_ended_at = now
    if scheduler.settings.learn_performance and ending is Ending.answered:
        performance.observe_prefill(
            load.performance,
            placement.request.prompt_tokens,
            (now - started_at) * MS_PER_SECOND,
            now,
        )


def adjust_limits(scheduler: SchedulerState, now: float) -> None:
    """Adjust the limits of all upstreams, each against its own pool."""
    if not scheduler.settings.learn_performance:
        return
    pools: dict[tuple[str, Phase], dict[str, performance.Candidate]] = (
        defaultdict(dict)
    )
    for name, load in scheduler.loads.items():
        upstream = load.upstream
        if upstream.phase is not Phase.prefill:
            pools[upstream.service, upstream.phase][name] = (
                performance.Candidate(load.performance, upstream.slots)
            )
    for pool in pools.values():
        scheduler.limit_changes.extend(performance.adjust_limits(pool, now))
    scheduler.limit_changes = scheduler.limit_changes[-MAX_KEPT_CHANGES:]


def take_limit_changes(
    scheduler: SchedulerState,
) -> list[performance.LimitChange]:
    """Return and forget the changes of limits since the last call."""
    changes = scheduler.limit_changes
    scheduler.limit_changes = []
    return changes


def limits_in_force(scheduler: SchedulerState) -> dict[str, int]:
    """Return the limits on concurrent requests, by upstream.

    Prefill upstreams have none.
    """
    if not scheduler.settings.learn_performance:
        return {}
    return {
        name: allowed_slots(scheduler, load)
        for name, load in scheduler.loads.items()
        if load.upstream.phase is not Phase.prefill
    }


def restore_performance(
    scheduler: SchedulerState,
    upstream: str,
    summary: performance.Summary,
    samples: int,
) -> None:
    """Learn what another instance measured under an earlier coordinator.

    Args:
        scheduler: The coordinator's state.
        upstream: Name of the upstream.
        summary: The measurements; the decode time is that of an event.
        samples: Number of measurements.
    """
    load = scheduler.loads.get(upstream)
    if load is None or not scheduler.settings.learn_performance:
        return
    size = scheduler.event_size(load.upstream.service)
    per_token = performance.Summary(
        summary.decode_ms / size.tokens_per_event,
        summary.service_seconds,
        summary.prefill_ms,
    )
    performance.restore_summary(load.performance, per_token, samples)
