"""Simulated instance list of the platform, with a propagation delay."""

from __future__ import annotations

import threading
from typing import Any

import attrs
from gypsumrelay_clock import monotonic

from gypsumrelay_standins.http_server import Request, Response


@attrs.define
class InstanceList:
    """Instance list whose changes become visible after a delay.

    Attributes:
        lag_seconds: Seconds until a change is visible.
        down: Whether reads are rejected.
        changes: Pending changes with the times at which they become visible.
        instances: Visible instances by name.
        version: Number of visible changes.
    """

    lag_seconds: float = 0.5
    down: bool = False
    changes: list[tuple[float, dict[str, Any]]] = attrs.field(factory=list)
    instances: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    version: int = 0
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def handle(self, request: Request) -> Response:
        """Return the response to one request."""
        if request.path == '/fault':
            return self.set_faults(request.json())
        if request.path == '/change':
            with self.lock:
                visible_at = monotonic() + self.lag_seconds
                self.changes.append((visible_at, request.json()))
            return Response({})
        if self.down:
            return Response({'error': 'down'}, 503)
        with self.lock:
            self.apply_due_changes()
            return Response(
                {
                    'version': self.version,
                    'instances': list(self.instances.values()),
                },
            )

    def set_faults(self, faults: dict[str, Any]) -> Response:
        """Set the delay or availability of the list."""
        for name, setting in faults.items():
            setattr(self, name, setting)
        return Response({})

    def apply_due_changes(self) -> None:
        """Apply the pending changes whose delay has passed."""
        now = monotonic()
        while self.changes and self.changes[0][0] <= now:
            _, change = self.changes.pop(0)
            self.version += 1
            if change['state'] == 'gone':
                self.instances.pop(change['name'], None)
            else:
                self.instances[change['name']] = change
