"""Worker threads of an HTTP server, which are started on demand."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

import attrs
from waitress.task import ThreadedTaskDispatcher


@attrs.define(eq=False)
class Counted:
    """Task of a request that reports its end.

    Attributes:
        task: Task of waitress that serves the request.
        on_end: Called when the task has ended.
    """

    task: Any
    on_end: Callable[[], None]

    def service(self) -> None:
        """Serve the request."""
        try:
            self.task.service()
        finally:
            self.on_end()

    def cancel(self) -> None:
        """Cancel the request before it is served."""
        self.task.cancel()


class GrowingDispatcher(ThreadedTaskDispatcher):  # type: ignore[misc]
    """Task dispatcher that starts a thread only if all others are busy.

    Each stream occupies a thread, but most instances of a large fleet never
    serve the maximum number of streams.
    """

    def __init__(self, most: int) -> None:
        """Set the maximum number of threads."""
        super().__init__()
        self.most = most
        self.open_requests = 0
        self.counting = threading.Lock()

    def add_task(self, task: Any) -> None:
        """Queue a request, and start a thread for it if none is idle."""
        with self.counting:
            self.open_requests += 1
            wanted = min(self.most, self.open_requests)
            if len(self.threads) < wanted:
                self.set_thread_count(wanted)
        super().add_task(Counted(task, self.end_request))

    def end_request(self) -> None:
        """Decrement the number of open requests."""
        with self.counting:
            self.open_requests -= 1
