"""Answers that are no HTTP, and sound ones that are unusual."""

from __future__ import annotations

from typing import Final

CHUNKED: Final = b'Transfer-Encoding: chunked'
LAST_CHUNK: Final = b'0\r\n\r\n'


def _plain(*lines: bytes) -> bytes:
    """Return an answer with header lines and a body."""
    return b'\r\n'.join(
        (b'HTTP/1.1 200 OK', b'{fields}', *lines, b'', b'{body}')
    )


def _chunked(chunks: bytes) -> bytes:
    """Return an answer whose body is in chunks."""
    return _plain(CHUNKED).replace(b'{body}', chunks)


# The length of the body is malformed, or a line is no field.
MALFORMED_LINES: Final = {
    'a line without a colon': _plain(b'no field', b'Content-Length: {length}'),
    'a last line without a colon': _plain(
        b'Content-Length: {length}', b'no field'
    ),
    'an empty name': _plain(b': text', b'Content-Length: {length}'),
    'a folded first line': _plain(b'Content-Length: {length}').replace(
        b'{fields}', b' a: b\r\n{fields}'
    ),
    'a folded line': _plain(b'X-Text: a', b' b', b'Content-Length: {length}'),
    'a folded length': _plain(b'X-Text: a', b' Content-Length: {length}'),
    'a length with a plus sign': _plain(b'Content-Length: +{length}'),
    'a length with a minus sign': _plain(b'Content-Length: -{length}'),
    'a length with an underscore': _plain(b'Content-Length: 0_{length}'),
    'a length with a letter': _plain(b'Content-Length: {length}b'),
    'a length with a fraction': _plain(b'Content-Length: {length}.0'),
    'a length in hexadecimal digits': _plain(b'Content-Length: 0x{length}'),
    'a length of superscript digits': _plain(b'Content-Length: \xb2'),
    'a length after a wide blank': _plain(b'Content-Length: \xa0{length}'),
    'a length of 5000 digits': _plain(b'Content-Length: ' + b'9' * 5000),
    'an empty length': _plain(b'Content-Length:'),
    'a list of lengths': _plain(b'Content-Length: {length}, {length}'),
    'lengths that differ': _plain(
        b'Content-Length: {length}', b'Content-Length: 1'
    ),
    'a length beside chunks': _plain(
        b'Content-Length: {length}', CHUNKED
    ).replace(b'{body}', b'{size}\r\n{body}\r\n' + LAST_CHUNK),
    'an unknown encoding': _plain(b'Transfer-Encoding: gzip'),
    'an encoding beside chunks': _plain(b'Transfer-Encoding: gzip, chunked'),
    'chunks in chunks': _plain(CHUNKED, CHUNKED),
    'an empty encoding': _plain(b'Transfer-Encoding:'),
    'a version without a digit': _plain(b'Content-Length: {length}').replace(
        b'HTTP/1.1', b'HTTP/1.x'
    ),
    'a status with a plus sign': _plain(b'Content-Length: {length}').replace(
        b' 200 ', b' +200 '
    ),
    'a status with an underscore': _plain(b'Content-Length: {length}').replace(
        b' 200 ', b' 20_0 '
    ),
}
# The name of a field, or its text, holds what it must not.
MALFORMED_NAMES: Final = {
    'a blank in a name': _plain(b'X Text: a', b'Content-Length: {length}'),
    'a blank before the colon': _plain(
        b'X-Text : a', b'Content-Length: {length}'
    ),
    'a blank before the colon of a length': _plain(
        b'Content-Length : {length}'
    ),
    'a blank before the colon of an encoding': _plain(
        b'Transfer-Encoding : chunked'
    ).replace(b'{body}', b'{size}\r\n{body}\r\n' + LAST_CHUNK),
    'a tab in a name': _plain(b'X\tText: a', b'Content-Length: {length}'),
    'a control byte in a name': _plain(
        b'X\x01Text: a', b'Content-Length: {length}'
    ),
    'a null byte in a name': _plain(
        b'X\x00Text: a', b'Content-Length: {length}'
    ),
    'a carriage return in a name': _plain(
        b'X\rText: a', b'Content-Length: {length}'
    ),
    'a delete byte in a name': _plain(
        b'X\x7fText: a', b'Content-Length: {length}'
    ),
    'a control byte in the name of a length': _plain(
        b'Content\x02Length: {length}'
    ),
    'a bracket in a name': _plain(b'X(Text): a', b'Content-Length: {length}'),
    'a byte above 127 in a name': _plain(
        b'X\xe9: a', b'Content-Length: {length}'
    ),
    'a control byte in a text': _plain(
        b'X-Text: a\x01b', b'Content-Length: {length}'
    ),
    'a null byte in a text': _plain(
        b'X-Text: a\x00b', b'Content-Length: {length}'
    ),
    'a carriage return in a text': _plain(
        b'X-Text: a\rContent-Length: 1', b'Content-Length: {length}'
    ),
    'a vertical tab in a length': _plain(b'Content-Length: \x0b{length}'),
}
# The framing of the chunks is malformed.
MALFORMED_CHUNKS: Final = {
    'a chunk size with an underscore': _chunked(
        b'0_{size}\r\n{body}\r\n' + LAST_CHUNK
    ),
    'a chunk size with a plus sign': _chunked(
        b'+{size}\r\n{body}\r\n' + LAST_CHUNK
    ),
    'a chunk size with a prefix': _chunked(
        b'0x{size}\r\n{body}\r\n' + LAST_CHUNK
    ),
    'a chunk size after a blank': _chunked(
        b' {size}\r\n{body}\r\n' + LAST_CHUNK
    ),
    'a chunk size without a carriage return': _chunked(
        b'{size}\n{body}\r\n' + LAST_CHUNK
    ),
    'a control byte in a chunk extension': _chunked(
        b'{size};a\x01\r\n{body}\r\n' + LAST_CHUNK
    ),
    'a chunk with another end': _chunked(b'{size}\r\n{body}xx' + LAST_CHUNK),
    'a chunk without an end': _chunked(b'{size}\r\n{body}' + LAST_CHUNK),
    'a trailer that is no field': _chunked(
        b'{size}\r\n{body}\r\n0\r\nno field\r\n\r\n'
    ),
}
# The connection ends before the answer has.
TRUNCATED: Final = {
    'no end after the last chunk': _chunked(b'{size}\r\n{body}\r\n0\r\n'),
    'no last chunk': _chunked(b'{size}\r\n{body}\r\n'),
    'a 103 alone': b'HTTP/1.1 103 Early Hints\r\n{fields}\r\n\r\n',
    'a part of a chunk': _chunked(b'1{size}\r\n{body}'),
    'a part of a trailer': _chunked(b'{size}\r\n{body}\r\n0\r\nX-Text'),
}
# The status is none of a final answer.
ODD_STATUSES: Final = {
    status: _plain(b'Content-Length: {length}').replace(
        b' 200 ', f' {status} '.encode()
    )
    for status in ('000', '099', '101', '102', '103', '199', '600', '999')
}
# What may follow on a connection that stays open: another whole answer.
REST: Final = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nrest'
# Sound answers that are unusual.
SOUND: Final = {
    'no length': _plain(b'Connection: close'),
    'chunks': _chunked(b'{size}\r\n{body}\r\n' + LAST_CHUNK),
    'chunks with extensions and trailers': _chunked(
        b'0{size};a="b"\r\n{body}\r\n0\r\nX-Text: a\r\n\r\n'
    ),
    'chunks in capitals': _plain(b'TRANSFER-ENCODING: Chunked').replace(
        b'{body}', b'{size}\r\n{body}\r\n' + LAST_CHUNK
    ),
    'equal lengths twice': _plain(
        b'Content-Length: {length}', b'content-length: {length}'
    ),
    'a length with zeros and blanks': _plain(b'Content-Length: \t 00{length} '),
    'all characters of names': _plain(
        b"aZ09!#$%&'*+-.^_`|~: a", b'Content-Length: {length}'
    ),
    'an empty text': _plain(b'X-Text:', b'Content-Length: {length}'),
    'bytes above 127 in a text': _plain(
        b'X-Text: \xe9\xff', b'Content-Length: {length}'
    ),
    'a tab and colons in a text': _plain(
        b'X-Text: a:\tb:', b'Content-Length: {length}'
    ),
    'no reason': _plain(b'Content-Length: {length}').replace(b' OK', b''),
    'an interim answer before': b'HTTP/1.1 100 Continue\r\n\r\n'
    + _plain(b'Content-Length: {length}'),
    'other interim answers before': b'HTTP/1.1 102 Processing\r\n\r\n'
    b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
    + _plain(b'Content-Length: {length}'),
}
GROUPS: Final = {
    'malformed lines': MALFORMED_LINES,
    'malformed names': MALFORMED_NAMES,
    'malformed chunks': MALFORMED_CHUNKS,
    'truncated answers': TRUNCATED,
    'odd statuses': ODD_STATUSES,
    'sound answers': SOUND,
}
ANSWERS: Final = {
    name: answer for group in GROUPS.values() for name, answer in group.items()
}


def odd_answer(name: str, body: bytes, fields: bytes = b'X-Odd: a') -> bytes:
    """Return the bytes of an answer.

    Args:
        name: Name of the answer, a key of `ANSWERS`.
        body: Its body.
        fields: Sound header lines that it begins with.
    """
    answer = ANSWERS[name]
    for placeholder, text in (
        (b'{length}', b'%d' % len(body)),
        (b'{size}', b'%x' % len(body)),
        (b'{fields}', fields),
        (b'{body}', body),
    ):
        answer = answer.replace(placeholder, text)
    return answer
