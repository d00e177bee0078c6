"""Steps of placement.feature: reports to a new coordinator."""

from __future__ import annotations

from typing import Any

from behave import then, when
from gypsumrelay_dispatch import (
    ActivePlacement,
    Grant,
    complete_report,
    restore_placement,
    tick,
)
from simulation import new_request, prompt_fields

LIVE_ENTRIES = frozenset(('entry', 'other'))
TICK_SECONDS = 0.05


@when('an instance of two reports no placements and requests one')
def report_none(context: Any) -> None:
    sim = context.sim
    decisions = complete_report(sim.scheduler, 'entry', LIVE_ENTRIES, sim.now)
    sim.collect(decisions)
    context.asked_at = sim.now
    context.waiting = sim.submit(**prompt_fields(sim))


@then('the request waits for the other instance')
def check_waits(context: Any) -> None:
    sim = context.sim
    sim.now += TICK_SECONDS
    sim.collect(tick(sim.scheduler, sim.now))
    assert not sim.all()


@when('the other instance reports an active placement')
def report_active(context: Any) -> None:
    sim = context.sim
    request = new_request('held', sim.now, entry='other', **prompt_fields(sim))
    restore_placement(
        sim.scheduler, ActivePlacement(request, 'decode-0', '', 0, sim.now)
    )
    context.held = request
    decisions = complete_report(sim.scheduler, 'other', LIVE_ENTRIES, sim.now)
    sim.collect(decisions)
    assert not sim.all()


@then('it is placed within {seconds:g} seconds')
def check_gets_within(context: Any, seconds: float) -> None:
    sim = context.sim
    while not sim.all():
        sim.now += TICK_SECONDS
        assert sim.now <= context.asked_at + seconds
        sim.collect(tick(sim.scheduler, sim.now))
    assert isinstance(sim.answers[context.waiting.key][0], Grant)
