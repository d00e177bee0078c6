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
    """A socket whose readers enforce limits in time and bytes."""

    def __init__(self, sock: socket.socket) -> None:
        """Wrap a connected socket."""
        self.sock = sock
        self.limits = ReadLimits()

    def makefile(self, mode: str) -> io.BufferedReader:
        """Return a buffered reader for the next answer."""
        return AnswerReader(BoundedReader(self))

    def has_bytes(self) -> bool:
        """Return whether unread bytes have arrived."""
        poller = select.poll()
        poller.register(self.sock.fileno(), select.POLLIN)
        try:
            # At the end of the answer, none are there to read.
            return bool(poller.poll(0) and self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def __getattr__(self, name: str) -> Any:
        """Return any other attribute of the socket."""
        return getattr(self.sock, name)
