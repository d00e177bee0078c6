"""Selection of the upstreams for an attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from gypsumrelay_dispatch.forecast import Growth, peak
from gypsumrelay_dispatch.loads import (
    Load,
    bears_send,
    growth_of,
    is_phase,
    plain_score,
)
from gypsumrelay_dispatch.models import Need, Phase
from gypsumrelay_dispatch.scheduler_state import Board, usable

if TYPE_CHECKING:
    from collections.abc import Callable

# Score penalty of a decode upstream outside the prefill upstream's zone, as a
# part of engine memory: a KV cache transfer takes twice as long between
# zones.
ZONE_WEIGHT: Final = 0.3


# Part of an engine's memory below which a decode upstream has spare memory
# for a direct prefill.
SPARE_SHARE: Final = 0.75
# Seconds before the latency objective from which a prompt that finds no
# prefill upstream is prefilled at a decode upstream, which takes about a third
# of a second.
SPARE_LEAD_SECONDS: Final = 0.7


@attrs.frozen
class Choice:
    """Selected upstreams; `prefill` is None without a separate prefill."""

    upstream: Load
    prefill: Load | None = None
    prefill_ms: float = 0


def choose(board: Board, need: Need, now: float) -> Choice | None:
    """Return the upstreams for an attempt; None if it has to wait."""
    if not need.prompt_tokens:
        return _choose_plain(board, need, now)
    if need.read:
        decode = _choose_decode(board, need, '', now)
        return Choice(decode) if decode else None
    return _choose_pair(board, need, now)


def candidates(
    board: Board,
    need: Need,
    phase: Phase,
    now: float,
) -> list[Load]:
    """Return the upstreams of a pool that may get an attempt now.

    Suspended upstreams are included only if there are no others.
    """
    found = _usable(board, need, phase, now)
    healthy = [load for load in found if load.suspended_until <= now]
    return _warm(board, need, healthy or found, now)


def _usable(board: Board, need: Need, phase: Phase, now: float) -> list[Load]:
    return [
        load
        for load in board.loads.values()
        if is_phase(load, need.service, phase)
        and load.upstream.name not in need.excluded
        and not load.is_changing(now)
        and usable(board, load, now)
    ]


def _warm(
    board: Board,
    need: Need,
    loads: list[Load],
    now: float,
) -> list[Load]:
    """Return the upstreams whose cold limit allows another send now."""
    service = board.services.get(need.service)
    per_second = service.cold_per_second if service else 0
    return [load for load in loads if bears_send(load, per_second, now)]


def prefill_estimate_ms(board: Board, need: Need) -> float:
    """Return the estimated prefill time of a prompt in milliseconds."""
    return need.prompt_tokens / board.settings.prefill_tokens_per_ms


def _choose_plain(board: Board, need: Need, now: float) -> Choice | None:
    free = [
        load
        for load in candidates(board, need, Phase.plain, now)
        if len(load.running) < load.upstream.slots
    ]
    best = _least(free, lambda load: plain_score(load, need.availability_zone))
    return Choice(best) if best else None


def _choose_pair(board: Board, need: Need, now: float) -> Choice | None:
    readers = _usable(board, need, Phase.prefill, now)
    healthy = [load for load in readers if load.suspended_until <= now]
    if not healthy:
        direct = _choose_direct(board, need, now)
        if direct is not None or not readers:
            return direct
    return _choose_reader(board, need, healthy or readers, now)


def _choose_direct(board: Board, need: Need, now: float) -> Choice | None:
    """Return a decode upstream for direct prefill, if any.

    Prefill at a decode upstream delays the tokens of its other requests, so
    that it is limited to one prompt at a time.
    """
    busy = {
        name for name, load in board.loads.items() if load.reads_until > now
    }
    free = attrs.evolve(need, excluded=need.excluded | busy)
    decode = _choose_decode(board, free, '', now)
    return Choice(decode) if decode else None


def _choose_reader(
    board: Board,
    need: Need,
    readers: list[Load],
    now: float,
) -> Choice | None:
    estimate = prefill_estimate_ms(board, need)
    limit = board.settings.prefill_backlog_ms
    free = [
        load
        for load in _warm(board, need, readers, now)
        if not load.reading_ms or load.backlog_ms + estimate <= limit
    ]
    prefill = _least(free, lambda load: load.backlog_ms * load.slowness)
    if prefill is None:
        return _choose_spare(board, need, now)
    zone = prefill.upstream.availability_zone
    decode = _choose_decode(board, need, zone, now)
    return Choice(decode, prefill, estimate) if decode else None


def _choose_spare(board: Board, need: Need, now: float) -> Choice | None:
    """Return a decode upstream with spare memory for a prompt that is due.

    While prefill capacity is the bottleneck, slower prefill at a decode
    upstream serves more callers than idle memory.
    """
    if need.aim_at - now > SPARE_LEAD_SECONDS:
        return None
    choice = _choose_direct(board, need, now)
    if choice is None:
        return None
    limit = board.services[need.service].memory_tokens * SPARE_SHARE
    taken = forecast_peak(board, choice.upstream, need, now)
    return choice if taken <= limit else None


def _choose_decode(
    board: Board,
    need: Need,
    zone: str,
    now: float,
) -> Load | None:
    memory = board.services[need.service].memory_tokens
    limit = memory * board.settings.memory_share
    peaks = {
        load.upstream.name: forecast_peak(board, load, need, now)
        for load in candidates(board, need, Phase.decode, now)
        if len(load.running) < load.upstream.slots
    }
    free = [
        board.loads[name]
        for name, tokens in peaks.items()
        if tokens <= limit or not board.loads[name].running
    ]

    def score(load: Load) -> float:
        away = bool(zone) and load.upstream.availability_zone != zone
        return peaks[load.upstream.name] / memory + ZONE_WEIGHT * away

    return _least(free, score)


def forecast_peak(board: Board, load: Load, need: Need, now: float) -> float:
    """Return the forecast peak memory in tokens with one more request."""
    growths = [
        growth_of(place, board.pace_ms, now) for place in load.running.values()
    ]
    growths.append(Growth(need.prompt_tokens, need.expected_tokens))
    return peak(growths)


def _least(
    loads: list[Load],
    score: Callable[[Load], float],
) -> Load | None:
    return min(loads, key=score, default=None)
