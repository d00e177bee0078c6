"""Limits in time and bytes on what an upstream sends.

The time-out of a socket restarts with each byte, so that it never expires for
an upstream that sends single bytes slowly or bytes without end.
"""

from __future__ import annotations

import io
import math
import select
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Final

import attrs
from gypsumrelay_clock import monotonic

from gypsumrelay_http.answer_syntax import MalformedAnswerError
from gypsumrelay_http.answers import AnswerReader

# Shortest socket time-out in seconds; 0 would make the socket non-blocking.
MIN_SECONDS: Final = 0.01
# Interval in seconds between the calls of `Silence.is_replaced`.
SILENCE_CHECK_SECONDS: Final = 0.02
MS_PER_SECOND: Final = 1000
# Size limit in bytes of an answer that is kept in memory.
ANSWER_BYTES: Final = 16_777_216
# Size limit in bytes of an answer's head, with all interim answers before it.
HEAD_BYTES: Final = 262_144


class AnswerInterruptedError(ConnectionAbortedError):
    """This process shut the connection down before its answer had ended."""


@attrs.frozen
class Silence:
    """What to do while an upstream makes no progress.

    Attributes:
        begins_at: Instant from which the upstream counts as silent.
        is_replaced: Called with the socket at short intervals while it is
            silent; returns whether its answer is no longer needed.
    """

    begins_at: float
    is_replaced: Callable[[BoundedSocket], bool]


@attrs.define(eq=False)
class ReadLimits:
    """Limits that are renewed on each progress.

    Attributes:
        until: Instant until which the next progress has to be made.
        bytes_left: Number of bytes that may arrive until then.
        silence: What to do while no progress is made; None for nothing.
    """

    until: float = 0
    bytes_left: int = 0
    silence: Silence | None = None

    def renew(
        self, until: float, max_bytes: int, silence: Silence | None = None
    ) -> None:
        """Set the limits until the next progress."""
        self.until = until
        self.bytes_left = max_bytes
        self.silence = silence


class BoundedReader(io.RawIOBase):
    """Reads from a socket within its limits."""

    def __init__(self, sock: BoundedSocket) -> None:
        """Open a raw reader, which keeps the socket open until closed."""
        super().__init__()
        self.sock = sock
        self.limits = sock.limits
        self.raw = sock.sock.makefile('rb', buffering=0)

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read bytes into a buffer and return their number.

        Raises:
            TimeoutError: No progress was made in time, or another upstream
                answers instead.
            MalformedAnswerError: Too many bytes arrived without progress.
            AnswerInterruptedError: The bytes end because `interrupt` was
                called on the socket.
        """
        if self.limits.silence is not None:
            self._wait(self.limits.silence)
        left = self.limits.until - monotonic()
        if left <= 0:
            raise TimeoutError('no progress in time')
        if self.limits.bytes_left <= 0:
            raise MalformedAnswerError('too many bytes without progress')
        self.sock.settimeout(max(MIN_SECONDS, left))
        count: int | None = self.raw.readinto(buffer)
        if not count and self.sock.is_interrupted:
            raise AnswerInterruptedError('the answer was interrupted')
        self.limits.bytes_left -= count or 0
        return count

    def _wait(self, silence: Silence) -> None:
        """Wait until there are bytes to read, or the time limit is over."""
        poller = select.poll()
        poller.register(self.sock.fileno(), select.POLLIN)
        while True:
            now = monotonic()
            left = self.limits.until - now
            if left <= 0:
                return
            if now < silence.begins_at:
                left = min(left, silence.begins_at - now)
            elif poller.poll(0):
                return
            elif silence.is_replaced(self.sock):
                raise TimeoutError('another upstream answers instead')
            else:
                left = min(left, SILENCE_CHECK_SECONDS)
            if poller.poll(math.ceil(left * MS_PER_SECOND)):
                return

    def close(self) -> None:
        """Close the raw reader."""
        self.raw.close()
        super().close()


class BoundedSocket:
    """A socket whose readers enforce limits in time and bytes.

    Attributes:
        sock: The connected socket.
        limits: Limits of the readers.
        is_interrupted: Whether `interrupt` was called before the peer had ended
            what it sends.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Wrap a connected socket."""
        self.sock = sock
        self.limits = ReadLimits()
        self.is_interrupted = False

    def makefile(self, mode: str) -> io.BufferedReader:
        """Return a buffered reader for the next answer."""
        return AnswerReader(BoundedReader(self))

    def interrupt(self) -> None:
        """Shut the connection down, which wakes a thread that reads from it.

        The reader gets the end of the bytes, which would also be the end of an
        answer without a length. It fails there, unless the peer's own end
        arrived before.
        """
        if not self._has_peer_ended():
            self.is_interrupted = True
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def has_bytes(self) -> bool:
        """Return whether unread bytes have arrived."""
        poller = select.poll()
        poller.register(self.sock.fileno(), select.POLLIN)
        try:
            # At the end of the answer, none are there to read.
            return bool(poller.poll(0) and self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def _has_peer_ended(self) -> bool:
        """Return whether all bytes of the peer and their end have arrived."""
        descriptor = self.sock.fileno()
        if descriptor < 0:
            return False
        poller = select.poll()
        poller.register(descriptor, select.POLLRDHUP)
        found = dict(poller.poll(0)).get(descriptor, 0)
        return bool(found & select.POLLRDHUP) and not found & select.POLLERR

    def __getattr__(self, name: str) -> Any:
        """Return any other attribute of the socket."""
        return getattr(self.sock, name)
