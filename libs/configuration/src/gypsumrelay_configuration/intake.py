"""Position of a reader in the log, and progress of unfinished snapshots."""

from __future__ import annotations

from typing import Any, Final

import attrs

from gypsumrelay_configuration.records import SnapshotPart

# Bounds the memory of a reader that needs a snapshot to start, since it
# buffers the content of unfinished ones. A further snapshot evicts the one
# whose last part is the oldest: its writer has most likely stopped.
SETS_KEPT: Final = 4
MAX_PARTS: Final = 65_536


@attrs.frozen
class Progress:
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

    `duty.py` hashes the representation of this class, and the processes
    compare the hashes, so the names of the class and of its fields must not
    change.
    """

    snapshot_id: str
    covers: int


Sets = dict[str, Progress]


@attrs.define
class Intake:
    """Position of one reader in the log; differs between readers.

    Attributes:
        scanned: Newest offset that was read, whether or not it was applied.
        oldest: Oldest offset that the log is known to hold.
        sets: Progress of the unfinished snapshots that a reader with a gap
            in its state buffers, by snapshot id.
        pieces: Buffered content of their parts, by snapshot id.
    """

    scanned: int = -1
    oldest: int = 0
    sets: Sets = attrs.field(factory=dict)
    pieces: dict[str, list[dict[str, Any]]] = attrs.field(factory=dict)

    def collect(self, offset: int, part: SnapshotPart) -> bool:
        """Buffer a part and return whether its snapshot is complete."""
        if not count_part(self.sets, offset, part):
            return False
        for abandoned in self.pieces.keys() - self.sets.keys():
            self.pieces.pop(abandoned)
        self.pieces.setdefault(part.snapshot_id, []).append(part.content)
        return is_complete(self.sets[part.snapshot_id])

    def clear(self) -> None:
        """Discard all buffered parts."""
        self.sets.clear()
        self.pieces.clear()


def count_part(sets: Sets, offset: int, part: SnapshotPart) -> bool:
    """Count a part if it is the next one of its snapshot.

    Parts count only in their order, from the first one on. A reader that
    starts in the middle of a snapshot therefore never completes it, and a
    repeated part is ignored.

    Returns:
        Whether the part was counted.
    """
    found = sets.get(part.snapshot_id) or _open_set(sets, offset, part)
    if found is None or part.index != found.received:
        return False
    if (found.covers, found.count) != (part.covers, part.count):
        return False
    sets[part.snapshot_id] = attrs.evolve(
        found,
        received=found.received + 1,
        last_offset=offset,
    )
    return True


def is_complete(progress: Progress) -> bool:
    """Return whether all parts of the snapshot were read."""
    return progress.received == progress.count


def _open_set(sets: Sets, offset: int, part: SnapshotPart) -> Progress | None:
    possible = part.covers < offset and part.count in range(1, MAX_PARTS)
    if part.index or not possible:
        return None
    if len(sets) >= SETS_KEPT:
        sets.pop(min(sets, key=lambda name: sets[name].last_offset))
    return Progress(part.covers, part.count, 0, offset)
