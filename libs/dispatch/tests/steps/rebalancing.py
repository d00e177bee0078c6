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
    end_prefill,
    note_change,
    plan,
    set_upstreams,
)
from gypsumrelay_dispatch.rebalancing import (
    Shape,
    observe_need,
    wanted_prefill,
)
from simulation import Played, model_board, new_need

STEP_SECONDS = 0.5


@given(
    '{prefill:d} prefill and {decode:d} decode upstreams of {memory:d} tokens'
)
def give_pools(context: Any, prefill: int, decode: int, memory: int) -> None:
    context.played = model_board(prefill, decode, memory)
    context.changes = []


@given('expected requests of {prompt:d} and {output:d} tokens in the settings')
def give_settings(context: Any, prompt: int, output: int) -> None:
    board = context.played.board
    board.settings = attrs.evolve(
        board.settings,
        usual_prompt_tokens=prompt,
        usual_output_tokens=output,
    )


@when(
    'requests average {prompt:d} and {output:d} tokens for {seconds:g} seconds',
)
def observe(context: Any, prompt: int, output: int, seconds: float) -> None:
    played = context.played
    for number in range(200):
        need = new_need(
            f'u{number}',
            played.now,
            prompt_tokens=prompt,
            expected_tokens=output,
        )
        observe_need(played.board, need)
    wait(context, seconds)


@when('{seconds:g} seconds pass')
def wait(context: Any, seconds: float) -> None:
    played = context.played
    for _ in range(int(seconds / STEP_SECONDS)):
        played.now += STEP_SECONDS
        change = plan(played.board, played.now)
        if change is not None:
            context.changes.append(change)
            note_change(played.board, change, played.now)


@when('a prefill upstream is down for {seconds:g} seconds')
def be_away(context: Any, seconds: float) -> None:
    played = context.played
    pool = [load.upstream for load in played.board.loads.values()]
    set_upstreams(played.board, pool[1:], played.now)
    wait(context, seconds)
    set_upstreams(played.board, pool, played.now)
    wait(context, seconds)


@then('one {old} upstream is ordered to {new}')
def check_ordered(context: Any, old: str, new: str) -> None:
    change = _only(context.changes)
    assert change.phase is Phase(new)
    assert change.upstream.startswith(old)


@then('none is ordered while it changes')
def check_pause(context: Any) -> None:
    wait(context, 8)
    assert len(context.changes) == 1


@when('the list shows the change')
def show_change(context: Any) -> None:
    played = context.played
    change = context.changes.pop()
    pool = [
        attrs.evolve(load.upstream, phase=change.phase)
        if name == change.upstream
        else load.upstream
        for name, load in played.board.loads.items()
    ]
    set_upstreams(played.board, pool, played.now)


@then('{prefill:d} prefill and {decode:d} decode upstreams remain unchanged')
def check_stay(context: Any, prefill: int, decode: int) -> None:
    wait(context, 30)
    phases = [
        load.upstream.phase for load in context.played.board.loads.values()
    ]
    assert phases.count(Phase.prefill) == prefill
    assert phases.count(Phase.decode) == decode
    assert not context.changes


@then('no upstream is ordered')
def check_none(context: Any) -> None:
    assert not context.changes


@then('no request is placed at it until the list shows the change')
def check_no_work(context: Any) -> None:
    played = context.played
    name = context.changes[0].upstream
    assert name not in _used(played, 12)
    show_change(context)
    assert name in _used(played, 40)


@then('{count:d} random splits leave an upstream in each pool')
def check_random(context: Any, count: int) -> None:
    rng = random.Random(9)
    for _ in range(count):
        total = rng.randrange(2, 40)
        shape = Shape(rng.random() * 1000, rng.random() * 1000)
        wanted = wanted_prefill(shape, total, 0.1 + rng.random() * 3)
        assert 1 <= wanted < total


def _only(changes: list[PhaseChange]) -> PhaseChange:
    assert len(changes) == 1, changes
    return changes[0]


def _used(played: Played, count: int) -> set[str]:
    """Send placement requests and return the upstreams of the grants."""
    used = set()
    for _ in range(count):
        need = played.ask(
            prompt_tokens=2000,
            output_tokens=1000,
            expected_tokens=500,
        )
        place = played.board.places.get(need.key)
        if place is not None:
            used |= {place.upstream, place.prefill}
        ending = Ending.answered
        played.take(end_prefill(played.board, need.key, ending, played.now))
    return used
