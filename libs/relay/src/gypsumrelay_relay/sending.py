"""Sends one request to an upstream and reads the answer."""

from __future__ import annotations

import importlib
from collections.abc import Iterator, Mapping
from functools import cache
from typing import TYPE_CHECKING, Any, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import Ending
from gypsumrelay_http import (
    ANSWER_BYTES,
    HEAD_BYTES,
    MIN_SECONDS,
    client_library,
)

if TYPE_CHECKING:
    from gypsumrelay_http import BoundedSocket, Silence
    from urllib3 import BaseHTTPResponse
    from urllib3.connection import HTTPConnection

    from gypsumrelay_relay.cancellation import Cancellation
    from gypsumrelay_relay.connections import Connections
    from gypsumrelay_relay.protocol import UpstreamRequest

READ_BYTES: Final = 65_536
# Maximum length in characters of an error in the log.
REASON_LENGTH: Final = 160
# Size limit in bytes of one event of a stream, or of an error answer's body.
EVENT_BYTES: Final = 1_048_576


@attrs.frozen
class SendFailed:
    """A send without an answer.

    Attributes:
        ending: `unreached` if nothing was sent, else `lost`.
        reason: The error.
    """

    ending: Ending
    reason: str


@attrs.define(eq=False)
class Reply:
    """An answer whose body may still be arriving.

    Attributes:
        address: `host:port` of the upstream.
        response: The answer as far as it was read.
        connection: The connection on which it arrives.
        sock: The socket of that connection.
        connections: The pool to which the connection returns afterwards.
        cancellation: Interrupts the connection while it serves the request.
        is_reused: Whether the connection served another request before.
    """

    address: str
    response: BaseHTTPResponse
    connection: HTTPConnection
    sock: BoundedSocket
    connections: Connections
    cancellation: Cancellation
    is_reused: bool

    @property
    def status(self) -> int:
        """Return the status code."""
        return self.response.status

    @property
    def headers(self) -> Mapping[str, str]:
        """Return the headers; look-ups ignore case."""
        return self.response.headers

    def set_limits(
        self,
        until: float,
        max_bytes: int = EVENT_BYTES,
        silence: Silence | None = None,
    ) -> None:
        """Limit the time and the bytes until the next progress.

        Args:
            until: Instant until which progress has to be made.
            max_bytes: Number of bytes that may arrive until then.
            silence: What to do while no progress is made.
        """
        self.sock.limits.renew(until, max_bytes, silence)

    def pieces(self) -> Iterator[bytes]:
        """Yield the body as it arrives; raise one of `io_errors` on errors."""
        while True:
            piece = self.response.read1(READ_BYTES, decode_content=False)
            if not piece:
                return
            yield piece

    def read(self, deadline: float, max_bytes: int = ANSWER_BYTES) -> bytes:
        """Return the whole body; raise one of `io_errors` on errors."""
        self.set_limits(deadline, max_bytes)
        return b''.join(self.pieces())

    def return_connection(self) -> None:
        """Return the connection to the pool; the answer must be read fully."""
        self.cancellation.end_interrupt(self.sock.interrupt)
        headers = self.headers
        closing = headers.get('Connection', '').lower() == 'close'
        is_open = self.connection.sock is not None
        if closing or not is_open or self.sock.is_interrupted:
            self.close()
            return
        self.response.release_conn()
        keep_alive = headers.get('Keep-Alive', '')
        self.connections.put_back(self.address, self.connection, keep_alive)

    def close(self) -> None:
        """Close the connection, so that the upstream cancels the request."""
        self.sock.interrupt()
        self.response.close()
        self.connection.close()


@cache
def io_errors() -> tuple[type[Exception], ...]:
    """Return the exceptions of failed connections and malformed answers.

    A function, since those of the client library exist only after its import.
    """
    http_error: type[Exception] = client_library().exceptions.HTTPError
    http_client = importlib.import_module('http.client')
    return OSError, http_error, http_client.HTTPException, ValueError


def send(
    connections: Connections,
    address: str,
    request: UpstreamRequest,
    cancellation: Cancellation,
    *,
    fresh: bool,
    deadline: float,
    silence: Silence | None = None,
) -> Reply | SendFailed:
    """Send a request and wait for the head of its answer.

    Args:
        connections: The connection pool.
        address: `host:port` of the upstream.
        request: The request.
        cancellation: Interrupts the wait if the request is cancelled.
        fresh: Whether to avoid connections that were idle for long.
        deadline: Instant until which the head has to arrive.
        silence: What to do while the head does not arrive.
    """
    connection = connections.take(address, fresh=fresh)
    is_reused = connection is not None
    if connection is None:
        failures = io_errors()
        try:
            connection = connections.open(
                address,
                max(MIN_SECONDS, deadline - monotonic()),
            )
        except failures as error:
            return SendFailed(Ending.unreached, _describe(error))
    sock: Any = connection.sock
    if sock is None:
        return SendFailed(Ending.unreached, 'the connection is closed')
    cancellation.set_interrupt(sock.interrupt)
    if cancellation.cause is not None:
        connection.close()
        return SendFailed(Ending.unreached, 'the request has ended')
    sock.limits.renew(deadline, HEAD_BYTES, silence)
    failures = io_errors()
    try:
        response = _send_and_receive(connection, sock, request, deadline)
    except failures as error:
        sock.interrupt()
        connection.close()
        return SendFailed(Ending.lost, _describe(error))
    return Reply(
        address,
        response,
        connection,
        sock,
        connections,
        cancellation,
        is_reused,
    )


def _send_and_receive(
    connection: HTTPConnection,
    sock: BoundedSocket,
    request: UpstreamRequest,
    deadline: float,
) -> BaseHTTPResponse:
    seconds = max(MIN_SECONDS, deadline - monotonic())
    connection.timeout = seconds
    sock.settimeout(seconds)
    connection.request(
        request.method,
        request.target,
        body=request.body or _empty_body(request.method),
        headers=request.headers,
        preload_content=False,
        decode_content=False,
    )
    return connection.getresponse()


def _empty_body(method: str) -> bytes | None:
    """Return an empty body for methods that require `Content-Length`."""
    return b'' if method in {'POST', 'PUT', 'PATCH'} else None


def _describe(error: Any) -> str:
    return f'{type(error).__name__}: {error}'[:REASON_LENGTH]
