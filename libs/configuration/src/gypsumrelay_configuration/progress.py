"""Position of a reader in the log, and progress of unfinished snapshots."""

from __future__ import annotations

from typing import Any, Final

import attrs

from gypsumrelay_configuration.records import SnapshotPart

# Bounds the memory of a reader that needs a snapshot to start, since it
# buffers the content of unfinished ones. A further snapshot evicts the one
# whose last part is the oldest: its writer has most likely stopped.
MAX_UNFINISHED: Final = 4
MAX_PARTS: Final = 65_536


@attrs.frozen
class SnapshotProgress:
    """Progress of a snapshot whose parts are read in their order.

    Attributes:
        covers: Offset up to and including which the snapshot holds the
            state.
        count: Number of parts.
        received: Number of parts that were read.
        last_offset: Offset of the last part that was read.
    """

    covers: int
    count: int
    received: int
    last_offset: int


@attrs.frozen
class Completed:
    """A snapshot of which every part is in the log.

    `scheduling.py` hashes the representation of this class, and the processes
    compare the hashes, so the names of the class and of its fields must not
    change.
    """

    snapshot_id: str
    covers: int


UnfinishedSnapshots = dict[str, SnapshotProgress]


@attrs.define
class ReadPosition:
    """Position of one reader in the log; differs between readers.

    Attributes:
        last_read: Newest offset that was read, whether or not it was applied.
        oldest: Oldest offset that the log is known to hold.
        unfinished: Progress of the unfinished snapshots that a reader with
            a gap in its state buffers, by snapshot id.
        buffered: Buffered content of their parts, by snapshot id.
    """

    last_read: int = -1
    oldest: int = 0
    unfinished: UnfinishedSnapshots = attrs.field(factory=dict)
    buffered: dict[str, list[dict[str, Any]]] = attrs.field(factory=dict)

    def add_part(self, offset: int, part: SnapshotPart) -> bool:
        """Buffer a part and return whether its snapshot is complete."""
        if not count_part(self.unfinished, offset, part):
            return False
        for abandoned in self.buffered.keys() - self.unfinished.keys():
            self.buffered.pop(abandoned)
        self.buffered.setdefault(part.snapshot_id, []).append(part.content)
        return is_complete(self.unfinished[part.snapshot_id])

    def clear(self) -> None:
        """Discard all buffered parts."""
        self.unfinished.clear()
        self.buffered.clear()


def count_part(
    unfinished: UnfinishedSnapshots, offset: int, part: SnapshotPart
) -> bool:
    """Count a part if it is the next one of its snapshot.

    Parts count only in their order, from the first one on. A reader that
    starts in the middle of a snapshot therefore never completes it, and a
    repeated part is ignored.

    Returns:
        Whether the part was counted.
    """
    found = unfinished.get(part.snapshot_id) or _start_progress(
        unfinished, offset, part
    )
    if found is None or part.index != found.received:
        return False
    if (found.covers, found.count) != (part.covers, part.count):
        return False
    unfinished[part.snapshot_id] = attrs.evolve(
        found,
        received=found.received + 1,
        last_offset=offset,
    )
    return True


def is_complete(progress: SnapshotProgress) -> bool:
    """Return whether all parts of the snapshot were read."""
    return progress.received == progress.count


def _start_progress(
    unfinished: UnfinishedSnapshots, offset: int, part: SnapshotPart
) -> SnapshotProgress | None:
    possible = part.covers < offset and part.count in range(1, MAX_PARTS)
    if part.index or not possible:
        return None
    if len(unfinished) >= MAX_UNFINISHED:
        unfinished.pop(
            min(unfinished, key=lambda name: unfinished[name].last_offset)
        )
    return SnapshotProgress(part.covers, part.count, 0, offset)
