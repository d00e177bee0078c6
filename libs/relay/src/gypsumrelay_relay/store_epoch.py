"""Positions in the store's topics, ordered over restores of the store.

A restore starts a new epoch, in which the store gives out offsets again. A
position is the pair of epoch and offset, packed into one integer, so that later
positions are greater.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Final

import attrs

OFFSET_BITS: Final = 36
# A packed position fits exactly into a floating-point number, as which an
# upstream may read a fencing token.
MAX_EPOCH: Final = 131_071
MAX_OFFSET: Final = 68_719_476_735


def position_at(epoch: int, offset: int) -> int:
    """Return the position of an offset in an epoch.

    Raises:
        ValueError: If a part is outside the range of positions.
    """
    if not 0 <= epoch <= MAX_EPOCH or not 0 <= offset <= MAX_OFFSET:
        raise ValueError('epoch or offset out of range')
    return (epoch << OFFSET_BITS) + offset


def epoch_of(position: int) -> int:
    """Return the epoch of a position; -1 before the first read."""
    return position >> OFFSET_BITS if position >= 0 else -1


def offset_of(position: int) -> int:
    """Return the offset of a position; -1 before the first read."""
    return position & MAX_OFFSET if position >= 0 else -1


@attrs.define(eq=False)
class StoreEpoch:
    """The newest epoch of the store that this process has seen.

    Attributes:
        newest: The epoch; negative before the first answer of the store.
        seen_at: Instant at which it was first seen.
        listeners: Called with each new epoch that is not the first one, by the
            thread that reads the answer.
        lock: Guards `newest` and `seen_at`.
    """

    newest: int = -1
    seen_at: float = float('-inf')
    listeners: list[Callable[[int], None]] = attrs.field(factory=list)
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def observe(self, epoch: int, now: float) -> bool:
        """Record the epoch of an answer; return whether it is the newest.

        An answer of an earlier epoch may state what the store no longer has.
        """
        with self.lock:
            previous = self.newest
            if epoch > previous:
                self.newest = epoch
                self.seen_at = now
        if 0 <= previous < epoch:
            for listener in self.listeners:
                listener(epoch)
        return epoch >= previous

    def has_left(self, position: int) -> bool:
        """Return whether a position is of an earlier epoch than the newest."""
        return 0 <= position and epoch_of(position) < self.newest
