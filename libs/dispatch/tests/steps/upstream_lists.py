"""Steps of placement.feature: upstreams that fail, leave or change."""

from __future__ import annotations

import random
from typing import Any

import attrs
from behave import given, then, when
from gypsumrelay_dispatch import (
    Ending,
    apply_upstreams,
    end_attempt,
    tick,
)
from gypsumrelay_errors import NoUpstream
from simulation import (
    change_listed,
    token_counts,
)


@when('all upstreams leave and a plain request waits until its deadline')
def all_leave(context: Any) -> None:
    sim = context.sim
    change_listed(sim, leaving=True)
    request = sim.submit()
    sim.now = request.deadline
    sim.collect(tick(sim.scheduler, sim.now))


@then('it is rejected for lack of an upstream')
def check_without(context: Any) -> None:
    rejections = context.sim.rejections()
    assert [type(one.failure) for one in rejections] == [NoUpstream]


@when('{count:d} of them fails {part:d} of {whole:d} requests for a while')
def fail_some(context: Any, count: int, part: int, whole: int) -> None:
    sim = context.sim
    rng = random.Random(7)
    faulty = {f'plain-{number}' for number in range(count)}
    context.sent = []
    running: list[tuple[float, Any]] = []
    for _ in range(600):
        sim.now += 0.01
        request = sim.submit()
        running.append((sim.now + 0.045, request))
        while running and running[0][0] <= sim.now:
            done = running.pop(0)[1]
            name = sim.scheduler.placements[done.key].upstream
            context.sent.append(name)
            failed = name in faulty and rng.random() < part / whole
            ending = Ending.failed if failed else Ending.answered
            sim.collect(end_attempt(sim.scheduler, done.key, ending, sim.now))


@then('it got fewer than a quarter of the requests')
def check_quarter(context: Any) -> None:
    assert context.sent.count('plain-0') < len(context.sent) / 4


@when('one of them is unreachable')
def unreached(context: Any) -> None:
    sim = context.sim
    request = sim.submit()
    context.faulty = sim.scheduler.placements[request.key].upstream
    sim.collect(
        end_attempt(sim.scheduler, request.key, Ending.unreached, sim.now)
    )


@when('one of them answers under another name')
def misdirected(context: Any) -> None:
    sim = context.sim
    request = sim.submit()
    context.faulty = sim.scheduler.placements[request.key].upstream
    ending = Ending.misdirected
    sim.collect(end_attempt(sim.scheduler, request.key, ending, sim.now))


@then('after {seconds:d} seconds the next {count:d} requests go to the others')
def check_later(context: Any, seconds: int, count: int) -> None:
    sim = context.sim
    for key in list(sim.scheduler.placements):
        sim.collect(end_attempt(sim.scheduler, key, Ending.answered, sim.now))
    sim.now += seconds
    check_others(context, count)


@when(
    'the prefill upstream leaves and {count:d} prompts of {tokens:d} tokens '
    'arrive',
)
def no_prefill(context: Any, count: int, tokens: int) -> None:
    change_listed(context.sim, only='prefill-0', leaving=True)
    for _ in range(count):
        context.sim.submit(**token_counts(tokens, 500))


@then('{count:d} of them run, {each} at each decode upstream')
def check_direct(context: Any, count: int, each: str) -> None:
    used = context.sim.by_upstream()
    assert used.total() == count
    assert set(used.values()) == {('one', 'two').index(each) + 1}


@when('the queue is served {seconds:g} seconds later')
def serve_later(context: Any, seconds: float) -> None:
    sim = context.sim
    sim.now += seconds
    sim.collect(tick(sim.scheduler, sim.now))


@then('the next {count:d} requests go to the others')
def check_others(context: Any, count: int) -> None:
    sim = context.sim
    for _ in range(count):
        sim.submit()
    assert sim.by_upstream()[context.faulty] == 0
    assert sim.by_upstream().total() == count


@when('the others leave')
def others_leave(context: Any) -> None:
    change_listed(context.sim, keep=context.faulty, leaving=True)


