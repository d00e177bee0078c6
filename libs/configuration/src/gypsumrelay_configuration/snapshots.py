"""Snapshots of the state, split into log records of limited size."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterator
from typing import Any, Final

import cattrs

from gypsumrelay_configuration.progress import (
    Completed,
    count_part,
    is_complete,
)
from gypsumrelay_configuration.records import SnapshotPart
from gypsumrelay_configuration.state import State, dump_state, load_state

# A reader gets up to 500 records in one response; with this limit on the
# size of a record, the response stays within 32 MB.
RECORD_LIMIT_BYTES: Final = 65_536
# Upper bound of the fields of a part other than its content.
PART_OVERHEAD_BYTES: Final = 1024
DIGEST_LENGTH: Final = 32

Content = dict[str, Any]

# Members of the state that are documents, not mappings of many entries.
_INDIVISIBLE: Final = frozenset(('configuration', 'completed'))


def split_state(
    state: State,
    limit: int = RECORD_LIMIT_BYTES,
) -> list[SnapshotPart]:
    """Return the parts of a snapshot of the state.

    Equal states give equal parts.

    Args:
        state: State to split.
        limit: Maximum size of a part in bytes.
    """
    dumped = dump_state(state)
    snapshot_id = _snapshot_id(state.offset, dumped)
    part_contents = list(_pack_contents(dumped, limit - PART_OVERHEAD_BYTES))
    return [
        SnapshotPart(
            f'{snapshot_id}-{index}',
            snapshot_id,
            state.offset,
            index,
            len(part_contents),
            content,
            as_of=state.offset,
        )
        for index, content in enumerate(part_contents)
    ]


def track_part(state: State, offset: int, part: SnapshotPart) -> None:
    """Record the progress of a part's snapshot in the state."""
    if not count_part(state.snapshots, offset, part):
        return
    if not is_complete(state.snapshots[part.snapshot_id]):
        return
    state.snapshots.pop(part.snapshot_id)
    known = state.completed
    if known is None or part.covers > known.covers:
        state.completed = Completed(part.snapshot_id, part.covers)


def buffer_part(
    state: State,
    offset: int,
    part: SnapshotPart,
) -> State | None:
    """Buffer a part and return the state of the snapshot if it is complete.

    Used by a reader that has missed records and needs a snapshot.
    """
    if part.covers <= state.offset:
        return None
    if not state.read_position.add_part(offset, part):
        return None
    part_contents = state.read_position.buffered[part.snapshot_id]
    state.read_position.clear()
    return _assemble(part, part_contents)


def _assemble(part: SnapshotPart, part_contents: list[Content]) -> State | None:
    dumped: Content = {}
    try:
        for content in part_contents:
            _merge(dumped, content)
    except (TypeError, ValueError, AttributeError):
        return None
    if _snapshot_id(part.covers, dumped) != part.snapshot_id:
        return None
    try:
        newer = load_state(dumped)
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError):
        return None
    return newer if newer.offset == part.covers else None


def _merge(target: Content, entry: Content) -> None:
    for name, member in entry.items():
        if isinstance(member, dict):
            target.setdefault(name, {}).update(member)
        else:
            target[name] = member


def _pack_contents(dumped: Content, limit: int) -> Iterator[Content]:
    """Return contents below a size limit; a larger entry gets its own."""
    content: Content = {}
    size = 0
    for name, member in dumped.items():
        for entry in _split_member(name, member):
            entry_size = len(json.dumps(entry))
            if content and size + entry_size > limit:
                yield content
                content = {}
                size = 0
            _merge(content, entry)
            size += entry_size
    yield content


def _split_member(name: str, member: Any) -> Iterator[Content]:
    indivisible = not isinstance(member, dict) or name in _INDIVISIBLE
    if indivisible or not member:
        yield {name: member}
        return
    for key in sorted(member):
        yield {name: {key: member[key]}}


def _snapshot_id(covers: int, dumped: Content) -> str:
    text = json.dumps(dumped, sort_keys=True)
    digest = hashlib.sha256(text.encode()).hexdigest()
    return f'{covers}-{digest[:DIGEST_LENGTH]}'
