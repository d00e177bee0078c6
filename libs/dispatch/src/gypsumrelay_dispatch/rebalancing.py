"""Rebalancing of a model's upstreams between prefill and decode."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from gypsumrelay_dispatch.load_following import (
    MAX_PRESSED_SHARE,
    Demand,
    add_demand,
    alternates,
    follows_load,
    is_conclusive,
    is_reversal,
    may_change_pressed,
    note_change,
    pool_pressure,
)
from gypsumrelay_dispatch.loads import Load
from gypsumrelay_dispatch.models import Phase, PlacementRequest
from gypsumrelay_dispatch.rollouts import is_on_trial
from gypsumrelay_dispatch.scheduler_state import SchedulerState, is_usable
from gypsumrelay_dispatch.upstream_performance import (
    pool_pace_ms,
    pool_prefill_ms,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

# Weight of the newest request in the moving averages of the work.
SMOOTHING: Final = 0.03
# Minimum number of upstreams for a change, during which one is unavailable.
MIN_UPSTREAMS: Final = 3
# Minimum relative improvement of the more loaded pool for a change, which
# makes an upstream unavailable for seconds.
MIN_GAIN: Final = 0.15
# Seconds of imbalance before a change; a crashed upstream often restarts
# sooner.
MIN_IMBALANCE_SECONDS: Final = 3.0
# Minimum seconds between two changes of a service.
CHANGE_INTERVAL_SECONDS: Final = 3.0
# Maximum part of a service's upstreams that change at the same time.
MAX_CHANGING_SHARE: Final = 0.2
# Seconds after which an accepted change that the list does not show times
# out.
CHANGE_TIMEOUT_SECONDS: Final = 15.0


@attrs.frozen
class PhaseChange:
    """Planned move of an upstream to the other pool.

    Attributes:
        upstream: Name of the upstream.
        address: `host:port` of the upstream.
        phase: Phase of the new pool.
        prefill: Present number of prefill upstreams.
        decode: Present number of decode upstreams.
        wanted: Target number of prefill upstreams.
        is_pressed: Whether the other pool is the bottleneck now.
    """

    upstream: str
    address: str
    phase: Phase
    prefill: int
    decode: int
    wanted: int
    is_pressed: bool = False


@attrs.define
class Workload:
    """Average work of a service's requests, and the state of rebalancing.

    Attributes:
        prefill_ms: Prefill time of a request in milliseconds.
        decode_ms: Decode time of a request in milliseconds, scaled to an
            engine's whole memory.
        imbalanced_since: Instant since which the pools are imbalanced; infinite
            if they are balanced.
        changed_at: Instant of the last change of a phase.
        demand: Work of the requests of the last seconds; kept only while the
            split follows the load.
    """

    prefill_ms: float
    decode_ms: float
    imbalanced_since: float = float('inf')
    changed_at: float = float('-inf')
    demand: Demand = attrs.field(factory=Demand)


def observe_request(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> None:
    """Update the average work of a service from a request."""
    service, prompt = request.service, request.prompt_tokens
    _observe_tokens(scheduler, service, prompt, request.expected_tokens)
    if follows_load(scheduler.settings):
        add_demand(
            scheduler.workloads[service].demand,
            prompt / scheduler.settings.prefill_tokens_per_ms,
            _decode_ms(scheduler, service, prompt, request.expected_tokens),
            now,
        )


def _observe_tokens(
    scheduler: SchedulerState, service: str, prompt: int, output: int
) -> None:
    prefill_ms = pool_prefill_ms(scheduler, service, prompt)
    decode_ms = _decode_ms(scheduler, service, prompt, output)
    workload = scheduler.workloads.get(service)
    if workload is None:
        scheduler.workloads[service] = Workload(prefill_ms, decode_ms)
        return
    workload.prefill_ms += SMOOTHING * (prefill_ms - workload.prefill_ms)
    workload.decode_ms += SMOOTHING * (decode_ms - workload.decode_ms)


def plan_phase_change(
    scheduler: SchedulerState, now: float
) -> PhaseChange | None:
    """Return the next change of an upstream's phase, if any is due."""
    for name, service in scheduler.services.items():
        if not service.memory_tokens:
            continue
        change = _plan_service(scheduler, name, now)
        if change is not None:
            return change
    return None


