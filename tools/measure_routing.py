"""Measures placements and fair-queue operations per second."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from gypsumrelay_routing import (
    FairQueue,
    PlacementRequest,
    PlacementSettings,
    QueuedRequest,
    UpstreamKind,
    UpstreamReport,
    View,
    place_request,
)

DECISIONS = 4000
PREFIXES = tuple(bytes([number]) for number in range(4))
SETTINGS = PlacementSettings()


def fill_view(count: int, busy: int) -> View:
    """Return a view with `count` decode and `count` prefill upstreams."""
    view = View('z0')
    for number in range(count):
        for kind in (UpstreamKind.decode, UpstreamKind.prefill):
            held = PREFIXES if number % 8 == 0 else ()
            report = UpstreamReport(
                f'{kind.value}{number}',
                kind,
                'm',
                f'z{number % 3}',
                0 if busy else 20,
                1000,
                busy,
                20,
                prefixes=held,
            )
            view.apply_report(report, 0)
    return view


def calls_per_second(decide: Callable[[int], object]) -> float:
    """Return how many calls of a function run per second."""
    started = time.perf_counter()
    for number in range(DECISIONS):
        decide(number)
    return DECISIONS / (time.perf_counter() - started)


def placements(count: int, busy: int) -> float:
    """Return placements per second over a number of upstreams."""
    view = fill_view(count // 2, busy)
    rng = random.Random(1)  # noqa: S311 - reproducible input

    def decide(number: int) -> object:
        request = PlacementRequest(
            str(number),
            'm',
            2,
            prompt_tokens=9000,
            max_tokens=200,
            prefixes=PREFIXES,
        )
        return place_request(view, request, rng, SETTINGS, 0)

    return calls_per_second(decide)


def queue_rate(count: int) -> float:
    """Return push and pop pairs per second on a queue of `count` entries."""
    queue = FairQueue()
    rng = random.Random(1)  # noqa: S311 - reproducible input

    def push(number: int) -> None:
        queue.push(
            QueuedRequest(
                str(number),
                f'a{rng.randrange(200)}',
                1 + number % 3,
                rng.randint(100, 9000),
                1e6 + rng.random(),
                rng.choice((0, 0, 5, 9)),
            ),
            0,
        )

    def decide(number: int) -> object:
        push(count + number)
        return queue.pop(0)

    for number in range(count - 1):
        push(number)
    return calls_per_second(decide)


def main() -> None:
    """Print the rates for each number of upstreams and queue entries."""
    for upstreams in (8, 64, 512):
        free = placements(upstreams, 0)
        rejected = placements(upstreams, 500)
        print(
            f'place, {upstreams} upstreams: {free:.0f}/s, '
            f'{rejected:.0f}/s where all are busy and it rejects',
        )
    for entries in (10, 100, 1000, 10_000):
        print(f'push and pop, {entries} waiting: {queue_rate(entries):.0f}/s')


if __name__ == '__main__':
    main()
