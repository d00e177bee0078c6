"""Rebalancing of a model's upstreams between prefill and decode."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from gypsumrelay_dispatch.loads import Load
from gypsumrelay_dispatch.models import Need, Phase
from gypsumrelay_dispatch.scheduler_state import Board, usable

if TYPE_CHECKING:
    from collections.abc import Iterable

# Weight of the newest request in the moving averages of the work.
SMOOTHING: Final = 0.03
# Minimum number of upstreams for a change, during which one is unavailable.
LEAST_POOL: Final = 3
# Minimum relative improvement of the more loaded pool for a change, which
# makes an upstream unavailable for seconds.
LEAST_GAIN: Final = 0.15
# Seconds of imbalance before a change; a crashed upstream often restarts
# sooner.
PATIENCE_SECONDS: Final = 3.0
# Minimum seconds between two changes of a service.
PAUSE_SECONDS: Final = 3.0
# Maximum part of a service's upstreams that change at the same time.
CHANGING_SHARE: Final = 0.2
# Seconds after which an accepted change that the list does not show times
# out.
CHANGE_SECONDS: Final = 15.0


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
    """

    upstream: str
    address: str
    phase: Phase
    prefill: int
    decode: int
    wanted: int


@attrs.define
class Shape:
    """Average work of a service's requests, and the state of rebalancing.

    Attributes:
        read_ms: Prefill time of a request in milliseconds.
        decode_ms: Decode time of a request in milliseconds, scaled to an
            engine's whole memory.
        wrong_since: Instant since which the pools are imbalanced; infinite
            if they are balanced.
        changed_at: Instant of the last change of a phase.
    """

    read_ms: float
    decode_ms: float
    wrong_since: float = float('inf')
    changed_at: float = float('-inf')


def observe_need(board: Board, need: Need) -> None:
    """Update the average work of a service from a request."""
    _observe(board, need.service, need.prompt_tokens, need.expected_tokens)


def _observe(board: Board, service: str, prompt: int, output: int) -> None:
    read_ms = prompt / board.settings.prefill_tokens_per_ms
    decode_ms = _decode_ms(board, service, prompt, output)
    shape = board.shapes.get(service)
    if shape is None:
        board.shapes[service] = Shape(read_ms, decode_ms)
        return
    shape.read_ms += SMOOTHING * (read_ms - shape.read_ms)
    shape.decode_ms += SMOOTHING * (decode_ms - shape.decode_ms)


def plan(board: Board, now: float) -> PhaseChange | None:
    """Return the next change of an upstream's phase, if any is due."""
    for name, service in board.services.items():
        if not service.memory_tokens:
            continue
        change = _plan_service(board, name, now)
        if change is not None:
            return change
    return None


def note_change(board: Board, change: PhaseChange, now: float) -> None:
    """Record that an upstream has, or may have, accepted a change."""
    load = board.loads.get(change.upstream)
    if load is not None:
        load.changing_to = change.phase
        load.changing_until = now + CHANGE_SECONDS
        shape = board.shapes.get(load.upstream.service)
        if shape is not None:
            shape.changed_at = now


def wanted_prefill(shape: Shape, total: int, weight: float) -> int:
    """Return the target number of prefill upstreams.

    Args:
        shape: Average work of a request.
        total: Number of upstreams in both pools, at least two.
        weight: Weight of the prefill pool's load.
    """
    return min(
        range(1, total),
        key=lambda count: _busier(shape, count, total, weight),
    )


def _plan_service(board: Board, name: str, now: float) -> PhaseChange | None:
    shape = _shape(board, name)
    pool = [
        load
        for load in board.loads.values()
        if load.upstream.service == name and usable(board, load, now)
    ]
    if shape is None or len(pool) < LEAST_POOL:
        return None
    weight = board.settings.prefill_weight
    prefill = [load for load in pool if _will_be(load, now) is Phase.prefill]
    wanted = wanted_prefill(shape, len(pool), weight)
    if not _is_wrong(shape, len(prefill), wanted, len(pool), weight):
        shape.wrong_since = float('inf')
        return None
    shape.wrong_since = min(shape.wrong_since, now)
    if not _may_change(shape, pool, now):
        return None
    away = Phase.prefill if len(prefill) > wanted else Phase.decode
    chosen = _least_busy(pool, away, now)
    if chosen is None:
        return None
    return PhaseChange(
        chosen.upstream.name,
        chosen.upstream.address,
        Phase.decode if away is Phase.prefill else Phase.prefill,
        len(prefill),
        len(pool) - len(prefill),
        wanted,
    )


def _shape(board: Board, name: str) -> Shape | None:
    """Return the average work, initially that of the settings."""
    settings = board.settings
    if name not in board.shapes and settings.usual_prompt_tokens:
        prompt = settings.usual_prompt_tokens
        _observe(board, name, prompt, settings.usual_output_tokens)
    return board.shapes.get(name)


def _decode_ms(board: Board, service: str, prompt: int, output: int) -> float:
    rules = board.services.get(service)
    memory = rules.memory_tokens if rules else 0
    if not memory:
        return 0
    # Placement is by peak memory, so that the whole output counts.
    time_ms = output * board.pace_ms
    given = memory * board.settings.memory_share
    return (prompt + output) * time_ms / given


def _busier(shape: Shape, prefill: int, total: int, weight: float) -> float:
    """Return the load of the more loaded pool."""
    if not 0 < prefill < total:
        return float('inf')
    return max(
        weight * shape.read_ms / prefill,
        shape.decode_ms / (total - prefill),
    )


def _is_wrong(
    shape: Shape,
    prefill: int,
    wanted: int,
    total: int,
    weight: float,
) -> bool:
    if prefill == wanted:
        return False
    present = _busier(shape, prefill, total, weight)
    best = _busier(shape, wanted, total, weight)
    return best < present * (1 - LEAST_GAIN)


def _may_change(shape: Shape, pool: list[Load], now: float) -> bool:
    if now - shape.wrong_since < PATIENCE_SECONDS:
        return False
    if now - shape.changed_at < PAUSE_SECONDS:
        return False
    changing = sum(load.is_changing(now) for load in pool)
    return changing < max(1, int(len(pool) * CHANGING_SHARE))


def _will_be(load: Load, now: float) -> Phase:
    if load.is_changing(now) and load.changing_to is not None:
        return load.changing_to
    return load.upstream.phase


def _least_busy(pool: list[Load], phase: Phase, now: float) -> Load | None:
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
        same = zones.count(load.upstream.availability_zone)
        busy = len(load.running) + len(load.reading_ms)
        return (-same, busy, load.upstream.name)

    return _first(sorted(kind, key=cost))


def _first(loads: Iterable[Load]) -> Load | None:
    return next(iter(loads), None)
