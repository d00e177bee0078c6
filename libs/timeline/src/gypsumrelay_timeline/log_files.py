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
CONTEXT_MS: Final = 1000
# The store sends a new configuration version to all processes within
# milliseconds, so the times at which they log it show the differences
# between their clocks.
VERSION_EVENT: Final = 'configuration'
STORE_SOURCE: Final = 'store'
_EVENT_FIELDS: Final = frozenset(
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

LogEntries = list[dict[str, Any]]
# Times in milliseconds at which versions of the configuration were received, by
# epoch of the store and offset, since offsets repeat after a restore.
ReceiptTimes = dict[tuple[int, int], float]


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
    entries_by_instance: dict[str, LogEntries] = defaultdict(list)
    unreadable: dict[str, int] = {}
    for path in _files(paths):
        valid_entries, invalid_count = _read_entries(path)
        if invalid_count:
            unreadable[str(path)] = invalid_count
        for entry in valid_entries:
            entries_by_instance[entry['instance']].append(entry)
    offsets = clock_offsets(entries_by_instance)
    event_lists = [
        [_to_event(log_entry, offsets[name]) for log_entry in entries]
        for name, entries in entries_by_instance.items()
    ]
    return Logs(merge(event_lists), unreadable, offsets)


def clock_offsets(
    entries_by_instance: Mapping[str, LogEntries],
) -> dict[str, int]:
    """Return the milliseconds by which each instance's clock is ahead.

    An instance without a version that another instance logged too has the
    offset 0.
    """
    receipt_times = {
        name: _receipt_times(entries)
        for name, entries in entries_by_instance.items()
    }
    medians = _median_times(receipt_times.values())
    return {
        name: _offset(own_times, medians)
        for name, own_times in receipt_times.items()
    }


def select_with_changes(events: list[Event], query: Query) -> list[Event]:
    """Return the matching events, with concurrent changes of the system.

    A query for a request also returns events without a request id that
    occurred from `CONTEXT_MS` before it to `CONTEXT_MS` after it.
    """
    matching = select(events, query)
    if not matching or not query.request_id:
        return matching
    begin_ms = matching[0].stamp.wall_ms - CONTEXT_MS
    end_ms = matching[-1].stamp.wall_ms + CONTEXT_MS
    return [
        event
        for event in events
        if event.request_id == query.request_id
        or (not event.request_id and begin_ms <= event.stamp.wall_ms <= end_ms)
    ]


def _files(paths: Iterable[Path]) -> list[Path]:
    files: list[Path] = []
    for path in paths:
        if path.is_dir():
            files.extend(
                sorted(child for child in path.iterdir() if child.is_file()),
            )
        else:
            files.append(path)
    return files


def _read_entries(path: Path) -> tuple[LogEntries, int]:
    """Return a file's valid log entries and its number of other lines."""
    with path.open(encoding='utf-8', errors='replace') as lines:
        parsed = [_parse(line) for line in lines]
    valid_entries = [entry for entry in parsed if entry is not None]
    return valid_entries, len(parsed) - len(valid_entries)


def _receipt_times(entries: LogEntries) -> ReceiptTimes:
    """Return the time in milliseconds at which each version was received.

    Only versions received from the store count.
    """
    return {
        (entry.get('epoch', 0), entry['position']): entry['time']
        * MS_PER_SECOND
        for entry in entries
        if entry['event'] == VERSION_EVENT
        and entry.get('source') == STORE_SOURCE
    }


def _median_times(
    receipt_times: Iterable[ReceiptTimes],
) -> ReceiptTimes:
    """Return the median time in milliseconds of each version's receipt.

    Versions that only one instance received are left out.
    """
    times: dict[tuple[int, int], list[float]] = defaultdict(list)
    for instance_times in receipt_times:
        for position, received_at in instance_times.items():
            times[position].append(received_at)
    return {
        shared_position: statistics.median(receipts)
        for shared_position, receipts in times.items()
        if len(receipts) > 1
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
    is_valid = isinstance(entry.get('time'), (int, float)) and all(
        isinstance(entry.get(name), str) for name in ('instance', 'event')
    )
    return entry if is_valid else None


def _offset(own_times: ReceiptTimes, medians: ReceiptTimes) -> int:
    differences = [
        received_at - medians[position]
        for position, received_at in own_times.items()
        if position in medians
    ]
    return round(statistics.median(differences)) if differences else 0


def _to_event(entry: dict[str, Any], offset_ms: int) -> Event:
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
            if name not in _EVENT_FIELDS
        },
    )
