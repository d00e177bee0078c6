"""HTTP servers of the simulated services, with JSON over waitress."""

from __future__ import annotations

import json
import signal
import sys
import threading
from collections.abc import Callable, Iterable
from typing import Any, Final

import attrs
import waitress

SERVER_THREADS: Final = 64
CONNECTION_LIMIT: Final = 1000
STATUS_TEXTS: Final = {
    200: '200 OK',
    201: '201 Created',
    400: '400 Bad Request',
    404: '404 Not Found',
    409: '409 Conflict',
    500: '500 Internal Server Error',
    503: '503 Service Unavailable',
}


@attrs.frozen
class Request:
    """HTTP request to a simulated service."""

    method: str
    path: str
    query: dict[str, str]
    headers: list[list[str]]
    body: bytes

    def json(self) -> Any:
        """Return the parsed JSON body, or an empty dict without a body."""
        return json.loads(self.body) if self.body else {}


@attrs.frozen
class Response:
    """HTTP response of a simulated service.

    Attributes:
        body: Bytes, or data that is sent as JSON.
        status: HTTP status code.
        headers: Additional headers.
        stream: Parts of a streamed body, sent instead of `body`.
    """

    body: object
    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    stream: Iterable[bytes] | None = None


Handler = Callable[[Request], Response]


def serve(handler: Handler, port: int) -> None:
    """Serve requests on loopback until the process is terminated."""
    signal.signal(signal.SIGTERM, _exit_on_signal)
    waitress.serve(
        application(handler),
        host='127.0.0.1',
        port=port,
        threads=SERVER_THREADS,
        connection_limit=CONNECTION_LIMIT,
        channel_request_lookahead=1,
        _quiet=True,
    )


def start(handler: Handler, port: int = 0) -> Any:
    """Serve requests in a background thread and return the server."""
    server = waitress.create_server(
        application(handler),
        host='127.0.0.1',
        port=port,
        threads=SERVER_THREADS,
        channel_request_lookahead=1,
    )
    threading.Thread(target=server.run, daemon=True).start()
    return server


def application(handler: Handler) -> Any:
    """Return a WSGI application that calls a handler."""

    def respond(environ: dict[str, Any], start_response: Any) -> Any:
        response = handler(_read_request(environ))
        headers = list(response.headers)
        status = STATUS_TEXTS.get(response.status, f'{response.status} Status')
        if response.stream is not None:
            start_response(status, headers)
            return response.stream
        payload = response.body
        if not isinstance(payload, bytes):
            payload = json.dumps(payload).encode()
            headers.append(('Content-Type', 'application/json'))
        headers.append(('Content-Length', str(len(payload))))
        start_response(status, headers)
        return [payload]

    return respond


def _read_request(environ: dict[str, Any]) -> Request:
    query = environ.get('QUERY_STRING', '')
    pairs = (pair.partition('=') for pair in query.split('&') if pair)
    headers = [
        [name.removeprefix('HTTP_').replace('_', '-').title(), value]
        for name, value in environ.items()
        if name.startswith('HTTP_') or name == 'CONTENT_TYPE'
    ]
    return Request(
        environ['REQUEST_METHOD'],
        environ['PATH_INFO'],
        {name: value for name, _, value in pairs},
        headers,
        environ['wsgi.input'].read(),
    )


def _exit_on_signal(signal_number: int, stack_frame: object) -> None:
    sys.exit(0)
