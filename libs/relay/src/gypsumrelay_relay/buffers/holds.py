"""The memory for bodies and answers of a process, and who holds it."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Any, Final

import attrs
from gypsumrelay_clock import monotonic
from logbook import Logger

from gypsumrelay_relay.buffers import budget as decisions
from gypsumrelay_relay.buffers.budget import Budget, Change, Kind
from gypsumrelay_relay.buffers.events import BuffersChanged
from gypsumrelay_relay.events.state import report

log = Logger('buffers')

# Interval in seconds at which an answer that waits asks for memory again.
RECHECK_SECONDS: Final = 0.1
# Key of the WSGI environment under which a request finds its holds.
HOLDS: Final = 'gypsumrelay.holds'


@attrs.define(eq=False)
class Memory:
    """The memory for bodies and answers, shared by all threads.

    Attributes:
        budget: State of the decisions.
        rejected: Number of rejected requests.
        lock: Guards `budget`.
    """

    budget: Budget
    rejected: int = 0
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def change(self, kind: Kind, difference: int) -> None:
        """Count bytes that are held or, if negative, freed."""
        if difference:
            with self.lock:
                decisions.change_held(
                    self.budget, kind, difference, monotonic()
                )

    def take_body(self, held: int, size: int) -> bool:
        """Let a body grow if it fits; return whether it does."""
        with self.lock:
            if decisions.fits_body(self.budget, held, size):
                decisions.change_held(
                    self.budget, Kind.bodies, size - held, monotonic()
                )
                return True
            self.rejected += 1
        self.note_pressure()
        return False

    def may_grow(self, held: int) -> bool:
        """Return whether more of an answer may be read."""
        with self.lock:
            return decisions.may_grow(self.budget, held)

    def may_read(self, reader: object, held: int, size: int) -> bool:
        """Return whether more may be read of an answer as a whole."""
        with self.lock:
            return decisions.may_read(self.budget, reader, held, size)

    def end_read(self, reader: object) -> None:
        """Note that an answer is no longer read as a whole."""
        with self.lock:
            decisions.end_read(self.budget, reader)

    def retry_at(self, size: int) -> float:
        """Return the instant at which a body may fit."""
        with self.lock:
            seconds = decisions.retry_seconds(self.budget, size)
        return monotonic() + seconds

    def note_pressure(self) -> None:
        """Note that a request is rejected."""
        with self.lock:
            change = decisions.note_pressure(self.budget, monotonic())
        self._report(change)

    def note_wait(self) -> None:
        """Note that an answer has to wait."""
        with self.lock:
            change = decisions.note_wait(self.budget, monotonic())
        self._report(change)

    def check(self) -> None:
        """Report it if the budget has become free."""
        with self.lock:
            change = decisions.note_quiet(self.budget, monotonic())
        self._report(change)

    def _report(self, change: Change | None) -> None:
        if change is None or not self.budget.is_limited:
            return
        held = self.budget.held
        limit = int(self.budget.limit_bytes)
        report(
            log,
            BuffersChanged(
                change.value,
                held[Kind.bodies],
                held[Kind.answers],
                limit,
                self.rejected,
            ),
        )


@attrs.define(eq=False)
class BodyHold:
    """Memory that the body of one request holds.

    Attributes:
        memory: The memory of the process.
        size: Bytes that it holds.
        refused: Size in bytes for which there was no memory; 0 if there was.
        closed: Whether its connection is closed, so that it takes nothing more.
        lock: Guards `size` and `closed`, since a worker may close the
            connection while a body is read.
    """

    memory: Memory
    size: int = 0
    refused: int = 0
    closed: bool = False
    lock: threading.RLock = attrs.field(factory=threading.RLock)

    def grow_to(self, size: int) -> bool:
        """Hold more bytes if they fit; return whether they do."""
        with self.lock:
            if self.refused or self.closed:
                return False
            if size <= self.size:
                return True
            if self.memory.take_body(self.size, size):
                self.size = size
                return True
            self.release()
            self.refused = size
            return False

    def release(self) -> None:
        """Free all bytes; later calls have no effect."""
        with self.lock:
            freed = self.size
            self.size = 0
        self.memory.change(Kind.bodies, -freed)

    def close(self) -> None:
        """Free all bytes, and take none again."""
        with self.lock:
            self.closed = True
            self.release()


@attrs.define(eq=False)
class AnswerHold:
    """Memory that the answers on one connection hold.

    Attributes:
        memory: The memory of the process.
        unsent: Bytes in the connection's buffer.
        ahead: Bytes that were read from an upstream, or will be, and are not
            in that buffer yet.
        has_waited: Whether the current attempt waited for memory. While it
            does, nothing is read from the upstream, which may cut the answer
            off for that.
        lock: Guards `unsent` and `ahead`.
    """

    memory: Memory
    unsent: int = 0
    ahead: int = 0
    has_waited: bool = False
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    @property
    def held(self) -> int:
        """Return the bytes that are held."""
        return self.unsent + self.ahead

    def note_unsent(self, unsent: int) -> None:
        """Set the bytes in the connection's buffer."""
        with self.lock:
            difference = unsent - self.unsent
            self.unsent = unsent
        self.memory.change(Kind.answers, difference)

    def write(self, size: int) -> None:
        """Count bytes that enter the buffer, first those counted ahead."""
        with self.lock:
            counted = min(size, self.ahead)
            self.ahead -= counted
            self.unsent += size
        self.memory.change(Kind.answers, size - counted)

    def count_ahead(self, size: int) -> None:
        """Count bytes that are read for a whole answer."""
        with self.lock:
            self.ahead += size
        self.memory.change(Kind.answers, size)

    def drop_ahead(self, size: int | None = None) -> None:
        """Free bytes that do not enter the buffer; all by default."""
        with self.lock:
            dropped = self.ahead if size is None else min(size, self.ahead)
            self.ahead -= dropped
        self.memory.change(Kind.answers, -dropped)

    def wait_to_read(
        self, size: int, deadline: float, is_cancelled: Callable[[], bool]
    ) -> None:
        """Wait until more of a whole answer may be read.

        Args:
            size: Bytes to read.
            deadline: Instant until which to wait.
            is_cancelled: Returns whether the request was cancelled.

        Raises:
            TimeoutError: There was no memory in time.
        """
        while not self.memory.may_read(self, self.held, size):
            self._pause(deadline, is_cancelled)

    def wait_to_pass_on(
        self, deadline: float, is_cancelled: Callable[[], bool]
    ) -> None:
        """Wait until more of a stream may be read.

        Events that are partly read could all wait for one another; one of
        them at a time is read on.

        Args:
            deadline: Instant until which to wait.
            is_cancelled: Returns whether the request was cancelled.

        Raises:
            TimeoutError: There was no memory in time.
        """
        if self.unsent:
            self.memory.end_read(self)
        while not self.memory.may_grow(self.held):
            if not self.unsent and self.memory.may_read(self, self.held, 0):
                return
            self._pause(deadline, is_cancelled)

    def _pause(self, deadline: float, is_cancelled: Callable[[], bool]) -> None:
        if is_cancelled() or monotonic() >= deadline:
            raise TimeoutError('no memory for the answer in time')
        self.has_waited = True
        self.memory.note_wait()
        time.sleep(RECHECK_SECONDS)


@attrs.frozen
class Holds:
    """What one request holds.

    Attributes:
        body: Memory of its body.
        answer: Memory of the answers on its connection.
    """

    body: BodyHold
    answer: AnswerHold


def new_memory(memory_mb: float) -> Memory:
    """Return the memory of a process.

    Args:
        memory_mb: Memory of the instance in MB; 0 if unknown.
    """
    return Memory(decisions.new_budget(memory_mb))


def holds_of(environ: dict[str, Any]) -> Holds:
    """Return what a request holds.

    A request that did not come through the server for callers holds nothing
    that is limited.
    """
    found = environ.get(HOLDS)
    if isinstance(found, Holds):
        return found
    memory = new_memory(0)
    return Holds(BodyHold(memory), AnswerHold(memory))
