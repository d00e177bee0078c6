"""Simulated append-only log service of the platform."""

from __future__ import annotations

import threading
import time
from typing import Any

import attrs

from gypsumrelay_standins.http_server import Request, Response


@attrs.define
class LogFaults:
    """Faults injected into the log service.

    Attributes:
        down: Whether requests are rejected without effect.
        slow_ms: Additional milliseconds for each request.
        lose_answers: Number of upcoming appends that take effect but whose
            responses are lost.
    """

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0


@attrs.define
class LogService:
    """In-memory log that drops its oldest records beyond the retention.

    Attributes:
        retention: Maximum number of records.
        records: The retained records, the oldest first.
        oldest: Offset of the oldest retained record.
        appends: Number of append requests.
        faults: The injected faults.
    """

    retention: int = 1_000_000
    records: list[Any] = attrs.field(factory=list)
    oldest: int = 0
    appends: int = 0
    faults: LogFaults = attrs.field(factory=LogFaults)
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def handle(self, request: Request) -> Response:
        """Return the response to one request."""
        if request.path == '/fault':
            return self.set_faults(request.json())
        if request.path == '/retention':
            self.retention = int(request.json()['retention'])
            return Response({})
        time.sleep(self.faults.slow_ms / 1000)
        if self.faults.down:
            return Response({'error': 'down'}, 503)
        if request.path == '/append':
            return self.append(request.json()['records'])
        if request.path == '/records':
            return self.read(request.query)
        return Response({'appends': self.appends, 'next': self.next_offset()})

    def set_faults(self, faults: dict[str, Any]) -> Response:
        """Set the given faults and leave the others unchanged."""
        for name, setting in faults.items():
            setattr(self.faults, name, setting)
        return Response({})

    def append(self, new_records: list[Any]) -> Response:
        """Append records and return the offset of the first one."""
        with self.lock:
            first = self.next_offset()
            self.records.extend(new_records)
            self.appends += 1
            excess = max(0, len(self.records) - self.retention)
            del self.records[:excess]
            self.oldest += excess
            is_lost = self.faults.lose_answers > 0
            self.faults.lose_answers -= int(is_lost)
        if is_lost:
            return Response({'error': 'the answer is lost'}, 500)
        return Response({'first_offset': first})

    def read(self, query: dict[str, str]) -> Response:
        """Return records from an offset, up to a limit."""
        with self.lock:
            first_offset = max(int(query.get('from', '0')), self.oldest)
            limit = int(query.get('limit', '500'))
            start_index = first_offset - self.oldest
            selected = self.records[start_index : start_index + limit]
            oldest = self.oldest
        entries = [
            {'offset': first_offset + index, 'record': record}
            for index, record in enumerate(selected)
        ]
        return Response(
            {
                'records': entries,
                'next': first_offset + len(entries),
                'oldest': oldest,
            },
        )

    def next_offset(self) -> int:
        """Return the offset of the next record."""
        return self.oldest + len(self.records)
