"""Budget of repeated sends to a service, over the whole fleet."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gypsumrelay_dispatch.models import Need


@attrs.frozen
class RepeatLimit:
    """How many repeats a service may get within a window."""

    window_seconds: float
    ratio: float
    slack: float


@attrs.define
class RepeatBudget:
    """First sends and repeats of one service within the window."""

    firsts: deque[float] = attrs.field(factory=deque)
    repeats: deque[float] = attrs.field(factory=deque)


def count_first(budget: RepeatBudget, now: float) -> None:
    """Count a request's first send."""
    budget.firsts.append(now)


def repeats_of(need: Need) -> int:
    """Return how many sends of an attempt count as repeats.

    A prompt that is read again arrives twice, to be read and to run.
    """
    return 2 if need.reread else 1


def add_repeats(budget: RepeatBudget, count: int, now: float) -> None:
    """Count repeats that were sent."""
    budget.repeats.extend(now for _ in range(count))


def take_repeats(
    budget: RepeatBudget,
    limit: RepeatLimit,
    count: int,
    now: float,
) -> bool:
    """Take repeats if the budget has all of them."""
    if allowance(budget, limit, now) < count:
        return False
    add_repeats(budget, count, now)
    return True


def allowance(
    budget: RepeatBudget,
    limit: RepeatLimit,
    now: float,
) -> float:
    """Return how many repeats may still be sent now."""
    start = now - limit.window_seconds
    for times in (budget.firsts, budget.repeats):
        while times and times[0] < start:
            times.popleft()
    allowed = limit.slack + limit.ratio * len(budget.firsts)
    return allowed - len(budget.repeats)
