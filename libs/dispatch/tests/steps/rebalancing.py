"""Steps of rebalancing.feature."""

from __future__ import annotations

import random
from typing import Any

import attrs
from behave import given, then, when
from gypsumrelay_dispatch import (
    Ending,
    Phase,
    PhaseChange,
    apply_upstreams,
    end_prefill,
    plan_phase_change,
    record_phase_change,
)
from gypsumrelay_dispatch.rebalancing import (
    Workload,
    observe_request,
    wanted_prefill,
)
from simulation import Simulation, model_simulation, new_request

STEP_SECONDS = 0.5


@given(
    '{prefill:d} prefill and {decode:d} decode upstreams of {memory:d} tokens'
)
def give_pools(context: Any, prefill: int, decode: int, memory: int) -> None:
    context.sim = model_simulation(prefill, decode, memory)
    context.changes = []


@given('expected requests of {prompt:d} and {output:d} tokens in the settings')
def give_settings(context: Any, prompt: int, output: int) -> None:
    scheduler = context.sim.scheduler
    scheduler.settings = attrs.evolve(
        scheduler.settings,
        usual_prompt_tokens=prompt,
        usual_output_tokens=output,
    )


@when(
    'requests average {prompt:d} and {output:d} tokens for {seconds:g} seconds',
)
def observe_average(
    context: Any, prompt: int, output: int, seconds: float
) -> None:
    sim = context.sim
    for number in range(200):
        request = new_request(
            f'u{number}',
            sim.now,
            prompt_tokens=prompt,
            expected_tokens=output,
        )
        observe_request(sim.scheduler, request, sim.now)
    wait(context, seconds)


@when('{seconds:g} seconds pass')
def wait(context: Any, seconds: float) -> None:
    sim = context.sim
    for _ in range(int(seconds / STEP_SECONDS)):
        sim.now += STEP_SECONDS
        change = plan_phase_change(sim.scheduler, sim.now)
        if change is not None:
            context.changes.append(change)
            record_phase_change(sim.scheduler, change, sim.now)


@when('a prefill upstream is down for {seconds:g} seconds')
def stop_prefill(context: Any, seconds: float) -> None:
    sim = context.sim
    pool = [load.upstream for load in sim.scheduler.loads.values()]
    apply_upstreams(sim.scheduler, pool[1:], sim.now)
    wait(context, seconds)
    apply_upstreams(sim.scheduler, pool, sim.now)
    wait(context, seconds)


@then('one {old} upstream is ordered to {new}')
def check_ordered(context: Any, old: str, new: str) -> None:
    change = _single(context.changes)
    assert change.phase is Phase(new)
    assert change.upstream.startswith(old)


@then('none is ordered while it changes')
def check_pause(context: Any) -> None:
    wait(context, 8)
    assert len(context.changes) == 1


@when('the list shows the change')
def show_change(context: Any) -> None:
    sim = context.sim
    change = context.changes.pop()
    pool = [
        attrs.evolve(load.upstream, phase=change.phase)
        if name == change.upstream
        else load.upstream
        for name, load in sim.scheduler.loads.items()
    ]
    apply_upstreams(sim.scheduler, pool, sim.now)


@then('{prefill:d} prefill and {decode:d} decode upstreams remain unchanged')
def check_stay(context: Any, prefill: int, decode: int) -> None:
    wait(context, 30)
    phases = [
        load.upstream.phase for load in context.sim.scheduler.loads.values()
    ]
    assert phases.count(Phase.prefill) == prefill
    assert phases.count(Phase.decode) == decode
    assert not context.changes


@then('no upstream is ordered')
def check_none(context: Any) -> None:
    assert not context.changes


@then('no request is placed at it until the list shows the change')
def check_no_work(context: Any) -> None:
    sim = context.sim
    name = context.changes[0].upstream
    assert name not in _used(sim, 12)
    show_change(context)
    assert name in _used(sim, 40)


@then('{count:d} random splits leave an upstream in each pool')
def check_random(context: Any, count: int) -> None:
    rng = random.Random(9)
    for _ in range(count):
        total = rng.randrange(2, 40)
        workload = Workload(rng.random() * 1000, rng.random() * 1000)
        wanted = wanted_prefill(workload, total, 0.1 + rng.random() * 3)
        assert 1 <= wanted < total


def _single(changes: list[PhaseChange]) -> PhaseChange:
    assert len(changes) == 1, changes
    return changes[0]


def _used(sim: Simulation, count: int) -> set[str]:
    """Send placement requests and return the upstreams of the grants."""
    used = set()
    for _ in range(count):
        request = sim.submit(
            prompt_tokens=2000,
            output_tokens=1000,
            expected_tokens=500,
        )
        placement = sim.scheduler.placements.get(request.key)
        if placement is not None:
            used |= {placement.upstream, placement.prefill}
        ending = Ending.answered
        sim.collect(end_prefill(sim.scheduler, request.key, ending, sim.now))
    return used
