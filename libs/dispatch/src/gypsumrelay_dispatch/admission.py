"""Admission control and rejections with their retry times."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gypsumrelay_errors import Overloaded, RateExceeded

from gypsumrelay_dispatch import accounts, fair_queueing, retry_budget
from gypsumrelay_dispatch.crashes import quarantine_failure
from gypsumrelay_dispatch.grant_rate import seconds_per_grant
from gypsumrelay_dispatch.models import (
    PlacementRequest,
    Rejection,
    RejectionDetails,
)

if TYPE_CHECKING:
    from gypsumrelay_errors import Failure
    from gypsumrelay_settings import DispatchSettings

    from gypsumrelay_dispatch.scheduler_state import SchedulerState

# Usable part of the overdraft; the rest covers a change of the coordinator,
# after which all buckets are full again.
USABLE_OVERDRAFT_SHARE: Final = 0.5
# Cost up to which a request counts as cheap, as a part of the usable
# overdraft.
CHEAP_REQUEST_SHARE: Final = 0.02
# Part of the usable overdraft reserved for cheap requests; larger than the
# largest request, since a single request may exceed the overdraft.
CHEAP_RESERVE_SHARE: Final = 0.3
# Bounds of the retry time in seconds; an earlier retry would meet the same
# queue.
MIN_RETRY_SECONDS: Final = 0.2
MAX_RETRY_SECONDS: Final = 4.0
# Retry time in seconds where there is no estimate.
DEFAULT_RETRY_SECONDS: Final = 1.0


def check_limits(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> Rejection | None:
    """Charge a request, or reject it by content, retry budget or account."""
    quarantined = quarantine_failure(scheduler, request, now)
    if quarantined is not None:
        return build_rejection(scheduler, request, quarantined)
    if request.attempt > 1:
        budget = scheduler.retry_budget(request.service)
        count = retry_budget.retry_count(request)
        if retry_budget.spend_retries(
            budget, scheduler.retry_limit, count, now
        ):
            return None
        exhausted = Overloaded(
            'the retry budget is used up',
            retry_at=now + DEFAULT_RETRY_SECONDS,
        )
        return build_rejection(scheduler, request, exhausted)
    retry_at = rate_limited_until(scheduler, request, now)
    if retry_at is not None:
        fair_queueing.note_rate_exceeded(scheduler, request, retry_at)
        sentence = 'the rate is used up for now'
        return build_rejection(
            scheduler, request, RateExceeded(sentence, retry_at=retry_at)
        )
    accounts.charge(
        scheduler.accounts, request.client_account, request.cost_tokens
    )
    return None


def rate_limited_until(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> float | None:
    """Return when the account admits a request; None if it does now."""
    return accounts.retry_after(
        scheduler.accounts,
        request.client_account,
        _overdraft(scheduler.settings, request.cost_tokens),
        now,
    )


def build_rejection(
    scheduler: SchedulerState, request: PlacementRequest, failure: Failure
) -> Rejection:
    """Return a rejection with its details."""
    waiting = [
        other
        for other in scheduler.queue
        if other.request.service == request.service
        and other.request.key != request.key
    ]
    details = RejectionDetails(
        len(waiting),
        seconds_per_grant(scheduler.grant_rate(request.service)) or 0,
        accounts.level(scheduler.accounts, request.client_account),
        scheduler.list_position,
        fair_queueing.rejection_count(scheduler, request),
    )
    return Rejection(request, failure, details)


def reject_overloaded(
    scheduler: SchedulerState,
    request: PlacementRequest,
    wait: float,
    limited_until: float,
    now: float,
) -> Rejection:
    """Reject a request that would wait too long, with a retry time.

    Args:
        scheduler: The coordinator's state.
        request: The placement request.
        wait: Estimated wait in seconds.
        limited_until: Instant before which the rate limits of the upstreams,
            or pauses that they asked for, do not admit the request.
        now: The present instant.
    """
    refund_charge(scheduler, request)
    if fair_queueing.is_weighted(scheduler):
        retry_at = fair_queueing.promise_retry(
            scheduler, request, max(now + wait, limited_until), now
        )
    else:
        retry_at = now + min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))
    sentence = 'no place comes free in time'
    if limited_until > retry_at:
        sentence = 'the upstreams take no more requests for now'
    failure = Overloaded(sentence, retry_at=max(retry_at, limited_until))
    return build_rejection(scheduler, request, failure)


def refund_charge(scheduler: SchedulerState, request: PlacementRequest) -> None:
    """Refund the charge of a first attempt that no upstream ran."""
    if request.attempt == 1:
        accounts.refund(
            scheduler.accounts, request.client_account, request.cost_tokens
        )


def refund_attempt(
    scheduler: SchedulerState, request: PlacementRequest
) -> None:
    """Refund what a granted attempt was charged that was not sent."""
    refund_charge(scheduler, request)
    budget = scheduler.retry_budget(request.service)
    retry_budget.uncount_send(budget, request)


def _overdraft(settings: DispatchSettings, cost_tokens: int) -> float:
    """Return the tokens by which a request may overdraw its account.

    A part is reserved for cheap requests; otherwise a few long prompts would
    cause the rejection of all plain requests of their account.
    """
    overdraft = settings.overdraft_tokens * USABLE_OVERDRAFT_SHARE
    if cost_tokens <= overdraft * CHEAP_REQUEST_SHARE:
        return overdraft
    return overdraft * (1 - CHEAP_RESERVE_SHARE)
