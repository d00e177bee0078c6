"""Steps of placement.feature: random traffic."""

from __future__ import annotations

import random
from typing import Any

import attrs
from behave import then
from gypsumrelay_dispatch import (
    Ending,
    end_attempt,
    end_prefill,
    tick,
)
from simulation import (
    Simulation,
    change_listed,
    forecast,
    model_simulation,
    token_counts,
)


@then(
    '{count:d} random runs stay within all bounds and answer each request once',
)
def check_random_runs(context: Any, count: int) -> None:
    for seed in range(count):
        _check_random_run(random.Random(seed))


def _check_random_run(rng: random.Random) -> None:
    sim = model_simulation(2, 3, 20_000)
    service = sim.scheduler.services['service']
    sim.scheduler.services['service'] = attrs.evolve(
        service, cold_per_second=20
    )
    sent: dict[str, list[float]] = {}
    counted = 0
    for _ in range(120):
        sim.now += rng.random() * 0.2
        random_event(sim, rng)
        for grant in sim.grants()[counted:]:
            counted += 1
            sent.setdefault(grant.upstream.name, []).append(sim.now)
        _check_bounds(sim, sent)
    sim.now += 100
    sim.collect(tick(sim.scheduler, sim.now))
    assert not sim.scheduler.queue
    for key in list(sim.scheduler.placements):
        sim.collect(end_attempt(sim.scheduler, key, Ending.answered, sim.now))
    assert len(sim.answers) == sim.submitted
    assert all(len(given) == 1 for given in sim.answers.values())
    for load in sim.scheduler.loads.values():
        assert not load.running
        assert not load.prefill_work_ms


def random_event(sim: Simulation, rng: random.Random) -> None:
    """Apply a random event to a coordinator's state."""
    keys = list(sim.scheduler.placements)
    choice = rng.random()
    ending = rng.choice(list(Ending))
    if choice < 0.45 or not keys:
        sim.submit(
            **token_counts(rng.randrange(1, 9000), rng.randrange(1, 2700)),
            excluded=frozenset(rng.sample(['decode-0', 'prefill-1'], 1)),
        )
    elif choice < 0.65:
        key = rng.choice(keys)
        sim.collect(end_prefill(sim.scheduler, key, ending, sim.now))
    elif choice < 0.9:
        key = rng.choice(keys)
        sim.collect(end_attempt(sim.scheduler, key, ending, sim.now))
    else:
        change_listed(
            sim,
            only=f'decode-{rng.randrange(3)}',
            leaving=rng.random() < 0.5,
        )
    sim.collect(tick(sim.scheduler, sim.now))


def _check_bounds(sim: Simulation, sent: dict[str, list[float]]) -> None:
    memory = sim.scheduler.services['service'].memory_tokens
    for load in sim.scheduler.loads.values():
        if sim.now in sent.get(load.upstream.name, ()):
            alone = len(load.running) == 1
            assert alone or forecast(sim, load) <= memory
        if len(load.prefill_work_ms) > 1:
            limit = sim.scheduler.settings.prefill_backlog_ms
            assert sum(load.prefill_work_ms.values()) <= limit * 8
    for times in sent.values():
        assert sum(one > sim.now - 1 for one in times) <= 20
