"""Mutual authentication of the peers of a link, and its session keys."""

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
# Fits a hello with names of maximum length; limits the memory that an
# unauthenticated peer can use.
HELLO_LIMIT_BYTES: Final = 2048
NAME_LIMIT: Final = 200


@attrs.frozen
class Identity:
    """Identity of a process.

    Attributes:
        name: Name of the instance, the same after restarts.
        incarnation: Identifier of this start of the process.
        role: `entry`, `agent` or `operator`.
        availability_zone: Availability zone of the instance.
    """

    name: str
    incarnation: str
    role: str
    availability_zone: str = ''


@attrs.frozen
class Hello:
    """First message of each side in the handshake.

    Attributes:
        identity: Identity of the sender.
        nonce: Random bytes that are used for this link only.
    """

    identity: Identity
    nonce: bytes


@attrs.frozen
class SessionKeys:
    """Keys that authenticate the frames of one link.

    Attributes:
        dialer: Key for the frames that the dialer sends.
        listener: Key for the frames that the listener sends.
    """

    dialer: bytes
    listener: bytes


def new_hello(identity: Identity) -> Hello:
    """Return a hello with a new random nonce."""
    return Hello(identity, os.urandom(NONCE_BYTES))


def pack_hello(hello: Hello) -> bytes:
    """Return a hello encoded with msgpack."""
    identity = hello.identity
    packed: bytes = msgpack.packb([*attrs.astuple(identity), hello.nonce])
    return packed


def parse_hello(frame: Any) -> Hello | FrameMalformed:
    """Return the hello in an unpacked frame, or a failure if it is invalid."""
    name_count = len(attrs.fields(Identity))
    if not isinstance(frame, list) or len(frame) != name_count + 1:
        return FrameMalformed('the hello is not an array of its fields')
    if not all(_is_valid_name(name) for name in frame[:name_count]):
        return FrameMalformed('a name in the hello is not a short string')
    nonce = frame[name_count]
    if not isinstance(nonce, bytes) or len(nonce) != NONCE_BYTES:
        return FrameMalformed('the nonce in the hello has the wrong size')
    return Hello(Identity(*frame[:name_count]), nonce)


def proof(secret: bytes, side: str, dialer: Hello, listener: Hello) -> bytes:
    """Return the proof that a side knows the shared secret.

    Args:
        secret: Shared secret of the deployment.
        side: `dialer` or `listener`.
        dialer: Hello of the dialer.
        listener: Hello of the listener.
    """
    transcript = pack_hello(dialer) + pack_hello(listener)
    return hmac.digest(secret, side.encode() + transcript, 'sha256')


def check_proof(expected: bytes, received: Any) -> PeerUnauthenticated | None:
    """Return a failure if a received proof differs from the expected one."""
    has_proof_size = (
        isinstance(received, bytes) and len(received) == PROOF_BYTES
    )
    if has_proof_size and hmac.compare_digest(expected, received):
        return None
    return PeerUnauthenticated('the peer does not know the shared secret')


def session_keys(secret: bytes, dialer: Hello, listener: Hello) -> SessionKeys:
    """Return the session keys, derived from the secret and both hellos."""
    transcript = hashlib.sha256(
        pack_hello(dialer) + pack_hello(listener),
    ).digest()
    return SessionKeys(
        hmac.digest(secret, b'frames of the dialer' + transcript, 'sha256'),
        hmac.digest(secret, b'frames of the listener' + transcript, 'sha256'),
    )


def _is_valid_name(name: object) -> bool:
    return isinstance(name, str) and len(name) <= NAME_LIMIT
