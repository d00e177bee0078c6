"""Steps for random faults under load."""

from __future__ import annotations

from typing import Any

from behave import then, when
from gypsumrelay_demo import engines_are_free, run_chaos


@when('faults of seed {seed:d} are injected for {seconds:d} seconds under load')
def inject(context: Any, seed: int, seconds: int) -> None:
    tally, chaos = run_chaos(context.system, seconds, seed)
    context.tally = tally
    print(chaos.history, tally)


@then('every accepted request got one complete response and ran once')
def check_answers(context: Any) -> None:
    tally = context.tally
    assert tally.accepted > 20, tally
    assert tally.accepted == tally.answered, tally
    assert not tally.doubled, tally


@then('no request with outcome "not_run" was executed')
def check_not_run(context: Any) -> None:
    assert not context.tally.false_not_run, context.tally


@then('all engine memory is released')
def check_freed(context: Any) -> None:
    assert engines_are_free(context.system)
