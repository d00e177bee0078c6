"""Worker threads of an HTTP server, which are started on demand."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

import attrs
from waitress.task import ThreadedTaskDispatcher


@attrs.define(eq=False)
class CountedTask:
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


class OnDemandDispatcher(ThreadedTaskDispatcher):  # type: ignore[misc]
    """Task dispatcher that starts a thread only if all others are busy.

    Each stream occupies a thread, but most instances of a large fleet never
    serve the maximum number of streams.
    """

    def __init__(self, max_threads: int) -> None:
        """Set the maximum number of threads."""
        super().__init__()
        self.max_threads = max_threads
        self.open_requests = 0
        self.count_lock = threading.Lock()

    def add_task(self, task: Any) -> None:
        """Queue a request, and start a thread for it if none is idle."""
        with self.count_lock:
            self.open_requests += 1
            thread_count = min(self.max_threads, self.open_requests)
            if len(self.threads) < thread_count:
                self.set_thread_count(thread_count)
        super().add_task(CountedTask(task, self.end_request))

    def end_request(self) -> None:
        """Decrement the number of open requests."""
        with self.count_lock:
            self.open_requests -= 1
