"""Monotonic clock for all instants of a process."""

from gypsumrelay_clock.boottime import (
    monotonic,
)

__all__ = ('monotonic',)
