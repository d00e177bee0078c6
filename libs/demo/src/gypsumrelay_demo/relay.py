"""TCP relay that can cut, delay or silently swallow what passes."""

from __future__ import annotations

import socket
import threading
import time
from typing import Final

import attrs

from gypsumrelay_demo.processes import HOST

READ_BYTES: Final = 65536


@attrs.define(eq=False)
class Relay:
    """Forwards connections to a target until told otherwise.

    Attributes:
        silent: Connections that are open now pass nothing any more and
            stay open; new ones work. This is how a middlebox that has lost
            its state behaves.
        delay_seconds: What passes is held back for this long.
    """

    target: tuple[str, int]
    server: socket.socket = attrs.field(
        factory=lambda: socket.create_server((HOST, 0)),
    )
    pairs: list[Pair] = attrs.field(factory=list)
    delay_seconds: float = 0

    @property
    def port(self) -> int:
        """Return the port that the relay listens on."""
        port: int = self.server.getsockname()[1]
        return port

    def start(self) -> None:
        """Accept connections in a thread."""
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        """Accept connections until the relay closes."""
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
        """Make all open connections silent for good."""
        for pair in self.pairs:
            pair.silent = True

    def cut(self) -> None:
        """Close all open connections."""
        for pair in self.pairs:
            pair.close()

    def close(self) -> None:
        """Accept no more and close what is open."""
        self.server.close()
        self.cut()


@attrs.define(eq=False)
class Pair:
    """Both sides of one relayed connection."""

    relay: Relay
    near: socket.socket
    far: socket.socket
    silent: bool = False

    def start(self) -> None:
        """Forward in both directions."""
        for source, sink in ((self.near, self.far), (self.far, self.near)):
            threading.Thread(
                target=self.forward,
                args=(source, sink),
                daemon=True,
            ).start()

    def forward(self, source: socket.socket, sink: socket.socket) -> None:
        """Forward one direction until it ends."""
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
        """Close both sides."""
        self.near.close()
        self.far.close()
