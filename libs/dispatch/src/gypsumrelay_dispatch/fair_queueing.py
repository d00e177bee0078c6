"""Connects the scheduler with the decisions on competing callers.

All functions but `is_weighted` apply to the queue policy `weighted` only; with
`strict` they change nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs
import gypsumrelay_fairness as fairness

from gypsumrelay_dispatch import forecast
from gypsumrelay_dispatch.grant_rate import seconds_per_grant

if TYPE_CHECKING:
    from gypsumrelay_fairness import OrderKey

    from gypsumrelay_dispatch.models import PlacementRequest
    from gypsumrelay_dispatch.scheduler_state import (
        QueuedRequest,
        SchedulerState,
    )

WEIGHTED: Final = 'weighted'
# Seconds from placement to first token; a request that is not placed this
# long before its latency objective is late.
FIRST_TOKEN_SECONDS: Final = 0.2
# Urgency of a grant that states none.
NO_URGENCY: Final = -1


def is_weighted(scheduler: SchedulerState) -> bool:
    """Return whether the queue is ordered by what waiting costs callers."""
    return scheduler.settings.queue_policy == WEIGHTED


def recognise_return(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> PlacementRequest:
    """Return a request with the queue time of a returning caller, if it is one.

    A second rejection costs a caller more than a long wait, so that it may
    wait for the full share of the time to its deadline.
    """
    if not is_weighted(scheduler) or request.attempt > 1:
        return request
    state = scheduler.fairness
    known = fairness.claimed_promise(state.ledger, request.request_id)
    promise = fairness.claim_promise(
        state.ledger, request.service, _caller(request), request.request_id, now
    )
    if promise is None:
        return request
    state.counts.returned += known is None
    wait_seconds = (request.deadline - now) * scheduler.settings.queue_share
    wait_until = max(request.wait_until, now + wait_seconds)
    return attrs.evolve(request, wait_until=wait_until)


def describe(scheduler: SchedulerState, queued: QueuedRequest) -> QueuedRequest:
    """Add to a new queued request what the weighted order needs."""
    if not is_weighted(scheduler):
        return queued
    request = queued.request
    cost = _cost(request)
    promise = fairness.claimed_promise(
        scheduler.fairness.ledger, request.request_id
    )
    has_returned = promise is not None and promise.has_capacity
    queued.waiting = _waiting(scheduler, queued, has_returned=has_returned)
    if cost and request.attempt == 1:
        fairness.observe_cost(
            scheduler.fairness.outcomes, request.service, request.priority, cost
        )
    return queued


def weighted_key(
    scheduler: SchedulerState, queued: QueuedRequest, now: float
) -> OrderKey:
    """Return the sort key of a queued request in the weighted order."""
    state = scheduler.fairness
    return fairness.order_key(
        _policy(scheduler),
        state.shares,
        state.outcomes,
        _described(scheduler, queued),
        now,
    )


def reserves_capacity(
    scheduler: SchedulerState, queued: QueuedRequest, now: float
) -> bool:
    """Return whether later prompts leave capacity for a queued one."""
    return fairness.reserves_capacity(
        _policy(scheduler), _described(scheduler, queued), now
    )


def wait_for_returning(
    scheduler: SchedulerState,
    request: PlacementRequest,
    wait: float,
    now: float,
) -> float:
    """Return the seconds that promised callers add to a request's wait.

    These callers are not in the queue yet and are served first when they
    return.

    Args:
        scheduler: The coordinator's state.
        request: The placement request.
        wait: Its wait in seconds without them.
        now: The present instant.
    """
    if not is_weighted(scheduler):
        return 0
    interval = seconds_per_grant(scheduler.grant_rate(request.service)) or 0
    ledger = scheduler.fairness.ledger
    return interval * fairness.due_promises(
        ledger, request.service, request.priority, now + wait
    )


def note_granted(
    scheduler: SchedulerState, queued: QueuedRequest, now: float
) -> int:
    """Count a grant; return the urgency that the upstream gets."""
    if not is_weighted(scheduler):
        return NO_URGENCY
    request = queued.request
    state = scheduler.fairness
    waiting = _described(scheduler, queued)
    if request.attempt == 1 and not request.read:
        fairness.consume(
            state.shares, request.client_account, request.cost_tokens, now
        )
        fairness.observe_outcome(
            state.outcomes, waiting.groups, now, served=True
        )
        state.counts.kept += waiting.has_returned
    if not request.prompt_tokens:
        return NO_URGENCY
    policy = _policy(scheduler)
    is_pressing = fairness.is_nearly_late(policy, waiting, now)
    return fairness.urgency(
        request.priority,
        has_begun=waiting.has_begun,
        is_pressing=is_pressing or waiting.has_returned,
    )


def promise_retry(
    scheduler: SchedulerState,
    request: PlacementRequest,
    earliest: float,
    now: float,
) -> float:
    """Return the retry time of a request without capacity, and keep it.

    Args:
        scheduler: The coordinator's state.
        request: The rejected request.
        earliest: Instant at which capacity is expected to be free for it.
        now: The present instant.
    """
    state = scheduler.fairness
    rejected = _rejected(scheduler, request)
    if request.attempt == 1:
        fairness.observe_outcome(
            state.outcomes, _groups(scheduler, request), now, served=False
        )
    state.counts.promised += 1
    interval_seconds = seconds_per_grant(scheduler.grant_rate(request.service))
    return fairness.promise_retry(
        state.ledger, rejected, earliest, interval_seconds, now
    )


def note_rate_exceeded(
    scheduler: SchedulerState, request: PlacementRequest, retry_at: float
) -> None:
    """Keep the retry time of a request beyond its account's rate.

    Its caller is recognised when it returns. It gets no precedence: its account
    has consumed its contract, and is charged in the order of the arrivals.
    """
    if not is_weighted(scheduler):
        return
    state = scheduler.fairness
    rejected = _rejected(scheduler, request)
    state.counts.promised += 1
    fairness.add_promise(state.ledger, rejected, retry_at, has_capacity=False)


def rejection_count(
    scheduler: SchedulerState, request: PlacementRequest
) -> int:
    """Return how often a caller is rejected, with a rejection now."""
    ledger = scheduler.fairness.ledger
    promise = fairness.claimed_promise(ledger, request.request_id)
    if promise is None:
        return 1
    return promise.rejections + 1


def expire_promises(scheduler: SchedulerState, now: float) -> None:
    """Drop promised retry times whose callers did not return."""
    state = scheduler.fairness
    state.counts.unclaimed += fairness.expire(state.ledger, now)


def fairness_figures(
    scheduler: SchedulerState, now: float
) -> dict[str, dict[str, float]]:
    """Return the shares of accounts and the counts of retry times."""
    rates = {
        name: bucket.size.rate
        for name, bucket in scheduler.accounts.buckets.items()
    }
    state = scheduler.fairness
    shares = fairness.current_shares(state.shares, rates, now)
    return {
        'account_shares': {
            name: round(ratio, 2) for name, ratio in shares.items()
        },
        'retry_times': attrs.asdict(state.counts),
    }


def _policy(scheduler: SchedulerState) -> fairness.OrderPolicy:
    settings = scheduler.settings
    return fairness.OrderPolicy(
        settings.urgent_seconds,
        FIRST_TOKEN_SECONDS,
        settings.cost_delay_seconds,
    )


def _waiting(
    scheduler: SchedulerState, queued: QueuedRequest, *, has_returned: bool
) -> fairness.Waiting:
    request = queued.request
    bucket = scheduler.accounts.buckets.get(request.client_account)
    has_begun = request.read or request.resumed or bool(request.version)
    return fairness.Waiting(
        request.key,
        request.client_account,
        bucket.size.rate if bucket else 0,
        request.priority,
        queued.requested_at,
        request.objective_at,
        _cost(request) / max(1, scheduler.mean_cost),
        has_begun,
        queued.overdrawn,
        has_returned,
        _groups(scheduler, request),
    )


def _described(
    scheduler: SchedulerState, queued: QueuedRequest
) -> fairness.Waiting:
    """Return what the order needs; also if the policy changed meanwhile."""
    if queued.waiting is None:
        describe(scheduler, queued)
    return queued.waiting or _waiting(scheduler, queued, has_returned=False)


def _groups(
    scheduler: SchedulerState, request: PlacementRequest
) -> tuple[fairness.Group, ...]:
    return fairness.groups_of(
        scheduler.fairness.outcomes,
        request.service,
        request.priority,
        request.client_account,
        request.parts[-1] if request.parts else b'',
        _cost(request),
    )


def _cost(request: PlacementRequest) -> float:
    if not request.prompt_tokens:
        return 0
    return forecast.request_cost(request.prompt_tokens, request.expected_tokens)


def _rejected(
    scheduler: SchedulerState, request: PlacementRequest
) -> fairness.Rejected:
    """Return the caller of a rejected request, and count second rejections."""
    rejections = rejection_count(scheduler, request)
    scheduler.fairness.counts.rejected_again += rejections > 1
    return fairness.Rejected(
        request.service,
        _caller(request),
        request.priority,
        request.deadline,
        rejections,
    )


def _caller(request: PlacementRequest) -> tuple[bytes, str]:
    """Return what identifies a caller over its tries, which have new ids."""
    return (request.digest, request.client_account)
