"""Links, which are authenticated message streams between two processes."""

from __future__ import annotations

import socket
import struct
import threading
from collections.abc import Callable
from typing import Any, Final

import attrs
import msgpack
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import (
    Failure,
    FrameMalformed,
    LinkClosed,
    PeerUnauthenticated,
)
from logbook import Logger

from gypsumrelay_wire.base import Message
from gypsumrelay_wire.codec import decode, encode
from gypsumrelay_wire.frames import (
    FRAME_LIMIT_BYTES,
    FrameReader,
    FrameWriter,
    new_unpacker,
)
from gypsumrelay_wire.handshake import (
    HELLO_LIMIT_BYTES,
    Hello,
    Identity,
    check_proof,
    new_hello,
    pack_hello,
    parse_hello,
    proof,
    session_keys,
)

log = Logger('link')

HANDSHAKE_TIMEOUT_SECONDS: Final = 2.0
# Time-out in seconds for receiving and sending: three heartbeats of one second
# and a margin for a busy machine.
LINK_TIMEOUT_SECONDS: Final = 3.5
# Time in milliseconds after which unacknowledged bytes break a link. The kernel
# of the peer acknowledges also while its process is busy, so that this detects
# a connection that went silent, and no slow peer.
UNACKNOWLEDGED_MS: Final = 1000
# Options that break a silent link; the probes find one without traffic.
LIVENESS_OPTIONS: Final = (
    (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 2),
)
MICROSECONDS_PER_SECOND: Final = 1_000_000
RECEIVE_BYTES: Final = 65536
LISTEN_BACKLOG: Final = 512
# Time after a failed accept until the next one, which would fail as well at
# once while no descriptor or thread is free.
ACCEPT_RETRY_SECONDS: Final = 0.05

_INCOMPLETE: Final = object()

Address = tuple[str, int]
OnMessage = Callable[['Link', Message], None]
OnClose = Callable[['Link', Failure], None]


@attrs.frozen
class Endpoint:
    """Identity, secret and callbacks with which a process uses links.

    Attributes:
        identity: Identity of this process.
        secret: Shared secret of the deployment.
        on_message: Called with each received message.
        on_close: Called once when a link closes, with the reason.
    """

    identity: Identity
    secret: bytes
    on_message: OnMessage
    on_close: OnClose


@attrs.define(eq=False)
class Link:
    """One authenticated connection; any thread may send.

    Attributes:
        endpoint: Identity, secret and callbacks of this process.
        peer: Identity of the process at the other end.
        connection: Socket of the link.
        writer: Authenticates the sent frames.
        reader: Verifies the received frames.
        send_lock: Lock for sending and for closing.
        closed: Set when the link is closed.
        last_received_at: Instant at which data was last received.
    """

    endpoint: Endpoint
    peer: Identity
    connection: socket.socket
    writer: FrameWriter
    reader: FrameReader
    send_lock: threading.Lock = attrs.field(factory=threading.Lock)
    closed: threading.Event = attrs.field(factory=threading.Event)
    last_received_at: float = attrs.field(factory=monotonic)

    def send(self, message: Message) -> LinkClosed | None:
        """Send a message; return a failure if the link is closed."""
        payload = encode(message)
        try:
            with self.send_lock:
                self.connection.sendall(self.writer.frame(payload))
        except OSError:
            self.close(LinkClosed('sending on the link failed'))
            return LinkClosed('sending on the link failed')
        return None

    def close(self, reason: Failure) -> None:
        """Close the link and call `on_close`, unless it is closed already."""
        with self.send_lock:
            if self.closed.is_set():
                return
            self.closed.set()
        _close_socket(self.connection)
        self.endpoint.on_close(self, reason)

    def start(self) -> None:
        """Receive messages in a new thread until the link closes."""
        threading.Thread(
            target=self.run,
            name=f'link-{self.peer.name}',
            daemon=True,
        ).start()

    def run(self) -> None:
        """Receive messages until the link closes."""
        reason: Failure | None = None
        while reason is None:
            reason = self._receive()
        self.close(reason)

    def _receive(self) -> Failure | None:
        try:
            received = self.connection.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return LinkClosed('the peer went silent')
        except OSError:
            return LinkClosed('receiving on the link failed')
        if not received:
            return LinkClosed('the peer closed the link')
        self.last_received_at = monotonic()
        payloads = self.reader.feed(received)
        if isinstance(payloads, Failure):
            return payloads
        return self._deliver(payloads)

    def _deliver(self, payloads: list[bytes]) -> FrameMalformed | None:
        for payload in payloads:
            message = decode(payload)
            if isinstance(message, FrameMalformed):
                return message
            if message is not None:
                self.endpoint.on_message(self, message)
        return None


def dial(
    address: Address,
    endpoint: Endpoint,
    seconds: float = HANDSHAKE_TIMEOUT_SECONDS,
) -> Link | Failure:
    """Open a link to a listener and authenticate both sides.

    Args:
        address: Host and port of the listener.
        endpoint: Identity, secret and callbacks of this process.
        seconds: Time-out for connecting and for each read of the handshake.
    """
    try:
        connection = socket.create_connection(address, seconds)
    except OSError as error:
        return LinkClosed(f'no connection to {address[0]}: {error.strerror}')
    link = _handshake(connection, endpoint, is_dialer=True)
    if isinstance(link, Failure):
        _close_socket(connection)
    return link


