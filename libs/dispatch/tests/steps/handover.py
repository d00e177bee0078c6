"""Steps of limits.feature: changes of the coordinator."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from typing import Any

import attrs
from behave import given, then, when
from gypsumrelay_dispatch import (
    Ending,
    Grant,
    PlacementRequest,
    SchedulerState,
    apply_configuration,
    apply_upstreams,
    end_attempt,
    restore_charges,
    restore_quarantine,
    restore_sends,
    tick,
)
from gypsumrelay_errors import Outcome
from simulation import (
    Simulation,
    model_simulation,
    plain_simulation,
    token_counts,
)

INSTANCES = 4
ANSWER_SECONDS = 0.05


@given('a cold upstream that tolerates {rate:d} requests per second')
def give_cold(context: Any, rate: int) -> None:
    sim = model_simulation(0, 1, 1_000_000)
    services = [
        attrs.evolve(service, cold_per_second=rate)
        for service in sim.scheduler.services.values()
    ]
    apply_configuration(sim.scheduler, services, [], sim.now)
    context.sim = sim


@given('1 plain upstream that runs {count:d} requests in {seconds:d} seconds')
def give_long_run(context: Any, count: int, seconds: int) -> None:
    context.sim = plain_simulation(1, 10)
    for _ in range(count):
        context.sim.now += seconds / count
        key = context.sim.submit().key
        end_attempt(
            context.sim.scheduler, key, Ending.answered, context.sim.now
        )


@when(
    'it sends {rate:d} requests of {tokens:d} tokens each second while the '
    'coordinator changes {count:d} times in {seconds:d} seconds',
)
def send_and_change(
    context: Any, rate: int, tokens: int, count: int, seconds: int
) -> None:
    fields = {'client_account': 'account', 'cost_tokens': tokens}
    submit = partial(submit_with, fields)
    context.granted = run(context.sim, submit, rate, count, seconds)


@when(
    '{rate:d} prompts arrive each second while the coordinator changes '
    '{count:d} times in {seconds:d} seconds',
)
def send_prompts(context: Any, rate: int, count: int, seconds: int) -> None:
    submit = partial(submit_with, token_counts(50, 20))
    context.granted = run(context.sim, submit, rate, count, seconds)


@when('an instance reports its rejection to a new coordinator')
def report_rejection(context: Any) -> None:
    digest = context.last.digest
    context.sim = plain_simulation(4, 4)
    now = context.sim.now
    restore_quarantine(context.sim.scheduler, digest, now - 1, now)
    context.rejected = digest


@then('the new coordinator rejects it as not run')
def check_rejected(context: Any) -> None:
    context.sim.submit(digest=context.rejected)
    failure = context.sim.rejections()[0].failure
    assert failure.code == 'request_quarantined'
    assert failure.outcome is Outcome.not_run


@then('runs it after the time for which crashes are attributed')
def check_runs(context: Any) -> None:
    context.sim.now += context.sim.scheduler.settings.blame_seconds
    context.sim.submit(digest=context.rejected)
    assert len(context.sim.grants()) == 1


@then(
    'its tokens in each {seconds:d} seconds stay within {ratio:g} times its '
    'contract plus {slack:d}',
)
def check_contract(
    context: Any, seconds: int, ratio: float, slack: int
) -> None:
    buckets = context.sim.scheduler.accounts.buckets
    size = buckets['account'].size
    allowed = (size.rate * seconds + size.burst) * ratio + slack
    for start, _ in context.granted:
        got = sum(
            grant.request.cost_tokens
            for at, grant in context.granted
            if start <= at < start + seconds
        )
        assert 0 < got <= allowed, (got, allowed)


@then('no second has more than {most:d} sends to it')
def check_sends(context: Any, most: int) -> None:
    times = [at for at, _ in context.granted]
    assert len(times) > most
    for start in times:
        got = sum(start <= at < start + 1 for at in times)
        assert got <= most, got


@then('the instants of at most {most:d} sends are kept')
def check_dropped(context: Any, most: int) -> None:
    load = next(iter(context.sim.scheduler.loads.values()))
    assert 0 < len(load.send_times) <= most, len(load.send_times)


def submit_with(fields: dict[str, Any], sim: Simulation) -> PlacementRequest:
    entry = f'entry-{sim.submitted % INSTANCES}'
    return sim.submit(**fields, entry=entry, wait_until=sim.now + 0.1)


def run(
    sim: Simulation,
    submit: Callable[[Simulation], PlacementRequest],
    rate: int,
    changes: int,
    seconds: int,
) -> list[tuple[float, Grant]]:
    """Submit requests while coordinators change; return the grants."""
    granted: list[tuple[float, Grant]] = []
    running: deque[tuple[float, tuple[str, int]]] = deque()
    started = sim.now
    for number in range(rate * seconds):
        sim.now = started + number / rate
        if number and number * (changes + 1) % (rate * seconds) == 0:
            change_coordinator(sim, granted)
        while running and running[0][0] <= sim.now:
            end_attempt(
                sim.scheduler, running.popleft()[1], Ending.answered, sim.now
            )
        submit(sim)
        sim.collect(tick(sim.scheduler, sim.now))
        known = {grant.request.key for _, grant in granted}
        for grant in sim.grants():
            if grant.request.key not in known:
                granted.append((sim.now, grant))
                running.append((sim.now + ANSWER_SECONDS, grant.request.key))
    return granted


def change_coordinator(
    sim: Simulation, granted: list[tuple[float, Grant]]
) -> None:
    """Replace the coordinator; the instances report their use one by one."""
    old = sim.scheduler
    sim.scheduler = SchedulerState(old.settings)
    apply_upstreams(
        sim.scheduler, [load.upstream for load in old.loads.values()], sim.now
    )
    sim.scheduler.services = old.services
    for name, bucket in old.accounts.buckets.items():
        full = attrs.evolve(
            bucket, level=bucket.size.burst, refilled_at=sim.now
        )
        sim.scheduler.accounts.buckets[name] = full
    for number in range(INSTANCES):
        report_use(sim, f'entry-{number}', granted)


def report_use(
    sim: Simulation, entry: str, granted: list[tuple[float, Grant]]
) -> None:
    own = [
        (at, grant)
        for at, grant in granted
        if grant.request.entry == entry and at > sim.now - 10
    ]
    charges: Counter[float] = Counter()
    for at, grant in own:
        charges[at] += grant.request.cost_tokens
        sends = [at] if at > sim.now - 1 else []
        restore_sends(sim.scheduler, grant.upstream.name, sends, sim.now)
    restore_charges(sim.scheduler, 'account', charges, sim.now)
