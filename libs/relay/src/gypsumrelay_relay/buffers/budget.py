"""Decisions on the memory for bodies of requests and for unsent answers."""

from __future__ import annotations

import enum
import math
from typing import Final

import attrs

BYTES_PER_MB: Final = 1_000_000
# Memory in MB of a relay with all its worker threads and links, without bodies
# and answers; docs/design/buffers.md has the measurement.
BASE_MB: Final = 80
# Part of the rest that the budget takes; buffers of sockets' pieces and the
# allocator's gaps take the other part.
BUDGET_SHARE: Final = 0.75
# Minimum part of the whole memory for the budget.
MIN_SHARE: Final = 0.125
# Maximum part of the budget for either kind, so that neither slow readers nor
# large bodies take all of it.
KIND_SHARE: Final = 0.75
# Bytes of an answer that are always held, so that short answers never wait.
MIN_ANSWER_BYTES: Final = 16_384
# Bytes of a body that always fits; the bytes of a read.
MIN_BODY_BYTES: Final = 8192
# Unsent bytes of an answer beyond which its sender waits if the memory of the
# instance is unknown.
UNKNOWN_ANSWER_BYTES: Final = 1_048_576
# Time in seconds without rejections and waits after which the budget counts as
# free again.
QUIET_SECONDS: Final = 2.0
# Time in seconds over which the rate of freed bytes is averaged.
RATE_SECONDS: Final = 2.0
# Bounds in seconds of the time to retry of a rejected request.
MIN_RETRY_SECONDS: Final = 0.1
MAX_RETRY_SECONDS: Final = 2.0


class Kind(enum.Enum):
    """What memory is held for."""

    bodies = 'bodies'
    answers = 'answers'


class Change(enum.Enum):
    """A change of the budget's state."""

    exhausted = 'exhausted'
    free = 'free'


@attrs.define
class Budget:
    """Memory that bodies and answers share.

    Attributes:
        limit_bytes: Size of the budget; infinite if the instance's memory is
            unknown.
        held: Bytes that are held, by kind.
        preferred: The answer that is read though it exceeds its share; None
            if there is none.
        is_exhausted: Whether the exhaustion was reported last.
        pressed_until: Instant until which the budget counts as exhausted.
        freed_per_second: Average of the freed bytes per second.
        averaged_at: Instant of the last change of the average.
    """

    limit_bytes: float
    held: dict[Kind, int] = attrs.field(factory=lambda: dict.fromkeys(Kind, 0))
    preferred: object = None
    is_exhausted: bool = False
    pressed_until: float = -math.inf
    freed_per_second: float = 0
    averaged_at: float = 0

    @property
    def is_limited(self) -> bool:
        """Return whether the memory of the instance is known."""
        return math.isfinite(self.limit_bytes)


def new_budget(memory_mb: float) -> Budget:
    """Return the budget of an instance.

    Args:
        memory_mb: Memory of the instance in MB; 0 if unknown.
    """
    if not memory_mb:
        return Budget(math.inf)
    share = max(memory_mb * MIN_SHARE, (memory_mb - BASE_MB) * BUDGET_SHARE)
    return Budget(share * BYTES_PER_MB)


def available_bytes(budget: Budget, kind: Kind) -> float:
    """Return the bytes that are left for a kind; negative beyond the limit."""
    if not budget.is_limited:
        return math.inf
    left = budget.limit_bytes - sum(budget.held.values())
    return min(left, budget.limit_bytes * KIND_SHARE - budget.held[kind])


def fits_body(budget: Budget, held: int, size: int) -> bool:
    """Return whether the body of a request may grow.

    Args:
        budget: The budget.
        held: Bytes that the body holds.
        size: Bytes that it is to hold.
    """
    if size <= MIN_BODY_BYTES:
        return True
    return size - held <= available_bytes(budget, Kind.bodies)


def may_grow(budget: Budget, held: int) -> bool:
    """Return whether more of an answer may be read that is passed on.

    An answer may hold as much as is left (dynamic thresholds, as in switches
    with shared memory), so that the largest ones wait first: one takes at
    most half, and n of them leave one part of n + 1 for others.

    Args:
        budget: The budget.
        held: Bytes that the answer holds.
    """
    if not budget.is_limited:
        return held <= UNKNOWN_ANSWER_BYTES
    left = available_bytes(budget, Kind.answers)
    return held <= max(MIN_ANSWER_BYTES, left)


def may_read(budget: Budget, reader: object, held: int, size: int) -> bool:
    """Return whether more may be read of an answer that is read as a whole.

    Answers that are partly read could all wait for one another, so that one
    at a time is read beyond its share.

    Args:
        budget: The budget.
        reader: Identifies the answer.
        held: Bytes that its connection holds.
        size: Bytes to add.
    """
    if not budget.is_limited or budget.preferred is reader:
        return True
    left = available_bytes(budget, Kind.answers)
    if held + size <= max(MIN_ANSWER_BYTES, left):
        return True
    if budget.preferred is None:
        budget.preferred = reader
    return budget.preferred is reader


def end_read(budget: Budget, reader: object) -> None:
    """Note that an answer is read, or is no longer."""
    if budget.preferred is reader:
        budget.preferred = None


def change_held(
    budget: Budget, kind: Kind, difference: int, now: float
) -> None:
    """Count bytes that are held or, if negative, freed."""
    budget.held[kind] += difference
    elapsed = max(0, now - budget.averaged_at)
    budget.averaged_at = now
    budget.freed_per_second *= math.exp(-elapsed / RATE_SECONDS)
    budget.freed_per_second += max(0, -difference) / RATE_SECONDS


def retry_seconds(budget: Budget, size: int) -> float:
    """Return after how many seconds a body will fit at the present rate."""
    missing = size - available_bytes(budget, Kind.bodies)
    if missing <= 0:
        return MIN_RETRY_SECONDS
    if missing >= budget.freed_per_second * MAX_RETRY_SECONDS:
        return MAX_RETRY_SECONDS
    return max(MIN_RETRY_SECONDS, missing / budget.freed_per_second)


def note_wait(budget: Budget, now: float) -> Change | None:
    """Note that an answer has to wait.

    A single large answer waits while half of the budget is free for others,
    which is no exhaustion.
    """
    if available_bytes(budget, Kind.answers) >= MIN_ANSWER_BYTES:
        return None
    return note_pressure(budget, now)


def note_pressure(budget: Budget, now: float) -> Change | None:
    """Note that a request is rejected or nothing is left for answers."""
    budget.pressed_until = now + QUIET_SECONDS
    if budget.is_exhausted:
        return None
    budget.is_exhausted = True
    return Change.exhausted


def note_quiet(budget: Budget, now: float) -> Change | None:
    """Note the time; return whether the budget has become free."""
    if not budget.is_exhausted or now < budget.pressed_until:
        return None
    budget.is_exhausted = False
    return Change.free