@attrs.define(eq=False)
class Listener:
    """Accepts links and receives the messages of each in its own thread.

    Attributes:
        endpoint: Identity, secret and callbacks of this process.
        server: Listening socket.
        on_link: Called with each accepted link.
        closed: Set when the listener is closed.
    """

    endpoint: Endpoint
    server: socket.socket
    on_link: Callable[[Link], None]
    closed: threading.Event = attrs.field(factory=threading.Event)

    def start(self) -> None:
        """Accept links in a new thread until the listener closes."""
        threading.Thread(
            target=self.run,
            name='link-listener',
            daemon=True,
        ).start()

    def run(self) -> None:
        """Accept links until the listener closes.

        A connection that cannot be accepted or served, for example because the
        process has no file descriptor or thread left, ends no listener.
        """
        while not self.closed.is_set():
            try:
                connection, _ = self.server.accept()
            except OSError as error:
                self._note_failure(error)
                continue
            try:
                threading.Thread(
                    target=self._serve,
                    args=(connection,),
                    daemon=True,
                ).start()
            except RuntimeError as error:
                _close_socket(connection)
                self._note_failure(error)

    def close(self) -> None:
        """Stop accepting links; open links stay open."""
        self.closed.set()
        _close_socket(self.server)

    def _note_failure(self, error: Exception) -> None:
        """Log a failed accept and wait, unless the listener is closed."""
        if not self.closed.wait(ACCEPT_RETRY_SECONDS):
            log.warning('An incoming link was not accepted: {}.', error)

    def _serve(self, connection: socket.socket) -> None:
        connection.settimeout(HANDSHAKE_TIMEOUT_SECONDS)
        if _is_probe(connection):
            _close_socket(connection)
            return
        link = _handshake(connection, self.endpoint, is_dialer=False)
        if isinstance(link, Failure):
            log.warning('Rejected an incoming link: {}.', link.sentence)
            _close_socket(connection)
            return
        self.on_link(link)
        link.run()


def listen(
    address: Address,
    endpoint: Endpoint,
    on_link: Callable[[Link], None],
) -> Listener:
    """Return a listener bound to the address."""
    server = socket.create_server(address, backlog=LISTEN_BACKLOG)
    return Listener(endpoint, server, on_link)


def _is_probe(connection: socket.socket) -> bool:
    """Return whether the peer closed the connection without sending anything.

    A relay that starts finds out in this way which others run.
    """
    try:
        return not connection.recv(1, socket.MSG_PEEK)
    except OSError:
        return False


def _handshake(
    connection: socket.socket,
    endpoint: Endpoint,
    *,
    is_dialer: bool,
) -> Link | Failure:
    own_hello = new_hello(endpoint.identity)
    try:
        peer_hello = _authenticate(
            connection, endpoint.secret, own_hello, is_dialer=is_dialer
        )
    except (OSError, ValueError, msgpack.UnpackException):
        return PeerUnauthenticated('the peer broke off the handshake')
    if isinstance(peer_hello, Failure):
        return peer_hello
    _set_socket_options(connection)
    hellos = (own_hello, peer_hello) if is_dialer else (peer_hello, own_hello)
    keys = session_keys(endpoint.secret, *hellos)
    send_key, receive_key = keys.dialer, keys.listener
    if not is_dialer:
        send_key, receive_key = receive_key, send_key
    reader = FrameReader(receive_key, new_unpacker(FRAME_LIMIT_BYTES))
    return Link(
        endpoint,
        peer_hello.identity,
        connection,
        FrameWriter(send_key),
        reader,
    )


def _authenticate(
    connection: socket.socket,
    secret: bytes,
    own_hello: Hello,
    *,
    is_dialer: bool,
) -> Hello | Failure:
    connection.sendall(pack_hello(own_hello))
    unpacker = new_unpacker(HELLO_LIMIT_BYTES)
    peer_hello = parse_hello(_read_object(connection, unpacker))
    if isinstance(peer_hello, Failure):
        return peer_hello
    hellos = (own_hello, peer_hello) if is_dialer else (peer_hello, own_hello)
    sides = ('dialer', 'listener') if is_dialer else ('listener', 'dialer')
    connection.sendall(msgpack.packb(proof(secret, sides[0], *hellos)))
    received_proof = _read_object(connection, unpacker)
    failure = check_proof(proof(secret, sides[1], *hellos), received_proof)
    return failure or peer_hello


def _read_object(connection: socket.socket, unpacker: Any) -> Any:
    """Return the next msgpack object from a connection.

    It is read byte by byte, because frames that follow it must be left to the
    reader of the link.
    """
    deadline = monotonic() + HANDSHAKE_TIMEOUT_SECONDS
    while monotonic() < deadline:
        received = connection.recv(1)
        if not received:
            break
        unpacker.feed(received)
        unpacked = next(unpacker, _INCOMPLETE)
        if unpacked is not _INCOMPLETE:
            return unpacked
    raise ConnectionError


def _set_socket_options(connection: socket.socket) -> None:
    # Socket options set a time-out per direction; settimeout() sets one for
    # both.
    connection.settimeout(None)
    seconds = int(LINK_TIMEOUT_SECONDS)
    microseconds = int(
        (LINK_TIMEOUT_SECONDS - seconds) * MICROSECONDS_PER_SECOND
    )
    timeout = struct.pack('ll', seconds, microseconds)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, timeout)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeout)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in LIVENESS_OPTIONS:
        connection.setsockopt(socket.IPPROTO_TCP, option, setting)


def _close_socket(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        log.debug('The peer has already closed the connection of the link.')
    connection.close()
