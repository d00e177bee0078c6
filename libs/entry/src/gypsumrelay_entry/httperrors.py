"""JSON responses of the HTTP server itself."""

from __future__ import annotations

from typing import Any, Final

from gypsumrelay_errors import (
    BodyMalformed,
    BodyTooLarge,
    Failure,
    HeadersTooLarge,
    UpstreamFailed,
)
from gypsumrelay_http import ResettingTask
from waitress.channel import HTTPChannel
from waitress.task import ErrorTask

from gypsumrelay_entry.responses import failure_body, status_line

_FAILURES: Final[dict[int, Failure]] = {
    400: BodyMalformed('the request is not valid HTTP'),
    413: BodyTooLarge('the body is larger than this instance accepts'),
    431: HeadersTooLarge('the headers are larger than this instance accepts'),
}


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
