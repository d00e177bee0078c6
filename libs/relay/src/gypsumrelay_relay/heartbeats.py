"""Heartbeats between relays, sent as UDP datagrams."""

from __future__ import annotations

import socket
import threading
from typing import TYPE_CHECKING, Any, Final

import attrs
import msgpack
from gypsumrelay_clock import monotonic
from logbook import Logger

from gypsumrelay_relay.events.state import PeerDiscovered, report
from gypsumrelay_relay.membership import (
    DEFAULT_TIMEOUT_MS,
    HEARTBEAT_SECONDS,
    Member,
    Members,
    add_hosts,
    alive,
    changes_choice,
    heartbeat_interval,
    heartbeat_targets,
    is_address,
    record_heartbeat,
    with_timeout,
)

if TYPE_CHECKING:
    from collections.abc import Callable

log = Logger('heartbeats')

# Delay in seconds beyond which a gap between heartbeats of this relay means
# that its process was suspended and another coordinator has taken over.
SUSPENSION_SECONDS: Final = 1.0
VERSION: Final = 1
DATAGRAM_BYTES: Final = 8192
# Number of addresses in the heartbeat that answers a new member; bounded so
# that it fits into one packet.
HOSTS_IN_REPLY: Final = 48
# Number of addresses in every other heartbeat, chosen in rotation; if a member
# misses one, the heartbeats of other members repeat them.
HOSTS_PER_HEARTBEAT: Final = 6


_KINDS: Final = tuple(
    type(default) for default in attrs.astuple(Member('', '', ''))
)
# Values of the fields that older relays do not send.
_LATER_DEFAULTS: Final = (DEFAULT_TIMEOUT_MS, -1, '', False, '', False)


@attrs.define(eq=False)
class Heartbeats:
    """Sends and receives heartbeats in two threads.

    Attributes:
        members: View of the fleet; guarded by `lock`.
        port: UDP port, the same on all relays.
        on_change: Called after each check for due heartbeats, for each new
            member, and if a heartbeat may change the choice of the coordinator.
        on_suspension: Called after this process was suspended.
        lock: Guards `members`.
        sock: The bound UDP socket.
        due_at: Instant at which the next heartbeat is due.
        rotation: Number of addresses sent so far, which gives the next ones.
        stopped: Ends both threads.
    """

    members: Members
    port: int
    on_change: Callable[[], None]
    on_suspension: Callable[[], None]
    lock: threading.RLock
    sock: socket.socket
    due_at: float = 0
    rotation: int = 0
    stopped: threading.Event = attrs.field(factory=threading.Event)

    def start(self) -> None:
        """Start both threads."""
        for target in (self.run_sender, self.run_receiver):
            threading.Thread(target=target, daemon=True).start()

    def run_sender(self) -> None:
        """Send heartbeats until the process stops."""
        last = monotonic()
        # The answers tell of the coordinator before the first check.
        self.send_round(last)
        while not self.stopped.wait(HEARTBEAT_SECONDS):
            now = monotonic()
            if now - last > HEARTBEAT_SECONDS + SUSPENSION_SECONDS:
                log.warning(
                    'Process was suspended for {:.1f} s.',
                    now - last,
                )
                self.on_suspension()
            last = now
            if self._is_due(now):
                self.send_round(now)
            self.on_change()

    def send_round(self, now: float) -> None:
        """Send one heartbeat to each address that is due."""
        with self.lock:
            interval = heartbeat_interval(self.members, now)
            self.due_at = now + interval
            targets = heartbeat_targets(self.members, now)
            hosts = self._hosts(now, HOSTS_PER_HEARTBEAT)
            payload = pack(with_timeout(self.members.own, interval), hosts)
        for host in targets:
            self._send(payload, host)

    def run_receiver(self) -> None:
        """Receive heartbeats until the socket closes."""
        while not self.stopped.is_set():
            try:
                payload, address = self.sock.recvfrom(DATAGRAM_BYTES)
            except OSError as error:
                if not self.stopped.is_set():
                    log.warning('Cannot receive heartbeats: {}.', error)
                    self.stopped.wait(HEARTBEAT_SECONDS)
                continue
            self._handle(payload, address[0])

    def stop(self) -> None:
        """End both threads."""
        self.stopped.set()
        self.sock.close()

    def _handle(self, payload: bytes, sender: str) -> None:
        unpacked = unpack(payload)
        if unpacked is None:
            log.warning('Ignored a malformed heartbeat from {}.', sender)
            return
        member, hosts = unpacked
        now = monotonic()
        with self.lock:
            previous = self.members.known.get(member.name)
            is_new = record_heartbeat(self.members, member, now)
            unknown = self._unknown_hosts(hosts, now)
            add_hosts(self.members, hosts, now)
        if is_new:
            discovered = PeerDiscovered(
                member.name, member.host, member.seniority
            )
            report(log, discovered)
            self._send(self._own_payload(), member.host)
        for host in unknown:
            self._send(self._own_payload(), host)
        if is_new or changes_choice(previous, member):
            self.on_change()

    def _unknown_hosts(self, hosts: list[str], now: float) -> list[str]:
        """Return the addresses that a relay without a coordinator learns of.

        One of them may be the coordinator, whose answer must not wait for the
        next heartbeat. Each gets one heartbeat for this reason; needs `lock`.
        """
        own = self.members.own
        if not own.is_new:
            return []
        unknown = [
            host
            for host in hosts
            if host != own.host and host not in self.members.hosts
        ]
        self.members.probed_at.update(dict.fromkeys(unknown, now))
        return unknown

    def _is_due(self, now: float) -> bool:
        """Return whether to send; a new candidate sends without delay."""
        with self.lock:
            interval = heartbeat_interval(self.members, now)
        return interval <= HEARTBEAT_SECONDS or now >= self.due_at

    def _own_payload(self) -> bytes:
        now = monotonic()
        with self.lock:
            interval = heartbeat_interval(self.members, now)
            hosts = self._hosts(now, HOSTS_IN_REPLY)
            return pack(with_timeout(self.members.own, interval), hosts)

    def _hosts(self, now: float, count: int) -> list[str]:
        """Return the next addresses of live members in the rotation."""
        live = [member.host for member in alive(self.members, now)]
        if len(live) <= count:
            return live
        start = self.rotation % len(live)
        self.rotation += count
        return [*live, *live][start : start + count]

    def _send(self, payload: bytes, host: str) -> None:
        try:
            self.sock.sendto(payload, (host, self.port))
        except (OSError, TypeError) as error:
            # A TypeError means that the host cannot be encoded as a name.
            log.debug('Cannot send a heartbeat to {}: {}.', host, error)


