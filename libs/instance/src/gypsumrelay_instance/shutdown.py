"""Signals that stop a process."""

from __future__ import annotations

import signal
import threading


def wait_for_signal() -> None:
    """Block until SIGTERM or SIGINT; to be called in the main thread."""
    stopped = threading.Event()

    def stop(signal_number: int, frame: object) -> None:
        stopped.set()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    stopped.wait()
