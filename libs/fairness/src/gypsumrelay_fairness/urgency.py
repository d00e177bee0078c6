"""Urgency that engines admit and preempt requests by."""

from __future__ import annotations

from typing import Final

# Urgency of a new request of the highest rank; 0 is the most urgent.
HIGHEST_RANK_URGENCY: Final = 2
# Difference between two ranks. A state raises the urgency by no more than
# that, so that no newer request of a lower rank is more urgent than one that
# runs already.
RANK_STEP: Final = 2
# Lowest rank that differs from those above it; all urgencies are below 9.
LOWEST_RANK: Final = 3


def urgency(rank: int, *, has_begun: bool, is_pressing: bool) -> int:
    """Return the urgency of a request; 0 is the most urgent, 9 the least.

    Args:
        rank: Rank of the request; 0 highest.
        has_begun: Whether upstreams have worked on it already.
        is_pressing: Whether it is nearly late or returned after a rejection.
    """
    base = HIGHEST_RANK_URGENCY + RANK_STEP * min(LOWEST_RANK, max(0, rank))
    if has_begun:
        return base - RANK_STEP
    return base - 1 if is_pressing else base
