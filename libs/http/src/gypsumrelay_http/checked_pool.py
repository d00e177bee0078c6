"""HTTP connections that recognise malformed, incomplete and endless answers.

urllib3 ignores that a connection was reset while it wrote a request; the reset
is then no longer reported when the answer is read, so that the part which had
arrived looks like a whole answer if nothing states its length.

The module is imported by itself, since `urllib3` delays the start of a process.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Final

import urllib3
from gypsumrelay_clock import monotonic
from urllib3.connection import HTTPConnection

from gypsumrelay_http.read_limits import (
    ANSWER_BYTES,
    HEAD_BYTES,
    BoundedSocket,
)

READ_BYTES: Final = 65_536


class CheckedConnection(HTTPConnection):
    """Connection that rejects answers whose end it cannot recognise.

    Attributes:
        is_upload_broken: Whether writing the last request failed.
    """

    is_upload_broken = False

    def connect(self) -> None:
        """Open the connection."""
        super().connect()
        self.sock: Any = BoundedSocket(self.sock)

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Send a request, and keep whether writing it failed."""
        self.is_upload_broken = True
        super().request(*args, **kwargs)
        self.is_upload_broken = False

    def getresponse(self) -> urllib3.HTTPResponse:  # type: ignore[override]
        """Return the answer; the time-out applies to the whole answer.

        Raises:
            ProtocolError: Writing the request failed, and only the end of the
                connection would end the answer.
        """
        limits = self.sock.limits
        limits.renew(monotonic() + float(self.timeout or 0), HEAD_BYTES)
        response: Any = super().getresponse()
        limits.renew(limits.until, ANSWER_BYTES)
        response.limits = limits
        has_end = response.chunked or response.length_remaining is not None
        if self.is_upload_broken and not has_end:
            response.close()
            raise urllib3.exceptions.ProtocolError(
                'the connection broke while the request was written'
            )
        checked: urllib3.HTTPResponse = response
        return checked


def read_pieces(
    response: Any, seconds: float, max_bytes: int
) -> Iterator[bytes]:
    """Yield the body of an answer of such a connection as it arrives.

    Args:
        response: The answer, of which only the head was read.
        seconds: Time limit for each piece.
        max_bytes: Size limit of the body, or of what follows `renew_size`.

    Raises:
        HTTPError: The body broke off, is malformed or exceeds a limit.
    """
    limits = response.limits
    limits.renew(monotonic() + seconds, max_bytes)
    while True:
        piece = response.read1(READ_BYTES, decode_content=False)
        if not piece:
            return
        limits.until = monotonic() + seconds
        yield piece


def read_body(response: Any, seconds: float, max_bytes: int) -> bytes:
    """Return the body of an answer, and free the connection.

    It is kept in one piece, since small chunks would take far more memory than
    the bytes in them.

    Args:
        response: The answer, of which only the head was read.
        seconds: Time limit for each piece of the body.
        max_bytes: Size limit of the body.

    Raises:
        HTTPError: The body broke off, is malformed or exceeds a limit.
    """
    content = bytearray()
    try:
        for piece in read_pieces(response, seconds, max_bytes):
            content.extend(piece)
    except urllib3.exceptions.HTTPError:
        response.close()
        raise
    response.release_conn()
    return bytes(content)


def renew_size(response: Any, max_bytes: int) -> None:
    """Let a number of bytes arrive from now on."""
    response.limits.bytes_left = max_bytes


class CheckedPool(urllib3.HTTPConnectionPool):
    """Pool of such connections to one server."""

    ConnectionCls = CheckedConnection


def new_checked_pool(**options: Any) -> urllib3.PoolManager:
    """Return a pool of such connections without retries.

    Args:
        options: Options of the pool of each server.
    """
    pool = urllib3.PoolManager(retries=False, **options)
    pool.pool_classes_by_scheme = pool.pool_classes_by_scheme | {
        'http': CheckedPool,
    }
    return pool
