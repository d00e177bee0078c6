"""Forecast of the KV cache memory of an engine's requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

# Weight of the caller's hint against the default length in their geometric
# mean: hints are off by a factor of about 1.6, default lengths by about 2.
HINT_WEIGHT: Final = 0.66
# Default output length as a part of the maximum.
USUAL_SHARE: Final = 0.35
# Remaining output of a request beyond its expected length, as a part of what
# it has generated.
OVERTIME_SHARE: Final = 0.5


@attrs.frozen
class Growth:
    """Memory of a request in tokens: used now, and still to be generated."""

    held: float
    remaining: float


def expected_output(hint: int, most: int) -> int:
    """Return the expected number of generated tokens.

    Args:
        hint: Number that the caller expects; 0 where unknown.
        most: Maximum number of tokens that the request may generate.
    """
    usual = most * USUAL_SHARE
    if not hint:
        return int(usual)
    blended = hint**HINT_WEIGHT * usual ** (1 - HINT_WEIGHT)
    return int(min(most, blended))


def cost(prompt: int, expected: int) -> float:
    """Return average memory times decode length, in tokens squared."""
    return (prompt + expected / 2) * expected


def growth(
    prompt: int,
    expected: int,
    most: int,
    generated: float,
) -> Growth:
    """Return the memory forecast of a request after `generated` tokens."""
    generated = min(generated, most)
    remaining = expected - generated
    if remaining < generated * OVERTIME_SHARE:
        remaining = min(generated * OVERTIME_SHARE, most - generated)
    return Growth(prompt + generated, max(0, remaining))


def peak(requests: Iterable[Growth]) -> float:
    """Return the peak memory of concurrent requests in tokens.

    All requests generate at the same rate, so that the peak is just before
    the end of one of them.
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
