"""Hybrid logical clock: wall time that also respects cause and effect."""

from __future__ import annotations

from typing import Final

import attrs

# Instances are synchronized to well below a second. A stamp that is further
# ahead comes from a faulty clock and would push every other clock with it.
MAX_DRIFT_MS: Final = 60_000


@attrs.frozen(order=True)
class Stamp:
    """One point on the hybrid clock; stamps are ordered by their fields."""

    wall_ms: int = 0
    counter: int = 0


@attrs.frozen
class HybridClock:
    """Newest stamp that a process issued or received.

    Both transitions return the next clock, whose `stamp` belongs to the
    event that caused the transition.
    """

    stamp: Stamp = attrs.field(factory=Stamp)

    def tick(self, wall_ms: int) -> HybridClock:
        """Return the clock after a local event."""
        if wall_ms > self.stamp.wall_ms:
            return HybridClock(Stamp(wall_ms))
        return HybridClock(_after(self.stamp))

    def merge(self, remote: Stamp, wall_ms: int) -> HybridClock:
        """Return the clock after a message with another process's stamp.

        A stamp too far ahead of the local wall clock is ignored, so a faulty
        remote clock moves this one by at most `MAX_DRIFT_MS`.
        """
        if remote.wall_ms > wall_ms + MAX_DRIFT_MS:
            return self.tick(wall_ms)
        newest = max(self.stamp, remote)
        if wall_ms > newest.wall_ms:
            return HybridClock(Stamp(wall_ms))
        return HybridClock(_after(newest))


def _after(stamp: Stamp) -> Stamp:
    return Stamp(stamp.wall_ms, stamp.counter + 1)
