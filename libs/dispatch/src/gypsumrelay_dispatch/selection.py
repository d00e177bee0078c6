"""Selection of the upstreams for an attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from gypsumrelay_dispatch.candidates import (
    backlog_reason,
    decode_choice_score,
    forecast_peak,
    ineligible_reason,
    limit_reason,
    memory_reason,
    pause_end,
    plain_choice_score,
    prefill_choice_score,
    prefill_estimate_ms,
    slots_reason,
)
from gypsumrelay_dispatch.loads import Load, is_in_pool
from gypsumrelay_dispatch.models import Phase, PlacementRequest
from gypsumrelay_dispatch.rate_limits import accepted_at
from gypsumrelay_dispatch.rollouts import narrow
from gypsumrelay_dispatch.transfer_costs import transfer_penalty
from gypsumrelay_dispatch.upstream_performance import candidates_pace_ms

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from gypsumrelay_dispatch.scheduler_state import SchedulerState

# Part of an engine's memory below which a decode upstream has spare memory
# for a direct prefill.
SPARE_MEMORY_SHARE: Final = 0.75
# Seconds before the latency objective from which a prompt that finds no
# prefill upstream is prefilled at a decode upstream, which takes about a third
# of a second.
DIRECT_PREFILL_LEAD_SECONDS: Final = 0.7


@attrs.frozen
class Choice:
    """Selected upstreams; `prefill` is None without a separate prefill."""

    upstream: Load
    prefill: Load | None = None
    prefill_ms: float = 0


def choose(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> Choice | None:
    """Return the upstreams for an attempt; None if it has to wait."""
    found = (
        _choose(scheduler, narrowed, now)
        for narrowed in narrow(scheduler, request, now)
    )
    return next((choice for choice in found if choice is not None), None)


def _choose(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> Choice | None:
    if not request.prompt_tokens:
        return _choose_plain(scheduler, request, now)
    if request.read:
        decode = _choose_decode(scheduler, request, None, now)
        return Choice(decode) if decode else None
    return _choose_pair(scheduler, request, now)


def candidates(
    scheduler: SchedulerState,
    request: PlacementRequest,
    phase: Phase,
    now: float,
) -> list[Load]:
    """Return the upstreams of a pool that may get an attempt now.

    Suspended upstreams are included only if there are no others.
    """
    found = list(_usable(scheduler, request, phase, now))
    healthy = [load for load in found if load.suspended_until <= now]
    return _within_limits(scheduler, request, healthy or found, now)


def _usable(
    scheduler: SchedulerState,
    request: PlacementRequest,
    phase: Phase,
    now: float,
) -> Iterator[Load]:
    return (
        load
        for load in _pool(scheduler, request, phase, now)
        if pause_end(scheduler, request, load) <= now
    )


def _pool(
    scheduler: SchedulerState,
    request: PlacementRequest,
    phase: Phase,
    now: float,
) -> Iterator[Load]:
    return (
        load
        for load in scheduler.loads.values()
        if is_in_pool(load, request.service, phase)
        and not ineligible_reason(scheduler, request, load, now)
    )


def _within_limits(
    scheduler: SchedulerState,
    request: PlacementRequest,
    loads: list[Load],
    now: float,
) -> list[Load]:
    """Return the upstreams whose limits allow another send now."""
    return [
        load
        for load in loads
        if not limit_reason(scheduler, request, load, now)
    ]


def limited_until(
    scheduler: SchedulerState,
    request: PlacementRequest,
    ahead: int,
    now: float,
) -> float:
    """Return until when upstreams delay a request by limits and pauses.

    Args:
        scheduler: The coordinator's state.
        request: The placement request.
        ahead: Requests of the same service that are served before it.
        now: The present instant.

    Returns:
        The instant; `now` without a delay. Prefill is not considered, since
        decode upstreams can prefill as well. A suspended upstream without a
        limit ends the delay with its suspension.
    """
    if request.entry not in scheduler.pauses:
        return _rate_limited_until(scheduler, request, ahead, now)
    paused = [at for at in _admissions(scheduler, request, now) if at > now]
    if is_held(scheduler, request, now):
        return min(paused)
    limited = _rate_limited_until(scheduler, request, ahead, now)
    return min((limited, *paused))


def has_version(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> bool:
    """Return whether an upstream of the request's version may run it."""
    return any(_pool(scheduler, request, _last_phase(request), now))


