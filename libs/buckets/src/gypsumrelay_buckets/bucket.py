"""Token bucket with the refundable amounts of open reservations."""

from __future__ import annotations

import math
from typing import Final

import attrs

# Tokens. A level that is refilled to a whole number in floating-point steps
# ends slightly below it. Rounding up leaves the difference in the level as a
# debt, so repeated rounding does not create tokens.
ROUNDING_TOKENS: Final = 1e-6


@attrs.frozen
class BucketSize:
    """Rate and burst of a bucket.

    Attributes:
        rate: Refill in tokens per second.
        burst: Capacity in tokens.
    """

    rate: float
    burst: float


@attrs.define
class Bucket:
    """Level and refundable amounts; their sum never exceeds the burst.

    Attributes:
        size: Rate and burst.
        refilled_at: Time in seconds up to which the refill is included in
            the level. A time in the future delays the refill.
        level: Available tokens.
        refundable: Tokens that each unsettled reservation can refund, by
            reservation id, oldest first.
        refundable_total: Sum of `refundable`.
    """

    size: BucketSize
    refilled_at: float
    level: float = 0
    refundable: dict[str, float] = attrs.field(factory=dict)
    refundable_total: float = 0


def refill(bucket: Bucket, now: float) -> None:
    """Add the refill since the last call to the level."""
    elapsed = now - bucket.refilled_at
    if elapsed <= 0:
        return
    bucket.refilled_at = now
    bucket.level += bucket.size.rate * elapsed
    _enforce_burst(bucket)


def resize(bucket: Bucket, size: BucketSize, now: float) -> None:
    """Change rate and burst.

    A larger burst is filled at the new rate, not at once.
    """
    refill(bucket, now)
    bucket.size = size
    _enforce_burst(bucket)


def available_tokens(bucket: Bucket) -> int:
    """Return the available tokens, rounded down."""
    return max(0, math.floor(bucket.level + ROUNDING_TOKENS))


def reserve(bucket: Bucket, reservation_id: str, tokens: int) -> None:
    """Move tokens from the level to a reservation's refundable amount."""
    bucket.level -= tokens
    bucket.refundable[reservation_id] = tokens
    bucket.refundable_total += tokens


def refund(bucket: Bucket, reservation_id: str, unused: int) -> None:
    """Close a reservation and refund its unused tokens.

    At most the refundable amount is refunded; the refill may have replaced
    the rest.
    """
    amount = bucket.refundable.pop(reservation_id, 0)
    bucket.level += min(unused, amount)
    _reduce_total(bucket, amount)


def available_at(bucket: Bucket, tokens: int, now: float) -> float | None:
    """Return the time at which the level reaches an amount, or None if never.

    Times are in seconds.
    """
    missing = tokens - bucket.level
    if missing <= 0:
        return now
    if tokens > bucket.size.burst or bucket.size.rate <= 0:
        return None
    return max(now, bucket.refilled_at) + missing / bucket.size.rate


def _enforce_burst(bucket: Bucket) -> None:
    bucket.level = min(bucket.level, bucket.size.burst)
    excess = bucket.level + bucket.refundable_total - bucket.size.burst
    while excess > 0 and bucket.refundable:
        oldest = next(iter(bucket.refundable))
        reduction = min(excess, bucket.refundable[oldest])
        excess -= reduction
        bucket.refundable[oldest] -= reduction
        _reduce_total(bucket, reduction)
        if bucket.refundable[oldest] <= 0:
            bucket.refundable.pop(oldest)


def _reduce_total(bucket: Bucket, amount: float) -> None:
    bucket.refundable_total -= amount
    if not bucket.refundable:
        # Resets the rounding error of the floating-point subtractions.
        bucket.refundable_total = 0
