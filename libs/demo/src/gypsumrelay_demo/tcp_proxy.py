"""TCP proxy that can close, delay or silently drop connections."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from typing import Final

import attrs

from gypsumrelay_demo.processes import HOST

READ_BYTES: Final = 65536


@attrs.define(eq=False)
class Relay:
    """TCP proxy that forwards connections to a target.

    Attributes:
        target: Host and port of the target.
        server: Listening socket.
        pairs: All relayed connections.
        delay_seconds: Seconds by which received data is delayed.
    """

    target: tuple[str, int]
    server: socket.socket = attrs.field(
        factory=lambda: socket.create_server((HOST, 0)),
    )
    pairs: list[Pair] = attrs.field(factory=list)
    delay_seconds: float = 0

    @property
    def port(self) -> int:
        """Return the listening port."""
        port: int = self.server.getsockname()[1]
        return port

    def start(self) -> None:
        """Accept connections in a background thread."""
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        """Accept connections until the proxy is closed."""
        while True:
            try:
                near, _ = self.server.accept()
                far = socket.create_connection(self.target)
            except OSError:
                return
            pair = Pair(self, near, far)
            self.pairs.append(pair)
            pair.start()

    def silence(self) -> None:
        """Drop all data on the open connections without closing them.

        New connections work. A middlebox that has lost its connection state
        behaves like this.
        """
        for pair in self.pairs:
            pair.silent = True

    def cut(self) -> None:
        """Close all open connections."""
        for pair in self.pairs:
            pair.close()

    def close(self) -> None:
        """Close the listening socket and all open connections."""
        self.server.close()
        self.cut()


@attrs.define(eq=False)
class Pair:
    """Relayed connection with the sockets of both sides.

    Attributes:
        relay: The proxy.
        near: Socket of the client.
        far: Socket of the target.
        silent: Whether data is dropped while the sockets stay open.
    """

    relay: Relay
    near: socket.socket
    far: socket.socket
    silent: bool = False

    def start(self) -> None:
        """Forward both directions in background threads."""
        for source, sink in ((self.near, self.far), (self.far, self.near)):
            threading.Thread(
                target=self.forward,
                args=(source, sink),
                daemon=True,
            ).start()

    def forward(self, source: socket.socket, sink: socket.socket) -> None:
        """Forward data in one direction until a socket is closed."""
        while True:
            try:
                received = source.recv(READ_BYTES)
                time.sleep(self.relay.delay_seconds)
                if received and not self.silent:
                    sink.sendall(received)
            except OSError:
                received = b''
            if not received:
                break
        if not self.silent:
            self.close()

    def close(self) -> None:
        """Close both sockets, and end the reads that wait for them."""
        for one in (self.near, self.far):
            with contextlib.suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)
            one.close()
