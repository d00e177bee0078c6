"""Cancels requests whose caller disconnected or whose deadline passed."""

from __future__ import annotations

import enum
import threading
from collections.abc import Callable
from typing import Final

import attrs
from gypsumrelay_clock import monotonic
from logbook import Logger

log = Logger('watch')

# Interval in seconds between checks of all open requests; an upstream has to
# stop within 0.5 s after the caller has disconnected.
LOOK_SECONDS: Final = 0.1


class Cause(enum.Enum):
    """Why a request was cancelled.

    Attributes:
        gone: The caller disconnected.
        deadline: The deadline passed.
    """

    gone = 'gone'
    deadline = 'deadline'


@attrs.define(eq=False)
class Guard:
    """Cancels one request.

    Attributes:
        deadline: Instant at which the request is cancelled.
        has_left: Returns whether the caller has disconnected.
        cause: Why the request was cancelled; None if it was not.
        on_cancel: Interrupts the request's current blocking call.
        lock: Guards `cause` and `on_cancel`.
    """

    deadline: float
    has_left: Callable[[], bool]
    cause: Cause | None = None
    on_cancel: Callable[[], None] | None = None
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def cancel(self, cause: Cause) -> None:
        """Cancel the request; later calls have no effect."""
        with self.lock:
            if self.cause is not None:
                return
            self.cause = cause
            interrupt = self.on_cancel
        if interrupt is not None:
            interrupt()

    def interrupt_with(self, interrupt: Callable[[], None] | None) -> None:
        """Set the callback that interrupts the request.

        It is called at once if the request was cancelled before.
        """
        with self.lock:
            self.on_cancel = interrupt
            late = self.cause is not None
        if late and interrupt is not None:
            interrupt()


@attrs.define(eq=False)
class Watch:
    """Checks all open requests in one thread.

    Attributes:
        guards: The guards of the open requests.
        lock: Guards `guards`.
        stopped: Ends the thread.
    """

    guards: set[Guard] = attrs.field(factory=set)
    lock: threading.Lock = attrs.field(factory=threading.Lock)
    stopped: threading.Event = attrs.field(factory=threading.Event)

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self.run, name='watch', daemon=True).start()

    def add(self, guard: Guard) -> None:
        """Add a request."""
        with self.lock:
            self.guards.add(guard)

    def remove(self, guard: Guard) -> None:
        """Remove a request."""
        with self.lock:
            self.guards.discard(guard)

    def count(self) -> int:
        """Return the number of open requests."""
        with self.lock:
            return len(self.guards)

    def run(self) -> None:
        """Check the requests until the process stops."""
        while not self.stopped.wait(LOOK_SECONDS):
            self.look(monotonic())

    def look(self, now: float) -> None:
        """Check all requests once."""
        with self.lock:
            guards = list(self.guards)
        for guard in guards:
            if guard.has_left():
                guard.cancel(Cause.gone)
            elif now >= guard.deadline:
                guard.cancel(Cause.deadline)
