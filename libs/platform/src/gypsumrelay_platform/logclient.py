"""Client of the platform's append-only log service."""

from __future__ import annotations

from typing import Any, Final

import attrs
import urllib3
from gypsumrelay_configuration import Record, record_from_json, record_to_json
from gypsumrelay_errors import Failure, Outcome, PlatformUnavailable

from gypsumrelay_platform.http import FIELD_ERRORS, exchange, new_pool

BATCH_RECORDS: Final = 500


@attrs.frozen
class Entry:
    """One log entry; a failure in place of the record if it is malformed."""

    offset: int
    record: Record | Failure


@attrs.frozen
class Batch:
    """Consecutive entries of the log.

    Attributes:
        entries: Entries in the order of offsets.
        next_offset: Offset of the next record to read.
        oldest: Oldest offset that the log still holds.
        at_end: Whether the log had no further entries.
    """

    entries: tuple[Entry, ...]
    next_offset: int
    oldest: int
    at_end: bool


@attrs.frozen
class LogClient:
    """Client that appends to the log and reads from it."""

    url: str
    pool: urllib3.PoolManager = attrs.field(factory=new_pool)

    def append(self, records: list[Record]) -> int | PlatformUnavailable:
        """Append records and return the offset of the first one."""
        body = {'records': [record_to_json(record) for record in records]}
        answer = exchange(self.pool, 'POST', f'{self.url}/append', body)
        if isinstance(answer, PlatformUnavailable):
            return answer
        try:
            return int(answer['first_offset'])
        except FIELD_ERRORS:
            return _missing_fields()

    def read(self, offset: int) -> Batch | PlatformUnavailable:
        """Return a batch of entries, starting at an offset."""
        query = f'from={offset}&limit={BATCH_RECORDS}'
        answer = exchange(self.pool, 'GET', f'{self.url}/records?{query}')
        if isinstance(answer, PlatformUnavailable):
            return answer
        try:
            return _parse_batch(answer)
        except FIELD_ERRORS:
            return _missing_fields()


def _parse_batch(answer: dict[str, Any]) -> Batch:
    entries = tuple(
        Entry(int(raw['offset']), record_from_json(raw['record']))
        for raw in answer['records']
    )
    return Batch(
        entries,
        int(answer['next']),
        int(answer['oldest']),
        len(entries) < BATCH_RECORDS,
    )


def _missing_fields() -> PlatformUnavailable:
    return PlatformUnavailable(
        'the log service answered with missing fields',
        Outcome.unknown,
    )
