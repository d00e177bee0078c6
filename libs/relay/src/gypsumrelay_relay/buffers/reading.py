"""Reads bodies of requests and whole answers, each in one copy."""

from __future__ import annotations

import io
from collections import deque
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any

from gypsumrelay_relay.buffers.queueing import ByteQueue

if TYPE_CHECKING:
    from gypsumrelay_relay.buffers.holds import AnswerHold
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
    reply: Reply,
    max_bytes: int,
    deadline: float,
    hold: AnswerHold,
    is_cancelled: Callable[[], bool],
) -> tuple[bytes, ...]:
    """Return the pieces of an answer; raise one of `IO_ERRORS` on errors.

    Memory for an answer of stated length is taken before it is read, since
    answers that are partly read free nothing.

    Args:
        reply: The answer, of which the head was read.
        max_bytes: Maximum size.
        deadline: Instant until which it has to be read.
        hold: What the answers on the caller's connection hold.
        is_cancelled: Returns whether the request was cancelled.
    """
    reply.set_limits(deadline, max_bytes)
    before = hold.ahead
    whole = ByteQueue()
    try:
        _hold(hold, min(max_bytes, _stated(reply)), deadline, is_cancelled)
        for piece in reply.pieces():
            counted = hold.ahead - before
            beyond = max(0, len(whole) + len(piece) - counted)
            _hold(hold, beyond, deadline, is_cancelled)
            whole.append(piece)
    except BaseException:
        hold.drop_ahead(hold.ahead - before)
        raise
    finally:
        hold.memory.end_read(hold)
    return tuple(whole.pieces)


def pass_on(pieces: tuple[bytes, ...]) -> Iterator[bytes]:
    """Yield pieces, and keep none that was yielded."""
    left = deque(pieces)
    del pieces
    while left:
        yield left.popleft()


def _hold(
    hold: AnswerHold,
    size: int,
    deadline: float,
    is_cancelled: Callable[[], bool],
) -> None:
    if size:
        hold.wait_to_read(size, deadline, is_cancelled)
        hold.count_ahead(size)


def _stated(reply: Reply) -> int:
    """Return the stated length of an answer; 0 if there is none."""
    length = reply.headers.get('Content-Length', '')
    return int(length) if length.isascii() and length.isdigit() else 0
