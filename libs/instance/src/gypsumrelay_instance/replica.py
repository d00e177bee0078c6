"""The configuration state of a process and the time it was last current."""

from __future__ import annotations

import json
import threading
import zlib
from collections.abc import Callable
from typing import Final

import attrs
import cattrs
from gypsumrelay_clock import monotonic
from gypsumrelay_configuration import (
    State,
    apply,
    dump_state,
    is_ready,
    load_state,
    next_offset,
    note_oldest,
    replace,
    skip_offset,
)
from gypsumrelay_errors import Failure
from gypsumrelay_platform import Batch, Entry
from logbook import Logger

log = Logger('configuration')

# A copy with 22,000 accounts is 22 MB as JSON. A copy that would unpack to
# more than this is rejected, which bounds the memory it can take.
COPY_LIMIT_BYTES: Final = 67_108_864
# The fastest level, since the calling thread waits; it already gives most of
# the reduction in size.
COMPRESSION_LEVEL: Final = 1

_DECODE_ERRORS: Final = (
    ValueError,
    TypeError,
    RecursionError,
    zlib.error,
    cattrs.BaseValidationError,
)

NEVER: Final = float('-inf')


@attrs.define(eq=False)
class ConfigurationReplica:
    """Applies the log to one state, which threads read without a lock.

    Attributes:
        state: The reduced state. Its dictionaries are changed one entry at
            a time, so that lookups in other threads are safe.
        confirmed_at: Monotonic time in seconds at which the state was last
            known to be current: the log was read to its end, or a peer had
            no newer state.
        change_listeners: Called after each change of the state.
        observers: Called with each log entry, in the order of offsets.
        lock: Guards changes of the state.
    """

    state: State = attrs.field(factory=State)
    confirmed_at: float = NEVER
    change_listeners: list[Callable[[], None]] = attrs.field(factory=list)
    observers: list[Callable[[Entry], None]] = attrs.field(factory=list)
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def next_offset(self) -> int:
        """Return the offset of the next record to read."""
        return next_offset(self.state)

    def is_ready(self) -> bool:
        """Return whether the state covers all records the log has dropped."""
        return is_ready(self.state)

    def apply_batch(self, batch: Batch) -> None:
        """Apply a batch of entries that was read from the log."""
        with self.lock:
            before = self.state.offset
            note_oldest(self.state, batch.oldest)
            for entry in batch.entries:
                self._apply_entry(entry)
            changed = self.state.offset != before
        if changed:
            self._notify()

    def confirm(self, asked_at: float) -> None:
        """Confirm the state after the log was read to its end.

        Args:
            asked_at: Monotonic time in seconds before that read.
        """
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def is_behind_peer(self, offset: int) -> bool:
        """Return whether a peer's state is newer; confirm the own one if not.

        Args:
            offset: Offset of the peer's state.
        """
        if offset > self.state.offset:
            return True
        self.confirmed_at = monotonic()
        return False

    def load_copy(self, encoded: bytes) -> None:
        """Replace the state by a peer's copy if the copy is newer."""
        newer = _unpack(encoded)
        if newer is None:
            log.warning('Rejected a malformed copy of the configuration.')
            return
        with self.lock:
            replaced = replace(self.state, newer)
        if replaced:
            self.confirmed_at = monotonic()
            self._notify()

    def encode_copy(self) -> bytes:
        """Return a copy of the state, compressed to fit into one frame."""
        with self.lock:
            dumped = dump_state(self.state)
        return zlib.compress(json.dumps(dumped).encode(), COMPRESSION_LEVEL)

    def _apply_entry(self, entry: Entry) -> None:
        if isinstance(entry.record, Failure):
            skip_offset(self.state, entry.offset)
            log.error(
                'Skipped the malformed log entry at offset {}: {}.',
                entry.offset,
                entry.record.sentence,
            )
        else:
            apply(self.state, entry.offset, entry.record)
        for observer in self.observers:
            observer(entry)

    def _notify(self) -> None:
        for listener in self.change_listeners:
            listener()


def _unpack(encoded: bytes) -> State | None:
    unpacker = zlib.decompressobj()
    try:
        dumped = json.loads(unpacker.decompress(encoded, COPY_LIMIT_BYTES))
        return load_state(dumped)
    except _DECODE_ERRORS:
        return None
