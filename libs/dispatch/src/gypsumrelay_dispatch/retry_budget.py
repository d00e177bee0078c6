"""Fleet-wide retry budgets of the services."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gypsumrelay_dispatch.models import Need


@attrs.frozen
class RepeatLimit:
    """Retries allowed per window: `ratio` of first sends plus `slack`."""

    window_seconds: float
    ratio: float
    slack: float


@attrs.define
class RepeatBudget:
    """Instants of a service's first sends and retries within the window."""

    firsts: deque[float] = attrs.field(factory=deque)
    repeats: deque[float] = attrs.field(factory=deque)


def count_first(budget: RepeatBudget, now: float) -> None:
    """Count the first send of a request."""
    budget.firsts.append(now)


def repeats_of(need: Need) -> int:
    """Return how many retries an attempt counts as.

    An attempt whose prompt is prefilled again takes two sends, one for
    prefill and one for decode.
    """
    return 2 if need.reread else 1


def add_repeats(budget: RepeatBudget, count: int, now: float) -> None:
    """Count retries that were sent."""
    budget.repeats.extend(now for _ in range(count))


def take_repeats(
    budget: RepeatBudget,
    limit: RepeatLimit,
    count: int,
    now: float,
) -> bool:
    """Take retries from the budget; False if it has too few."""
    if allowance(budget, limit, now) < count:
        return False
    add_repeats(budget, count, now)
    return True


def allowance(
    budget: RepeatBudget,
    limit: RepeatLimit,
    now: float,
) -> float:
    """Return how many retries the budget has left."""
    start = now - limit.window_seconds
    for times in (budget.firsts, budget.repeats):
        while times and times[0] < start:
            times.popleft()
    allowed = limit.slack + limit.ratio * len(budget.firsts)
    return allowed - len(budget.repeats)
