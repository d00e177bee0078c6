"""Links to other processes, with heartbeats and configuration exchange."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure, LinkClosed
from gypsumrelay_wire import (
    Address,
    ConfigurationCopy,
    ConfigurationRequest,
    Endpoint,
    Heartbeat,
    Identity,
    Link,
    Message,
    dial,
)
from logbook import Logger

from gypsumrelay_instance.replica import ConfigurationReplica

log = Logger('peers')

HEARTBEAT_SECONDS: Final = 1.0
# Time after a failed connection in which no further one to the same address
# is tried, so that requests don't wait for an unreachable peer again.
REDIAL_DELAY_SECONDS: Final = 0.5


@attrs.frozen
class PeerCallbacks:
    """Functions of the program that handle messages and closed links.

    Attributes:
        on_message: Called with every message that is not about the
            configuration, including heartbeats.
        on_close: Called once when a link closes, with the reason.
        heartbeat_messages: Returns the messages to send after each heartbeat.
    """

    on_message: Callable[[Link, Message], None]
    on_close: Callable[[Link, Failure], None]
    heartbeat_messages: Callable[[Link], list[Message]]


# Callbacks that ignore all events, used until the program sets its own.
IGNORE_ALL: Final = PeerCallbacks(
    on_message=lambda link, message: None,
    on_close=lambda link, reason: None,
    heartbeat_messages=lambda link: [],
)


@attrs.define(eq=False)
class Peers:
    """All open links of this process.

    Attributes:
        identity: Identity of this process.
        secret: Shared secret of the deployment.
        replica: Configuration state, exchanged with the peers.
        stamp: Returns the hybrid logical clock: milliseconds and counter.
        merge_stamp: Advances that clock past a received reading.
        callbacks: Functions of the program.
        dialed: Newest link that was opened to each address.
        links: All open links, in both directions.
        redial_at: Monotonic time in seconds until which no connection
            to an address is tried, after one failed.
        dial_locks: For each address, a lock that prevents a second dial.
        lock: Guards the collections above.
    """

    identity: Identity
    secret: bytes
    replica: ConfigurationReplica
    stamp: Callable[[], tuple[int, int]]
    merge_stamp: Callable[[int, int], None]
    callbacks: PeerCallbacks = IGNORE_ALL
    dialed: dict[Address, Link] = attrs.field(factory=dict)
    links: set[Link] = attrs.field(factory=set)
    redial_at: dict[Address, float] = attrs.field(factory=dict)
    dial_locks: dict[Address, threading.Lock] = attrs.field(factory=dict)
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def endpoint(self) -> Endpoint:
        """Return the endpoint of this process for new links."""
        return Endpoint(
            self.identity,
            self.secret,
            self.on_message,
            self.on_close,
        )

    def find(self, address: Address) -> Link | None:
        """Return the open link to an address, or None."""
        link = self.dialed.get(address)
        return None if link is None or link.closed.is_set() else link

    def connect(self, address: Address) -> Link | Failure:
        """Return the open link to an address; open one if there is none."""
        link = self.find(address)
        if link is not None:
            return link
        with self.lock:
            dial_lock = self.dial_locks.setdefault(address, threading.Lock())
        with dial_lock:
            return self.find(address) or self._dial(address)

    def register(self, link: Link) -> None:
        """Register a link that a peer has opened, and send a heartbeat."""
        with self.lock:
            self.links.add(link)
        self._send_heartbeat(link)

    def on_message(self, link: Link, message: Message) -> None:
        """Handle a message that was received on a link."""
        if isinstance(message, Heartbeat):
            self._on_heartbeat(link, message)
            self.callbacks.on_message(link, message)
        elif isinstance(message, ConfigurationRequest):
            if message.offset < self.replica.state.offset:
                offset = self.replica.state.offset
                copy = self.replica.encode_copy()
                link.send(ConfigurationCopy(offset, copy))
        elif isinstance(message, ConfigurationCopy):
            self.replica.load_copy(message.state)
        else:
            self.callbacks.on_message(link, message)

    def on_close(self, link: Link, reason: Failure) -> None:
        """Remove a link that was closed."""
        with self.lock:
            self.links.discard(link)
        log.info('The link to {} closed: {}.', link.peer.name, reason.sentence)
        self.callbacks.on_close(link, reason)

    def send_heartbeats(self) -> None:
        """Send a heartbeat on every link."""
        with self.lock:
            links = list(self.links)
        for link in links:
            self._send_heartbeat(link)

    def close(self) -> None:
        """Close all links."""
        with self.lock:
            links = list(self.links)
        for link in links:
            link.close(LinkClosed('this process shuts down'))

    def _send_heartbeat(self, link: Link) -> None:
        wall_ms, counter = self.stamp()
        link.send(Heartbeat(self.replica.state.offset, wall_ms, counter))
        for message in self.callbacks.heartbeat_messages(link):
            link.send(message)

    def _on_heartbeat(self, link: Link, heartbeat: Heartbeat) -> None:
        self.merge_stamp(heartbeat.clock_ms, heartbeat.clock_counter)
        if self.replica.is_behind_peer(heartbeat.offset):
            link.send(ConfigurationRequest(self.replica.state.offset))

    def _dial(self, address: Address) -> Link | Failure:
        if monotonic() < self.redial_at.get(address, 0):
            return LinkClosed('the peer refused connections just now')
        link = dial(address, self.endpoint())
        if isinstance(link, Failure):
            retry_at = monotonic() + REDIAL_DELAY_SECONDS
            self.redial_at[address] = retry_at
            return link
        with self.lock:
            self.dialed[address] = link
            self.links.add(link)
        link.start()
        self._send_heartbeat(link)
        return link
