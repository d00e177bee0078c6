"""Use of the measured performance of upstreams in scheduling.

Without `DispatchSettings.learn_performance` all functions return what the
settings and the stated slots imply.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gypsumrelay_performance as performance

from gypsumrelay_dispatch.models import Phase

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gypsumrelay_dispatch.loads import Load
    from gypsumrelay_dispatch.scheduler_state import SchedulerState

MS_PER_SECOND: Final = 1000
# Longest pause between two events that callers accept, in milliseconds.
MAX_PAUSE_MS: Final = 300
# Score of a decode upstream whose events would come later than that; greater
# than that of any other upstream with free memory.
LATE_SCORE: Final = 4.0
# Bounds of an upstream's pace relative to its pool in the choice, so that a
# wrong measurement excludes no upstream.
MIN_RELATIVE_PACE: Final = 0.25
MAX_RELATIVE_PACE: Final = 4.0


def allowed_slots(scheduler: SchedulerState, load: Load) -> int:
    """Return how many requests an upstream may run at once."""
    stated = load.upstream.slots
    if not scheduler.settings.learn_performance:
        return stated
    return performance.concurrency_limit(load.performance, stated)


def expected_service_seconds(
    scheduler: SchedulerState, load: Load, default: float
) -> float:
    """Return the expected time of one more plain request at an upstream."""
    if not scheduler.settings.learn_performance:
        return default
    running = len(load.running) + 1
    return performance.service_seconds(load.performance, running) or default


def idle_weight(scheduler: SchedulerState) -> float:
    """Return the weight of an idle upstream's time in the plain choice.

    The measured time already depends on the load, which therefore decides only
    between upstreams whose times differ by less than a factor of two.
    """
    return 1 if scheduler.settings.learn_performance else 0


def pace_ms(scheduler: SchedulerState, load: Load, more: int = 0) -> float:
    """Return the decode time of an upstream in milliseconds for a token.

    Args:
        scheduler: The coordinator's state.
        load: The upstream.
        more: Streams in addition to those that run there.
    """
    if not scheduler.settings.learn_performance:
        return scheduler.pace_ms
    running = max(1, len(load.running) + more)
    measured = performance.decode_pace_ms(load.performance, running)
    return measured or scheduler.pace_ms


def decode_score(
    scheduler: SchedulerState, load: Load, memory_share: float, pool_ms: float
) -> float:
    """Return the score of a decode upstream; lowest is best.

    The forecast memory times the relative pace is proportional to the time
    after which the upstream has done its work, so that upstreams get streams
    in proportion to their speed.

    Args:
        scheduler: The coordinator's state.
        load: The upstream.
        memory_share: Forecast peak of its memory with the request, as a part.
        pool_ms: Pace of the candidates; see `candidates_pace_ms`.
    """
    if not scheduler.settings.learn_performance:
        return memory_share
    own_ms = pace_ms(scheduler, load, 1)
    relative = min(MAX_RELATIVE_PACE, max(MIN_RELATIVE_PACE, own_ms / pool_ms))
    size = scheduler.event_size(load.upstream.service)
    is_late = own_ms * size.tokens_per_event > MAX_PAUSE_MS
    return memory_share * relative + LATE_SCORE * is_late


def prefill_factor(scheduler: SchedulerState, load: Load) -> float:
    """Return the prefill time of an upstream relative to the settings."""
    if not scheduler.settings.learn_performance:
        return load.slowness
    measured = performance.prefill_ms(load.performance, 1)
    usual = scheduler.settings.prefill_tokens_per_ms
    return measured * usual if measured else load.slowness


def prefill_finish_ms(
    scheduler: SchedulerState, load: Load, estimate_ms: float
) -> float:
    """Return after how many milliseconds an upstream would end a prefill."""
    work_ms = sum(load.prefill_work_ms.values())
    if not scheduler.settings.learn_performance:
        return work_ms * load.slowness + estimate_ms
    return (work_ms + estimate_ms) * prefill_factor(scheduler, load)


def prefill_score(
    scheduler: SchedulerState, load: Load, estimate_ms: float
) -> float:
    """Return the score of a prefill upstream; lowest is best."""
    if not scheduler.settings.learn_performance:
        return load.backlog_ms * load.slowness
    return prefill_finish_ms(scheduler, load, estimate_ms)


def pool_prefill_ms(
    scheduler: SchedulerState, service: str, tokens: float
) -> float:
    """Return the mean prefill time of a prompt at a service's upstreams."""
    usual_ms = tokens / scheduler.settings.prefill_tokens_per_ms
    if not scheduler.settings.learn_performance:
        return usual_ms
    times = [
        performance.prefill_ms(load.performance, tokens)
        for load in _pool(scheduler, service, Phase.prefill)
    ]
    return _mean_time(times) or usual_ms


def pool_pace_ms(scheduler: SchedulerState, service: str) -> float:
    """Return the mean decode time of a service's upstreams for a token."""
    if not scheduler.settings.learn_performance:
        return scheduler.pace_ms
    times = [
        performance.decode_pace_ms(load.performance, max(1, len(load.running)))
        for load in _pool(scheduler, service, Phase.decode)
    ]
    return _mean_time(times) or scheduler.pace_ms


def candidates_pace_ms(scheduler: SchedulerState, loads: list[Load]) -> float:
    """Return the mean decode time of upstreams with one more stream each."""
    if not scheduler.settings.learn_performance:
        return scheduler.pace_ms
    paces = [pace_ms(scheduler, load, 1) for load in loads]
    return _mean_time(paces) or scheduler.pace_ms


def _pool(
    scheduler: SchedulerState, service: str, phase: Phase
) -> Iterator[Load]:
    return (
        load
        for load in scheduler.loads.values()
        if load.upstream.service == service
        and load.upstream.phase is phase
        and not load.upstream.leaving
    )


def _mean_time(times: list[float]) -> float:
    """Return the time that corresponds to the mean speed; 0 if unknown."""
    speeds = [1 / one for one in times if one > 0]
    return len(speeds) / sum(speeds) if speeds else 0