def record_phase_change(
    scheduler: SchedulerState, change: PhaseChange, now: float
) -> None:
    """Record that an upstream has, or may have, accepted a change."""
    load = scheduler.loads.get(change.upstream)
    if load is not None:
        load.changing_to = change.phase
        load.changing_until = now + CHANGE_TIMEOUT_SECONDS
        workload = scheduler.workloads.get(load.upstream.service)
        if workload is not None:
            workload.changed_at = now
            note_change(workload.demand, change.phase, now)


def wanted_prefill(workload: Workload, total: int, weight: float) -> int:
    """Return the target number of prefill upstreams.

    Args:
        workload: Average work of a request.
        total: Number of upstreams in both pools, at least two.
        weight: Weight of the prefill pool's load.
    """
    return min(
        range(1, total),
        key=lambda count: _max_load(workload, count, total, weight),
    )


def _plan_service(
    scheduler: SchedulerState, name: str, now: float
) -> PhaseChange | None:
    workload = _workload(scheduler, name)
    pool = [
        load
        for load in scheduler.loads.values()
        if load.upstream.service == name
        and is_usable(scheduler, load, now)
        and not is_on_trial(scheduler, load.upstream)
    ]
    if workload is None or len(pool) < MIN_UPSTREAMS:
        return None
    weight = scheduler.settings.prefill_weight
    prefill = sum(_target_phase(load, now) is Phase.prefill for load in pool)
    if follows_load(scheduler.settings):
        wanted = _pressed_target(scheduler, name, pool, prefill, now)
        if wanted is not None:
            return _next_change(pool, prefill, wanted, now, is_pressed=True)
    wanted = wanted_prefill(workload, len(pool), weight)
    if not _is_imbalanced(workload, prefill, wanted, len(pool), weight):
        workload.imbalanced_since = float('inf')
        return None
    workload.imbalanced_since = min(workload.imbalanced_since, now)
    counts = (prefill, wanted, len(pool))
    if _opposes_demand(scheduler, workload, counts, now):
        return None
    if not _may_change(workload, pool, now):
        return None
    return _next_change(pool, prefill, wanted, now)


def _next_change(
    pool: list[Load],
    prefill: int,
    wanted: int,
    now: float,
    *,
    is_pressed: bool = False,
) -> PhaseChange | None:
    from_phase = Phase.prefill if prefill > wanted else Phase.decode
    chosen = _cheapest_move(pool, from_phase, now)
    if chosen is None:
        return None
    return PhaseChange(
        chosen.upstream.name,
        chosen.upstream.address,
        Phase.decode if from_phase is Phase.prefill else Phase.prefill,
        prefill,
        len(pool) - prefill,
        wanted,
        is_pressed,
    )


def _pressed_target(
    scheduler: SchedulerState,
    name: str,
    pool: list[Load],
    prefill: int,
    now: float,
) -> int | None:
    """Return the target number of prefill upstreams for a change at once.

    Returns:
        The number; None if the requests of the last seconds make neither pool
        the bottleneck, or not for long enough.
    """
    workload = scheduler.workloads[name]
    demand = workload.demand
    weight = scheduler.settings.prefill_weight
    latest = Workload(demand.prefill_ms, demand.decode_ms)
    wanted = wanted_prefill(latest, len(pool), weight)
    phase = Phase.prefill if wanted > prefill else Phase.decode
    is_pressed = (
        is_conclusive(demand, now)
        and _is_imbalanced(latest, prefill, wanted, len(pool), weight)
        and not is_reversal(demand, phase, now)
        and pool_pressure(scheduler, name, pool, now).favours(phase)
    )
    if not is_pressed:
        demand.pressed_since = float('inf')
        return None
    demand.pressed_since = min(demand.pressed_since, now)
    changing = sum(load.is_changing(now) for load in pool)
    is_due = may_change_pressed(demand, now)
    may_change = is_due and changing < len(pool) * MAX_PRESSED_SHARE
    return wanted if may_change else None


