"""Pool of connections to upstreams, each used by one request at a time."""

from __future__ import annotations

import re
import socket
import threading
from collections import deque
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_http import BoundedSocket, client_library

if TYPE_CHECKING:
    from urllib3.connection import HTTPConnection

# Time limit in seconds for opening a connection; upstreams are in the same
# region.
CONNECT_SECONDS: Final = 0.5
# Time in milliseconds after which unacknowledged bytes break a connection;
# detects peers that vanished without closing.
UNACKNOWLEDGED_MS: Final = 1000
# The same for upstreams; a sound one may read nothing for a second or two, and
# then acknowledges no more bytes than its buffers hold.
UPSTREAM_UNACKNOWLEDGED_MS: Final = 3000
# Time in seconds before the upstream's idle time-out at which a connection is
# no longer reused.
CLOSE_MARGIN_SECONDS: Final = 0.6
# Time in seconds for which a connection is reused if the upstream states no
# time-out.
DEFAULT_KEEP_SECONDS: Final = 2.0
# Longest idle time in seconds of a connection that is used for a request which
# must not run twice; an upstream may drop idle connections without notice.
FRESH_SECONDS: Final = 1.0
# Time limit in seconds of a probe after a lost connection; a dead upstream
# refuses at once.
PROBE_SECONDS: Final = 0.1
# Time in seconds for which the result of a probe is used again.
PROBE_REUSE_SECONDS: Final = 0.05
# Maximum number of addresses whose last probe is kept.
MAX_PROBES: Final = 1024
# Maximum number of idle connections per upstream.
MAX_IDLE: Final = 24

_KEEP_ALIVE: Final = re.compile(r'timeout=(\d{1,9})', re.IGNORECASE)
# Socket options of connections whose silent loss has to be detected within
# seconds.
LIVENESS_OPTIONS: Final = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)
UPSTREAM_OPTIONS: Final = (
    *LIVENESS_OPTIONS,
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UPSTREAM_UNACKNOWLEDGED_MS),
)


@attrs.frozen
class IdleConnection:
    """An idle connection of the pool.

    Attributes:
        connection: The connection.
        idle_since: Instant at which its last request ended.
        reuse_until: Instant from which it is not reused.
    """

    connection: HTTPConnection
    idle_since: float
    reuse_until: float


@attrs.define(eq=False)
class Connections:
    """The pool of idle connections.

    Attributes:
        idle: Idle connections by address, the newest last.
        lock: Guards `idle`.
        opened: Number of connections opened so far.
        probes: Instant and result of the last probe, by address.
    """

    idle: dict[str, deque[IdleConnection]] = attrs.field(factory=dict)
    lock: threading.Lock = attrs.field(factory=threading.Lock)
    opened: int = 0
    probes: dict[str, tuple[float, bool]] = attrs.field(factory=dict)

    def take(self, address: str, *, fresh: bool) -> HTTPConnection | None:
        """Return an idle connection that is usable, or None.

        Args:
            address: `host:port` of the upstream.
            fresh: Whether to skip connections idle for over `FRESH_SECONDS`.
        """
        now = monotonic()
        while True:
            with self.lock:
                queue = self.idle.get(address)
                if not queue:
                    return None
                entry = queue.pop()
            if self._is_usable(entry, now, fresh=fresh):
                return entry.connection
            entry.connection.close()

    def open(self, address: str, seconds: float) -> HTTPConnection:
        """Open a connection; errors of the library pass through."""
        host, _, port = address.rpartition(':')
        connection: HTTPConnection = client_library().connection.HTTPConnection(
            host,
            int(port),
            timeout=min(CONNECT_SECONDS, seconds),
            socket_options=list(UPSTREAM_OPTIONS),
        )
        connection.connect()
        connection.sock = BoundedSocket(connection.sock)
        self.opened += 1
        return connection

    def refuses(self, address: str) -> bool:
        """Return whether an upstream refuses connections, as a dead one does.

        Several requests lose their connections at once; they share the answer.
        """
        now = monotonic()
        with self.lock:
            probed_at, is_refused = self.probes.get(address, (0, False))
            if now - probed_at < PROBE_REUSE_SECONDS:
                return is_refused
        is_refused = _probe(address)
        with self.lock:
            if len(self.probes) >= MAX_PROBES:
                self.probes.clear()
            self.probes[address] = (now, is_refused)
        return is_refused

    def put_back(
        self,
        address: str,
        connection: HTTPConnection,
        keep_alive: str,
    ) -> None:
        """Return a connection to the pool; its answer must be read fully.

        Args:
            address: `host:port` of the upstream.
            connection: The connection.
            keep_alive: Value of the answer's `Keep-Alive` header.
        """
        now = monotonic()
        match = _KEEP_ALIVE.search(keep_alive)
        seconds = DEFAULT_KEEP_SECONDS
        if match is not None:
            seconds = int(match.group(1)) - CLOSE_MARGIN_SECONDS
        entry = IdleConnection(connection, now, now + seconds)
        with self.lock:
            queue = self.idle.setdefault(address, deque())
            queue.append(entry)
            dropped = queue.popleft() if len(queue) > MAX_IDLE else None
        if dropped is not None:
            dropped.connection.close()

    def close_unlisted(self, addresses: set[str]) -> None:
        """Close the idle connections to all addresses except the given ones."""
        with self.lock:
            unlisted: list[IdleConnection] = []
            for name in self.idle.keys() - addresses:
                unlisted.extend(self.idle.pop(name))
        for entry in unlisted:
            entry.connection.close()

    def _is_usable(
        self, entry: IdleConnection, now: float, *, fresh: bool
    ) -> bool:
        if now >= entry.reuse_until:
            return False
        if fresh and now - entry.idle_since > FRESH_SECONDS:
            return False
        # Unread bytes belong to no request; is_connection_dropped() reports
        # them, so that the connection is not reused.
        dropping = client_library().util.connection
        return not dropping.is_connection_dropped(entry.connection)


def _probe(address: str) -> bool:
    """Return whether an address refuses a connection."""
    host, _, port = address.rpartition(':')
    try:
        socket.create_connection((host, int(port)), PROBE_SECONDS).close()
    except ConnectionRefusedError:
        return True
    except (OSError, ValueError):
        return False
    return False
