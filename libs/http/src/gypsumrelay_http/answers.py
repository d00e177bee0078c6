"""Reads the bytes of answers and checks them for the HTTP library."""

from __future__ import annotations

import io
from typing import Any, Final

from gypsumrelay_http.answer_syntax import (
    AnswerSyntax,
    MalformedAnswerError,
    Part,
    check_bytes,
    check_line,
    is_interim,
)

# Parts that have no lines.
DATA: Final = frozenset((Part.body, Part.chunk))


class AnswerReader(io.BufferedReader):
    """Reads one answer, and fails if it is malformed or its head is truncated.

    The HTTP library takes the end of the bytes for the end of the head, so
    that a truncated head looks like an answer with an empty body. It also
    skips the bytes that end a chunk, whatever they are.

    Attributes:
        syntax: What is known of the answer.
    """

    def __init__(self, raw: io.RawIOBase) -> None:
        """Wrap a raw reader."""
        super().__init__(raw)
        self.syntax = AnswerSyntax()

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line; empty if there is no answer.

        Interim answers are skipped: the HTTP library skips those with status
        100 only, and takes others for the answer.

        Raises:
            ConnectionError: The bytes ended inside the head or the framing.
            MalformedAnswerError: The line is no part of an answer.
        """
        line = super().readline(size)
        self._check(line, size)
        while line and is_interim(self.syntax):
            line = super().readline(size)
            self._check(line, size)
        return line

    def read(self, size: int | None = -1, /) -> bytes:
        """Return bytes of the body; raise an error if a chunk has no end."""
        piece = super().read(size)
        check_bytes(self.syntax, piece)
        return piece

    def read1(self, size: int = -1, /) -> bytes:
        """Return bytes of the body; raise an error if a chunk has no end."""
        piece = super().read1(size)
        check_bytes(self.syntax, piece)
        return piece

    def readinto(self, buffer: Any, /) -> int:
        """Read bytes of the body; raise an error if a chunk has no end."""
        count = super().readinto(buffer)
        if self.syntax.part is Part.chunk:
            check_bytes(self.syntax, bytes(memoryview(buffer)[:count]))
        return count

    def _check(self, line: bytes, size: int | None) -> None:
        if self.syntax.part in DATA:
            check_bytes(self.syntax, line)
        elif line or self.syntax.part is not Part.status_line:
            self._check_line(line, size)

    def _check_line(self, line: bytes, size: int | None) -> None:
        if len(line) == size:
            raise MalformedAnswerError('a line is too long')
        part = self.syntax.part
        if not line.endswith(b'\n') and part is not Part.status_line:
            raise ConnectionError(f'the answer ended inside its {part.value}')
        check_line(self.syntax, line)
