"""Steps of load_following.feature."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from load_model import LoadModel, Mix, load_model
from simulation import SERVICE

LONG_PROMPTS = Mix(6500, 120, 16)
LONG_ANSWERS = Mix(2500, 900, 14)


@given(
    '{prefill:d} prefill and {decode:d} decode engines {settings}, '
    'seed {seed:d}',
)
def give_engines(
    context: Any, prefill: int, decode: int, settings: str, seed: int
) -> None:
    learns = settings == 'that follow the load'
    context.model = load_model(prefill, decode, seed, learn_transfers=learns)
    context.slower = load_model(prefill, decode, seed)


def _take_turns(model: LoadModel, seconds: float, total: float) -> list[float]:
    """Run both kinds in turns; return the instants of the changes."""
    starts = []
    for turn in range(int(total / seconds)):
        starts.append(model.sim.now)
        model.run(LONG_ANSWERS if turn % 2 else LONG_PROMPTS, seconds)
    return starts


@when(
    'long prompts and long answers take turns every {seconds:g} seconds for '
    '{total:g}',
)
def take_turns(context: Any, seconds: float, total: float) -> None:
    context.starts = _take_turns(context.model, seconds, total)
    context.total = (seconds, total)


@when(
    'requests average {prompt:d} and {output:d} tokens at {rate:g} a second '
    'for {seconds:g} seconds',
)
def run_steady(
    context: Any, prompt: int, output: int, rate: float, seconds: float
) -> None:
    context.model.spread = 1.0
    context.model.run(Mix(prompt, output, rate), seconds)


@then(
    'at least {part:g} were served in time from 10 to 20 seconds after a change'
)
def check_followed(context: Any, part: float) -> None:
    served = [
        context.model.served_in_time(start + 10, start + 20)
        for start in context.starts[1:]
    ]
    assert min(served) >= part, served


@then('at most {count:d} upstreams changed')
def check_changes(context: Any, count: int) -> None:
    changes = context.model.changes
    assert len(changes) <= count, changes


@then('more requests were served in time than by the slower average')
def check_better(context: Any) -> None:
    _take_turns(context.slower, *context.total)
    served = context.model.served_in_time(0, float('inf'))
    slower = context.slower.served_in_time(0, float('inf'))
    assert served > slower, (served, slower)


@then('the work of the last seconds was not kept')
def check_off(context: Any) -> None:
    scheduler = context.model.sim.scheduler
    assert context.model.changes
    assert not scheduler.workloads[SERVICE].demand.weight
