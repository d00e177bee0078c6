"""Steps of placement.feature: random traffic."""

from __future__ import annotations

import random
from typing import Any

import attrs
from behave import then
from gypsumrelay_dispatch import (
    Ending,
    end,
    end_prefill,
    tick,
)
from simulation import (
    Played,
    change_listed,
    forecast,
    model_board,
    sizes,
)


@then(
    '{count:d} random runs stay within all bounds and answer each request once',
)
def random_days(context: Any, count: int) -> None:
    for seed in range(count):
        _random_day(random.Random(seed))


def _random_day(rng: random.Random) -> None:
    played = model_board(2, 3, 20_000)
    service = played.board.services['service']
    played.board.services['service'] = attrs.evolve(service, cold_per_second=20)
    sent: dict[str, list[float]] = {}
    counted = 0
    for _ in range(120):
        played.now += rng.random() * 0.2
        random_event(played, rng)
        for granted in played.granted()[counted:]:
            counted += 1
            sent.setdefault(granted.upstream.name, []).append(played.now)
        _check_bounds(played, sent)
    played.now += 100
    played.take(tick(played.board, played.now))
    assert not played.board.queue
    for key in list(played.board.places):
        played.take(end(played.board, key, Ending.answered, played.now))
    assert len(played.answers) == played.asked
    assert all(len(given) == 1 for given in played.answers.values())
    for load in played.board.loads.values():
        assert not load.running
        assert not load.reading_ms


def random_event(played: Played, rng: random.Random) -> None:
    """Apply a random event to a coordinator's state."""
    keys = list(played.board.places)
    choice = rng.random()
    ending = rng.choice(list(Ending))
    if choice < 0.45 or not keys:
        played.ask(
            **sizes(rng.randrange(1, 9000), rng.randrange(1, 2700)),
            excluded=frozenset(rng.sample(['decode-0', 'prefill-1'], 1)),
        )
    elif choice < 0.65:
        key = rng.choice(keys)
        played.take(end_prefill(played.board, key, ending, played.now))
    elif choice < 0.9:
        key = rng.choice(keys)
        played.take(end(played.board, key, ending, played.now))
    else:
        change_listed(
            played,
            only=f'decode-{rng.randrange(3)}',
            leaving=rng.random() < 0.5,
        )
    played.take(tick(played.board, played.now))


def _check_bounds(played: Played, sent: dict[str, list[float]]) -> None:
    memory = played.board.services['service'].memory_tokens
    for load in played.board.loads.values():
        if played.now in sent.get(load.upstream.name, ()):
            alone = len(load.running) == 1
            assert alone or forecast(played, load) <= memory
        if len(load.reading_ms) > 1:
            limit = played.board.settings.prefill_backlog_ms
            assert sum(load.reading_ms.values()) <= limit * 8
    for times in sent.values():
        assert sum(one > played.now - 1 for one in times) <= 20
