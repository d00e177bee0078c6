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
class RetryBudget:
    """Instants of a service's first sends and retries within the window."""

    first_sends: deque[float] = attrs.field(factory=deque)
    retries: deque[float] = attrs.field(factory=deque)


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
