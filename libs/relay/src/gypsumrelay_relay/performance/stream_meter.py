"""Measurement of the pace of a stream."""

from __future__ import annotations

from typing import Final

import attrs
from gypsumrelay_dispatch import UNMEASURED, StreamPace

MS_PER_SECOND: Final = 1000
# Part of a stream's time for which a slow caller may have blocked the relay.
# Beyond it the arrival of events shows the caller's pace and not the
# upstream's.
MAX_BLOCKED_SHARE: Final = 0.1


@attrs.define
class StreamMeter:
    """Counts the events after the first ones, and the time that they took.

    Attributes:
        first_at: Arrival of the first events; 0 before.
        last_at: Arrival of the newest events.
        events: Number of events after the first ones.
        blocked_seconds: Time for which the caller took no events.
    """

    first_at: float = 0
    last_at: float = 0
    events: int = 0
    blocked_seconds: float = 0

    def count(self, events: int, now: float) -> None:
        """Count events that arrived now."""
        if self.first_at:
            self.events += events
        else:
            self.first_at = now
        self.last_at = now

    def resume(self, now: float) -> None:
        """Add the time that it took to pass the newest events on."""
        self.blocked_seconds += now - self.last_at

    def pace(self) -> StreamPace:
        """Return the measured pace; unmeasured where the caller was slow."""
        seconds = self.last_at - self.first_at
        is_slow = self.blocked_seconds > seconds * MAX_BLOCKED_SHARE
        if not self.events or is_slow:
            return UNMEASURED
        return StreamPace(self.events, int(seconds * MS_PER_SECOND))
