"""Fleet-wide retry budgets of the services."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gypsumrelay_dispatch.models import PlacementRequest


@attrs.frozen
class RetryLimit:
    """Retries allowed per window: `ratio` of first sends plus `slack`."""

    window_seconds: float
    ratio: float
    slack: float


@attrs.define
class RestoredRetries:
    """Retries of earlier coordinators, as reported by instances.

    Attributes:
        own: Sum of the retries that each instance was granted.
        total: Highest number of retries of all instances that one knew of.
        counted: Retries that were counted for these reports.
        expires_at: Instant from which a report starts a new sum.
    """

    own: int = 0
    total: int = 0
    counted: int = 0
    expires_at: float = float('-inf')


@attrs.define
class RetryBudget:
    """Instants of a service's first sends and retries within the window.

    Attributes:
        first_sends: Instants of first sends.
        retries: Instants of retries.
        restored: Retries of earlier coordinators.
    """

    first_sends: deque[float] = attrs.field(factory=deque)
    retries: deque[float] = attrs.field(factory=deque)
    restored: RestoredRetries = attrs.field(factory=RestoredRetries)


def count_first_send(budget: RetryBudget, now: float) -> None:
    """Count the first send of a request."""
    budget.first_sends.append(now)


def retry_count(request: PlacementRequest) -> int:
    """Return how many retries an attempt counts as.

    An attempt whose prompt is prefilled again takes two sends, one for
    prefill and one for decode.
    """
    return 2 if request.reread else 1


def count_retries(budget: RetryBudget, count: int, now: float) -> None:
    """Count retries that were sent."""
    budget.retries.extend(now for _ in range(count))


def uncount_send(budget: RetryBudget, request: PlacementRequest) -> None:
    """Take back the count of a granted attempt that was not sent."""
    times, count = budget.first_sends, 1
    if request.attempt > 1:
        times, count = budget.retries, retry_count(request)
    for _ in range(min(count, len(times))):
        times.pop()


def restore_retries(
    budget: RetryBudget, own: int, total: int, expires_at: float, now: float
) -> None:
    """Count retries of earlier coordinators that an instance reports.

    The sum of all reports lacks the retries of instances that are gone; the
    total that one of the others knew includes most of them.

    Args:
        budget: The budget.
        own: Retries that the instance was granted.
        total: Retries of all instances, as far as it knows.
        expires_at: Instant from which a report starts a new sum.
        now: The present instant.
    """
    if now >= budget.restored.expires_at:
        budget.restored = RestoredRetries(expires_at=expires_at)
    restored = budget.restored
    restored.own += own
    restored.total = max(restored.total, total)
    missing = max(restored.own, restored.total) - restored.counted
    restored.counted += missing
    count_retries(budget, missing, now)


def spend_retries(
    budget: RetryBudget,
    limit: RetryLimit,
    count: int,
    now: float,
) -> bool:
    """Take retries from the budget; False if it has too few."""
    if remaining_retries(budget, limit, now) < count:
        return False
    count_retries(budget, count, now)
    return True


def remaining_retries(
    budget: RetryBudget,
    limit: RetryLimit,
    now: float,
) -> float:
    """Return how many retries the budget has left."""
    start = now - limit.window_seconds
    for times in (budget.first_sends, budget.retries):
        while times and times[0] < start:
            times.popleft()
    allowed = limit.slack + limit.ratio * len(budget.first_sends)
    return allowed - len(budget.retries)
