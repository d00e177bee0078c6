"""Snapshots of the state as log records of limited size."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterator
from typing import Any, Final

import cattrs

from gypsumrelay_configuration.intake import (
    Completed,
    count_part,
    is_complete,
)
from gypsumrelay_configuration.records import SnapshotPart
from gypsumrelay_configuration.state import State, dump_state, load_state

# The log takes records of limited size, and a reader takes 500 in one
# answer, which this keeps at 32 MB.
RECORD_LIMIT_BYTES: Final = 65_536
# What a part needs besides its content.
PART_OVERHEAD_BYTES: Final = 1024
DIGEST_LETTERS: Final = 32

Content = dict[str, Any]

# These members are documents, not mappings of many entries.
_WHOLE: Final = frozenset(('configuration', 'completed'))


def split_state(
    state: State,
    limit: int = RECORD_LIMIT_BYTES,
) -> list[SnapshotPart]:
    """Return the parts of a snapshot of the state, each below a limit.

    States that are equal give equal parts.
    """
    dumped = dump_state(state)
    snapshot_id = _snapshot_id(state.offset, dumped)
    pieces = list(_pack(dumped, limit - PART_OVERHEAD_BYTES))
    return [
        SnapshotPart(
            f'{snapshot_id}-{index}',
            snapshot_id,
            state.offset,
            index,
            len(pieces),
            content,
            as_of=state.offset,
        )
        for index, content in enumerate(pieces)
    ]


def note_part(state: State, offset: int, part: SnapshotPart) -> None:
    """Note which snapshots are complete, as a part of the state."""
    if not count_part(state.snapshots, offset, part):
        return
    if not is_complete(state.snapshots[part.snapshot_id]):
        return
    state.snapshots.pop(part.snapshot_id)
    known = state.completed
    if known is None or part.covers > known.covers:
        state.completed = Completed(part.snapshot_id, part.covers)


def collect_part(
    state: State,
    offset: int,
    part: SnapshotPart,
) -> State | None:
    """Collect a part after a gap; return the state that it completes."""
    if part.covers <= state.offset:
        return None
    if not state.intake.collect(offset, part):
        return None
    pieces = state.intake.pieces[part.snapshot_id]
    state.intake.clear()
    return _assemble(part, pieces)


def _assemble(part: SnapshotPart, pieces: list[Content]) -> State | None:
    dumped: Content = {}
    try:
        for content in pieces:
            _add(dumped, content)
    except (TypeError, ValueError, AttributeError):
        return None
    if _snapshot_id(part.covers, dumped) != part.snapshot_id:
        return None
    try:
        newer = load_state(dumped)
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError):
        return None
    return newer if newer.offset == part.covers else None


def _add(target: Content, piece: Content) -> None:
    for name, member in piece.items():
        if isinstance(member, dict):
            target.setdefault(name, {}).update(member)
        else:
            target[name] = member


def _pack(dumped: Content, limit: int) -> Iterator[Content]:
    """Return pieces below a limit; a larger entry stands alone."""
    content: Content = {}
    size = 0
    for name, member in dumped.items():
        for piece in _pieces(name, member):
            piece_size = len(json.dumps(piece))
            if content and size + piece_size > limit:
                yield content
                content = {}
                size = 0
            _add(content, piece)
            size += piece_size
    yield content


def _pieces(name: str, member: Any) -> Iterator[Content]:
    whole = not isinstance(member, dict) or name in _WHOLE
    if whole or not member:
        yield {name: member}
        return
    for key in sorted(member):
        yield {name: {key: member[key]}}


def _snapshot_id(covers: int, dumped: Content) -> str:
    text = json.dumps(dumped, sort_keys=True)
    digest = hashlib.sha256(text.encode()).hexdigest()
    return f'{covers}-{digest[:DIGEST_LETTERS]}'
