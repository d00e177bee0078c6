"""Monotonic clock that includes the time for which a machine is suspended."""

from __future__ import annotations

import time


def monotonic() -> float:
    """Return the current time in seconds; it never decreases.

    The standard library's clock of the same name stops while the machine is
    suspended, so that a lease would not expire during that time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
