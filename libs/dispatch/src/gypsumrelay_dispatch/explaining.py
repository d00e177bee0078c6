"""Explains what the coordinator would decide on a request, without deciding it.

The explanation works on a copy of the state, on which it runs the decision
itself. Candidates, headroom and wait come from the functions that the decision
calls.
"""

from __future__ import annotations

from collections import deque
from copy import deepcopy
from typing import TYPE_CHECKING, Final

import attrs

from gypsumrelay_dispatch import accounts
from gypsumrelay_dispatch.admission import rate_limited_until
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
    slots_reason,
)
from gypsumrelay_dispatch.fair_queueing import is_weighted
from gypsumrelay_dispatch.loads import is_in_pool
from gypsumrelay_dispatch.models import Phase
from gypsumrelay_dispatch.queueing import (
    WaitEstimate,
    describe_request,
    estimate_wait,
)
from gypsumrelay_dispatch.rollouts import narrow
from gypsumrelay_dispatch.scheduling import request_placement
from gypsumrelay_dispatch.upstream_performance import candidates_pace_ms

if TYPE_CHECKING:
    from gypsumrelay_dispatch.loads import Load
    from gypsumrelay_dispatch.models import Decision, PlacementRequest
    from gypsumrelay_dispatch.scheduler_state import SchedulerState


# Reasons for which an upstream has a place, but none is free now; it counts
# when the decision looks for upstreams that are not suspended.
BUSY_REASONS: Final = frozenset(
    (
        '',
        'cold limit',
        'stated rate limit',
        'no free slot',
        'no memory',
        'prefill backlog',
    )
)


@attrs.frozen
class Headroom:
    """What a client account may still use.

    Attributes:
        client_account: Name of the account; empty on public routes.
        cost_tokens: Tokens that the request is charged.
        is_limited: Whether the account has a limit.
        tokens_left: Tokens in its bucket; below 0 if overdrawn.
        tokens_per_second: Refill of the bucket.
        burst_tokens: Capacity of the bucket.
        admitted_at: Instant from which the account admits the request.
    """

    client_account: str
    cost_tokens: int
    is_limited: bool
    tokens_left: float
    tokens_per_second: float
    burst_tokens: float
    admitted_at: float


@attrs.frozen
class Candidate:
    """An upstream of the request's service.

    Attributes:
        name: Name of the upstream.
        phase: Phase that it would run.
        availability_zone: Its availability zone.
        version: Version of its software; empty where unknown.
        running: Requests that it runs now.
        reason: What excludes it; empty if nothing does.
        score: Its score, lowest is best; None if it is excluded. A decode
            upstream's lacks the cost of the transfer from the prefill
            upstream.
    """

    name: str
    phase: Phase
    availability_zone: str
    version: str
    running: int
    reason: str
    score: float | None


@attrs.frozen
class Explanation:
    """What the coordinator would decide on a request, and why.

    Attributes:
        headroom: What its client account may still use.
        estimate: The expected wait.
        candidates: The upstreams of the service, the best first.
        decision: The decision; None if the request would be queued.
    """

    headroom: Headroom
    estimate: WaitEstimate
    candidates: tuple[Candidate, ...]
    decision: Decision | None


