"""Bounded buffer of a process's newest events."""

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
    """Newest events of a process; the oldest give way.

    Any thread may append and read.
    """

    limit: int
    dropped: int = 0
    events: deque[Event] = attrs.field(init=False)
    lock: threading.Lock = attrs.field(factory=threading.Lock, init=False)

    def __attrs_post_init__(self) -> None:
        """Create the buffer at its limit."""
        self.events = deque(maxlen=self.limit)

    def append(self, event: Event) -> None:
        """Add an event; count the one that gives way."""
        with self.lock:
            self.dropped += int(len(self.events) == self.limit)
            self.events.append(event)

    def snapshot(self) -> tuple[Event, ...]:
        """Return the events at this moment, oldest first."""
        with self.lock:
            return tuple(self.events)


@attrs.define(eq=False)
class Recorder:
    """Stamps events of one instance and puts them into its ring.

    Attributes:
        instance: Name that each event carries.
        ring: Where the events go.
        wall_ms: Returns the wall time; given, so that tests control it.
    """

    instance: str
    ring: Ring
    wall_ms: Callable[[], int]
    clock: HybridClock = attrs.field(factory=HybridClock)
    lock: threading.Lock = attrs.field(factory=threading.Lock, init=False)

    def record(self, part: str, name: str, **fields: Any) -> Event:
        """Record an event; `fields` are members of `Event` by name."""
        with self.lock:
            self.clock = self.clock.tick(self.wall_ms())
            event = Event(self.clock.stamp, self.instance, part, name, **fields)
            self.ring.append(event)
        return event

    def stamp(self) -> Stamp:
        """Return a stamp for a message to another process."""
        with self.lock:
            self.clock = self.clock.tick(self.wall_ms())
            return self.clock.stamp

    def observe(self, remote: Stamp) -> None:
        """Take note of the stamp of a message from another process."""
        with self.lock:
            self.clock = self.clock.merge(remote, self.wall_ms())
