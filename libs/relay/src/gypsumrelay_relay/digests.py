"""Digests of a request's content and of the parts of its prompt."""

from __future__ import annotations

import hashlib
from typing import Final

DIGEST_BYTES: Final = 12
# Number of bits of a digest that a floating-point number holds exactly.
FRACTION_BITS: Final = 48
# Maximum number of parts of a prompt that crashes are attributed to.
MAX_PARTS: Final = 32
# Number of bytes of a digest that log lines show.
SHOWN_BYTES: Final = 4


def content_digest(target: str, account: str, body: bytes) -> bytes:
    """Return a digest that is equal for repeated requests."""
    content = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (target, account):
        content.update(text.encode('latin-1', 'replace') + b'\0')
    content.update(body)
    return content.digest()


def part_digests(service: str, parts: tuple[str, ...]) -> tuple[bytes, ...]:
    """Return the digests of a prompt's parts, each once and in order.

    Callers choose the number of parts. Only the first and the last ones are
    considered, so that the memory for a request is bounded.
    """
    if len(parts) > MAX_PARTS:
        half = MAX_PARTS // 2
        parts = parts[:half] + parts[-half:]
    return tuple(
        hashlib.blake2b(
            f'{service}\0{part}'.encode('latin-1', 'replace'),
            digest_size=DIGEST_BYTES,
        ).digest()
        for part in dict.fromkeys(parts)
    )


def stream_digest(service: str, account: str, request_id: str) -> bytes:
    """Return the digest of the start of a stream.

    A request that names a stream of another account or service has none of the
    known digests.
    """
    text = '\0'.join((service, account, request_id))
    return hashlib.blake2b(
        text.encode('latin-1', 'replace'), digest_size=DIGEST_BYTES
    ).digest()


def fraction_of(text: str) -> float:
    """Return a number in [0, 1) that is always the same for a text."""
    digest = hashlib.blake2b(
        text.encode('latin-1', 'replace'), digest_size=FRACTION_BITS // 8
    ).digest()
    return int.from_bytes(digest) / float(2**FRACTION_BITS)


def short_digest(digest: bytes) -> str:
    """Return the start of a digest in hexadecimal, as log lines show it."""
    return digest[:SHOWN_BYTES].hex()
