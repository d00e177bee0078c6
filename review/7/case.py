"""Bookings that a replica ran and answered with a status that promises not."""

from __future__ import annotations

import json
import random
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

REPLICAS: Final = 7
# `srv_grey`: a share of .15 of the replicas fails .4 of its requests.
FAILING_SHARE: Final = 0.4
# Longest time that the site file has for it.
FAILING_AFTER_SECONDS: Final = 5
FAILING_SECONDS: Final = 6.5
DEADLINE_MS: Final = 1500
CALLERS: Final = 8
PLAY_SECONDS: Final = 18
# Statuses that promise that a request has not run and never will.
PROMISES: Final = frozenset((408, 421, 429, 503))


class Bookings:
    """What the replicas ran and the callers were told."""

    def __init__(self) -> None:
        """Start with none."""
        self.lock = threading.Lock()
        self.runs: dict[str, int] = {}
        self.answers: dict[str, int] = {}


def play(world: World) -> int:
    """Book, and compare the answers with what ran."""
    bookings = Bookings()
    grey: set[str] = set()
    rng = random.Random(1)  # noqa: S311

    def book(
        replica: Replica, request: Request, connection: socket.socket
    ) -> bool:
        with bookings.lock:
            ran = bookings.runs.get(request.id, 0)
            bookings.runs[request.id] = ran + 1
            fails = replica.name in grey and rng.random() < FAILING_SHARE
        time.sleep(0.03)
        headers = {'X-Request-Id': request.id, 'X-Response-Seal': 'seal'}
        if fails:
            # It has run, so that `X-Not-Executed` would not be true.
            body = json.dumps({'error': 'booked, but the ledger failed'})
            world.record.note(f'replica fails {request.id} with 503')
            return send_whole(connection, 503, body.encode(), headers)
        return send_whole(connection, 200, b'booked', headers)

    route = {
        'Name': 'book',
        'Host': 'desk.example',
        'PathPrefix': '/book/',
        'Kind': 'non_idempotent',
        'TimeoutMs': DEADLINE_MS,
        'TargetLatencyMs': 150,
        'Priority': 2,
        'Service': 'app',
        'MaxAttempts': 1,
        'Public': False,
    }
    world.configure([route], [{'Name': 'app', 'ColdPerS': 0}])
    replicas = [world.add('app', '', book, 6) for _ in range(REPLICAS)]
    world.start_relays(2)
    until = time.monotonic() + PLAY_SECONDS

    def ask(number: int) -> None:
        count = 0
        while time.monotonic() < until:
            count += 1
            request_id = f'b{number}-{count}'
            world.record.note(f'caller sends {request_id}')
            answer = call(
                world.relays[number % 2],
                'POST',
                '/book/a',
                request_id,
                DEADLINE_MS,
                body=b'{}',
            )
            seal = (
                'sealed' if 'x-response-seal' in answer.headers else 'unsealed'
            )
            world.record.note(
                f'caller got {request_id}: {answer.status}, {seal}'
            )
            with bookings.lock:
                bookings.answers[request_id] = answer.status
            time.sleep(0.02)

    callers = [
        threading.Thread(target=ask, args=(number,))
        for number in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    time.sleep(FAILING_AFTER_SECONDS)
    if has_trouble():
        world.record.note('a replica begins to fail requests')
        grey.add(replicas[0].name)
        time.sleep(FAILING_SECONDS)
        grey.clear()
        world.record.note('the replica is sound again')
    for caller in callers:
        caller.join()
    false = [
        request_id
        for request_id, status in bookings.answers.items()
        if status in PROMISES and bookings.runs.get(request_id)
    ]
    for request_id in false:
        world.record.note(f'{request_id} has run, and a promise was given')
    served = sum(status == 200 for status in bookings.answers.values())
    text = (
        f'{served} bookings answered with 200, {len(false)} that ran and were '
        'answered with a status that promises that they did not'
    )
    world.record.note(text)
    print(text)
    if not served:
        return NOT_RUN
    return BROKEN if false else HELD


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).resolve().parent, play))
