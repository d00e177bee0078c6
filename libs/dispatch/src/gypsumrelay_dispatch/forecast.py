"""Forecast of the memory that an engine's requests will take."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

# Weight of the caller's hint against the usual length, as exponents: hints
# are off by a factor of about 1.6, lengths by a factor of about 2.
HINT_WEIGHT: Final = 0.66
# Usual length as a part of the most tokens that a request may generate.
USUAL_SHARE: Final = 0.35
# A request that has outlived its expected length goes on for about this
# part of what it has generated.
OVERTIME_SHARE: Final = 0.5


@attrs.frozen
class Growth:
    """Memory of one request: held now, and still to be generated."""

    held: float
    remaining: float


def expected_output(hint: int, most: int) -> int:
    """Return the number of tokens that a request will probably generate.

    Args:
        hint: What the caller expects; 0 where it does not say.
        most: The most tokens that the request may generate.
    """
    usual = most * USUAL_SHARE
    if not hint:
        return int(usual)
    blended = hint**HINT_WEIGHT * usual ** (1 - HINT_WEIGHT)
    return int(min(most, blended))


def cost(prompt: int, expected: int) -> float:
    """Return a request's memory multiplied by its time, both in tokens."""
    return (prompt + expected / 2) * expected


def growth(
    prompt: int,
    expected: int,
    most: int,
    generated: float,
) -> Growth:
    """Return the forecast of a request that has generated some tokens."""
    generated = min(generated, most)
    remaining = expected - generated
    if remaining < generated * OVERTIME_SHARE:
        remaining = min(generated * OVERTIME_SHARE, most - generated)
    return Growth(prompt + generated, max(0, remaining))


def peak(requests: Iterable[Growth]) -> float:
    """Return the most memory that requests will hold at once.

    All generate at the same pace, so the peak comes just before one ends.
    """
    highest: float = 0
    held: float = 0
    ending = sorted(requests, key=_remaining, reverse=True)
    for count, request in enumerate(ending, start=1):
        held += request.held
        highest = max(highest, held + count * request.remaining)
    return highest


def _remaining(request: Growth) -> float:
    return request.remaining
