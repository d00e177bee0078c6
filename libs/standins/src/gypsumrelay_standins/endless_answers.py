"""Answers that do not end by themselves."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

# Bytes after which a stand-in gives up, so that a test of a reader without
# limits ends.
GIVE_UP_BYTES: Final = 120_000_000
HEAD: Final = b'HTTP/1.1 200 OK\r\n'
CHUNKED: Final = b'%bTransfer-Encoding: chunked\r\n\r\n' % HEAD
BLOCK: Final = b'x' * 16_384
# The start of an answer, and what follows it again and again.
ENDLESS: Final = {
    'a status line': (b'HTTP/1.1 200 ', BLOCK),
    'a header': (b'%bX-A: ' % HEAD, BLOCK),
    'headers': (HEAD, b'X-A: b\r\n' * 2048),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 512),
    'bytes that are no answer': (b'', BLOCK),
    'a body without a length': (b'%b\r\n' % HEAD, BLOCK),
    'a body with a length': (
        b'%bContent-Length: 99999999999\r\n\r\n' % HEAD,
        BLOCK,
    ),
    'chunks': (CHUNKED, b'4000\r\n%b\r\n' % BLOCK),
    'chunks of a byte': (CHUNKED, b'1\r\nx\r\n' * 2048),
    'a chunk size': (CHUNKED, b'0' * 4096),
    'trailers': (b'%b1\r\nx\r\n0\r\n' % CHUNKED, b'X-A: b\r\n' * 2048),
}


def endless_answer(name: str) -> Iterator[bytes]:
    """Yield the pieces of an answer; a key of `ENDLESS` names it."""
    start, again = ENDLESS[name]
    yield start
    for _ in range(GIVE_UP_BYTES // len(again)):
        yield again
