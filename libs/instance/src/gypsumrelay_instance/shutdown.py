"""Signals that end a process."""

from __future__ import annotations

import signal
import threading


def wait_for_signal() -> None:
    """Return on SIGTERM or SIGINT; must run in the main thread."""
    stopped = threading.Event()

    def stop(signal_number: int, frame: object) -> None:
        stopped.set()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    stopped.wait()
