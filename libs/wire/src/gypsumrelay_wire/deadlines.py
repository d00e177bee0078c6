"""Deadlines on the wire: remaining time out, an instant in."""

from __future__ import annotations

from typing import Final

# Time a message may spend in buffers before it is read; subtracted on
# arrival so that the receiver gives up no later than the sender.
AGE_ALLOWANCE_SECONDS: Final = 0.02
MS_PER_SECOND: Final = 1000


def to_remaining_ms(deadline: float, now: float) -> int:
    """Return the time left until a deadline, never negative."""
    return max(0, int((deadline - now) * MS_PER_SECOND))


def to_deadline(remaining_ms: int, now: float) -> float:
    """Return the instant of a deadline that came with a message."""
    return now + max(0, remaining_ms) / MS_PER_SECOND - AGE_ALLOWANCE_SECONDS


def to_retry_at(retry_ms: int, now: float) -> float | None:
    """Return the instant to try again, or None where none is given."""
    return now + retry_ms / MS_PER_SECOND if retry_ms > 0 else None


def to_retry_ms(retry_at: float | None, now: float) -> int:
    """Return the time until an instant to try again, 0 for none."""
    if retry_at is None:
        return 0
    return max(1, int((retry_at - now) * MS_PER_SECOND))
