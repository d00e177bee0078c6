"""Splits an event stream into complete events."""

from __future__ import annotations

import re
from typing import Final

import attrs

# Bytes of an end of an event that may have arrived without the rest.
MAX_PARTIAL_END: Final = 3
_END: Final = re.compile(rb'\r?\n\r?\n')
_ID: Final = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


@attrs.frozen
class EventBlock:
    """One or more complete events.

    Attributes:
        raw: The unchanged bytes.
        last_id: The last event id among them; empty for none.
        count: Number of events.
    """

    raw: bytes
    last_id: str
    count: int = 1


@attrs.define
class EventSplitter:
    """Buffers an incomplete event until its end arrives.

    Attributes:
        buffer: The buffered start of an event.
        searched: Number of its bytes at which no end of an event begins.
    """

    buffer: bytearray = attrs.field(factory=bytearray)
    searched: int = 0

    def feed(self, piece: bytes) -> EventBlock | None:
        """Append bytes; return the events that are complete now, or None."""
        self.buffer += piece
        ends = [
            found.end() for found in _END.finditer(self.buffer, self.searched)
        ]
        end = ends[-1] if ends else 0
        # The last bytes may be the beginning of an end.
        self.searched = max(0, len(self.buffer) - end - MAX_PARTIAL_END)
        if not ends:
            return None
        raw = bytes(self.buffer[:end])
        del self.buffer[:end]
        ids = _ID.findall(raw)
        last_id = ids[-1].decode('latin-1') if ids else ''
        return EventBlock(raw, last_id, len(ends))
