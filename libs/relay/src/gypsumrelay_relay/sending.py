"""Sends one request to an upstream and reads the answer."""

from __future__ import annotations

import socket
from collections.abc import Iterator, Mapping
from http.client import HTTPException
from typing import TYPE_CHECKING, Any, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import Ending
from urllib3.exceptions import HTTPError

from gypsumrelay_relay.bounds import MIN_SECONDS

if TYPE_CHECKING:
    from urllib3 import BaseHTTPResponse
    from urllib3.connection import HTTPConnection

    from gypsumrelay_relay.bounds import BoundedLink
    from gypsumrelay_relay.connections import Connections
    from gypsumrelay_relay.dialect import Call
    from gypsumrelay_relay.watch import Guard

# Exceptions of the libraries for failed connections and malformed answers.
FAULTS: Final = (OSError, HTTPError, HTTPException, ValueError)
READ_BYTES: Final = 65_536
# Size limit in bytes of an answer that is kept in memory.
ANSWER_BYTES: Final = 16_777_216
# Maximum length in characters of an error in the log.
REASON_LENGTH: Final = 160
# Size limit in bytes of an answer's head, with all interim answers before it.
HEAD_BYTES: Final = 262_144
# Size limit in bytes of one event of a stream, or of an error answer's body.
PART_BYTES: Final = 1_048_576


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
        link: The socket of that connection.
        connections: The pool to which the connection returns afterwards.
        is_reused: Whether the connection served another request before.
    """

    address: str
    response: BaseHTTPResponse
    connection: HTTPConnection
    link: BoundedLink
    connections: Connections
    is_reused: bool

    @property
    def status(self) -> int:
        """Return the status code."""
        return self.response.status

    @property
    def headers(self) -> Mapping[str, str]:
        """Return the headers; look-ups ignore case."""
        return self.response.headers

    def expect(self, until: float, most_bytes: int = PART_BYTES) -> None:
        """Limit the time and the bytes until the next progress.

        Args:
            until: Instant until which progress has to be made.
            most_bytes: Number of bytes that may arrive until then.
        """
        self.link.bounds.renew(until, most_bytes)

    def pieces(self) -> Iterator[bytes]:
        """Yield the body as it arrives; raise one of `FAULTS` on errors."""
        while True:
            piece = self.response.read1(READ_BYTES, decode_content=False)
            if not piece:
                return
            yield piece

    def read(self, deadline: float, most_bytes: int = ANSWER_BYTES) -> bytes:
        """Return the whole body; raise one of `FAULTS` on errors."""
        self.expect(deadline, most_bytes)
        return b''.join(self.pieces())

    def keep(self) -> None:
        """Return the connection to the pool; the answer must be read fully."""
        headers = self.headers
        closing = headers.get('Connection', '').lower() == 'close'
        if closing or self.connection.sock is None:
            self.close()
            return
        self.response.release_conn()
        keep_alive = headers.get('Keep-Alive', '')
        self.connections.keep(self.address, self.connection, keep_alive)

    def close(self) -> None:
        """Close the connection, so that the upstream cancels the request."""
        shut(self.link)
        self.response.close()
        self.connection.close()


def send(
    connections: Connections,
    address: str,
    call: Call,
    guard: Guard,
    *,
    fresh: bool,
    deadline: float,
) -> Reply | SendFailed:
    """Send a request and wait for the head of its answer.

    Args:
        connections: The connection pool.
        address: `host:port` of the upstream.
        call: The request.
        guard: Interrupts the wait if the request is cancelled.
        fresh: Whether to avoid connections that were idle for long.
        deadline: Instant until which the head has to arrive.
    """
    connection = connections.take(address, fresh=fresh)
    is_reused = connection is not None
    if connection is None:
        try:
            connection = connections.open(
                address,
                max(MIN_SECONDS, deadline - monotonic()),
            )
        except FAULTS as error:
            return SendFailed(Ending.unreached, _describe(error))
    link: Any = connection.sock
    if link is None:
        return SendFailed(Ending.unreached, 'the connection is closed')
    guard.interrupt_with(lambda: shut(link))
    if guard.cause is not None:
        connection.close()
        return SendFailed(Ending.unreached, 'the request has ended')
    try:
        response = _exchange(connection, link, call, deadline)
    except FAULTS as error:
        shut(link)
        connection.close()
        return SendFailed(Ending.lost, _describe(error))
    return Reply(
        address,
        response,
        connection,
        link,
        connections,
        is_reused,
    )


def shut(link: BoundedLink) -> None:
    """Shut down a socket, which wakes a thread that reads from it."""
    try:
        link.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def _exchange(
    connection: HTTPConnection,
    link: BoundedLink,
    call: Call,
    deadline: float,
) -> BaseHTTPResponse:
    seconds = max(MIN_SECONDS, deadline - monotonic())
    connection.timeout = seconds
    link.settimeout(seconds)
    link.bounds.renew(deadline, HEAD_BYTES)
    connection.request(
        call.method,
        call.target,
        body=call.body or _empty_body(call.method),
        headers=call.headers,
        preload_content=False,
        decode_content=False,
    )
    return connection.getresponse()


def _empty_body(method: str) -> bytes | None:
    """Return an empty body for methods that require `Content-Length`."""
    return b'' if method in {'POST', 'PUT', 'PATCH'} else None


def _describe(error: Any) -> str:
    return f'{type(error).__name__}: {error}'[:REASON_LENGTH]
