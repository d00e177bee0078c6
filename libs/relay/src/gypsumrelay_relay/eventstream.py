"""Splits an event stream into complete events."""

from __future__ import annotations

import re
from typing import Final

import attrs

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
    """

    buffer: bytes = b''

    def feed(self, piece: bytes) -> EventBlock | None:
        """Append bytes; return the events that are complete now, or None."""
        self.buffer += piece
        ends = [found.end() for found in _END.finditer(self.buffer)]
        if not ends:
            return None
        end = ends[-1]
        raw = self.buffer[:end]
        self.buffer = self.buffer[end:]
        ids = _ID.findall(raw)
        last_id = ids[-1].decode('latin-1') if ids else ''
        return EventBlock(raw, last_id, len(ends))
