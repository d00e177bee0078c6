"""Reads the bytes of answers and checks them for the HTTP library."""

from __future__ import annotations

import io

from gypsumrelay_http.answer_syntax import (
    AnswerSyntax,
    MalformedAnswerError,
    Part,
    check_line,
)


class AnswerReader(io.BufferedReader):
    """Reads one answer, and fails if it is malformed or its head is truncated.

    The HTTP library takes the end of the bytes for the end of the head, so
    that a truncated head looks like an answer with an empty body.

    Attributes:
        syntax: What is known of the answer.
    """

    def __init__(self, raw: io.RawIOBase) -> None:
        """Wrap a raw reader."""
        super().__init__(raw)
        self.syntax = AnswerSyntax()

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line; empty if there is no answer.

        Raises:
            ConnectionError: The bytes ended inside the head.
            MalformedAnswerError: The line is no part of an answer.
        """
        line = super().readline(size)
        part = self.syntax.part
        if part is Part.body or (part is Part.status_line and not line):
            return line
        if not line.endswith(b'\n') and part is not Part.status_line:
            self._fail_unended(line, -1 if size is None else size)
        check_line(self.syntax, line)
        return line

    def _fail_unended(self, line: bytes, size: int) -> None:
        if len(line) == size:
            raise MalformedAnswerError('a line is too long')
        part = self.syntax.part.value
        raise ConnectionError(f'the answer ended inside its {part}')
