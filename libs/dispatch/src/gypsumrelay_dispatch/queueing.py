"""Order of the queue and estimates of the wait."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, Final

import attrs

from gypsumrelay_dispatch import accounts, fair_queueing, forecast
from gypsumrelay_dispatch.grant_rate import observe_queue, seconds_per_grant
from gypsumrelay_dispatch.loads import Load, is_in_pool
from gypsumrelay_dispatch.models import Phase, PlacementRequest
from gypsumrelay_dispatch.scheduler_state import QueuedRequest
from gypsumrelay_dispatch.selection import is_held, limited_until
from gypsumrelay_dispatch.upstream_performance import (
    allowed_slots,
    expected_service_seconds,
    pool_prefill_ms,
)

if TYPE_CHECKING:
    from gypsumrelay_fairness import OrderKey
    from gypsumrelay_settings import DispatchSettings

    from gypsumrelay_dispatch.scheduler_state import SchedulerState

MS_PER_SECOND: Final = 1000
# Weight of the newest request in the moving average of the cost.
COST_SMOOTHING: Final = 0.05
# Bound of the delay by cost, as a multiple of the average cost.
MAX_COST_RATIO: Final = 3.0


class Urgency(enum.Enum):
    """Urgency of a queued request, in serving order."""

    urgent = 0
    normal = 1
    late = 2


def rank(
    scheduler: SchedulerState,
    now: float,
    waiting: QueuedRequest,
) -> tuple[bool, int, int, float] | OrderKey:
    """Return the sort key of a queued request; the lowest is served first.

    Keys of one queue policy are comparable.
    """
    if fair_queueing.is_weighted(scheduler):
        return fair_queueing.weighted_key(scheduler, waiting, now)
    request = waiting.request
    urgency = urgency_of(scheduler.settings, request, now)
    due = request.objective_at + waiting.delay
    return (waiting.overdrawn, request.priority, urgency.value, due)


def urgency_of(
    settings: DispatchSettings, request: PlacementRequest, now: float
) -> Urgency:
    """Return the urgency of a request."""
    if request.read or request.resumed or request.version:
        return Urgency.urgent
    if not request.prompt_tokens:
        return Urgency.late if request.objective_at <= now else Urgency.normal
    slack_seconds = (
        request.objective_at - now - fair_queueing.FIRST_TOKEN_SECONDS
    )
    if slack_seconds <= 0:
        return Urgency.late
    return (
        Urgency.urgent
        if slack_seconds < settings.urgent_seconds
        else Urgency.normal
    )


def queue_deadline(
    settings: DispatchSettings,
    objective_seconds: float,
    deadline: float,
    now: float,
) -> float:
    """Return the instant until which a request that arrives now may queue.

    Args:
        settings: Settings of the scheduling policy.
        objective_seconds: Latency objective in seconds.
        deadline: Instant at which the request times out.
        now: The present instant.
    """
    by_objective = objective_seconds * settings.queue_factor
    by_deadline = max(0, deadline - now) * settings.queue_share
    return now + min(by_objective, by_deadline)


def earlier_requests(
    scheduler: SchedulerState, waiting: QueuedRequest, now: float
) -> list[PlacementRequest]:
    """Return the queued requests that are served before another one."""
    own: Any = rank(scheduler, now, waiting)
    service = waiting.request.service
    ahead = [
        other.request
        for other in scheduler.queue
        if other.request.service == service
        and rank(scheduler, now, other) <= own
    ]
    if not scheduler.pauses:
        return ahead
    # Requests of an instance whose upstreams all pause take no capacity.
    by_entry = {request.entry: request for request in ahead}
    by_entry.pop(waiting.request.entry, None)
    held = {
        entry
        for entry, request in by_entry.items()
        if is_held(scheduler, request, now)
    }
    return [request for request in ahead if request.entry not in held]


def expected_wait(
    scheduler: SchedulerState,
    request: PlacementRequest,
    earlier: list[PlacementRequest],
) -> float:
    """Return the estimated seconds until a queued request is placed.

    The estimate uses the grant rate of the service, or the work ahead in the
    queue if the grant rate is unknown.

    Args:
        scheduler: The coordinator's state.
        request: The placement request.
        earlier: Queued requests that are served before it.
    """
    wait = wait_at_grant_rate(scheduler, request, len(earlier))
    if wait is not None:
        return wait
    if request.prompt_tokens:
        tokens = sum(other.prompt_tokens for other in earlier)
        work = pool_prefill_ms(scheduler, request.service, tokens)
        pool = _pool(scheduler, request.service, Phase.prefill)
        return work / max(1, len(pool)) / MS_PER_SECOND
    pool = _pool(scheduler, request.service, Phase.plain)
    slots = sum(allowed_slots(scheduler, load) for load in pool)
    times = [
        expected_service_seconds(scheduler, load, load.latency) for load in pool
    ]
    slowest = max(times, default=0)
    return len(earlier) * slowest / max(1, slots)


@attrs.frozen
class WaitEstimate:
    """Estimated wait of a request.

    Attributes:
        ahead: Queued requests of the service that are served before it.
        wait_seconds: Seconds until it is placed by the queue alone.
        limited_until: Instant until which the limits of upstreams and pauses
            delay it; the present instant without a delay.
    """

    ahead: int
    wait_seconds: float
    limited_until: float


def describe_request(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> QueuedRequest:
    """Return a request as it is queued."""
    overdrawn = accounts.is_overdrawn(
        scheduler.accounts, request.client_account
    )
    delay = cost_delay(scheduler, request)
    return fair_queueing.describe(
        scheduler, QueuedRequest(request, now, overdrawn, delay)
    )


def estimate_wait(
    scheduler: SchedulerState, waiting: QueuedRequest, now: float
) -> WaitEstimate:
    """Return the wait of a request that is not in the queue yet."""
    request = waiting.request
    earlier = earlier_requests(scheduler, waiting, now)
    wait = expected_wait(scheduler, request, earlier)
    wait += fair_queueing.wait_for_returning(scheduler, request, wait, now)
    limit_ends_at = limited_until(scheduler, request, len(earlier), now)
    return WaitEstimate(len(earlier), wait, limit_ends_at)


def wait_at_grant_rate(
    scheduler: SchedulerState, request: PlacementRequest, ahead: int
) -> float | None:
    """Return the wait in seconds behind `ahead` requests; None if unknown."""
    interval_seconds = seconds_per_grant(scheduler.grant_rate(request.service))
    return None if interval_seconds is None else (ahead + 1) * interval_seconds


def cost_delay(scheduler: SchedulerState, request: PlacementRequest) -> float:
    """Return the seconds by which a request is delayed for its cost.

    While memory is short, serving cheap requests first serves more callers.
    The bound prevents starvation of costly ones.
    """
    if not request.prompt_tokens:
        return 0
    own = forecast.request_cost(request.prompt_tokens, request.expected_tokens)
    mean = scheduler.mean_cost or own
    scheduler.mean_cost = mean + COST_SMOOTHING * (own - mean)
    ratio = own / max(1, scheduler.mean_cost)
    return min(MAX_COST_RATIO, ratio) * scheduler.settings.cost_delay_seconds


def observe_queues(scheduler: SchedulerState, now: float) -> None:
    """Update the grant rates with which services have a queue now."""
    waiting = {waiting.request.service for waiting in scheduler.queue}
    for service in scheduler.services:
        has_queue = service in waiting
        observe_queue(scheduler.grant_rate(service), now, has_queue=has_queue)


def withdraw(scheduler: SchedulerState, key: tuple[str, int]) -> bool:
    """Remove an attempt from the queue; return whether it was queued."""
    scheduler.unbound.pop(key, None)
    kept = [
        waiting for waiting in scheduler.queue if waiting.request.key != key
    ]
    found = len(kept) < len(scheduler.queue)
    scheduler.queue = kept
    return found


def _pool(scheduler: SchedulerState, service: str, phase: Phase) -> list[Load]:
    return [
        load
        for load in scheduler.loads.values()
        if is_in_pool(load, service, phase) and not load.upstream.leaving
    ]
