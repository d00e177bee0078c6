"""Steps of scheduling_cost.feature."""

from __future__ import annotations

import random
from typing import Any
from unittest import mock

import attrs
from behave import given, then, when
from gypsumrelay_dispatch import (
    Ending,
    Phase,
    SchedulerState,
    ServiceLimits,
    apply_configuration,
    apply_upstreams,
    end_attempt,
    request_placement,
    scheduling,
    tick,
)
from gypsumrelay_settings import DispatchSettings
from random_traffic import random_event
from simulation import SERVICE, Simulation, new_request, token_counts, upstream

PLAIN = 'plain'


@given('a fleet of {engines:d} engines with {count:d} prompts in the queue')
def give_fleet(context: Any, engines: int, count: int) -> None:
    sim = Simulation(SchedulerState(DispatchSettings()))
    limits = [ServiceLimits(SERVICE, memory_tokens=30000), ServiceLimits(PLAIN)]
    apply_configuration(sim.scheduler, limits, [], sim.now)
    readers = engines // 4
    pool = [
        *(upstream(number, Phase.prefill, 12) for number in range(readers)),
        *(upstream(number, Phase.decode, 12) for number in range(engines)),
        attrs.evolve(upstream(0, Phase.plain, 6), service=PLAIN),
    ]
    apply_upstreams(sim.scheduler, pool, sim.now)
    while len(sim.scheduler.queue) < count:
        sim.submit(**token_counts(3200, 70), wait_until=sim.now + 60)
    context.sim = sim


def count_attempts(context: Any, call: Any) -> None:
    """Count the requests for which placement is attempted."""
    choose = mock.Mock(wraps=scheduling.choose)
    with mock.patch.object(scheduling, 'choose', choose):
        call()
    context.attempt_count = choose.call_count


@when('a plain request arrives and ends')
def send_plain(context: Any) -> None:
    sim = context.sim

    def place_and_end() -> None:
        request = new_request('plain', sim.now, service=PLAIN)
        sim.collect(request_placement(sim.scheduler, request, sim.now))
        answered = Ending.answered
        sim.collect(end_attempt(sim.scheduler, request.key, answered, sim.now))

    count_attempts(context, place_and_end)
    assert sim.answers['plain', 1], sim.answers


@when('the coordinator ticks')
def run_tick(context: Any) -> None:
    sim = context.sim
    count_attempts(context, lambda: sim.collect(tick(sim.scheduler, sim.now)))


@then('placement was attempted for {count:d} request')
def check_attempts(context: Any, count: int) -> None:
    assert context.attempt_count == count, context.attempt_count


@then('{count:d} random runs have the same results as without skipping')
def compare_runs(context: Any, count: int) -> None:
    for seed in range(count):
        usual = random_run(seed)
        with mock.patch.object(scheduling, 'cannot_be_placed', never_skip):
            unskipped = random_run(seed)
        assert usual == unskipped, seed


def never_skip(request: Any, failed: Any) -> bool:
    """Return False, so that placement is attempted for each request."""
    return False


def random_run(seed: int) -> Any:
    """Return the answers of a random run."""
    rng = random.Random(seed)
    sim = Simulation(SchedulerState(DispatchSettings()))
    limits = [ServiceLimits(SERVICE, memory_tokens=12000, cold_per_second=20)]
    apply_configuration(sim.scheduler, limits, [], sim.now)
    pool = [
        *(upstream(number, Phase.prefill, 2) for number in range(2)),
        *(upstream(number, Phase.decode, 4) for number in range(3)),
    ]
    apply_upstreams(sim.scheduler, pool, sim.now)
    longest = 0
    for _ in range(150):
        sim.now += rng.random() * 0.1
        random_event(sim, rng)
        longest = max(longest, len(sim.scheduler.queue))
    assert longest > 2, 'no queue formed'
    return sim.answers
