"""Authenticated frames of a sequence number, a truncated HMAC and a payload."""

from __future__ import annotations

import hmac
from typing import Any, Final

import attrs
import msgpack
from gypsumrelay_errors import FrameMalformed, PeerUnauthenticated

# Maximum request body that the settings allow, and its headers.
FRAME_LIMIT_BYTES: Final = 12_582_912
MAC_BYTES: Final = 8
SEQUENCE_BYTES: Final = 8
FRAME_FIELDS: Final = 3

FrameFault = FrameMalformed | PeerUnauthenticated


def _mac(key: bytes, sequence: int, payload: bytes) -> bytes:
    signed = sequence.to_bytes(SEQUENCE_BYTES, 'big') + payload
    return hmac.digest(key, signed, 'sha256')[:MAC_BYTES]


@attrs.define
class FrameWriter:
    """Numbers and authenticates the frames of one direction.

    Attributes:
        key: Session key of this direction.
        sequence: Sequence number of the next frame.
    """

    key: bytes
    sequence: int = 0

    def frame(self, payload: bytes) -> bytes:
        """Return the next frame, with this payload."""
        mac = _mac(self.key, self.sequence, payload)
        packed: bytes = msgpack.packb([self.sequence, mac, payload])
        self.sequence += 1
        return packed


def new_unpacker(limit: int) -> Any:
    """Return a streaming unpacker that rejects frames over a limit in bytes."""
    return msgpack.Unpacker(max_buffer_size=limit)


@attrs.define
class FrameReader:
    """Verifies the frames of one direction.

    Attributes:
        key: Session key of this direction.
        unpacker: Splits the received bytes into frames.
        sequence: Sequence number that the next frame must have.
    """

    key: bytes
    unpacker: Any
    sequence: int = 0

    def feed(self, received: bytes) -> list[bytes] | FrameFault:
        """Return the payloads of the frames that these bytes complete.

        Returns a failure if a frame is malformed or not authentic.
        """
        payloads = []
        try:
            self.unpacker.feed(received)
            frames = list(self.unpacker)
        except (ValueError, msgpack.UnpackException, msgpack.BufferFull):
            return FrameMalformed('a frame is oversized or not msgpack')
        for frame in frames:
            payload = self._verify(frame)
            if not isinstance(payload, bytes):
                return payload
            payloads.append(payload)
        return payloads

    def _verify(self, frame: Any) -> bytes | FrameFault:
        if not isinstance(frame, list) or len(frame) != FRAME_FIELDS:
            return FrameMalformed('a frame is not an array of its fields')
        sequence, mac, payload = frame
        if not isinstance(mac, bytes) or not isinstance(payload, bytes):
            return FrameMalformed('a field of a frame has the wrong type')
        if sequence != self.sequence:
            return PeerUnauthenticated('a frame is out of sequence')
        if not hmac.compare_digest(mac, _mac(self.key, sequence, payload)):
            return PeerUnauthenticated('a frame fails authentication')
        self.sequence += 1
        return payload
