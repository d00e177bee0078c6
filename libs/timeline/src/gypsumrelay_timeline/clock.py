"""Hybrid logical clock: wall time that also preserves causal order."""

from __future__ import annotations

from typing import Final

import attrs

# Clocks of instances are synchronized to well below a second. A timestamp
# further ahead comes from a faulty clock; merging it would also move the
# clocks of all other processes ahead.
MAX_DRIFT_MS: Final = 60_000


@attrs.frozen(order=True)
class Stamp:
    """Timestamp of a hybrid logical clock, ordered by its fields.

    Attributes:
        wall_ms: Wall time in milliseconds since the epoch.
        counter: Orders events with the same wall time.
    """

    wall_ms: int = 0
    counter: int = 0


@attrs.frozen
class HybridClock:
    """Immutable state of a process's hybrid logical clock.

    `tick` and `merge` return the next state, whose `stamp` is the timestamp
    of the local event or received message.

    Attributes:
        stamp: Newest timestamp that the process issued or received.
    """

    stamp: Stamp = attrs.field(factory=Stamp)

    def tick(self, wall_ms: int) -> HybridClock:
        """Return the clock advanced for a local event."""
        if wall_ms > self.stamp.wall_ms:
            return HybridClock(Stamp(wall_ms))
        return HybridClock(_next_stamp(self.stamp))

    def merge(self, remote: Stamp, wall_ms: int) -> HybridClock:
        """Return the clock advanced for a message from another process.

        A timestamp more than `MAX_DRIFT_MS` ahead of the local wall clock is
        ignored, so that a faulty remote clock moves this clock by at most
        `MAX_DRIFT_MS`.
        """
        if remote.wall_ms > wall_ms + MAX_DRIFT_MS:
            return self.tick(wall_ms)
        newest = max(self.stamp, remote)
        if wall_ms > newest.wall_ms:
            return HybridClock(Stamp(wall_ms))
        return HybridClock(_next_stamp(newest))


def _next_stamp(stamp: Stamp) -> Stamp:
    return Stamp(stamp.wall_ms, stamp.counter + 1)
