"""Limits in time and bytes on what an upstream sends.

The time-out of a socket restarts with each byte, so that it never expires for
an upstream that sends single bytes slowly or bytes without end.
"""

from __future__ import annotations

import io
from typing import TYPE_CHECKING, Any, Final

import attrs
from gypsumrelay_clock import monotonic

if TYPE_CHECKING:
    import socket

# Shortest socket time-out in seconds; 0 would make the socket non-blocking.
MIN_SECONDS: Final = 0.01


@attrs.define(eq=False)
class Bounds:
    """Limits that are renewed on each progress.

    Attributes:
        until: Instant until which the next progress has to be made.
        bytes_left: Number of bytes that may arrive until then.
    """

    until: float = 0
    bytes_left: int = 0

    def renew(self, until: float, most_bytes: int) -> None:
        """Set the time limit and the byte limit until the next progress."""
        self.until = until
        self.bytes_left = most_bytes


class BoundedReader(io.RawIOBase):
    """Reads from a socket within bounds."""

    def __init__(self, link: socket.socket, bounds: Bounds) -> None:
        """Open a raw reader, which keeps the socket open until closed."""
        super().__init__()
        self.link = link
        self.bounds = bounds
        self.raw = link.makefile('rb', buffering=0)

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read bytes into a buffer and return their number.

        Raises:
            TimeoutError: No progress was made in time.
            ValueError: Too many bytes arrived without progress.
        """
        left = self.bounds.until - monotonic()
        if left <= 0:
            raise TimeoutError('no progress in time')
        if self.bounds.bytes_left <= 0:
            raise ValueError('too many bytes without progress')
        self.link.settimeout(max(MIN_SECONDS, left))
        count: int | None = self.raw.readinto(buffer)
        self.bounds.bytes_left -= count or 0
        return count

    def close(self) -> None:
        """Close the raw reader."""
        self.raw.close()
        super().close()


class BoundedLink:
    """A socket whose readers enforce limits in time and bytes."""

    def __init__(self, link: socket.socket) -> None:
        """Wrap a connected socket."""
        self.link = link
        self.bounds = Bounds()

    def makefile(self, mode: str) -> io.BufferedReader:
        """Return a buffered reader for the next answer."""
        return io.BufferedReader(BoundedReader(self.link, self.bounds))

    def __getattr__(self, name: str) -> Any:
        """Return any other attribute of the socket."""
        return getattr(self.link, name)
