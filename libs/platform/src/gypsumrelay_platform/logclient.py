"""Client of the platform's append-only log service."""

from __future__ import annotations

from typing import Any, Final

import attrs
import urllib3
from gypsumrelay_configuration import Record, record_from_json, record_to_json
from gypsumrelay_errors import Failure, Outcome, PlatformUnavailable

from gypsumrelay_platform.http import exchange, new_pool

BATCH_RECORDS: Final = 500


@attrs.frozen
class Entry:
    """One record at its offset; a failure stands for a faulty record."""

    offset: int
    record: Record | Failure


@attrs.frozen
class Batch:
    """Some entries of the log.

    Attributes:
        entries: The entries, by offset.
        next_offset: From where to read on.
        oldest: The oldest offset that the log still keeps.
        at_end: Whether these were the newest entries.
    """

    entries: tuple[Entry, ...]
    next_offset: int
    oldest: int
    at_end: bool


@attrs.frozen
class LogClient:
    """Appends to and reads from the log service."""

    url: str
    pool: urllib3.PoolManager = attrs.field(factory=new_pool)

    def append(self, records: list[Record]) -> int | PlatformUnavailable:
        """Append records; return the offset of the first."""
        body = {'records': [record_to_json(record) for record in records]}
        answer = exchange(self.pool, 'POST', f'{self.url}/append', body)
        if isinstance(answer, PlatformUnavailable):
            return answer
        try:
            return int(answer['first_offset'])
        except (TypeError, KeyError, ValueError):
            return _malformed()

    def read(self, offset: int) -> Batch | PlatformUnavailable:
        """Read a batch of entries from an offset on."""
        query = f'from={offset}&limit={BATCH_RECORDS}'
        answer = exchange(self.pool, 'GET', f'{self.url}/records?{query}')
        if isinstance(answer, PlatformUnavailable):
            return answer
        try:
            return _batch(answer)
        except (TypeError, KeyError, ValueError):
            return _malformed()


def _batch(answer: dict[str, Any]) -> Batch:
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


def _malformed() -> PlatformUnavailable:
    return PlatformUnavailable(
        'the log service answered with missing fields',
        Outcome.unknown,
    )
