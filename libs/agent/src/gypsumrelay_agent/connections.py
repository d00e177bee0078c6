"""HTTP connections to the upstream that recognise incomplete answers.

The standard library takes an answer as complete that ends inside its head.
urllib3 ignores that a connection was reset while it wrote a request; the reset
is then no longer reported when the answer is read, so that the part which had
arrived looks like a whole answer if nothing states its length.
"""

from __future__ import annotations

from http.client import HTTPResponse, IncompleteRead
from typing import Any, Final

import attrs
import urllib3
from urllib3.connection import HTTPConnection

HEAD_ENDS: Final = frozenset((b'\r\n', b'\n'))


@attrs.define(eq=False)
class HeadReader:
    """Reads the lines of an answer's head and keeps the last one.

    Attributes:
        source: The connection as a file.
        last_line: The line that was read last.
    """

    source: Any
    last_line: bytes = b''

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line."""
        self.last_line = self.source.readline(limit)
        return self.last_line

    def close(self) -> None:
        """Close the connection's file."""
        self.source.close()


class CheckedResponse(HTTPResponse):
    """Answer whose head must end with an empty line."""

    def begin(self) -> None:
        """Read the head.

        Raises:
            IncompleteRead: The connection ended inside the head.
        """
        source: Any = self.fp
        reader: Any = HeadReader(source)
        self.fp = reader
        try:
            super().begin()
        finally:
            self.fp = source
        if reader.last_line not in HEAD_ENDS:
            raise IncompleteRead(reader.last_line)


class CheckedConnection(HTTPConnection):
    """Connection that rejects answers whose end it cannot recognise.

    Attributes:
        is_upload_broken: Whether writing the last request failed.
    """

    response_class = CheckedResponse
    is_upload_broken = False

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Send a request, and keep whether writing it failed."""
        self.is_upload_broken = True
        super().request(*args, **kwargs)
        self.is_upload_broken = False

    def getresponse(self) -> urllib3.HTTPResponse:  # type: ignore[override]
        """Return the answer.

        Raises:
            ProtocolError: Writing the request failed, and only the end of the
                connection would end the answer.
        """
        response = super().getresponse()
        has_end = response.chunked or response.length_remaining is not None
        if self.is_upload_broken and not has_end:
            response.close()
            raise urllib3.exceptions.ProtocolError(
                'the connection broke while the request was written'
            )
        return response


class CheckedPool(urllib3.HTTPConnectionPool):
    """Pool of such connections to one upstream."""

    ConnectionCls = CheckedConnection


def new_pool(connections: int) -> urllib3.PoolManager:
    """Return a connection pool without retries, which the router decides on."""
    pool = urllib3.PoolManager(maxsize=connections, retries=False)
    pool.pool_classes_by_scheme = pool.pool_classes_by_scheme | {
        'http': CheckedPool,
    }
    return pool
