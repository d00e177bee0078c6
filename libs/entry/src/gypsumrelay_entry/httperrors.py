"""JSON responses of the HTTP server itself, and responses that break off."""

from __future__ import annotations

import socket
import struct
from typing import Any, Final

from gypsumrelay_errors import (
    BodyMalformed,
    BodyTooLarge,
    Failure,
    HeadersTooLarge,
    UpstreamFailed,
)
from waitress.channel import HTTPChannel
from waitress.task import ErrorTask, WSGITask

from gypsumrelay_entry.responses import failure_body, status_line

_FAILURES: Final[dict[int, Failure]] = {
    400: BodyMalformed('the request is not valid HTTP'),
    413: BodyTooLarge('the body is larger than this instance accepts'),
    431: HeadersTooLarge('the headers are larger than this instance accepts'),
}


# Value of SO_LINGER with which closing a connection resets it.
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


class ResettingTask(WSGITask):  # type: ignore[misc]
    """Resets the connection if a response without a length breaks off.

    The end of the connection is the end of such a response, which only callers
    with HTTP 1.0 get; chunks show to others that it is incomplete.
    """

    def execute(self) -> None:
        """Run the application and send its response."""
        try:
            super().execute()
        except Exception:
            has_end = self.chunked_response or self.content_length is not None
            if self.wrote_header and not has_end:
                self.channel.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            raise


class JsonErrorTask(ErrorTask):  # type: ignore[misc]
    """Sends an error in the same JSON format as the application."""

    def execute(self) -> None:
        """Send the error response and close the connection."""
        code = self.request.error.code
        failure = _FAILURES.get(code) or UpstreamFailed(
            'the instance failed to handle the request',
        )
        body = failure_body(failure)
        self.status = status_line(code)
        self.response_headers.append(('Content-Type', 'application/json'))
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class JsonErrorChannel(HTTPChannel):  # type: ignore[misc]
    """HTTP connection whose error responses are JSON."""

    task_class: type[Any] = ResettingTask
    error_task_class: type[Any] = JsonErrorTask
