"""How far a reader has read, and which snapshots are on their way."""

from __future__ import annotations

from typing import Any, Final

import attrs

from gypsumrelay_configuration.records import SnapshotPart

# A reader without a state keeps the content of unfinished snapshots, so
# their number bounds its memory. A new one replaces the one that has waited
# longest for a part, whose writer is the likeliest to be gone.
SETS_KEPT: Final = 4
MAX_PARTS: Final = 65_536


@attrs.frozen
class Progress:
    """How many parts of a snapshot were read, in their order."""

    covers: int
    count: int
    received: int
    last_offset: int


@attrs.frozen
class Completed:
    """A snapshot whose parts are all in the log."""

    snapshot_id: str
    covers: int


Sets = dict[str, Progress]


@attrs.define
class Intake:
    """Where one reader is in the log; differs between readers.

    Attributes:
        scanned: Newest offset that was looked at.
        oldest: Oldest offset that the log is known to keep.
        sets: Unfinished snapshots that a reader without a state collects.
        pieces: The pieces of their parts.
    """

    scanned: int = -1
    oldest: int = 0
    sets: Sets = attrs.field(factory=dict)
    pieces: dict[str, list[dict[str, Any]]] = attrs.field(factory=dict)

    def collect(self, offset: int, part: SnapshotPart) -> bool:
        """Keep a part; return whether its snapshot is complete."""
        if not count_part(self.sets, offset, part):
            return False
        for abandoned in self.pieces.keys() - self.sets.keys():
            self.pieces.pop(abandoned)
        self.pieces.setdefault(part.snapshot_id, []).append(part.content)
        return is_complete(self.sets[part.snapshot_id])

    def clear(self) -> None:
        """Forget the collected parts."""
        self.sets.clear()
        self.pieces.clear()


def count_part(sets: Sets, offset: int, part: SnapshotPart) -> bool:
    """Count a part if it is the next one of its snapshot.

    Parts count only in their order from the first on, so a reader that
    starts inside a snapshot never takes it, and a repeated part is ignored.
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
    """Return whether all parts were read."""
    return progress.received == progress.count


def _open_set(sets: Sets, offset: int, part: SnapshotPart) -> Progress | None:
    possible = part.covers < offset and part.count in range(1, MAX_PARTS)
    if part.index or not possible:
        return None
    if len(sets) >= SETS_KEPT:
        sets.pop(min(sets, key=lambda name: sets[name].last_offset))
    return Progress(part.covers, part.count, 0, offset)
