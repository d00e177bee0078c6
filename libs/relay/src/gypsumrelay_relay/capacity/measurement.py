"""What a relay uses of its instance, as shares of the instance's capacity."""

from __future__ import annotations

from typing import Final

import attrs

# Longest pause in seconds between two events of an answer that is in time;
# bytes that wait longer for the link make the answers that follow them late.
MAX_PAUSE_SECONDS: Final = 0.3
# Minimum number of connections with waiting bytes for the link to be the cause
# instead of slow callers, and their minimum part of the open requests.
MIN_WAITING_CONNECTIONS: Final = 2
MIN_WAITING_SHARE: Final = 0.5
# Time in seconds over which processor use is averaged.
CPU_SMOOTHING_SECONDS: Final = 1.0
BITS_PER_MEGABYTE: Final = 8
BYTES_PER_MB: Final = 1_000_000


@attrs.frozen
class InstanceCapacity:
    """Capacity of an instance.

    Attributes:
        cores: Processor cores; may be fractional.
        worker_threads: Maximum number of requests that are served at once.
        memory_mb: Memory in MB; 0 if unknown.
        link_mbps: Bandwidth of the network link in Mbit/s.
    """

    cores: float
    worker_threads: int
    memory_mb: float
    link_mbps: float


@attrs.frozen
class Reading:
    """Figures of the process at one instant.

    Attributes:
        at: The instant.
        cpu_seconds: Processor time that the process has used.
        open_requests: Open requests of callers.
        memory_bytes: Resident memory of the process; 0 if unknown.
        waiting_bytes: Bytes of answers that wait in connections to callers.
        waiting_connections: Number of connections with such bytes.
    """

    at: float
    cpu_seconds: float
    open_requests: int = 0
    memory_bytes: int = 0
    waiting_bytes: int = 0
    waiting_connections: int = 0


@attrs.frozen
class Usage:
    """Use of each resource as a share of its capacity.

    Attributes:
        cpu: Processor use, averaged over about a second.
        requests: Open requests as a share of the worker threads.
        memory: Memory as a share of the instance's.
        link: Time that the waiting bytes need on the link, as a share of the
            longest pause in an answer that is in time.
    """

    cpu: float = 0
    requests: float = 0
    memory: float = 0
    link: float = 0


def compute_usage(
    before: Usage,
    previous: Reading,
    current: Reading,
    capacity: InstanceCapacity,
) -> Usage:
    """Return the use of the instance.

    Args:
        before: The use at the previous reading.
        previous: The previous reading.
        current: The current reading.
        capacity: Capacity of the instance.
    """
    memory_bytes = capacity.memory_mb * BYTES_PER_MB
    memory = current.memory_bytes / memory_bytes if memory_bytes else 0
    return Usage(
        _smoothed_cpu(before, previous, current, capacity.cores),
        current.open_requests / capacity.worker_threads,
        memory,
        _link_share(current, capacity.link_mbps),
    )


def _smoothed_cpu(
    before: Usage, previous: Reading, current: Reading, cores: float
) -> float:
    seconds = current.at - previous.at
    if seconds <= 0:
        return before.cpu
    share = (current.cpu_seconds - previous.cpu_seconds) / seconds / cores
    weight = min(1, seconds / CPU_SMOOTHING_SECONDS)
    return before.cpu + weight * (share - before.cpu)


def _link_share(current: Reading, link_mbps: float) -> float:
    """Return the share of the link; 0 if slow callers explain the bytes.

    The link is shared by all answers, so that bytes wait in most of them when
    it is the bottleneck.
    """
    count = current.waiting_connections
    most = current.open_requests * MIN_WAITING_SHARE
    if count < max(MIN_WAITING_CONNECTIONS, most):
        return 0
    megabytes = current.waiting_bytes / BYTES_PER_MB
    seconds = megabytes * BITS_PER_MEGABYTE / link_mbps
    return seconds / MAX_PAUSE_SECONDS
