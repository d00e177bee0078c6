"""Steps of scheduling_cost.feature."""

from __future__ import annotations

import random
from typing import Any
from unittest import mock

import attrs
from behave import given, then, when
from gypsumrelay_dispatch import (
    Board,
    Ending,
    Phase,
    ServiceRules,
    ask,
    end,
    scheduling,
    set_rules,
    set_upstreams,
    tick,
)
from gypsumrelay_settings import DispatchSettings
from random_traffic import random_event
from simulation import SERVICE, Played, new_need, sizes, upstream

PLAIN = 'plain'


@given('a fleet of {engines:d} engines with {count:d} prompts in the queue')
def give_fleet(context: Any, engines: int, count: int) -> None:
    played = Played(Board(DispatchSettings()))
    rules = [ServiceRules(SERVICE, memory_tokens=30000), ServiceRules(PLAIN)]
    set_rules(played.board, rules, [], played.now)
    readers = engines // 4
    pool = [
        *(upstream(number, Phase.prefill, 12) for number in range(readers)),
        *(upstream(number, Phase.decode, 12) for number in range(engines)),
        attrs.evolve(upstream(0, Phase.plain, 6), service=PLAIN),
    ]
    set_upstreams(played.board, pool, played.now)
    while len(played.board.queue) < count:
        played.ask(**sizes(3200, 70), wait_until=played.now + 60)
    context.played = played


def count_tries(context: Any, call: Any) -> None:
    """Count the requests for which placement is attempted."""
    choose = mock.Mock(wraps=scheduling.choose)
    with mock.patch.object(scheduling, 'choose', choose):
        call()
    context.tries = choose.call_count


@when('a plain request arrives and ends')
def send_plain(context: Any) -> None:
    played = context.played

    def come_and_go() -> None:
        need = new_need('plain', played.now, service=PLAIN)
        played.take(ask(played.board, need, played.now))
        answered = Ending.answered
        played.take(end(played.board, need.key, answered, played.now))

    count_tries(context, come_and_go)
    assert played.answers['plain', 1], played.answers


@when('the coordinator ticks')
def pass_time(context: Any) -> None:
    played = context.played
    count_tries(context, lambda: played.take(tick(played.board, played.now)))


@then('placement was attempted for {count:d} request')
def check_tries(context: Any, count: int) -> None:
    assert context.tries == count, context.tries


@then('{count:d} random runs have the same results as without skipping')
def compare_days(context: Any, count: int) -> None:
    for seed in range(count):
        usual = play_day(seed)
        with mock.patch.object(scheduling, 'has_no_chance', tries_each):
            thorough = play_day(seed)
        assert usual == thorough, seed


def tries_each(need: Any, failed: Any) -> bool:
    """Return False, so that placement is attempted for each request."""
    return False


def play_day(seed: int) -> Any:
    """Return the answers of a random run."""
    rng = random.Random(seed)
    played = Played(Board(DispatchSettings()))
    rules = [ServiceRules(SERVICE, memory_tokens=12000, cold_per_second=20)]
    set_rules(played.board, rules, [], played.now)
    pool = [
        *(upstream(number, Phase.prefill, 2) for number in range(2)),
        *(upstream(number, Phase.decode, 4) for number in range(3)),
    ]
    set_upstreams(played.board, pool, played.now)
    longest = 0
    for _ in range(150):
        played.now += rng.random() * 0.1
        random_event(played, rng)
        longest = max(longest, len(played.board.queue))
    assert longest > 2, 'no queue formed'
    return played.answers
