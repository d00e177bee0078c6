"""Requests that wait for the first configuration, bounded by memory."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Final

import attrs

from gypsumrelay_relay.operator_records import wait_for_configuration

if TYPE_CHECKING:
    from gypsumrelay_settings import RelaySettings

    from gypsumrelay_relay.context import Relay
    from gypsumrelay_relay.topics import OperatorState

MS_PER_SECOND: Final = 1000
BYTES_PER_MB: Final = 1_000_000
# Part of a caller's time for which its request waits. A caller honours a time
# to retry up to a third of what it has left, so that one who is turned away
# after a third can still come back in time.
WAIT_SHARE: Final = 0.33
# Longest wait in seconds; a relay that learns no configuration for longer lacks
# the store and all other relays, which another relay may reach.
LONGEST_WAIT_SECONDS: Final = 3.0
# Wait in seconds of a request whose caller states no deadline.
USUAL_WAIT_SECONDS: Final = 1.0
# Maximum part of the worker threads whose requests wait; the others go on to
# turn requests away.
THREAD_SHARE: Final = 0.5
# Maximum part of the instance's memory for the bodies of requests that wait.
MEMORY_SHARE: Final = 0.125
# Memory in MB of an instance whose memory is unknown; the smallest one that the
# platform has.
SMALLEST_MEMORY_MB: Final = 128


@attrs.define(eq=False)
class WaitLimit:
    """Limit on waiting requests, by number and bytes.

    Attributes:
        max_count: Maximum number of requests.
        max_bytes: Maximum bytes of their bodies.
        count: Number of waiting requests.
        waiting_bytes: Bytes of their bodies.
        lock: Guards the counts.
    """

    max_count: int
    max_bytes: float
    count: int = 0
    waiting_bytes: int = 0
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def acquire(self, size: int) -> bool:
        """Count a request that starts to wait, within the limit.

        Args:
            size: Bytes of its body.

        Returns:
            Whether it may wait; it has to be released afterwards.
        """
        with self.lock:
            fits = self.waiting_bytes + size <= self.max_bytes
            if self.count >= self.max_count or not fits:
                return False
            self.count += 1
            self.waiting_bytes += size
        return True

    def release(self, size: int) -> None:
        """Count a request that no longer waits."""
        with self.lock:
            self.count -= 1
            self.waiting_bytes -= size


def new_wait_limit(settings: RelaySettings) -> WaitLimit:
    """Return the limit on waiting requests of an instance."""
    memory_mb = settings.capacity.memory_mb or SMALLEST_MEMORY_MB
    return WaitLimit(
        max(1, int(settings.max_open_requests * THREAD_SHARE)),
        memory_mb * BYTES_PER_MB * MEMORY_SHARE,
    )


def wait_seconds(wait_ms: float | None) -> float:
    """Return how long a request may wait for the first configuration.

    Args:
        wait_ms: Time in milliseconds until its caller's deadline; None if not
            stated.
    """
    if wait_ms is None:
        return USUAL_WAIT_SECONDS
    return min(LONGEST_WAIT_SECONDS, wait_ms / MS_PER_SECOND * WAIT_SHARE)


def first_configuration(
    relay: Relay, wait_ms: float | None, size: int, arrived_at: float
) -> OperatorState | None:
    """Return the configuration; wait for it if there is none yet.

    Args:
        relay: The relay.
        wait_ms: Time in milliseconds until the caller's deadline; None if not
            stated.
        size: Bytes of the request's body.
        arrived_at: Instant at which the request arrived.

    Returns:
        The configuration, or None if it did not arrive in time or if too many
        requests wait for it.
    """
    operator_records = relay.operator_records
    if operator_records.state is not None:
        return operator_records.state
    limit = relay.wait_limit
    if not limit.acquire(size):
        return None
    try:
        return wait_for_configuration(
            operator_records, arrived_at + wait_seconds(wait_ms)
        )
    finally:
        limit.release(size)
