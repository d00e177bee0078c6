"""HTTP connections that recognise malformed and incomplete answers.

urllib3 ignores that a connection was reset while it wrote a request; the reset
is then no longer reported when the answer is read, so that the part which had
arrived looks like a whole answer if nothing states its length.

The module is imported by itself, since `urllib3` delays the start of a process.
"""

from __future__ import annotations

from http.client import HTTPResponse
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

from gypsumrelay_http.answers import AnswerReader


class CheckedResponse(HTTPResponse):
    """Answer whose bytes are checked."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Open a reader on a socket."""
        super().__init__(*args, **kwargs)
        self.fp: Any = AnswerReader(self.fp.detach())


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
