"""Measure the memory of a relay process with slow readers.

Run it with the PYTHONPATH of the Makefile:

    python tools/measure_buffers.py large_answer 0
    python tools/measure_buffers.py large_stream 12000
"""

from __future__ import annotations

import json
import secrets
import selectors
import socket
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any, Final
from unittest.mock import patch

from gypsumrelay_soak import unread_answers
from gypsumrelay_soak.callers import HOST, KINDS
from gypsumrelay_soak.world import RelayProcess, World, build_world

MEMORY_MB: Final = 128
READERS: Final = 500
SECONDS: Final = 20.0
# Seconds for which the relay and its upstreams start.
START_SECONDS: Final = 4.0
# Bytes that each reader reads at once, and the interval in seconds.
READ_BYTES: Final = 2048
READ_INTERVAL: Final = 0.1
RECEIVE_BUFFER_BYTES: Final = 4096
KB_PER_MB: Final = 1000


def resident_mb(process_id: int, field: str) -> float:
    """Return the resident memory of a process, or its peak."""
    status = Path(f'/proc/{process_id}/status').read_text()
    line = next(one for one in status.splitlines() if one.startswith(field))
    return int(line.split()[1]) * 1024 / KB_PER_MB / KB_PER_MB


def connect(world: World, path: str, method: str) -> socket.socket:
    """Send one request whose answer is not read yet."""
    link = socket.socket()
    link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    link.connect(world.relays[0].caller_address)
    request_id = secrets.token_hex(8)
    world.ledger.sent(request_id, '', 'account-0')
    head = (
        f'{method} {path}a HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Request-Id: {request_id}\r\nX-Deadline-Ms: 6000\r\n'
        f'X-Credential: {world.keys["account-0"][0]}\r\n'
        'X-Token-Counts: 100,300\r\nContent-Length: 0\r\n\r\n'
    )
    link.sendall(head.encode())
    link.setblocking(False)
    return link


def read_slowly(
    process_id: int, links: list[socket.socket]
) -> tuple[Counter[str], float]:
    """Read a little at intervals; return statuses and peak memory in MB."""
    statuses: Counter[str] = Counter()
    selector = selectors.DefaultSelector()
    for link in links:
        selector.register(link, selectors.EVENT_READ, [])
    ends_at = time.monotonic() + SECONDS
    while time.monotonic() < ends_at:
        for key, _ in selector.select(0):
            piece = receive(key.fileobj)
            if not piece:
                selector.unregister(key.fileobj)
                statuses['closed'] += 1
                continue
            if not key.data:
                key.data.append(piece)
                statuses[piece[9:12].decode('latin-1')] += 1
            # A stream ends with an empty chunk.
            statuses['whole'] += piece.endswith(b'\r\n0\r\n\r\n')
        time.sleep(READ_INTERVAL)
    return statuses, resident_mb(process_id, 'VmHWM')


def receive(link: Any) -> bytes:
    """Return a few bytes; none at the end and after a reset."""
    try:
        return bytes(link.recv(READ_BYTES))
    except OSError:
        return b''


def measure(world: World, fault: str) -> dict[str, Any]:
    """Return the figures of one run.

    Raises:
        ProcessLookupError: The relay has ended.
    """
    process = world.relays[0].process
    if process is None:
        raise ProcessLookupError('no relay')
    idle = resident_mb(process.pid, 'VmRSS')
    for replica in world.replicas:
        replica.fault = fault
    kind = KINDS[2 if fault == 'large_stream' else 0]
    links = [connect(world, kind.path, kind.method) for _ in range(READERS)]
    statuses, peak = read_slowly(process.pid, links)
    return {
        'fault': fault,
        'idle_mb': round(idle, 1),
        'peak_mb': round(peak, 1),
        'statuses': dict(statuses),
        'cut_off': len(world.ledger.unread),
    }


def main(fault: str, event_bytes: int, folder: Path) -> None:
    """Measure and print the figures.

    Args:
        fault: `large_answer` or `large_stream`.
        event_bytes: Size of each of the 24 events of a stream.
        folder: Folder for the logs.
    """
    build = RelayProcess._settings

    def settings(process: RelayProcess) -> dict[str, Any]:
        written = build(process)
        written['capacity'] = {'memory_mb': MEMORY_MB}
        return written

    unread_answers.EVENT_BYTES = event_bytes  # type: ignore[misc]
    with patch.object(RelayProcess, '_settings', settings):
        world = build_world(1, 1, 0, folder)
        try:
            time.sleep(START_SECONDS)
            print(json.dumps(measure(world, fault)))
        finally:
            world.stop()


if __name__ == '__main__':
    with tempfile.TemporaryDirectory(prefix='buffers-') as name:
        main(sys.argv[1], int(sys.argv[2]), Path(name))
