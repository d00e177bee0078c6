"""Bookings at a relay that all callers come to after the others were lost."""

from __future__ import annotations

import signal
import socket
import sys
import threading
import time
from pathlib import Path
from typing import Final

from standins_2 import (
    BROKEN,
    HELD,
    NOT_RUN,
    Replica,
    Request,
    World,
    call,
    has_trouble,
    run_case,
    send_whole,
)

RELAYS: Final = 3
EVENTS: Final = 40
EVENT_SECONDS: Final = 0.2
STREAM_CALLERS: Final = 192
BOOKING_CALLERS: Final = 12
STREAM_TIMEOUT_MS: Final = 14000
BOOKING_TIMEOUT_MS: Final = 1000
# A caller waits longer than the operator wants, so that a late answer shows.
BOOKING_DEADLINE_MS: Final = 4000
LATE_SECONDS: Final = 0.5
LOST_AFTER_SECONDS: Final = 12
# `StableWindowMs`, after which the relay that is left is in touch.
STABLE_SECONDS: Final = 3
PLAY_SECONDS: Final = 40
# Number of requests from which on the share of late ones says something.
LEAST: Final = 20


def stream(
    replica: Replica, request: Request, connection: socket.socket
) -> bool:
    """Send events at intervals, in chunks."""
    head = (
        'HTTP/1.1 200 OK\r\n'
        f'X-Request-Id: {request.id}\r\n'
        'X-Response-Seal: seal\r\n'
        'Content-Type: text/event-stream\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    )
    connection.sendall(head.encode())
    for number in range(1, EVENTS + 1):
        event = f'id: {number}\ndata: {request.id}\n\n'.encode()
        connection.sendall(b'%x\r\n%s\r\n' % (len(event), event))
        time.sleep(EVENT_SECONDS)
    connection.sendall(b'0\r\n\r\n')
    return True


def book(replica: Replica, request: Request, connection: socket.socket) -> bool:
    """Book at once."""
    time.sleep(0.03)
    headers = {'X-Request-Id': request.id, 'X-Response-Seal': 'seal'}
    return send_whole(connection, 200, b'booked', headers)


def configure(world: World) -> None:
    """Write the configuration."""
    common = {'Host': 'desk.example', 'MaxAttempts': 1, 'Public': False}
    world.configure(
        [
            {
                **common,
                'Name': 'quote',
                'PathPrefix': '/quote/',
                'Kind': 'stream',
                'TimeoutMs': STREAM_TIMEOUT_MS,
                'TargetLatencyMs': 900,
                'Priority': 1,
                'Service': 'llm',
                'Sticky': True,
                'Resumable': False,
                'GapAimMs': 300,
            },
            {
                **common,
                'Name': 'book',
                'PathPrefix': '/book/',
                'Kind': 'non_idempotent',
                'TimeoutMs': BOOKING_TIMEOUT_MS,
                'TargetLatencyMs': 150,
                'Priority': 2,
                'Service': 'app',
            },
        ],
        [
            {
                'Name': 'llm',
                'ColdPerS': 0,
                'Engine': {'Slots': 64, 'KvCapacityTokens': 39418},
            },
            {'Name': 'app', 'ColdPerS': 0},
        ],
    )


class Play:
    """What the callers share."""

    def __init__(self, world: World) -> None:
        """Start with nothing counted."""
        self.world = world
        self.alive = list(range(RELAYS))
        self.until = time.monotonic() + PLAY_SECONDS
        self.lost_at = float('inf')
        self.lock = threading.Lock()
        self.unanswered = 0
        self.late = 0
        self.answered = 0
        self.streams = 0

    def read_streams(self, number: int) -> None:
        """Read one stream after the other."""
        count = 0
        time.sleep(number * 0.02)
        while time.monotonic() < self.until:
            count += 1
            relay = self.alive[number % len(self.alive)]
            headers = {
                'X-Model': 'm',
                'X-Token-Counts': '100,90',
                'X-Prompt-Prefix': f'{number:x}{count:04x}:100',
            }
            answer = call(
                self.world.relays[relay],
                'POST',
                '/quote/a',
                f's{number}-{count}',
                STREAM_TIMEOUT_MS,
                headers,
                b'{}',
            )
            with self.lock:
                self.streams += answer.complete and answer.status == 200
            if not answer.complete or answer.status != 200:
                time.sleep(0.3)

    def book(self, number: int) -> None:
        """Book one visit after the other."""
        count = 0
        time.sleep(number * 0.05)
        while time.monotonic() < self.until:
            count += 1
            relay = self.alive[number % len(self.alive)]
            request_id = f'b{number}-{count}'
            self.world.record.note(f'caller sends {request_id} to {relay}')
            sent_at = time.monotonic()
            answer = call(
                self.world.relays[relay],
                'POST',
                '/book/a',
                request_id,
                BOOKING_DEADLINE_MS,
                body=b'{}',
            )
            self.count(request_id, sent_at, answer.status)
            time.sleep(0.25)

    def count(self, request_id: str, sent_at: float, status: int) -> None:
        """Count a booking by when its answer came."""
        seconds = time.monotonic() - sent_at
        self.world.record.note(
            f'caller got {request_id}: {status or "no answer"} after '
            f'{seconds:.2f} s'
        )
        if self.lost_at <= sent_at < self.lost_at + STABLE_SECONDS:
            return
        timeout = BOOKING_TIMEOUT_MS / 1000
        with self.lock:
            self.answered += status == 200
            if seconds > timeout:
                self.unanswered += 1
                self.late += seconds > timeout + LATE_SECONDS


def play(world: World) -> int:
    """Kill all relays but one, and see whether it answers bookings."""
    configure(world)
    for _ in range(2):
        world.add('llm', 'prefill')
    for _ in range(4):
        world.add('llm', 'decode', stream)
    for _ in range(3):
        world.add('app', '', book, 6)
    world.start_relays(RELAYS)
    state = Play(world)
    threads = [
        threading.Thread(target=state.read_streams, args=(number,))
        for number in range(STREAM_CALLERS)
    ]
    threads += [
        threading.Thread(target=state.book, args=(number,))
        for number in range(BOOKING_CALLERS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(LOST_AFTER_SECONDS)
    if has_trouble():
        state.alive = [0]
        state.lost_at = time.monotonic()
        for relay in world.relays[1:]:
            relay.signal(signal.SIGKILL)
    for thread in threads:
        thread.join()
    text = (
        f'{state.streams} streams, {state.answered} bookings answered with '
        f'200; {state.unanswered} bookings unanswered at the time-out of '
        f'{BOOKING_TIMEOUT_MS} ms, {state.late} of them {LATE_SECONDS} s later'
    )
    world.record.note(text)
    print(text)
    if not state.answered or not state.streams:
        return NOT_RUN
    is_late = state.unanswered >= LEAST and state.late * 2 > state.unanswered
    return BROKEN if is_late else HELD


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).resolve().parent, play))
