"""Convert deadlines between local instants and remaining times in messages.

Instants are in seconds on the local monotonic clock, which differs between
machines; messages therefore carry the remaining time in milliseconds.
"""

from __future__ import annotations

from typing import Final

# Maximum time in seconds that a message spends in buffers; subtracted on
# receipt, so that the receiver times out no later than the sender.
BUFFERING_ALLOWANCE_SECONDS: Final = 0.02
MS_PER_SECOND: Final = 1000


def to_remaining_ms(deadline: float, now: float) -> int:
    """Return the milliseconds until a deadline, at least 0."""
    return max(0, int((deadline - now) * MS_PER_SECOND))


def to_deadline(remaining_ms: int, now: float) -> float:
    """Return the deadline for the remaining time in a received message."""
    return (
        now + max(0, remaining_ms) / MS_PER_SECOND - BUFFERING_ALLOWANCE_SECONDS
    )


def to_retry_at(retry_ms: int, now: float) -> float | None:
    """Return the instant of the next retry, or None if retry_ms is not set."""
    return now + retry_ms / MS_PER_SECOND if retry_ms > 0 else None


def to_retry_ms(retry_at: float | None, now: float) -> int:
    """Return the milliseconds until the next retry, or 0 for None."""
    if retry_at is None:
        return 0
    return max(1, int((retry_at - now) * MS_PER_SECOND))
