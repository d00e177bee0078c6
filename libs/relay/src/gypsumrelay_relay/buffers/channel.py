"""Connections of callers whose bodies and answers take from the memory."""

from __future__ import annotations

import math
from typing import Any, Final

from gypsumrelay_clock import monotonic
from gypsumrelay_http import ResettingTask
from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.parser import HTTPRequestParser

from gypsumrelay_relay.buffers.holds import (
    HOLDS,
    AnswerHold,
    BodyHold,
    Holds,
    Memory,
    new_memory,
)
from gypsumrelay_relay.buffers.queueing import (
    BodyBuffer,
    ByteQueue,
    DiscardedBody,
)

# Time in seconds after which a connection is closed if its caller reads
# nothing of an answer.
UNREAD_SECONDS: Final = 30.0
# Interval in seconds at which an answer that waits asks for memory again;
# the buffer of its own connection wakes it earlier.
RECHECK_SECONDS: Final = 0.25
# Size in bytes from which the memory of a body is allocated at once.
ALLOCATED_BYTES: Final = 65_536


class BufferedRequest(HTTPRequestParser):  # type: ignore[misc]
    """A request whose body takes from the memory of the process.

    Attributes:
        hold: What the body holds.
    """

    def __init__(self, adj: Any, memory: Memory) -> None:
        """Start with nothing."""
        super().__init__(adj)
        self.hold = BodyHold(memory)

    def received(self, data: bytes) -> int:
        """Parse bytes; return how many belong to this request."""
        consumed = int(super().received(data))
        if self.error is not None:
            self.hold.release()
        elif self.body_rcv is not None and not self.hold.refused:
            self._hold_body(self.body_rcv)
        return consumed

    def close(self) -> None:
        """Free the body."""
        super().close()
        self.hold.release()

    def _hold_body(self, receiver: Any) -> None:
        is_new = not self.hold.size
        size = max(self.content_length, len(receiver))
        if not self.hold.grow_to(size):
            receiver.buf.close()
            receiver.buf = DiscardedBody()
        elif is_new and self.content_length >= ALLOCATED_BYTES:
            receiver.buf = BodyBuffer(self.content_length)


class BufferedTask(ResettingTask):
    """Serves a request that knows what it holds."""

    def get_environment(self) -> dict[str, Any]:
        """Return the WSGI environment."""
        environ: dict[str, Any] = super().get_environment()
        environ[HOLDS] = Holds(self.request.hold, self.channel.hold)
        return environ


class BufferedChannel(HTTPChannel):  # type: ignore[misc]
    """A connection whose answers take from the memory of the process.

    A sender waits while its answer holds more than the memory allows.

    Attributes:
        memory: The memory of the process.
        hold: What the answers on this connection hold.
        active_at: Instant at which bytes were last read or sent, or a request
            ended.
        requests: Those that were read, the one in service first.
    """

    active_at: float = 0
    requests: list[BufferedRequest]

    def __init__(
        self, *given: Any, memory: Memory | None = None, **options: Any
    ) -> None:
        """Wrap a connection."""
        self.memory = memory or new_memory(0)
        self.hold = AnswerHold(self.memory)
        super().__init__(*given, **options)
        self.outbufs = [ByteQueue()]

    @property
    def last_activity(self) -> float:
        """Return infinity, so that the server closes no idle connection.

        It would decide by the wall clock, which may be stepped, and without
        looking for bytes that were not read yet.
        """
        return math.inf

    @last_activity.setter
    def last_activity(self, _: float) -> None:
        self.active_at = monotonic()

    def parser_class(self, adj: Any) -> BufferedRequest:
        """Return a request that has not been read yet."""
        return BufferedRequest(adj, self.memory)

    def service(self) -> None:
        """Serve a request, and free what was read for it and not sent."""
        try:
            super().service()
        except ClientDisconnected:
            # Raised by the wait before the next request, which has not been
            # scheduled yet.
            self._close_requests()
        finally:
            self.hold.drop_ahead()
            if not self.connected:
                # The next request is the first now, and was not scheduled.
                self._close_holds(0)

    def received(self, data: bytes) -> bool:
        """Parse bytes; what arrives on a closed connection holds nothing."""
        is_new = bool(super().received(data))
        if not self.connected:
            self._close_holds()
        return is_new

    def write_soon(self, data: bytes) -> int:
        """Append bytes to the buffer, and send what can be sent.

        Raises:
            ClientDisconnected: The connection is closed.
        """
        if not self.connected:
            raise ClientDisconnected
        if not data:
            return 0
        with self.outbuf_lock:
            # Memory for the whole answer was taken before it was read.
            if not self.hold.ahead:
                self._wait_for_memory()
            if not self.connected:
                raise ClientDisconnected
            self.outbufs[0].append(data)
            self.total_outbufs_len += len(data)
            self.hold.write(len(data))
            self._flush_exception(self._flush_some, do_close=False)
            if self.total_outbufs_len or self.will_close:
                self.server.pull_trigger()
        return len(data)

    def handle_close(self) -> None:
        """Close the connection and free what it holds."""
        super().handle_close()
        self.hold.note_unsent(0)
        self._close_holds()

    def _close_holds(self, first: int = 1) -> None:
        """Free the bodies that were not served yet.

        This takes no `requests_lock`: it may run with `outbuf_lock` held, and
        `service` takes the two in the opposite order. `received` calls it for
        requests that it adds meanwhile. The first request may be in service,
        and frees its own body.
        """
        for queued in (*self.requests[first:], self.request):
            if queued is not None:
                queued.hold.close()

    def _close_requests(self) -> None:
        with self.requests_lock:
            self.close_when_flushed = True
            for queued in self.requests:
                queued.close()
            self.requests = []

    def _flush_outbufs_below_high_watermark(self) -> None:
        with self.outbuf_lock:
            self._wait_for_memory()

    def _wait_for_memory(self) -> None:
        """Wait until the answer may hold more; the buffer's lock is held."""
        if self.memory.may_grow(self.hold.held):
            return
        self._flush_exception(self._flush_some, do_close=False)
        self.server.pull_trigger()
        while self.connected and not self.memory.may_grow(self.hold.held):
            if monotonic() - self.active_at > UNREAD_SECONDS:
                self.will_close = True
                self.server.pull_trigger()
                raise ClientDisconnected
            self.hold.has_waited = self.memory.budget.is_limited
            self.memory.note_wait()
            self.outbuf_lock.wait(RECHECK_SECONDS)

    def _flush_some(self, do_close: bool = True) -> bool:
        try:
            return bool(super()._flush_some(do_close=do_close))
        finally:
            self.hold.note_unsent(self.total_outbufs_len)

    def _flush_some_if_lockable(self, do_close: bool = True) -> None:
        if not self.outbuf_lock.acquire(blocking=False):
            return
        try:
            self._flush_some(do_close=do_close)
            if self.memory.may_grow(self.hold.held):
                self.outbuf_lock.notify()
        finally:
            self.outbuf_lock.release()
