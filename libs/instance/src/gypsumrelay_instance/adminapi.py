"""Administration API, which every process serves on a separate address."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from typing import Any, Final

import attrs
from gypsumrelay_http import Application, StartResponse, start_server
from logbook import Logger

log = Logger('admin')

THREADS: Final = 4
JSON_HEADERS: Final = (('Content-Type', 'application/json'),)


@attrs.frozen
class AdminCallbacks:
    """Functions of the program that the administration API calls.

    Attributes:
        status: Returns the response to `GET /status`.
        ready: Returns whether the program accepts new requests.
        events: Returns the response to `GET /events` for a query string.
        drain: Makes the program reject new requests.
    """

    status: Callable[[], dict[str, Any]]
    ready: Callable[[], bool]
    events: Callable[[str], list[Any]]
    drain: Callable[[], None]


def admin_application(callbacks: AdminCallbacks) -> Application:
    """Return the WSGI application of the administration API."""

    def respond(
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        status, answer = _answer(callbacks, environ)
        start_response(status, list(JSON_HEADERS))
        return [json.dumps(answer).encode()]

    return respond


def start_admin(callbacks: AdminCallbacks, address: tuple[str, int]) -> Any:
    """Serve the administration API in a thread and return the server."""
    return start_server(
        admin_application(callbacks),
        address,
        threads=THREADS,
    )


def _answer(
    callbacks: AdminCallbacks,
    environ: dict[str, Any],
) -> tuple[str, Any]:
    method = environ['REQUEST_METHOD']
    path = environ['PATH_INFO']
    if (method, path) == ('POST', '/drain'):
        callbacks.drain()
        return '200 OK', {'draining': True}
    if method != 'GET':
        return '405 Method Not Allowed', {'error': 'method not allowed'}
    if path == '/healthz':
        return '200 OK', {'healthy': True}
    if path == '/readyz':
        ready = callbacks.ready()
        return _readiness(ready=ready), {'ready': ready}
    if path == '/status':
        return '200 OK', callbacks.status()
    if path == '/events':
        return '200 OK', callbacks.events(environ.get('QUERY_STRING', ''))
    return '404 Not Found', {'error': 'not found'}


def _readiness(*, ready: bool) -> str:
    return '200 OK' if ready else '503 Service Unavailable'
