"""Steps of placement.feature: upstreams that fail, leave or change."""

from __future__ import annotations

import random
from typing import Any

import attrs
from behave import given, then, when
from gypsumrelay_dispatch import (
    Ending,
    end,
    set_upstreams,
    tick,
)
from gypsumrelay_errors import NoUpstream
from simulation import (
    change_listed,
    sizes,
)


@when('all upstreams leave and a plain request waits until its deadline')
def all_leave(context: Any) -> None:
    played = context.played
    change_listed(played, leaving=True)
    need = played.ask()
    played.now = need.deadline
    played.take(tick(played.board, played.now))


@then('it is rejected for lack of an upstream')
def check_without(context: Any) -> None:
    refused = context.played.refused()
    assert [type(one.failure) for one in refused] == [NoUpstream]


@when('{count:d} of them fails {part:d} of {whole:d} requests for a while')
def fail_some(context: Any, count: int, part: int, whole: int) -> None:
    played = context.played
    rng = random.Random(7)
    bad = {f'plain-{number}' for number in range(count)}
    context.sent = []
    running: list[tuple[float, Any]] = []
    for _ in range(600):
        played.now += 0.01
        need = played.ask()
        running.append((played.now + 0.045, need))
        while running and running[0][0] <= played.now:
            done = running.pop(0)[1]
            name = played.board.places[done.key].upstream
            context.sent.append(name)
            failed = name in bad and rng.random() < part / whole
            ending = Ending.failed if failed else Ending.answered
            played.take(end(played.board, done.key, ending, played.now))


@then('it got fewer than a quarter of the requests')
def check_quarter(context: Any) -> None:
    assert context.sent.count('plain-0') < len(context.sent) / 4


@when('one of them is unreachable')
def unreached(context: Any) -> None:
    played = context.played
    need = played.ask()
    context.bad = played.board.places[need.key].upstream
    played.take(end(played.board, need.key, Ending.unreached, played.now))


@when('one of them answers under another name')
def misdirected(context: Any) -> None:
    played = context.played
    need = played.ask()
    context.bad = played.board.places[need.key].upstream
    ending = Ending.misdirected
    played.take(end(played.board, need.key, ending, played.now))


@then('after {seconds:d} seconds the next {count:d} requests go to the others')
def check_later(context: Any, seconds: int, count: int) -> None:
    played = context.played
    for key in list(played.board.places):
        played.take(end(played.board, key, Ending.answered, played.now))
    played.now += seconds
    check_others(context, count)


@when(
    'the prefill upstream leaves and {count:d} prompts of {tokens:d} tokens '
    'arrive',
)
def no_prefill(context: Any, count: int, tokens: int) -> None:
    change_listed(context.played, only='prefill-0', leaving=True)
    for _ in range(count):
        context.played.ask(**sizes(tokens, 500))


@then('{count:d} of them run, {each} at each decode upstream')
def check_direct(context: Any, count: int, each: str) -> None:
    used = context.played.by_upstream()
    assert used.total() == count
    assert set(used.values()) == {('one', 'two').index(each) + 1}


@when('the queue is served {seconds:g} seconds later')
def pass_time(context: Any, seconds: float) -> None:
    played = context.played
    played.now += seconds
    played.take(tick(played.board, played.now))


@then('the next {count:d} requests go to the others')
def check_others(context: Any, count: int) -> None:
    played = context.played
    for _ in range(count):
        played.ask()
    assert played.by_upstream()[context.bad] == 0
    assert played.by_upstream().total() == count


@when('the others leave')
def others_leave(context: Any) -> None:
    change_listed(context.played, keep=context.bad, leaving=True)


@then('a request still goes to it')
def check_still(context: Any) -> None:
    need = context.played.ask()
    places = context.played.board.places
    assert places[need.key].upstream == context.bad


@when('zone {zone:d} is evacuated and upstream {number:d} is leaving')
def evacuate(context: Any, zone: int, number: int) -> None:
    played = context.played
    played.board.evacuated = frozenset((f'zone-{zone}',))
    change_listed(played, only=f'plain-{number}', leaving=True)


@then('{count:d} of {asked:d} requests run, all at upstream {number:d}')
def check_only(context: Any, count: int, asked: int, number: int) -> None:
    for _ in range(asked):
        context.played.ask()
    assert context.played.by_upstream() == {f'plain-{number}': count}


@when('upstream {number:d} is missing from the list after a store outage')
def vanish(context: Any, number: int) -> None:
    played = context.played
    gone = f'plain-{number}'
    pool = [
        load.upstream
        for name, load in played.board.loads.items()
        if name != gone
    ]
    set_upstreams(played.board, pool, played.now, lapsed=True)
    context.gone = gone


@then('it is used for {seconds:g} seconds and then no more')
def check_grace(context: Any, seconds: float) -> None:
    played = context.played
    played.now += seconds - 0.1
    for _ in range(18):
        played.ask()
    assert played.by_upstream()[context.gone] == 6
    played.now += 0.2
    for key in list(played.board.places):
        played.take(end(played.board, key, Ending.answered, played.now))
    for _ in range(12):
        played.ask()
    assert played.by_upstream()[context.gone] == 0


@when('its upstream restarts under the same name')
def restart(context: Any) -> None:
    played = context.played
    context.name = played.board.places[context.running.key].upstream
    change_listed(played, only=context.name, started_ms=2)


@then('the new incarnation has no load')
def check_restarted(context: Any) -> None:
    played = context.played
    played.take(
        end(played.board, context.running.key, Ending.lost, played.now),
    )
    load = played.board.loads[context.name]
    assert not load.running


@when(
    'one of them restarts under another name while the store is unavailable',
)
def come_back_renamed(context: Any) -> None:
    played = context.played
    pool = [load.upstream for load in played.board.loads.values()]
    context.renamed = pool[0].name
    pool[0] = attrs.evolve(pool[0], name='renamed', started_ms=2)
    set_upstreams(played.board, pool, played.now, lapsed=True)


@then('the next {count:d} requests go to the listed ones')
def check_listed(context: Any, count: int) -> None:
    played = context.played
    for _ in range(count):
        played.ask()
    used = played.by_upstream()
    assert used.total() == count
    assert context.renamed not in used, used


@given('a list of upstreams that is usable for {seconds:g} seconds')
def limit_list(context: Any, seconds: float) -> None:
    played = context.played
    played.board.list_until = played.now + seconds


@when(
    'the coordinator is paused for {seconds:g} seconds and a request arrives',
)
def stand_still(context: Any, seconds: float) -> None:
    played = context.played
    played.now += seconds
    context.need = played.ask()


@then('the request waits')
def check_waits(context: Any) -> None:
    played = context.played
    played.take(tick(played.board, played.now))
    assert not played.answers, played.answers


@when('a new list has only upstream {number:d}')
def list_only(context: Any, number: int) -> None:
    played = context.played
    kept = played.board.loads[f'plain-{number}'].upstream
    set_upstreams(played.board, [kept], played.now)
    played.board.list_until = played.now + 2
    played.take(tick(played.board, played.now))


@then('the request runs at upstream {number:d}')
def check_runs_at(context: Any, number: int) -> None:
    place = context.played.board.places[context.need.key]
    assert place.upstream == f'plain-{number}'
