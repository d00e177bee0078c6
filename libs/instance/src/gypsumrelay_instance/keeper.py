"""The process's copy of the configuration and how current it is."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable
from typing import Any, Final

import attrs
from gypsumrelay_configuration import (
    State,
    apply,
    dump_state,
    is_ready,
    load_state,
    next_offset,
    note_oldest,
    replace,
    skip,
)
from gypsumrelay_errors import Failure
from gypsumrelay_platform import Batch, Entry
from logbook import Logger

log = Logger('configuration')

NEVER: Final = float('-inf')


@attrs.define(eq=False)
class Keeper:
    """Applies the log to one state; readers see it without a lock.

    Attributes:
        state: The reduced state; its dictionaries are only replaced entry
            by entry, so that a lookup in another thread is safe.
        confirmed_at: When the log's end, or a peer that knows nothing
            newer, last confirmed the state.
        listeners: Called after each change of the state.
        observers: Called with each log entry, in offset order.
    """

    state: State = attrs.field(factory=State)
    confirmed_at: float = NEVER
    listeners: list[Callable[[], None]] = attrs.field(factory=list)
    observers: list[Callable[[Entry], None]] = attrs.field(factory=list)
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def next_offset(self) -> int:
        """Return the offset to read next."""
        return next_offset(self.state)

    def is_ready(self) -> bool:
        """Return whether the state has all that the log has dropped."""
        return is_ready(self.state)

    def apply_batch(self, batch: Batch) -> None:
        """Apply entries that were read from the log."""
        with self.lock:
            before = self.state.offset
            note_oldest(self.state, batch.oldest)
            for entry in batch.entries:
                self._apply_entry(entry)
            changed = self.state.offset != before
        if changed:
            self._notify()

    def confirm(self, asked_at: float) -> None:
        """Note that a read from an instant on found the end of the log."""
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def note_peer(self, offset: int) -> bool:
        """Note a peer's offset; return whether the peer knows more."""
        if offset > self.state.offset:
            return True
        self.confirmed_at = time.monotonic()
        return False

    def take_copy(self, encoded: bytes) -> None:
        """Take over a peer's copy where it is newer."""
        dumped = _parse(encoded)
        if dumped is None:
            log.warning('A peer sent a faulty copy of the configuration.')
            return
        with self.lock:
            taken = replace(self.state, load_state(dumped))
        if taken:
            self.confirmed_at = time.monotonic()
            self._notify()

    def encode_copy(self) -> bytes:
        """Return the state for a peer."""
        with self.lock:
            return json.dumps(dump_state(self.state)).encode()

    def _apply_entry(self, entry: Entry) -> None:
        if isinstance(entry.record, Failure):
            skip(self.state, entry.offset)
            log.error(
                'Skipped log entry {}: {}.',
                entry.offset,
                entry.record.sentence,
            )
        else:
            apply(self.state, entry.offset, entry.record)
        for observer in self.observers:
            observer(entry)

    def _notify(self) -> None:
        for listener in self.listeners:
            listener()


def _parse(encoded: bytes) -> dict[str, Any] | None:
    try:
        dumped = json.loads(encoded)
    except ValueError:
        return None
    return dumped if isinstance(dumped, dict) else None
