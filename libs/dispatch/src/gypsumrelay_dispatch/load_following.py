"""Which pool of a model's upstreams is the bottleneck now."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, Final

import attrs

from gypsumrelay_dispatch.forecast import peak_tokens
from gypsumrelay_dispatch.loads import Load, placement_memory
from gypsumrelay_dispatch.models import Phase
from gypsumrelay_dispatch.upstream_performance import pace_ms

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumrelay_settings import DispatchSettings

    from gypsumrelay_dispatch.scheduler_state import SchedulerState

# Seconds in which the weight of a request in the demand falls to 0.37.
DECAY_SECONDS: Final = 3.0
# Weight of the requests, each counting up to one, from which the demand is
# used; at fewer, single sizes would decide, and the slower average is used.
MIN_WEIGHT: Final = 12.0
# Share of a pool's limit from which it is under pressure, and below which it
# can spare an upstream.
PRESSURE_SHARE: Final = 0.75
SPARE_SHARE: Final = 0.6
# Seconds of imbalance before a change while the pool that would get the
# upstream is under pressure and the other one is not.
PRESSED_SECONDS: Final = 1.0
# Seconds after a change in which one in the other direction is decided by the
# slower average alone; a change costs six seconds of an engine. Each reversal
# of the last minute doubles this time, since a load that alternates faster
# than engines change is served best by a split that stays.
REVERSAL_SECONDS: Final = 8.0
REVERSALS_KEPT_SECONDS: Final = 60.0
MAX_DOUBLINGS: Final = 3
# Maximum part of the upstreams that change at once under pressure.
MAX_PRESSED_SHARE: Final = 0.3


@attrs.define
class Demand:
    """Work that a service's requests have brought in the last seconds.

    Attributes:
        prefill_ms: Prefill time in milliseconds, weighted by age.
        decode_ms: Decode time in milliseconds, scaled to an engine's whole
            memory, likewise.
        weight: Weight of all requests.
        updated_at: Instant of the last request.
        pressed_since: Instant since which one pool is the bottleneck; infinite
            if none is.
        changed_to: Phase of the last change of an upstream; None before it.
        changed_at: Instant of that change.
        reversed_at: Instants of the last changes that reversed another one.
    """

    prefill_ms: float = 0
    decode_ms: float = 0
    weight: float = 0
    updated_at: float = 0
    pressed_since: float = math.inf
    changed_to: Phase | None = None
    changed_at: float = -math.inf
    reversed_at: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=MAX_DOUBLINGS)
    )


@attrs.frozen
class Pressure:
    """Use of both pools as shares of their limits.

    Attributes:
        prefill: Estimated prefill work as a share of the maximum backlog.
        decode: Forecast memory as a share of the usable memory.
    """

    prefill: float
    decode: float

    def favours(self, phase: Phase) -> bool:
        """Return whether a pool is under pressure and the other one is not."""
        gains, gives = self.prefill, self.decode
        if phase is Phase.decode:
            gains, gives = gives, gains
        return gains >= PRESSURE_SHARE and gives < SPARE_SHARE


def follows_load(settings: DispatchSettings) -> bool:
    """Return whether the split follows the load of the last seconds."""
    return settings.learn_transfers or settings.learn_performance


def add_demand(
    demand: Demand, prefill_ms: float, decode_ms: float, now: float
) -> None:
    """Add a request's work to the demand."""
    decay = math.exp(-max(0, now - demand.updated_at) / DECAY_SECONDS)
    demand.prefill_ms = demand.prefill_ms * decay + prefill_ms
    demand.decode_ms = demand.decode_ms * decay + decode_ms
    demand.weight = demand.weight * decay + 1
    demand.updated_at = now


def is_conclusive(demand: Demand, now: float) -> bool:
    """Return whether there were enough requests in the last seconds."""
    decay = math.exp(-max(0, now - demand.updated_at) / DECAY_SECONDS)
    return demand.weight * decay >= MIN_WEIGHT


def note_change(demand: Demand, phase: Phase, now: float) -> None:
    """Note a change of an upstream to a phase."""
    if demand.changed_to not in {None, phase}:
        demand.reversed_at.append(now)
    demand.changed_to = phase
    demand.changed_at = now


def is_reversal(demand: Demand, phase: Phase, now: float) -> bool:
    """Return whether a change to a phase would soon reverse the last one."""
    if demand.changed_to in {None, phase}:
        return False
    doublings = min(_reversals(demand, now), MAX_DOUBLINGS)
    return now - demand.changed_at < REVERSAL_SECONDS * (1 << doublings)


def alternates(demand: Demand, phase: Phase, now: float) -> bool:
    """Return whether a change to a phase would be one of many reversals."""
    return _reversals(demand, now) > 0 and is_reversal(demand, phase, now)


def may_change_pressed(demand: Demand, now: float) -> bool:
    """Return whether one pool has been the bottleneck for long enough."""
    waited = now - max(demand.pressed_since, demand.changed_at)
    return waited >= PRESSED_SECONDS


def pool_pressure(
    scheduler: SchedulerState, service: str, pool: Iterable[Load], now: float
) -> Pressure:
    """Return the use of both pools; a pool without upstreams is full."""
    usable = [load for load in pool if not load.is_changing(now)]
    backlogs = [
        load.backlog_ms / scheduler.settings.prefill_backlog_ms
        for load in usable
        if load.upstream.phase is Phase.prefill
    ]
    memory = scheduler.services[service].memory_tokens
    limit = memory * scheduler.settings.memory_share
    peaks = [
        _peak(scheduler, load, now) / limit
        for load in usable
        if load.upstream.phase is Phase.decode
    ]
    return Pressure(_mean(backlogs), _mean(peaks))


def _reversals(demand: Demand, now: float) -> int:
    return sum(now - at < REVERSALS_KEPT_SECONDS for at in demand.reversed_at)


def _peak(scheduler: SchedulerState, load: Load, now: float) -> float:
    return peak_tokens(
        placement_memory(placement, pace_ms(scheduler, load), now)
        for placement in load.running.values()
    )


def _mean(shares: list[float]) -> float:
    return sum(shares) / len(shares) if shares else 1
