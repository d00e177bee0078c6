"""Order of the queue and estimates of the wait."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Final

from gypsumrelay_dispatch import forecast
from gypsumrelay_dispatch.grant_rate import observe_queue, seconds_per_grant
from gypsumrelay_dispatch.loads import Load, is_phase
from gypsumrelay_dispatch.models import Need, Phase
from gypsumrelay_dispatch.selection import prefill_estimate_ms

if TYPE_CHECKING:
    from gypsumrelay_settings import DispatchSettings

    from gypsumrelay_dispatch.scheduler_state import Board, Waiting

MS_PER_SECOND: Final = 1000
# Seconds from placement to first token; a request that is not placed this
# long before its latency objective is late.
LATE_MARGIN_SECONDS: Final = 0.2
# Weight of the newest request in the moving average of the cost.
COST_SMOOTHING: Final = 0.05
# Bound of the delay by cost, as a multiple of the average cost.
MAX_COST_RATIO: Final = 3.0


class Stage(enum.Enum):
    """Urgency of a queued request, in serving order."""

    urgent = 0
    usual = 1
    late = 2


def rank(
    settings: DispatchSettings,
    now: float,
    waiting: Waiting,
) -> tuple[bool, int, int, float]:
    """Return the sort key of a queued request; the lowest is served first."""
    need = waiting.need
    stage = stage_of(settings, need, now)
    due = need.aim_at + waiting.delay
    return (waiting.overdrawn, need.priority, stage.value, due)


def stage_of(settings: DispatchSettings, need: Need, now: float) -> Stage:
    """Return the urgency of a request."""
    if need.read or need.resumed:
        return Stage.urgent
    if not need.prompt_tokens:
        return Stage.late if need.aim_at <= now else Stage.usual
    left = need.aim_at - now - LATE_MARGIN_SECONDS
    if left <= 0:
        return Stage.late
    return Stage.urgent if left < settings.urgent_seconds else Stage.usual


def latest_place(
    settings: DispatchSettings,
    aim_seconds: float,
    deadline: float,
    now: float,
) -> float:
    """Return the instant until which a request that arrives now may queue.

    Args:
        settings: Settings of the scheduling policy.
        aim_seconds: Latency objective in seconds.
        deadline: Instant at which the request times out.
        now: The present instant.
    """
    by_aim = aim_seconds * settings.queue_factor
    by_deadline = max(0, deadline - now) * settings.queue_share
    return now + min(by_aim, by_deadline)


def expected_wait(board: Board, waiting: Waiting, now: float) -> float:
    """Return the estimated seconds until a queued request is placed.

    The estimate uses the grant rate of the service, or the work ahead in the
    queue if the grant rate is unknown.
    """
    need = waiting.need
    own = rank(board.settings, now, waiting)
    same = [
        other.need
        for other in board.queue
        if other.need.service == need.service
        and rank(board.settings, now, other) <= own
    ]
    wait = wait_behind(board, need, len(same))
    if wait is not None:
        return wait
    if need.prompt_tokens:
        work = sum(prefill_estimate_ms(board, other) for other in same)
        pool = _pool(board, need.service, Phase.prefill)
        return work / max(1, len(pool)) / MS_PER_SECOND
    pool = _pool(board, need.service, Phase.plain)
    places = sum(load.upstream.slots for load in pool)
    slowest = max((load.latency for load in pool), default=0)
    return len(same) * slowest / max(1, places)


def wait_behind(board: Board, need: Need, ahead: int) -> float | None:
    """Return the wait in seconds behind `ahead` requests; None if unknown."""
    pace = seconds_per_grant(board.flow(need.service))
    return None if pace is None else (ahead + 1) * pace


def cost_delay(board: Board, need: Need) -> float:
    """Return the seconds by which a request is delayed for its cost.

    While memory is short, serving cheap requests first serves more callers.
    The bound prevents starvation of costly ones.
    """
    if not need.prompt_tokens:
        return 0
    own = forecast.cost(need.prompt_tokens, need.expected_tokens)
    usual = board.usual_cost or own
    board.usual_cost = usual + COST_SMOOTHING * (own - usual)
    ratio = own / max(1, board.usual_cost)
    return min(MAX_COST_RATIO, ratio) * board.settings.cost_delay_seconds


def observe_queues(board: Board, now: float) -> None:
    """Update the grant rates with which services have a queue now."""
    waiting = {waiting.need.service for waiting in board.queue}
    for service in board.services:
        is_waiting = service in waiting
        observe_queue(board.flow(service), now, is_waiting=is_waiting)


def withdraw(board: Board, key: tuple[str, int]) -> bool:
    """Remove an attempt from the queue; return whether it was queued."""
    kept = [waiting for waiting in board.queue if waiting.need.key != key]
    found = len(kept) < len(board.queue)
    board.queue = kept
    return found


def _pool(board: Board, service: str, phase: Phase) -> list[Load]:
    return [
        load
        for load in board.loads.values()
        if is_phase(load, service, phase) and not load.upstream.leaving
    ]
