"""Syntax of the answers of HTTP/1.1 (RFC 9112).

HTTP libraries accept much that is none. They take a line without a colon for
the end of the head, and a length that is no number for none, so that another
body than the sent one would be read, and pass on names that are no token.
"""

from __future__ import annotations

import enum
import re
from typing import Final

import attrs

# `int` fails on thousands of digits.
_LENGTH: Final = re.compile(rb'\d{1,18}')
_CHUNKED: Final = b'chunked'
# White space around the text of a field.
_BLANKS: Final = b' \t'
# Characters of a token, and of a text: all but control characters.
_TOKEN: Final = rb"[\w!#$%&'*+.^`|~-]+"
_TEXT: Final = rb'[\t\x20-\x7e\x80-\xff]*'
_STATUS_LINE: Final = re.compile(
    rb'HTTP/1\.\d ([1-5]\d\d)(?: ' + _TEXT + rb')?\r?\n'
)
_FIELD: Final = re.compile(rb'(' + _TOKEN + rb'):(' + _TEXT + rb')\r?\n')
# Size in hexadecimal digits, with extensions.
_CHUNK_SIZE: Final = re.compile(
    rb'([\da-fA-F]{1,15})[\t ]*(?:;' + _TEXT + rb')?\r\n'
)
_END_OF_LINE: Final = b'\r\n'
_END_OF_HEAD: Final = frozenset((b'\r\n', b'\n'))
# Maximum number of fields of a head; `http.client` accepts no more.
_MAX_FIELDS: Final = 99
_FIRST_FINAL_STATUS: Final = 200
# Switches to a protocol that no request asks for.
_SWITCHING_PROTOCOLS: Final = 101
_HEXADECIMAL: Final = 16


class MalformedAnswerError(OSError):
    """The bytes that arrived are no answer."""


class Part(enum.Enum):
    """The part of an answer that is read next."""

    status_line = 'status line'
    fields = 'head'
    body = 'body'
    chunk_size = 'chunk size'
    chunk = 'chunk'
    trailers = 'trailers'


@attrs.define
class AnswerSyntax:
    """What is known of an answer.

    Attributes:
        part: The part that is read next.
        status: Status code.
        fields: Number of fields.
        lengths: Values of `Content-Length`.
        encodings: Values of `Transfer-Encoding`.
        chunk_left: Bytes of the current chunk that are not read yet, with the
            end of its line.
    """

    part: Part = Part.status_line
    status: int = 0
    fields: int = 0
    lengths: set[bytes] = attrs.field(factory=set)
    encodings: list[bytes] = attrs.field(factory=list)
    chunk_left: int = 0


def is_interim(syntax: AnswerSyntax) -> bool:
    """Return whether the last status line was that of an interim answer."""
    return 0 < syntax.status < _FIRST_FINAL_STATUS


def check_line(syntax: AnswerSyntax, line: bytes) -> None:
    """Check the next line.

    Args:
        syntax: What is known of the answer; is updated.
        line: The line with its end.

    Raises:
        MalformedAnswerError: The line is no part of an answer.
    """
    check = _LINE_CHECKS.get(syntax.part)
    if check is not None:
        check(syntax, line)


def check_bytes(syntax: AnswerSyntax, piece: bytes) -> None:
    """Check the next bytes of a chunk, as far as they are its end.

    Args:
        syntax: What is known of the answer; is updated.
        piece: The bytes, of one chunk.

    Raises:
        MalformedAnswerError: They are not the end of a chunk.
    """
    if syntax.part is not Part.chunk:
        return
    due = _END_OF_LINE[-min(syntax.chunk_left, len(_END_OF_LINE)) :]
    end = piece[syntax.chunk_left - len(due) :]
    if end != due[: len(end)]:
        raise MalformedAnswerError('a chunk is longer than its size')
    syntax.chunk_left -= len(piece)
    if not syntax.chunk_left:
        syntax.part = Part.chunk_size


def _read_status(syntax: AnswerSyntax, line: bytes) -> None:
    found = _STATUS_LINE.fullmatch(line)
    if found is None:
        raise MalformedAnswerError('the status line is malformed')
    syntax.status = int(found.group(1))
    if syntax.status == _SWITCHING_PROTOCOLS:
        raise MalformedAnswerError('the protocol is not to be switched')
    syntax.fields = 0
    syntax.lengths.clear()
    syntax.encodings.clear()
    syntax.part = Part.fields


def _read_field(syntax: AnswerSyntax, line: bytes) -> None:
    if line in _END_OF_HEAD:
        _end_head(syntax)
        return
    found = _FIELD.fullmatch(line)
    if found is None:
        raise MalformedAnswerError('a line of the head is no field')
    syntax.fields += 1
    if syntax.fields > _MAX_FIELDS:
        raise MalformedAnswerError('the head has too many fields')
    name = found.group(1).lower()
    text = found.group(2).strip(_BLANKS)
    if name == b'content-length':
        syntax.lengths.add(text)
    elif name == b'transfer-encoding':
        syntax.encodings.append(text.lower())


def _end_head(syntax: AnswerSyntax) -> None:
    if not _has_one_framing(syntax):
        raise MalformedAnswerError('the length of the body is malformed')
    if is_interim(syntax):
        if syntax.lengths or syntax.encodings:
            raise MalformedAnswerError('an interim answer has a body')
        syntax.part = Part.status_line
        return
    syntax.part = Part.chunk_size if syntax.encodings else Part.body


def _has_one_framing(syntax: AnswerSyntax) -> bool:
    """Return whether the head states at most one length, or chunks."""
    if syntax.encodings:
        return syntax.encodings == [_CHUNKED] and not syntax.lengths
    if len(syntax.lengths) > 1:
        return False
    return all(_LENGTH.fullmatch(length) for length in syntax.lengths)


def _read_chunk_size(syntax: AnswerSyntax, line: bytes) -> None:
    found = _CHUNK_SIZE.fullmatch(line)
    if found is None:
        raise MalformedAnswerError('the size of a chunk is malformed')
    size = int(found.group(1), _HEXADECIMAL)
    syntax.chunk_left = size + len(_END_OF_LINE)
    syntax.part = Part.chunk if size else Part.trailers


def _read_trailer(syntax: AnswerSyntax, line: bytes) -> None:
    if line == _END_OF_LINE:
        syntax.part = Part.body
    elif _FIELD.fullmatch(line) is None:
        raise MalformedAnswerError('a trailer is no field')


_LINE_CHECKS: Final = {
    Part.status_line: _read_status,
    Part.fields: _read_field,
    Part.chunk_size: _read_chunk_size,
    Part.trailers: _read_trailer,
}