def is_held(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> bool:
    """Return whether only pauses of its instance keep a request waiting."""
    if request.entry not in scheduler.pauses:
        return False
    admissions = _admissions(scheduler, request, now)
    return bool(admissions) and min(admissions) > now


def _admissions(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> list[float]:
    """Return when the upstreams that may run a request admit it."""
    return [
        pause_end(scheduler, request, load)
        for load in _pool(scheduler, request, _last_phase(request), now)
    ]


def _last_phase(request: PlacementRequest) -> Phase:
    return Phase.decode if request.prompt_tokens else Phase.plain


def _rate_limited_until(
    scheduler: SchedulerState,
    request: PlacementRequest,
    ahead: int,
    now: float,
) -> float:
    limits = scheduler.rate_limits
    if not limits:
        return now
    healthy = []
    suspended = []
    for load in _usable(scheduler, request, _last_phase(request), now):
        if load.suspended_until > now:
            suspended.append(load)
        elif load.upstream.name in limits:
            healthy.append(load.upstream.name)
        else:
            return now
    ends = [
        other.suspended_until
        for other in suspended
        if other.upstream.name not in limits
    ]
    if not healthy:
        names = [other.upstream.name for other in suspended]
        return accepted_at(limits, names, ahead, now)
    return min((accepted_at(limits, healthy, ahead, now), *ends))


def _choose_plain(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> Choice | None:
    free = [
        load
        for load in candidates(scheduler, request, Phase.plain, now)
        if not slots_reason(scheduler, load)
    ]
    best = _lowest(
        free, lambda load: plain_choice_score(scheduler, request, load)
    )
    return Choice(best) if best else None


def _choose_pair(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> Choice | None:
    prefill_loads = list(_usable(scheduler, request, Phase.prefill, now))
    healthy = [load for load in prefill_loads if load.suspended_until <= now]
    if not healthy:
        direct = _choose_direct(scheduler, request, now)
        if direct is not None or not prefill_loads:
            return direct
    return _choose_prefill(scheduler, request, healthy or prefill_loads, now)


def _choose_direct(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> Choice | None:
    """Return a decode upstream for direct prefill, if any.

    Prefill at a decode upstream delays the tokens of its other requests, so
    that it is limited to one prompt at a time.
    """
    busy = {
        name
        for name, load in scheduler.loads.items()
        if load.direct_prefill_until > now
    }
    narrowed = attrs.evolve(request, excluded=request.excluded | busy)
    decode = _choose_decode(scheduler, narrowed, None, now)
    return Choice(decode) if decode else None


def _choose_prefill(
    scheduler: SchedulerState,
    request: PlacementRequest,
    prefill_loads: list[Load],
    now: float,
) -> Choice | None:
    estimate = prefill_estimate_ms(scheduler, request)
    free = [
        load
        for load in _within_limits(scheduler, request, prefill_loads, now)
        if not backlog_reason(scheduler, request, load)
    ]
    prefill = _lowest(
        free,
        lambda load: prefill_choice_score(scheduler, request, load, now),
    )
    if prefill is None:
        return _choose_spare_memory(scheduler, request, now)
    decode = _choose_decode(scheduler, request, prefill, now)
    return Choice(decode, prefill, estimate) if decode else None


def _choose_spare_memory(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> Choice | None:
    """Return a decode upstream with spare memory for a prompt that is due.

    While prefill capacity is the bottleneck, slower prefill at a decode
    upstream serves more callers than idle memory.
    """
    if request.objective_at - now > DIRECT_PREFILL_LEAD_SECONDS:
        return None
    choice = _choose_direct(scheduler, request, now)
    if choice is None:
        return None
    limit = (
        scheduler.services[request.service].memory_tokens * SPARE_MEMORY_SHARE
    )
    peak = forecast_peak(scheduler, choice.upstream, request, now)
    return choice if peak <= limit else None


def _choose_decode(
    scheduler: SchedulerState,
    request: PlacementRequest,
    prefill: Load | None,
    now: float,
) -> Load | None:
    peaks = {
        load.upstream.name: forecast_peak(scheduler, load, request, now)
        for load in candidates(scheduler, request, Phase.decode, now)
        if not slots_reason(scheduler, load)
    }
    free = [
        scheduler.loads[name]
        for name, tokens in peaks.items()
        if not memory_reason(scheduler, scheduler.loads[name], tokens)
    ]
    pool_ms = candidates_pace_ms(scheduler, free)

    def score(load: Load) -> float:
        peak = peaks[load.upstream.name]
        own = decode_choice_score(scheduler, load, peak, pool_ms)
        if prefill is None:
            return own
        return own + transfer_penalty(scheduler, request, prefill, load, now)

    return _lowest(free, score)


def _lowest(
    loads: list[Load],
    score: Callable[[Load], float],
) -> Load | None:
    return min(loads, key=score, default=None)
