"""Mutual authentication of a link and the keys of its frames."""

from __future__ import annotations

import hashlib
import hmac
import os
from typing import Any, Final

import attrs
import msgpack
from gypsumrelay_errors import FrameMalformed, PeerUnauthenticated

NONCE_BYTES: Final = 16
PROOF_BYTES: Final = 32
# Enough for a hello with the longest names; bounds the memory of strangers.
HELLO_LIMIT_BYTES: Final = 2048
NAME_LIMIT: Final = 200


@attrs.frozen
class Identity:
    """Who a process is.

    Attributes:
        name: The instance's name, stable over restarts.
        incarnation: Differs for every start of the process.
        role: `entry`, `agent` or `operator`.
        availability_zone: Where the instance runs.
    """

    name: str
    incarnation: str
    role: str
    availability_zone: str = ''


@attrs.frozen
class Hello:
    """First frame of each side."""

    identity: Identity
    nonce: bytes


@attrs.frozen
class SessionKeys:
    """Keys that authenticate the frames of one link, by direction."""

    dialer: bytes
    listener: bytes


def new_hello(identity: Identity) -> Hello:
    """Return a hello with a fresh nonce."""
    return Hello(identity, os.urandom(NONCE_BYTES))


def pack_hello(hello: Hello) -> bytes:
    """Return the hello as bytes."""
    identity = hello.identity
    packed: bytes = msgpack.packb([*attrs.astuple(identity), hello.nonce])
    return packed


def parse_hello(frame: Any) -> Hello | FrameMalformed:
    """Return the hello in an unpacked frame."""
    names = len(attrs.fields(Identity))
    if not isinstance(frame, list) or len(frame) != names + 1:
        return FrameMalformed('the hello is not an array of its fields')
    if not all(_is_name(part) for part in frame[:names]):
        return FrameMalformed('a name in the hello is not a short string')
    nonce = frame[names]
    if not isinstance(nonce, bytes) or len(nonce) != NONCE_BYTES:
        return FrameMalformed('the nonce in the hello has the wrong size')
    return Hello(Identity(*frame[:names]), nonce)


def proof(secret: bytes, side: str, dialer: Hello, listener: Hello) -> bytes:
    """Return the proof that a side knows the deployment's secret."""
    transcript = pack_hello(dialer) + pack_hello(listener)
    return hmac.digest(secret, side.encode() + transcript, 'sha256')


def check_proof(expected: bytes, given: Any) -> PeerUnauthenticated | None:
    """Return a failure unless the given proof is the expected one."""
    is_proof = isinstance(given, bytes) and len(given) == PROOF_BYTES
    if is_proof and hmac.compare_digest(expected, given):
        return None
    return PeerUnauthenticated('the peer does not know the shared secret')


def session_keys(secret: bytes, dialer: Hello, listener: Hello) -> SessionKeys:
    """Return the keys for the frames of this link only."""
    transcript = hashlib.sha256(
        pack_hello(dialer) + pack_hello(listener),
    ).digest()
    return SessionKeys(
        hmac.digest(secret, b'frames of the dialer' + transcript, 'sha256'),
        hmac.digest(secret, b'frames of the listener' + transcript, 'sha256'),
    )


def _is_name(part: object) -> bool:
    return isinstance(part, str) and len(part) <= NAME_LIMIT
