"""Simulated weight store of the platform, with a rate limit."""

from __future__ import annotations

import threading

import attrs
from gypsumrelay_clock import monotonic

from gypsumrelay_standins.http_server import Request, Response


@attrs.define
class WeightStore:
    """Weight store that schedules loads sequentially at a limited rate.

    Attributes:
        bytes_per_second: Rate of loading, in bytes per second.
        available_at: Monotonic time in seconds of the next possible load.
    """

    bytes_per_second: int = 1_000_000_000
    available_at: float = 0
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def handle(self, request: Request) -> Response:
        """Return the response to one request."""
        if request.path != '/reserve':
            return Response({'error': 'not found'}, 404)
        seconds = int(request.json()['bytes']) / self.bytes_per_second
        with self.lock:
            now = monotonic()
            start_at = max(now, self.available_at)
            self.available_at = start_at + seconds
        return Response({'start_in_ms': int((start_at - now) * 1000)})
