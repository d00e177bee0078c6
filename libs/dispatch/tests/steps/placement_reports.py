"""Steps of placement.feature: reports to a new coordinator."""

from __future__ import annotations

from typing import Any

from behave import then, when
from gypsumrelay_dispatch import (
    Granted,
    Place,
    hold,
    take_introduction,
    tick,
)
from simulation import new_need, prompt_fields

LIVING = frozenset(('entry', 'other'))
TICK = 0.05


@when('an entry of two reports no placements and requests one')
def introduce_one(context: Any) -> None:
    played = context.played
    told = take_introduction(played.board, 'entry', LIVING, played.now)
    played.take(told)
    context.asked_at = played.now
    context.waiting = played.ask(**prompt_fields(played))


@then('the request waits for the other entry')
def check_waits(context: Any) -> None:
    played = context.played
    played.now += TICK
    played.take(tick(played.board, played.now))
    assert not played.all()


@when('the other entry reports an active placement')
def introduce_other(context: Any) -> None:
    played = context.played
    need = new_need('held', played.now, entry='other', **prompt_fields(played))
    hold(played.board, Place(need, 'decode-0', '', 0, played.now))
    context.held = need
    told = take_introduction(played.board, 'other', LIVING, played.now)
    played.take(told)
    assert not played.all()


@then('it is placed within {seconds:g} seconds')
def check_gets_within(context: Any, seconds: float) -> None:
    played = context.played
    while not played.all():
        played.now += TICK
        assert played.now <= context.asked_at + seconds
        played.take(tick(played.board, played.now))
    assert isinstance(played.answers[context.waiting.key][0], Granted)
