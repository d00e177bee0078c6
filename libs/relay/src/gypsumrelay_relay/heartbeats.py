"""Heartbeats between relays, sent as UDP datagrams."""

from __future__ import annotations

import socket
import threading
from typing import TYPE_CHECKING, Any, Final

import attrs
import msgpack
from gypsumrelay_clock import monotonic
from logbook import Logger

from gypsumrelay_relay.beliefs import PeerHeard, report
from gypsumrelay_relay.membership import (
    BEAT_SECONDS,
    USUAL_SILENCE_MS,
    Member,
    Members,
    add_hosts,
    alive,
    beat_pause,
    hear,
    heartbeat_targets,
    with_silence,
)

if TYPE_CHECKING:
    from collections.abc import Callable

log = Logger('heartbeats')

# Delay in seconds beyond which a gap between heartbeats of this relay means
# that its process was suspended and another coordinator has taken over.
PAUSE_SECONDS: Final = 1.0
VERSION: Final = 1
DATAGRAM_BYTES: Final = 8192
# Number of addresses in the heartbeat that answers a new member; bounded so
# that it fits into one packet.
HOSTS_TOLD: Final = 48
# Number of addresses in every other heartbeat, chosen in rotation; if a member
# misses one, the heartbeats of other members repeat them.
HOSTS_IN_TURN: Final = 6


_KINDS: Final = tuple(
    type(default) for default in attrs.astuple(Member('', '', ''))
)


@attrs.define(eq=False)
class Heartbeats:
    """Sends and receives heartbeats in two threads.

    Attributes:
        members: View of the fleet; guarded by `lock`.
        port: UDP port, the same on all relays.
        on_change: Called after each check for due heartbeats and for each new
            member.
        on_pause: Called after this process was suspended.
        lock: Guards `members`.
        link: The bound UDP socket.
        beat_at: Instant at which the next heartbeat is due.
        told: Number of addresses sent so far, from which the rotation goes on.
        stopped: Ends both threads.
    """

    members: Members
    port: int
    on_change: Callable[[], None]
    on_pause: Callable[[], None]
    lock: threading.RLock
    link: socket.socket
    beat_at: float = 0
    told: int = 0
    stopped: threading.Event = attrs.field(factory=threading.Event)

    def start(self) -> None:
        """Start both threads."""
        for target in (self.run_sender, self.run_receiver):
            threading.Thread(target=target, daemon=True).start()

    def run_sender(self) -> None:
        """Send heartbeats until the process stops."""
        last = monotonic()
        while not self.stopped.wait(BEAT_SECONDS):
            now = monotonic()
            if now - last > BEAT_SECONDS + PAUSE_SECONDS:
                log.warning(
                    'Process was suspended for {:.1f} s.',
                    now - last,
                )
                self.on_pause()
            last = now
            if self._is_due(now):
                self.send_round(now)
            self.on_change()

    def send_round(self, now: float) -> None:
        """Send one heartbeat to each address that is due."""
        with self.lock:
            pause = beat_pause(self.members, now)
            self.beat_at = now + pause
            targets = heartbeat_targets(self.members, now)
            hosts = self._hosts(now, HOSTS_IN_TURN)
            payload = pack(with_silence(self.members.own, pause), hosts)
        for host in targets:
            self._send(payload, host)

    def run_receiver(self) -> None:
        """Receive heartbeats until the socket closes."""
        while not self.stopped.is_set():
            try:
                payload, address = self.link.recvfrom(DATAGRAM_BYTES)
            except OSError as error:
                if not self.stopped.is_set():
                    log.warning('Cannot receive heartbeats: {}.', error)
                    self.stopped.wait(BEAT_SECONDS)
                continue
            self._take(payload, address[0])

    def stop(self) -> None:
        """End both threads."""
        self.stopped.set()
        self.link.close()

    def _take(self, payload: bytes, sender: str) -> None:
        unpacked = unpack(payload)
        if unpacked is None:
            log.warning('Ignored a malformed heartbeat from {}.', sender)
            return
        member, hosts = unpacked
        now = monotonic()
        with self.lock:
            is_new = hear(self.members, member, now)
            add_hosts(self.members, hosts, now)
        if is_new:
            heard = PeerHeard(member.name, member.host, member.seniority)
            report(log, heard)
            self._send(self._own_payload(), member.host)
            self.on_change()

    def _is_due(self, now: float) -> bool:
        """Return whether to send; a new candidate sends without delay."""
        with self.lock:
            pause = beat_pause(self.members, now)
        return pause <= BEAT_SECONDS or now >= self.beat_at

    def _own_payload(self) -> bytes:
        now = monotonic()
        with self.lock:
            pause = beat_pause(self.members, now)
            hosts = self._hosts(now, HOSTS_TOLD)
            return pack(with_silence(self.members.own, pause), hosts)

    def _hosts(self, now: float, count: int) -> list[str]:
        """Return the next addresses of live members in the rotation."""
        live = [member.host for member in alive(self.members, now)]
        if len(live) <= count:
            return live
        start = self.told % len(live)
        self.told += count
        return [*live, *live][start : start + count]

    def _send(self, payload: bytes, host: str) -> None:
        try:
            self.link.sendto(payload, (host, self.port))
        except OSError as error:
            log.debug('Cannot send a heartbeat to {}: {}.', host, error)


def pack(member: Member, hosts: list[str]) -> bytes:
    """Return the encoded heartbeat.

    Fields that a newer version added come after the hosts, where older relays
    ignore them.
    """
    *told, silence_ms = attrs.astuple(member)
    packed: bytes = msgpack.packb([VERSION, *told, hosts, silence_ms])
    return packed


def unpack(payload: bytes) -> tuple[Member, list[str]] | None:
    """Return the sender and the hosts of a heartbeat, None if malformed.

    Relays of an older version send no time-out; the usual one applies.
    """
    try:
        frame: Any = msgpack.unpackb(payload)
    except (ValueError, msgpack.UnpackException):
        return None
    count = len(_KINDS)
    if not isinstance(frame, list) or len(frame) < count + 1:
        return None
    given = [
        *frame[1:count],
        *(frame[count + 1 : count + 2] or [USUAL_SILENCE_MS]),
    ]
    told = frame[count]
    if not all(map(_fits, given, _KINDS)) or not isinstance(told, list):
        return None
    hosts = [host for host in told if isinstance(host, str)]
    return Member(*given), hosts


def _fits(part: object, kind: type) -> bool:
    # In Python a bool is an int, but an int is not a valid flag.
    return isinstance(part, kind) and isinstance(part, bool) == (kind is bool)


def open_socket(host: str, port: int) -> socket.socket:
    """Return the bound socket for heartbeats."""
    link = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    link.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    link.bind((host, port))
    return link
