"""Signals that stop the process or reload its settings."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

from gypsumrelay_clock import monotonic

if TYPE_CHECKING:
    import threading


def handle_signals(
    stopping: threading.Event,
    reloading: threading.Event,
    instants: list[float],
) -> None:
    """Set an event on SIGTERM, SIGINT or SIGHUP.

    Args:
        stopping: The event for SIGTERM and SIGINT.
        reloading: The event for SIGHUP.
        instants: The instants of SIGTERM and SIGINT so far, to which later
            ones are added. The time limit of a shutdown counts from the first
            one, which may arrive while the relay is still starting.
    """

    def stop(*_: object) -> None:
        instants.append(monotonic())
        stopping.set()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    signal.signal(signal.SIGHUP, lambda *_: reloading.set())
    if instants:
        stopping.set()
