"""Steps of limits.feature: retries while coordinators die."""

from __future__ import annotations

from collections import Counter
from typing import Any

import attrs
from behave import then, when
from gypsumrelay_dispatch import (
    Ending,
    Grant,
    SchedulerState,
    apply_upstreams,
    end_attempt,
    request_placement,
    restore_retries,
)
from simulation import SERVICE, Simulation, new_request

INSTANCES = 5
WINDOW_SECONDS = 10
FIRST_DEATH_SECONDS = 8
DEATHS_INTERVAL_SECONDS = 1.5


@attrs.define
class Observed:
    """First sends and retries, and what each instance knows of them."""

    first_sends: list[float] = attrs.field(factory=list)
    retries: list[tuple[float, int]] = attrs.field(factory=list)
    totals: dict[int, tuple[float, int]] = attrs.field(factory=dict)
    dead: set[int] = attrs.field(factory=set)


@when(
    '{rate:d} requests each second are all retried for {seconds:d} seconds '
    'while {count:d} coordinators die',
)
def retry_and_die(context: Any, rate: int, seconds: int, count: int) -> None:
    sim = context.sim
    observed = Observed()
    started = sim.now
    deaths = [
        started + FIRST_DEATH_SECONDS + number * DEATHS_INTERVAL_SECONDS
        for number in range(count)
    ]
    for number in range(rate * seconds):
        sim.now = started + number / rate
        if deaths and sim.now >= deaths[0]:
            deaths.pop(0)
            replace_coordinator(sim, observed)
        alive = [one for one in range(INSTANCES) if one not in observed.dead]
        send_twice(sim, observed, number, alive[number % len(alive)])
    context.observed = observed


@then('the retries in each {seconds:d} seconds stay within the budget')
def check_budget(context: Any, seconds: int) -> None:
    limit = context.sim.scheduler.retry_limit
    times = [at for at, _ in context.observed.retries]
    assert len(times) > limit.slack
    for start in times:
        got = count_between(times, start, seconds)
        requests = max(
            count_between(context.observed.first_sends, begin, seconds)
            for begin in (start, start - seconds, start - seconds / 2)
        )
        allowed = limit.ratio * requests + limit.slack
        assert got <= allowed, (got, allowed)


def count_between(times: list[float], start: float, seconds: int) -> int:
    return sum(start <= at < start + seconds for at in times)


def send_twice(
    sim: Simulation, observed: Observed, number: int, instance: int
) -> None:
    for attempt in (1, 2):
        request = new_request(
            f'r{number}', sim.now, attempt=attempt, entry=f'{instance}'
        )
        decisions = request_placement(sim.scheduler, request, sim.now)
        granted = [one for one in decisions if isinstance(one, Grant)]
        if not granted:
            return
        end_attempt(sim.scheduler, request.key, Ending.failed, sim.now)
        if attempt == 1:
            observed.first_sends.append(sim.now)
        else:
            observed.retries.append((sim.now, instance))
            observed.totals[instance] = (sim.now, granted[0].retries_used)


def replace_coordinator(sim: Simulation, observed: Observed) -> None:
    """Let an instance die that coordinates; the others report."""
    observed.dead.add(len(observed.dead))
    old = sim.scheduler
    sim.scheduler = SchedulerState(old.settings, old.services)
    pool = [load.upstream for load in old.loads.values()]
    apply_upstreams(sim.scheduler, pool, sim.now)
    recent = Counter(
        instance
        for at, instance in observed.retries
        if at > sim.now - WINDOW_SECONDS
    )
    for instance in range(INSTANCES):
        if instance in observed.dead:
            continue
        known_at, total = observed.totals.get(instance, (float('-inf'), 0))
        if known_at <= sim.now - WINDOW_SECONDS:
            total = 0
        restore_retries(
            sim.scheduler, SERVICE, recent[instance], total, sim.now
        )