def _opposes_demand(
    scheduler: SchedulerState,
    workload: Workload,
    counts: tuple[int, int, int],
    now: float,
) -> bool:
    """Return whether the load of the last seconds speaks against a change.

    Its requests need the reverse, or it alternates faster than engines change.

    Args:
        scheduler: The coordinator's state.
        workload: The service's state.
        counts: Present and target number of prefill upstreams, and the number
            of all upstreams.
        now: The current instant.
    """
    demand = workload.demand
    prefill, wanted, total = counts
    if not follows_load(scheduler.settings):
        return False
    phase = Phase.prefill if wanted > prefill else Phase.decode
    if alternates(demand, phase, now):
        return True
    if not is_conclusive(demand, now):
        return False
    latest = Workload(demand.prefill_ms, demand.decode_ms)
    weight = scheduler.settings.prefill_weight
    target = wanted_prefill(latest, total, weight)
    return (target - prefill) * (wanted - prefill) < 0


def _workload(scheduler: SchedulerState, name: str) -> Workload | None:
    """Return the average work, initially that of the settings."""
    settings = scheduler.settings
    if name not in scheduler.workloads and settings.usual_prompt_tokens:
        prompt = settings.usual_prompt_tokens
        _observe_tokens(scheduler, name, prompt, settings.usual_output_tokens)
    return scheduler.workloads.get(name)


def _decode_ms(
    scheduler: SchedulerState, service: str, prompt: int, output: int
) -> float:
    limits = scheduler.services.get(service)
    memory = limits.memory_tokens if limits else 0
    if not memory:
        return 0
    # Placement is by peak memory, so that the whole output counts.
    time_ms = output * pool_pace_ms(scheduler, service)
    usable_memory = memory * scheduler.settings.memory_share
    return (prompt + output) * time_ms / usable_memory


def _max_load(
    workload: Workload, prefill: int, total: int, weight: float
) -> float:
    """Return the load of the more loaded pool."""
    if not 0 < prefill < total:
        return float('inf')
    return max(
        weight * workload.prefill_ms / prefill,
        workload.decode_ms / (total - prefill),
    )


def _is_imbalanced(
    workload: Workload,
    prefill: int,
    wanted: int,
    total: int,
    weight: float,
) -> bool:
    if prefill == wanted:
        return False
    current_load = _max_load(workload, prefill, total, weight)
    best_load = _max_load(workload, wanted, total, weight)
    return best_load < current_load * (1 - MIN_GAIN)


def _may_change(workload: Workload, pool: list[Load], now: float) -> bool:
    if now - workload.imbalanced_since < MIN_IMBALANCE_SECONDS:
        return False
    if now - workload.changed_at < CHANGE_INTERVAL_SECONDS:
        return False
    changing = sum(load.is_changing(now) for load in pool)
    return changing < max(1, int(len(pool) * MAX_CHANGING_SHARE))


def _target_phase(load: Load, now: float) -> Phase:
    if load.is_changing(now) and load.changing_to is not None:
        return load.changing_to
    return load.upstream.phase


def _cheapest_move(pool: list[Load], phase: Phase, now: float) -> Load | None:
    """Return the upstream of a phase that costs least to move.

    It is taken from the zone with the most upstreams of the phase, so that
    the loss of a zone does not remove a whole pool.
    """
    kind = [
        load
        for load in pool
        if load.upstream.phase is phase and not load.is_changing(now)
    ]
    zones = [load.upstream.availability_zone for load in kind]

    def cost(load: Load) -> tuple[int, int, str]:
        zone_count = zones.count(load.upstream.availability_zone)
        busy = len(load.running) + len(load.prefill_work_ms)
        return (-zone_count, busy, load.upstream.name)

    return _first(sorted(kind, key=cost))


def _first(loads: Iterable[Load]) -> Load | None:
    return next(iter(loads), None)
