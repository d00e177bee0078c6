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
DEFAULT_OUTPUT_SHARE: Final = 0.35
# Remaining output of a request beyond its expected length, as a part of what
# it has generated.
OVERRUN_SHARE: Final = 0.5


@attrs.frozen
class MemoryForecast:
    """Memory of a request in tokens: used now, and still to be generated."""

    used_tokens: float
    remaining_tokens: float


def expected_output_tokens(hint: int, output_limit: int) -> int:
    """Return the expected number of generated tokens.

    Args:
        hint: Number that the caller expects; 0 where unknown.
        output_limit: Maximum number of tokens that the request may generate.
    """
    default_length = output_limit * DEFAULT_OUTPUT_SHARE
    if not hint:
        return int(default_length)
    combined = hint**HINT_WEIGHT * default_length ** (1 - HINT_WEIGHT)
    return int(min(output_limit, combined))


def request_cost(prompt: int, expected: int) -> float:
    """Return average memory times decode length, in tokens squared."""
    return (prompt + expected / 2) * expected


def forecast_memory(
    prompt: int,
    expected: int,
    output_limit: int,
    generated: float,
) -> MemoryForecast:
    """Return the memory forecast of a request after `generated` tokens."""
    generated = min(generated, output_limit)
    remaining = expected - generated
    if remaining < generated * OVERRUN_SHARE:
        remaining = min(generated * OVERRUN_SHARE, output_limit - generated)
    return MemoryForecast(prompt + generated, max(0, remaining))


def peak_tokens(requests: Iterable[MemoryForecast]) -> float:
    """Return the peak memory of concurrent requests in tokens.

    All requests generate at the same rate, so that the peak is just before
    the end of one of them.
    """
    highest: float = 0
    used: float = 0
    ending = sorted(requests, key=_remaining, reverse=True)
    for count, request in enumerate(ending, start=1):
        used += request.used_tokens
        highest = max(highest, used + count * request.remaining_tokens)
    return highest


def _remaining(request: MemoryForecast) -> float:
    return request.remaining_tokens
