"""Simulated plain service that records every request."""

from __future__ import annotations

import os
import threading
import time
from typing import Any

import attrs

from gypsumrelay_standins.http_server import Request, Response


@attrs.define
class PlainService:
    """Service that echoes the body of each request and records it.

    Attributes:
        work_ms: Processing time of a request, in milliseconds.
        runs: Records of all processed requests.
    """

    work_ms: int = 5
    runs: list[dict[str, Any]] = attrs.field(factory=list)
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def handle(self, request: Request) -> Response:
        """Return the response to one request."""
        if request.path == '/record':
            with self.lock:
                return Response({'runs': [dict(run) for run in self.runs]})
        if request.path == '/fault':
            self.work_ms = int(request.json()['work_ms'])
            return Response({})
        run = self.record_start(request)
        if b'crash-upstream' in request.body:
            os._exit(1)
        time.sleep(self.work_ms / 1000)
        run['finished'] = time.time()
        return Response(
            {'path': request.path, 'echo': request.body.decode('utf-8')},
            headers=(('X-Service-Run', str(len(self.runs))),),
        )

    def record_start(self, request: Request) -> dict[str, Any]:
        """Record the start of a run and return the record."""
        run = {
            'method': request.method,
            'path': request.path,
            'headers': request.headers,
            'body': request.body.decode('utf-8'),
            'started': time.time(),
            'finished': None,
        }
        with self.lock:
            self.runs.append(run)
        return run