@then('a request still goes to it')
def check_still(context: Any) -> None:
    request = context.sim.submit()
    placements = context.sim.scheduler.placements
    assert placements[request.key].upstream == context.faulty


@when('zone {zone:d} is evacuated and upstream {number:d} is leaving')
def evacuate(context: Any, zone: int, number: int) -> None:
    sim = context.sim
    sim.scheduler.evacuated = frozenset((f'zone-{zone}',))
    change_listed(sim, only=f'plain-{number}', leaving=True)


@then('{count:d} of {asked:d} requests run, all at upstream {number:d}')
def check_only(context: Any, count: int, asked: int, number: int) -> None:
    for _ in range(asked):
        context.sim.submit()
    assert context.sim.by_upstream() == {f'plain-{number}': count}


@when('upstream {number:d} is missing from the list after a store outage')
def vanish(context: Any, number: int) -> None:
    sim = context.sim
    gone = f'plain-{number}'
    pool = [
        load.upstream
        for name, load in sim.scheduler.loads.items()
        if name != gone
    ]
    apply_upstreams(sim.scheduler, pool, sim.now, store_recovered=True)
    context.gone = gone


@then('it is used for {seconds:g} seconds and then no more')
def check_grace(context: Any, seconds: float) -> None:
    sim = context.sim
    sim.now += seconds - 0.1
    for _ in range(18):
        sim.submit()
    assert sim.by_upstream()[context.gone] == 6
    sim.now += 0.2
    for key in list(sim.scheduler.placements):
        sim.collect(end_attempt(sim.scheduler, key, Ending.answered, sim.now))
    for _ in range(12):
        sim.submit()
    assert sim.by_upstream()[context.gone] == 0


@when('its upstream restarts under the same name')
def restart(context: Any) -> None:
    sim = context.sim
    context.name = sim.scheduler.placements[context.running.key].upstream
    change_listed(sim, only=context.name, started_ms=2)


@then('the new incarnation has no load')
def check_restarted(context: Any) -> None:
    sim = context.sim
    sim.collect(
        end_attempt(sim.scheduler, context.running.key, Ending.lost, sim.now),
    )
    load = sim.scheduler.loads[context.name]
    assert not load.running


@when(
    'one of them restarts under another name while the store is unavailable',
)
def restart_renamed(context: Any) -> None:
    sim = context.sim
    pool = [load.upstream for load in sim.scheduler.loads.values()]
    context.renamed = pool[0].name
    pool[0] = attrs.evolve(pool[0], name='renamed', started_ms=2)
    apply_upstreams(sim.scheduler, pool, sim.now, store_recovered=True)


@then('the next {count:d} requests go to the listed ones')
def check_listed(context: Any, count: int) -> None:
    sim = context.sim
    for _ in range(count):
        sim.submit()
    used = sim.by_upstream()
    assert used.total() == count
    assert context.renamed not in used, used


@given('a list of upstreams that is usable for {seconds:g} seconds')
def limit_list(context: Any, seconds: float) -> None:
    sim = context.sim
    sim.scheduler.list_expires_at = sim.now + seconds


@when(
    'the coordinator is paused for {seconds:g} seconds and a request arrives',
)
def pause_coordinator(context: Any, seconds: float) -> None:
    sim = context.sim
    sim.now += seconds
    context.request = sim.submit()


@then('the request waits')
def check_waits(context: Any) -> None:
    sim = context.sim
    sim.collect(tick(sim.scheduler, sim.now))
    assert not sim.answers, sim.answers


@when('a new list has only upstream {number:d}')
def list_only(context: Any, number: int) -> None:
    sim = context.sim
    kept = sim.scheduler.loads[f'plain-{number}'].upstream
    apply_upstreams(sim.scheduler, [kept], sim.now)
    sim.scheduler.list_expires_at = sim.now + 2
    sim.collect(tick(sim.scheduler, sim.now))


@then('the request runs at upstream {number:d}')
def check_runs_at(context: Any, number: int) -> None:
    placement = context.sim.scheduler.placements[context.request.key]
    assert placement.upstream == f'plain-{number}'
