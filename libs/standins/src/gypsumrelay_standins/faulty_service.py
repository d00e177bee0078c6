"""Simulated plain service whose answers break HTTP or break off."""

from __future__ import annotations

import socket
import socketserver
import struct
import threading
import time
from collections.abc import Iterable, Iterator
from contextlib import suppress
from functools import partial
from http.server import BaseHTTPRequestHandler
from typing import Any, Final

import attrs

from gypsumrelay_standins.endless_answers import endless_answer
from gypsumrelay_standins.odd_answers import REST, odd_answer

NO_FAULT: Final = ''
# Part of the request's body that is read before the answer, by fault.
READ_SHARES: Final[dict[str, float]] = {
    'early_reset': 0,
    'midway_reset': 0.5,
    'late_reset': 1.0,
}
# Bytes before the end of the request's body at which the reset comes.
LAST_BYTE_RESET: Final = 'last_byte_reset'
PART_FAULTS: Final = frozenset((*READ_SHARES, LAST_BYTE_RESET))
# The answer ends with its connection after the first header.
HALF_HEAD: Final = 'half_head'
# Faults that state the given status in an answer with a length.
STATUS_PREFIX: Final = 'status_'
# The answer is the one of this name in `odd_answers`.
ODD_PREFIX: Final = 'odd: '
# The same, followed by another one on a connection that stays open.
KEPT_PREFIX: Final = 'kept: '
# The answer is the one of this name in `endless_answers`.
ENDLESS_PREFIX: Final = 'endless: '
# The answer has no length and takes the seconds that follow.
SLOW_PREFIX: Final = 'slow: '
# Number of pieces in which it comes.
SLOW_PIECES: Final = 20
# Pause in seconds before a reset, so that the sent part arrives first.
RESET_AFTER_SECONDS: Final = 0.05
WHOLE_BODY: Final = b'whole'


@attrs.define(eq=False)
class FaultyService:
    """Service in this process that answers with the fault in force.

    Attributes:
        server: The server, which runs in a thread.
        fault: Name of the fault; empty for whole answers on connections that
            stay open.
        framing: Framing of answers that break off: `none`, `chunks` or
            `length`.
        part: The sent part of answers that break off.
        whole: The body of all other answers.
        connections: Number of connections accepted so far.
        runs: Number of requests received so far.
        sent_bytes: Bytes of odd and endless answers sent so far.
    """

    server: socketserver.ThreadingTCPServer | None = None
    fault: str = NO_FAULT
    framing: str = 'none'
    part: bytes = b'part'
    whole: bytes = WHOLE_BODY
    connections: int = 0
    runs: int = 0
    sent_bytes: int = 0

    @property
    def url(self) -> str:
        """Return the base URL of the running service."""
        if self.server is None:
            raise RuntimeError('the service is not running')
        host, port = self.server.server_address[:2]
        return f'http://{host!s}:{port}'

    def start(self) -> None:
        """Serve requests in a thread until `stop`."""
        handler = partial(_FaultyHandler, self)
        self.server = _Server(('127.0.0.1', 0), handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def stop(self) -> None:
        """Stop accepting connections."""
        if self.server is not None:
            self.server.shutdown()
            self.server.server_close()


class _Server(socketserver.ThreadingTCPServer):
    daemon_threads = True


class _FaultyHandler(BaseHTTPRequestHandler):
    """Answers the requests of one connection."""

    protocol_version = 'HTTP/1.1'

    def __init__(self, faults: FaultyService, *arguments: Any) -> None:
        """Count the connection and serve it."""
        self.faults = faults
        faults.connections += 1
        super().__init__(*arguments)

    def do_GET(self) -> None:
        """Answer a request like any other."""
        self.do_POST()

    def do_POST(self) -> None:
        """Answer a request, with the fault in force if there is one."""
        faults = self.faults
        faults.runs += 1
        length = int(self.headers.get('Content-Length') or 0)
        if faults.fault in PART_FAULTS:
            self._write_part(length)
            return
        self.rfile.read(length)
        if faults.fault == NO_FAULT:
            self._write_whole('200 OK')
        elif faults.fault.startswith(STATUS_PREFIX):
            status = faults.fault.removeprefix(STATUS_PREFIX)
            self._write_whole(f'{status} Status')
        else:
            self.close_connection = not faults.fault.startswith(KEPT_PREFIX)
            self._write_pieces(faults.fault)

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing."""

    def _write_pieces(self, fault: str) -> None:
        """Send an answer until it ends or its reader closes the connection."""
        with suppress(OSError):
            for piece in self._pieces(fault):
                self.wfile.write(piece)
                self.faults.sent_bytes += len(piece)

    def _pieces(self, fault: str) -> Iterable[bytes]:
        if fault.startswith(ODD_PREFIX):
            name = fault.removeprefix(ODD_PREFIX)
            return [odd_answer(name, self.faults.whole)]
        if fault.startswith(KEPT_PREFIX):
            name = fault.removeprefix(KEPT_PREFIX)
            return [odd_answer(name, self.faults.whole) + REST]
        if fault.startswith(ENDLESS_PREFIX):
            return endless_answer(fault.removeprefix(ENDLESS_PREFIX))
        if fault.startswith(SLOW_PREFIX):
            return self._slow_pieces(float(fault.removeprefix(SLOW_PREFIX)))
        if fault == HALF_HEAD:
            return [b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n']
        raise ValueError(f'there is no fault {fault}')

    def _slow_pieces(self, seconds: float) -> Iterator[bytes]:
        yield b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n'
        for _ in range(SLOW_PIECES):
            time.sleep(seconds / SLOW_PIECES)
            yield self.faults.part

    def _write_whole(self, status: str) -> None:
        whole = self.faults.whole
        head = f'HTTP/1.1 {status}\r\nContent-Length: {len(whole)}\r\n\r\n'
        self.wfile.write(head.encode() + whole)

    def _write_part(self, length: int) -> None:
        """Send a part of an answer, and reset the connection."""
        self.close_connection = True
        read_bytes = int(length * READ_SHARES.get(self.faults.fault, 1))
        if self.faults.fault == LAST_BYTE_RESET:
            read_bytes = length - 1
        self.rfile.read(max(0, read_bytes))
        part = self.faults.part
        chunk = b'%x\r\n%b\r\n' % (len(part), part)
        head, sent = {
            'none': ('', part),
            'chunks': ('Transfer-Encoding: chunked\r\n', chunk),
            'length': (f'Content-Length: {len(part) + 1}\r\n', part),
        }[self.faults.framing]
        self.wfile.write(f'HTTP/1.1 200 OK\r\n{head}\r\n'.encode() + sent)
        time.sleep(RESET_AFTER_SECONDS)
        linger = struct.pack('ii', 1, 0)
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.connection.close()
