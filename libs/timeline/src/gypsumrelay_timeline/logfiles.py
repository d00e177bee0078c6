"""Events parsed from JSON log files of several processes."""

from __future__ import annotations

import json
import statistics
from collections import defaultdict
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any, Final

import attrs

from gypsumrelay_timeline.clock import Stamp
from gypsumrelay_timeline.events import Event, Query, merge, select

MS_PER_SECOND: Final = 1000
# Events without a request id are selected too if they occurred within this
# many milliseconds of the first or last event of the request.
AROUND_MS: Final = 1000
# The store sends a new configuration version to all processes within
# milliseconds, so the times at which they log it show the differences
# between their clocks.
SHARED_EVENT: Final = 'configuration'
SHARED_SOURCE: Final = 'store'
_OWN_MEMBERS: Final = frozenset(
    (
        'time',
        'instance',
        'part',
        'event',
        'request_id',
        'client_account',
        'upstream',
    ),
)

Lines = list[dict[str, Any]]


@attrs.frozen
class Logs:
    """Events of log files with corrected wall times.

    Attributes:
        events: All events, ordered by timestamp.
        unreadable: Number of lines that could not be parsed as events, by
            file.
        offsets_ms: Milliseconds subtracted from the times of each instance.
    """

    events: list[Event]
    unreadable: dict[str, int]
    offsets_ms: dict[str, int]


def read_logs(paths: Iterable[Path]) -> Logs:
    """Return the events of log files.

    Args:
        paths: Log files, or directories whose files are all read.

    Returns:
        The merged events, with differences between the instances' clocks
        corrected.

    Raises:
        OSError: A file cannot be read.
    """
    by_instance: dict[str, Lines] = defaultdict(list)
    unreadable: dict[str, int] = {}
    for path in _files(paths):
        sound, faulty = _read(path)
        if faulty:
            unreadable[str(path)] = faulty
        for entry in sound:
            by_instance[entry['instance']].append(entry)
    offsets = clock_offsets(by_instance)
    rings = [
        [_event(parsed, offsets[name]) for parsed in lines]
        for name, lines in by_instance.items()
    ]
    return Logs(merge(rings), unreadable, offsets)


def clock_offsets(by_instance: Mapping[str, Lines]) -> dict[str, int]:
    """Return the milliseconds by which each instance's clock is ahead.

    An instance without a version that another instance logged too has the
    offset 0.
    """
    taken = {name: _taken(lines) for name, lines in by_instance.items()}
    usual = _usual_times(taken.values())
    return {name: _offset(own, usual) for name, own in taken.items()}


def select_with_changes(events: list[Event], query: Query) -> list[Event]:
    """Return the matching events, with concurrent changes of the system.

    A query for a request also returns events without a request id that
    occurred from `AROUND_MS` before it to `AROUND_MS` after it.
    """
    own = select(events, query)
    if not own or not query.request_id:
        return own
    begin = own[0].stamp.wall_ms - AROUND_MS
    end = own[-1].stamp.wall_ms + AROUND_MS
    return [
        event
        for event in events
        if event.request_id == query.request_id
        or (not event.request_id and begin <= event.stamp.wall_ms <= end)
    ]


def _files(paths: Iterable[Path]) -> list[Path]:
    found: list[Path] = []
    for path in paths:
        if path.is_dir():
            found.extend(sorted(one for one in path.iterdir() if one.is_file()))
        else:
            found.append(path)
    return found


def _read(path: Path) -> tuple[Lines, int]:
    """Return a file's valid log entries and its number of other lines."""
    with path.open(encoding='utf-8', errors='replace') as lines:
        found = [_parse(line) for line in lines]
    sound = [entry for entry in found if entry is not None]
    return sound, len(found) - len(sound)


def _taken(lines: Lines) -> dict[int, float]:
    """Return the time in milliseconds at which each version was received.

    Only versions received from the store count. The keys are positions of
    the versions in the store.
    """
    return {
        entry['position']: entry['time'] * MS_PER_SECOND
        for entry in lines
        if entry['event'] == SHARED_EVENT
        and entry.get('source') == SHARED_SOURCE
    }


def _usual_times(taken: Iterable[dict[int, float]]) -> dict[int, float]:
    """Return the median time in milliseconds of each version's receipt.

    Versions that only one instance received are left out.
    """
    times: dict[int, list[float]] = defaultdict(list)
    for seen in taken:
        for position, at in seen.items():
            times[position].append(at)
    return {
        shared: statistics.median(found)
        for shared, found in times.items()
        if len(found) > 1
    }


def _parse(line: str) -> dict[str, Any] | None:
    """Return the JSON object of a log line, or None for an invalid line.

    Text before the first brace is ignored.
    """
    start = line.find('{')
    try:
        entry = json.loads(line[start:]) if start >= 0 else None
    except ValueError:
        return None
    if not isinstance(entry, dict):
        return None
    is_sound = isinstance(entry.get('time'), (int, float)) and all(
        isinstance(entry.get(name), str) for name in ('instance', 'event')
    )
    return entry if is_sound else None


def _offset(positions: dict[int, float], usual: dict[int, float]) -> int:
    ahead = [
        at - usual[position]
        for position, at in positions.items()
        if position in usual
    ]
    return round(statistics.median(ahead)) if ahead else 0


def _event(entry: dict[str, Any], offset_ms: int) -> Event:
    wall_ms = round(entry['time'] * MS_PER_SECOND) - offset_ms
    return Event(
        Stamp(wall_ms),
        entry['instance'],
        entry.get('part', 'requests'),
        entry['event'],
        entry.get('request_id', ''),
        entry.get('client_account', ''),
        entry.get('upstream', ''),
        {
            name: member
            for name, member in entry.items()
            if name not in _OWN_MEMBERS
        },
    )
