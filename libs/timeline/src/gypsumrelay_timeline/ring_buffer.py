"""Ring buffer of a process's newest events, and the event recorder."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

from gypsumrelay_timeline.clock import HybridClock, Stamp
from gypsumrelay_timeline.events import Event


@attrs.define(eq=False)
class Ring:
    """Thread-safe ring buffer of a process's newest events.

    Attributes:
        limit: Maximum number of events.
        dropped: Number of events that newer ones have overwritten.
        events: The stored events, oldest first.
    """

    limit: int
    dropped: int = 0
    events: deque[Event] = attrs.field(init=False)
    lock: threading.Lock = attrs.field(factory=threading.Lock, init=False)

    def __attrs_post_init__(self) -> None:
        """Create the buffer with its maximum length."""
        self.events = deque(maxlen=self.limit)

    def append(self, event: Event) -> None:
        """Append an event; a full buffer drops its oldest event."""
        with self.lock:
            self.dropped += int(len(self.events) == self.limit)
            self.events.append(event)

    def snapshot(self) -> tuple[Event, ...]:
        """Return a copy of the stored events, oldest first."""
        with self.lock:
            return tuple(self.events)


@attrs.define(eq=False)
class Recorder:
    """Timestamps the events of one instance and stores them.

    Attributes:
        instance: Name of the instance, which each event contains.
        ring: Ring buffer that stores the events.
        wall_ms: Returns the wall time in milliseconds since the epoch; tests
            replace it by a fixed time.
        clock: State of the hybrid logical clock.
    """

    instance: str
    ring: Ring
    wall_ms: Callable[[], int]
    clock: HybridClock = attrs.field(factory=HybridClock)
    lock: threading.Lock = attrs.field(factory=threading.Lock, init=False)

    def record(self, part: str, name: str, **fields: Any) -> Event:
        """Record and return an event.

        Args:
            part: Component of the process.
            name: Name of the event.
            fields: Further attributes of `Event` by name.
        """
        with self.lock:
            self.clock = self.clock.tick(self.wall_ms())
            event = Event(self.clock.stamp, self.instance, part, name, **fields)
            self.ring.append(event)
        return event

    def stamp(self) -> Stamp:
        """Return a new timestamp for a message to another process."""
        with self.lock:
            self.clock = self.clock.tick(self.wall_ms())
            return self.clock.stamp

    def observe(self, remote: Stamp) -> None:
        """Advance the clock past the timestamp of a received message."""
        with self.lock:
            self.clock = self.clock.merge(remote, self.wall_ms())