def explain(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> Explanation:
    """Return what would be decided on a new request, and why.

    The state is not changed, and the request is neither charged nor queued.
    """
    view = copy_state(scheduler)
    headroom = _headroom(view, request, now)
    found = _candidates(view, request, now)
    waiting = describe_request(view, request, now)
    estimate = estimate_wait(view, waiting, now)
    decisions = request_placement(copy_state(scheduler), request, now)
    own = (one for one in decisions if one.request.key == request.key)
    return Explanation(headroom, estimate, found, next(own, None))


def copy_state(scheduler: SchedulerState) -> SchedulerState:
    """Return a copy of the state on which a request can be decided.

    It shares what a decision only reads: the placements themselves, measured
    performance, the starts of streams.
    """
    loads = {
        name: attrs.evolve(
            load,
            running=dict(load.running),
            prefill_work_ms=dict(load.prefill_work_ms),
            send_times=deque(load.send_times),
        )
        for name, load in scheduler.loads.items()
    }
    fairness = scheduler.fairness
    return attrs.evolve(
        scheduler,
        loads=loads,
        placements=dict(scheduler.placements),
        queue=[attrs.evolve(waiting) for waiting in scheduler.queue],
        unbound=dict(scheduler.unbound),
        accounts=deepcopy(scheduler.accounts),
        retry_budgets=deepcopy(scheduler.retry_budgets),
        crash_history=deepcopy(scheduler.crash_history),
        workloads=deepcopy(scheduler.workloads),
        grant_rates=deepcopy(scheduler.grant_rates),
        rate_limits=deepcopy(scheduler.rate_limits),
        pauses=deepcopy(scheduler.pauses),
        event_sizes=dict(scheduler.event_sizes),
        limit_changes=list(scheduler.limit_changes),
        fairness=deepcopy(fairness) if is_weighted(scheduler) else fairness,
        transfers=deepcopy(scheduler.transfers),
        rollouts=deepcopy(scheduler.rollouts),
    )


def _headroom(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> Headroom:
    name = request.client_account
    admitted_at = rate_limited_until(scheduler, request, now)
    size = accounts.size_of(scheduler.accounts, name)
    return Headroom(
        name,
        request.cost_tokens,
        size is not None,
        accounts.level(scheduler.accounts, name),
        size.rate if size else 0,
        size.burst if size else 0,
        now if admitted_at is None else admitted_at,
    )


def _candidates(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> tuple[Candidate, ...]:
    phases = (
        (Phase.prefill, Phase.decode)
        if request.prompt_tokens
        else (Phase.plain,)
    )
    # A roll-out narrows a request to each version that it may use, in order.
    allowed = narrow(scheduler, request, now)
    found: list[Candidate] = []
    for phase in phases:
        pool = [
            load
            for load in scheduler.loads.values()
            if is_in_pool(load, request.service, phase)
        ]
        described = _describe_pool(scheduler, request, allowed, pool, now)
        found.extend(sorted(described, key=_order))
    return tuple(found)


def _describe_pool(
    scheduler: SchedulerState,
    request: PlacementRequest,
    allowed: list[PlacementRequest],
    pool: list[Load],
    now: float,
) -> list[Candidate]:
    reasons = {
        load.upstream.name: _first_reason(
            scheduler, request, allowed, load, now
        )
        for load in pool
    }
    _exclude_suspended(pool, reasons, now)
    free = [load for load in pool if not reasons[load.upstream.name]]
    pool_ms = candidates_pace_ms(scheduler, free)
    scores = {
        load.upstream.name: _score(scheduler, request, load, pool_ms, now)
        for load in free
    }
    return [
        _candidate(
            load,
            reasons[load.upstream.name],
            scores.get(load.upstream.name),
        )
        for load in pool
    ]


def _exclude_suspended(
    pool: list[Load], reasons: dict[str, str], now: float
) -> None:
    """Exclude suspended upstreams; without others they are candidates."""
    possible = [
        load for load in pool if not _is_barred(reasons[load.upstream.name])
    ]
    suspended = [one for one in possible if one.suspended_until > now]
    if len(suspended) < len(possible):
        names = [one.upstream.name for one in suspended]
        reasons.update(dict.fromkeys(names, 'suspended after failures'))


def _candidate(load: Load, reason: str, score: float | None) -> Candidate:
    upstream = load.upstream
    return Candidate(
        upstream.name,
        upstream.phase,
        upstream.availability_zone,
        upstream.version,
        len(load.running),
        reason,
        score,
    )


def _is_barred(reason: str) -> bool:
    return reason not in BUSY_REASONS


def _first_reason(
    scheduler: SchedulerState,
    request: PlacementRequest,
    allowed: list[PlacementRequest],
    load: Load,
    now: float,
) -> str:
    reasons = [ineligible_reason(scheduler, one, load, now) for one in allowed]
    if not allowed:
        return 'version not in use'
    if all(reasons):
        plain_reason = ineligible_reason(scheduler, request, load, now)
        return plain_reason or 'version not in use'
    if pause_end(scheduler, request, load) > now:
        return 'paused for the instance'
    return limit_reason(scheduler, request, load, now) or _capacity_reason(
        scheduler, request, load, now
    )


def _capacity_reason(
    scheduler: SchedulerState,
    request: PlacementRequest,
    load: Load,
    now: float,
) -> str:
    if load.upstream.phase is Phase.prefill:
        return backlog_reason(scheduler, request, load)
    full = slots_reason(scheduler, load)
    if full or load.upstream.phase is Phase.plain:
        return full
    peak = forecast_peak(scheduler, load, request, now)
    return memory_reason(scheduler, load, peak)


def _score(
    scheduler: SchedulerState,
    request: PlacementRequest,
    load: Load,
    pool_ms: float,
    now: float,
) -> float:
    if load.upstream.phase is Phase.plain:
        return plain_choice_score(scheduler, request, load)
    if load.upstream.phase is Phase.prefill:
        return prefill_choice_score(scheduler, request, load, now)
    peak = forecast_peak(scheduler, load, request, now)
    return decode_choice_score(scheduler, load, peak, pool_ms)


def _order(candidate: Candidate) -> tuple[bool, float, str]:
    score = candidate.score
    return (score is None, score or 0, candidate.name)