def pack(member: Member, hosts: list[str]) -> bytes:
    """Return the encoded heartbeat.

    Fields that a newer version added come after the hosts, where older relays
    ignore them.
    """
    fields = attrs.astuple(member)
    count = len(fields) - len(_LATER_DEFAULTS)
    packed: bytes = msgpack.packb(
        [VERSION, *fields[:count], hosts, *fields[count:]]
    )
    return packed


def unpack(payload: bytes) -> tuple[Member, list[str]] | None:
    """Return the sender and the hosts of a heartbeat, None if malformed.

    Relays of an older version send fewer fields; the defaults apply.
    """
    try:
        frame: Any = msgpack.unpackb(payload)
    except (ValueError, msgpack.UnpackException):
        return None
    hosts_at = 1 + len(_KINDS) - len(_LATER_DEFAULTS)
    if not isinstance(frame, list) or len(frame) <= hosts_at:
        return None
    addresses, *later = frame[hosts_at:]
    fields = [
        *frame[1:hosts_at],
        *later[: len(_LATER_DEFAULTS)],
        *_LATER_DEFAULTS[len(later) :],
    ]
    if not all(map(_fits, fields, _KINDS)) or not isinstance(addresses, list):
        return None
    member = Member(*fields)
    if not is_address(member.host):
        return None
    hosts = [
        host for host in addresses if isinstance(host, str) and is_address(host)
    ]
    return member, hosts


def _fits(part: object, kind: type) -> bool:
    # In Python a bool is an int, but an int is not a valid flag.
    return isinstance(part, kind) and isinstance(part, bool) == (kind is bool)


def open_socket(host: str, port: int) -> socket.socket:
    """Return the bound socket for heartbeats."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    return sock
