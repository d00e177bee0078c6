"""When a request arrived that had to wait for the start of the process."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING, Any, Final

from gypsumrelay_relay.startup.phases import Phase

if TYPE_CHECKING:
    from gypsumrelay_relay.startup.phases import StartPhases

MS_PER_SECOND: Final = 1000
# Bytes of the kernel's `tcp_info` up to and with `tcpi_last_data_recv`, and the
# position of that field: milliseconds since the last bytes arrived.
INFO_BYTES: Final = 56
LAST_RECEIVED: Final = struct.Struct('=52xI')


def arrival(phases: StartPhases, sock: Any, read_at: float) -> float:
    """Return the instant at which the bytes of a request arrived.

    The listener is open before requests are read. A request that waited in its
    queue has less time left than it states.

    Args:
        phases: The phases that the start has reached.
        sock: Socket of the caller's connection; None if unknown.
        read_at: Instant at which the request was read.

    Returns:
        The arrival, if it was before requests were read; else `read_at`.
    """
    if sock is None:
        return read_at
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES)
        waited_ms = LAST_RECEIVED.unpack(info)[0]
    except (OSError, struct.error):
        return read_at
    arrived_at = read_at - float(waited_ms) / MS_PER_SECOND
    serving_at = phases.reached_at.get(Phase.serving, read_at)
    return arrived_at if arrived_at < serving_at else read_at
