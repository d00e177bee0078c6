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
CHECK_SECONDS: Final = 0.1


class CancelCause(enum.Enum):
    """Why a request was cancelled.

    Attributes:
        gone: The caller disconnected.
        deadline: The deadline passed.
    """

    gone = 'gone'
    deadline = 'deadline'


@attrs.define(eq=False)
class Cancellation:
    """Cancels one request.

    Attributes:
        deadline: Instant at which the request is cancelled.
        has_disconnected: Returns whether the caller has disconnected.
        cause: Why the request was cancelled; None if it was not.
        interrupt_callback: Interrupts the request's current blocking call.
        lock: Guards `cause` and `interrupt_callback`.
    """

    deadline: float
    has_disconnected: Callable[[], bool]
    cause: CancelCause | None = None
    interrupt_callback: Callable[[], None] | None = None
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def cancel(self, cause: CancelCause) -> None:
        """Cancel the request; later calls have no effect."""
        with self.lock:
            if self.cause is not None:
                return
            self.cause = cause
            # With the lock held, so that it has no effect once `end_interrupt`
            # has returned.
            if self.interrupt_callback is not None:
                self.interrupt_callback()

    def set_interrupt(self, interrupt: Callable[[], None] | None) -> None:
        """Set the callback that interrupts the request.

        It is called at once if the request was cancelled before.
        """
        with self.lock:
            self.interrupt_callback = interrupt
            is_cancelled = self.cause is not None
        if is_cancelled and interrupt is not None:
            interrupt()

    def end_interrupt(self, interrupt: Callable[[], None]) -> None:
        """Forget a callback, unless another one was set meanwhile.

        What it interrupts may serve another request after this.
        """
        with self.lock:
            if self.interrupt_callback == interrupt:
                self.interrupt_callback = None


@attrs.define(eq=False)
class RequestWatcher:
    """Checks all open requests in one thread.

    Attributes:
        cancellations: The guards of the open requests.
        lock: Guards `cancellations`.
        stopped: Ends the thread.
    """

    cancellations: set[Cancellation] = attrs.field(factory=set)
    lock: threading.Lock = attrs.field(factory=threading.Lock)
    stopped: threading.Event = attrs.field(factory=threading.Event)

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self.run, name='watch', daemon=True).start()

    def add(self, cancellation: Cancellation) -> None:
        """Add a request."""
        with self.lock:
            self.cancellations.add(cancellation)

    def remove(self, cancellation: Cancellation) -> None:
        """Remove a request."""
        with self.lock:
            self.cancellations.discard(cancellation)

    def count(self) -> int:
        """Return the number of open requests."""
        with self.lock:
            return len(self.cancellations)

    def run(self) -> None:
        """Check the requests until the process stops."""
        while not self.stopped.wait(CHECK_SECONDS):
            self.check(monotonic())

    def check(self, now: float) -> None:
        """Check all requests once."""
        with self.lock:
            cancellations = list(self.cancellations)
        for cancellation in cancellations:
            if cancellation.has_disconnected():
                cancellation.cancel(CancelCause.gone)
            elif now >= cancellation.deadline:
                cancellation.cancel(CancelCause.deadline)
