"""Saved starts of streams, which outlive all relays.

The coordinator saves in the store which version began each stream. The records
form a ring: each has one of `SLOTS` keys, so that the topic keeps the newest
ones only.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, Final

import attrs
import msgpack
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import drop_oldest, merge_starts
from gypsumrelay_errors import Failure

from gypsumrelay_relay import stream_messages as messages
from gypsumrelay_relay.store_epoch import offset_of
from gypsumrelay_relay.topics import Topic, TopicCopy, refresh

if TYPE_CHECKING:
    from gypsumrelay_relay.topics import Store

# Number of records that are kept; with one each `SAVE_SECONDS` they cover two
# minutes, longer than any stream.
SLOTS: Final = 512
# Shortest interval in seconds between records. What began since the last one is
# lost if all relays end at once.
SAVE_SECONDS: Final = 0.25
# Shortest interval in seconds between reads.
READ_SECONDS: Final = 0.1
# Delay in seconds before a failed read or write is repeated.
RETRY_SECONDS: Final = 0.3
# Maximum number of starts in one record.
MAX_BATCH: Final = 8192

Tell = Callable[[Any], None]


def tell_nobody(message: Any) -> None:
    """Tell nobody; the default until the coordinator has started."""


@attrs.define(eq=False)
class StreamLog:
    """Saves starts of streams in the background, and reads them on request.

    Attributes:
        store: The store.
        tell: Tells the coordinator of this relay what was read.
        unsaved: Versions of the streams that are not saved yet, by digest;
            guarded by `lock`.
        lock: Guards `unsaved`.
        copy: The copy of the topic; guarded by `copy_lock`.
        copy_lock: Guards `copy`.
        restored: Records whose starts the coordinator has been told, by slot.
        end: Offset that the next record is expected to get; negative before
            the first one.
        save_wanted: Set while there are unsaved starts.
        read_wanted: Set if the coordinator needs the saved starts.
        stopped: Ends both threads.
    """

    store: Store
    tell: Tell = tell_nobody
    unsaved: dict[bytes, str] = attrs.field(factory=dict)
    lock: threading.Lock = attrs.field(factory=threading.Lock)
    copy: TopicCopy = attrs.field(factory=lambda: TopicCopy(Topic.streams))
    copy_lock: threading.Lock = attrs.field(factory=threading.Lock)
    restored: dict[str, bytes] = attrs.field(factory=dict)
    end: int = -1
    save_wanted: threading.Event = attrs.field(factory=threading.Event)
    read_wanted: threading.Event = attrs.field(factory=threading.Event)
    stopped: threading.Event = attrs.field(factory=threading.Event)

    def start(self) -> None:
        """Start both threads."""
        self.store.epoch.listeners.append(
            lambda _: self.tell(messages.SavedStartsLost())
        )
        for target in (self.run_saves, self.run_reads):
            threading.Thread(target=target, daemon=True).start()

    def save(self, starts: Mapping[bytes, str]) -> None:
        """Save starts soon."""
        with self.lock:
            self.unsaved.update(starts)
            drop_oldest(self.unsaved)
        self.save_wanted.set()

    def request_read(self) -> None:
        """Read the saved starts soon, and tell the coordinator."""
        self.read_wanted.set()

    def run_saves(self) -> None:
        """Write a record whenever there are unsaved starts."""
        while not self.stopped.is_set():
            self.save_wanted.wait()
            self.stopped.wait(self.save_batch())

    def save_batch(self) -> float:
        """Write one record; return the seconds until the next one."""
        with self.lock:
            batch = dict(list(self.unsaved.items())[:MAX_BATCH])
        if batch and isinstance(self._append(encode(batch)), Failure):
            return RETRY_SECONDS
        with self.lock:
            for digest, version in batch.items():
                if self.unsaved.get(digest) == version:
                    self.unsaved.pop(digest)
            if not self.unsaved:
                self.save_wanted.clear()
        return SAVE_SECONDS

    def run_reads(self) -> None:
        """Read the saved starts whenever they are requested."""
        while not self.stopped.is_set():
            self.read_wanted.wait()
            self.read_wanted.clear()
            self.stopped.wait(self.read())

    def read(self) -> float:
        """Read the saved starts; return the seconds until the next read."""
        began_at = monotonic()
        with self.copy_lock:
            outcome = refresh(self.copy, self.store, 0)
            records = dict(self.copy.records)
        if isinstance(outcome, Failure):
            self.tell(messages.SavedStartsUnavailable())
            return RETRY_SECONDS
        starts: dict[bytes, str] = {}
        for slot, record in records.items():
            if self.restored.get(slot) != record:
                merge_starts(starts, decode(record))
        self.restored = records
        self.tell(messages.SavedStartsRead(starts, began_at))
        return READ_SECONDS

    def _append(self, record: bytes) -> int | Failure:
        """Write a record to the slot of the offset that it gets.

        If another relay writes as well, they may replace a record of each
        other, whose streams are then not known.
        """
        if self.end < 0:
            with self.copy_lock:
                outcome = refresh(self.copy, self.store, 0)
                self.end = offset_of(self.copy.position)
            if isinstance(outcome, Failure):
                return outcome
        slot = str(self.end % SLOTS)
        position = self.store.append(Topic.streams, slot, record, None)
        if not isinstance(position, Failure):
            self.end = offset_of(position) + 1
        return position


def encode(starts: Mapping[bytes, str]) -> bytes:
    """Return a record of versions by digest."""
    by_version: dict[str, list[bytes]] = {}
    for digest, version in starts.items():
        by_version.setdefault(version, []).append(digest)
    packed: bytes = msgpack.packb(by_version)
    return packed


def decode(record: bytes) -> dict[bytes, str]:
    """Return the versions by digest in a record; nothing if it is malformed."""
    try:
        unpacked = msgpack.unpackb(record)
    except (ValueError, msgpack.UnpackException):
        return {}
    if not isinstance(unpacked, dict):
        return {}
    return {
        digest: version
        for version, digests in unpacked.items()
        if isinstance(version, str) and isinstance(digests, list)
        for digest in digests
        if isinstance(digest, bytes)
    }
