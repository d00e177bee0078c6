"""Splits an event stream into complete events."""

from __future__ import annotations

import re
from typing import Final

import attrs

_END: Final = re.compile(rb'\r?\n\r?\n')
_ID: Final = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


@attrs.frozen
class Events:
    """One or more complete events.

    Attributes:
        raw: The unchanged bytes.
        last_id: The last event id among them; empty for none.
    """

    raw: bytes
    last_id: str


@attrs.define
class Splitter:
    """Buffers an incomplete event until its end arrives.

    Attributes:
        rest: The buffered start of an event.
    """

    rest: bytes = b''

    def feed(self, piece: bytes) -> Events | None:
        """Append bytes; return the events that are complete now, or None."""
        self.rest += piece
        end = 0
        for found in _END.finditer(self.rest):
            end = found.end()
        if not end:
            return None
        raw = self.rest[:end]
        self.rest = self.rest[end:]
        ids = _ID.findall(raw)
        return Events(raw, ids[-1].decode('latin-1') if ids else '')
