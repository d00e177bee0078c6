"""Reads bodies of requests and whole answers, each in one copy."""

from __future__ import annotations

import io
from collections import deque
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any

from gypsumrelay_relay.buffers.holds import holds_of
from gypsumrelay_relay.buffers.queueing import ByteQueue

if TYPE_CHECKING:
    from gypsumrelay_relay.buffers.holds import AnswerHold
    from gypsumrelay_relay.exchange import Exchange
    from gypsumrelay_relay.sending import Reply


def take_body(environ: dict[str, Any]) -> bytes:
    """Return the body of a request; the server keeps no copy of it."""
    stream = environ['wsgi.input']
    if not isinstance(stream, io.BytesIO):
        return bytes(stream.read())
    # Unlike `read`, this makes no copy.
    body = stream.getvalue()
    stream.close()
    return body


def read_whole(
    exchange: Exchange, reply: Reply, max_bytes: int
) -> tuple[bytes, ...]:
    """Return the pieces of an answer; raise one of `io_errors` on errors.

    Memory for an answer of stated length is taken before it is read, since
    answers that are partly read free nothing.

    Args:
        exchange: The request.
        reply: The answer, of which the head was read.
        max_bytes: Maximum size.
    """
    reply.set_limits(exchange.deadline, max_bytes)
    hold = holds_of(exchange.environ).answer
    before = hold.ahead
    whole = ByteQueue()
    try:
        _hold(exchange, hold, min(max_bytes, _stated(reply)))
        for piece in reply.pieces():
            counted = hold.ahead - before
            _hold(exchange, hold, len(whole) + len(piece) - counted)
            whole.append(piece)
    except BaseException:
        hold.drop_ahead(hold.ahead - before)
        raise
    finally:
        hold.memory.end_read(hold)
    return tuple(whole.pieces)


def held_pieces(exchange: Exchange, reply: Reply) -> Iterator[bytes]:
    """Yield the body of a stream as it arrives; raise one of `io_errors`.

    What is read and not passed on yet, such as a part of an event, counts as
    held.
    """
    hold = holds_of(exchange.environ).answer
    if not hold.memory.budget.is_limited:
        # The buffer of the connection alone makes the sender wait.
        yield from reply.pieces()
        return
    pieces = reply.pieces()
    try:
        while True:
            wait_for_caller(exchange)
            piece = next(pieces, b'')
            if not piece:
                return
            hold.count_ahead(len(piece))
            yield piece
    finally:
        hold.drop_ahead()
        hold.memory.end_read(hold)


def wait_for_caller(exchange: Exchange) -> None:
    """Wait while a stream holds more than it may.

    Raises:
        TimeoutError: There was no memory until the request's deadline.
    """
    hold = holds_of(exchange.environ).answer
    if hold.memory.budget.is_limited:
        hold.wait_to_pass_on(exchange.deadline, _cancelled(exchange))


def pass_on(pieces: tuple[bytes, ...]) -> Iterator[bytes]:
    """Yield pieces, and keep none that was yielded."""
    left = deque(pieces)
    del pieces
    while left:
        yield left.popleft()


def _hold(exchange: Exchange, hold: AnswerHold, size: int) -> None:
    if size > 0:
        hold.wait_to_read(size, exchange.deadline, _cancelled(exchange))
        hold.count_ahead(size)


def _cancelled(exchange: Exchange) -> Callable[[], bool]:
    return lambda: exchange.cancellation.cause is not None


def _stated(reply: Reply) -> int:
    """Return the stated length of an answer; 0 if there is none."""
    length = reply.headers.get('Content-Length', '')
    return int(length) if length.isascii() and length.isdigit() else 0
