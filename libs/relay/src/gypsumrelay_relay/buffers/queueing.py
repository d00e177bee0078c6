"""Buffers of bytes that keep one copy of what they hold."""

from __future__ import annotations

import io
from collections import deque
from collections.abc import Iterator
from typing import Final

import attrs

# Size in bytes up to which consecutive pieces are joined, since each piece
# takes memory of its own.
JOINED_BYTES: Final = 16_384
# Maximum size in bytes of a piece; a piece is freed as a whole.
PIECE_BYTES: Final = 65_536


def split(whole: bytes) -> Iterator[bytes]:
    """Yield pieces of a limited size.

    The server keeps the last piece that it was given while a sender waits.
    """
    for start in range(0, len(whole), PIECE_BYTES):
        yield whole[start : start + PIECE_BYTES]


@attrs.define(eq=False)
class ByteQueue:
    """Queue of bytes, with the methods of the buffers of waitress.

    Unlike those it frees sent bytes at once instead of with the whole buffer.

    Attributes:
        pieces: The bytes.
        size: Number of bytes that were not skipped.
        skipped: Number of skipped bytes of the first piece.
    """

    pieces: deque[bytes] = attrs.field(factory=deque)
    size: int = 0
    skipped: int = 0

    def __len__(self) -> int:
        """Return the number of bytes."""
        return self.size

    def append(self, added: bytes) -> None:
        """Append bytes."""
        self.size += len(added)
        if len(added) > PIECE_BYTES:
            self.pieces.extend(split(added))
        elif self._may_join(added):
            self.pieces[-1] += added
        else:
            self.pieces.append(added)

    def get(self, count: int = -1) -> memoryview:
        """Return the first bytes without removing them.

        Args:
            count: Maximum number of bytes; without it, a whole piece.
        """
        if not self.pieces:
            return memoryview(b'')
        end = None if count < 0 else self.skipped + count
        return memoryview(self.pieces[0])[self.skipped : end]

    def skip(self, count: int, _: object = None) -> None:
        """Remove bytes from the front."""
        self.size -= count
        count += self.skipped
        while self.pieces and count >= len(self.pieces[0]):
            count -= len(self.pieces.popleft())
        self.skipped = count

    def close(self) -> None:
        """Remove all bytes."""
        self.pieces.clear()
        self.size = 0
        self.skipped = 0

    def _may_join(self, added: bytes) -> bool:
        return (
            bool(self.pieces)
            and len(self.pieces[-1]) + len(added) <= JOINED_BYTES
        )


class BodyBuffer:
    """Body of a known size, with the methods of the buffers of waitress.

    Its memory is allocated once: a buffer that grows leaves gaps in the heap,
    and has to be copied to get its exact size.

    Attributes:
        stream: The bytes.
        received: Number of bytes that were appended.
    """

    def __init__(self, size: int) -> None:
        """Allocate memory."""
        self.stream = io.BytesIO(bytes(size))
        self.received = 0

    def __len__(self) -> int:
        """Return the number of bytes that were appended."""
        return self.received

    def append(self, added: bytes) -> None:
        """Append bytes."""
        self.received += self.stream.write(added)

    def getfile(self) -> io.BytesIO:
        """Return the bytes as a stream at its start."""
        self.stream.seek(0)
        return self.stream

    def close(self) -> None:
        """Free the memory."""
        self.stream.close()


class DiscardedBody:
    """Body for which there is no memory.

    It is read to its end all the same, since closing a connection with unread
    bytes resets it, and the caller would not get the answer.
    """

    def __len__(self) -> int:
        """Return 0."""
        return 0

    def append(self, _: bytes) -> None:
        """Discard bytes."""

    def getfile(self) -> io.BytesIO:
        """Return an empty stream."""
        return io.BytesIO()

    def close(self) -> None:
        """Do nothing."""
