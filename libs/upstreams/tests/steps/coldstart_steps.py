"""Steps for the cold-start ramp."""

from __future__ import annotations

from typing import Any

from behave import then
from gypsumrelay_upstreams import (
    ColdRamp,
    EngineReport,
    Key,
    Ledger,
    LedgerSettings,
    RampSettings,
    ReserveRequest,
    StartRun,
    coldstart,
    ledger,
    reconciliation,
)

FAST_SECONDS = 0.01


def apply_event(ramp: ColdRamp, event: str, now: float) -> None:
    """Apply one event of the table to the ramp."""
    name, _, factor = event.partition(' x')
    seconds = FAST_SECONDS * float(factor or 1)
    asked_at = 0 if name.startswith('late') else now
    if name == 'restart':
        coldstart.restart(ramp, now)
    elif name == 'foreign':
        coldstart.observe_foreign_runs(ramp, now)
    elif factor:
        started_at = 0 if name == 'old' else now
        coldstart.observe_completion(ramp, seconds, started_at, now)
    else:
        cold = name == 'cold'
        coldstart.observe_report(ramp, cold=cold, asked_at=asked_at, now=now)


@then('a {state} ramp to {slots:d} slots has these limits')
def check_ramp(context: Any, state: str, slots: int) -> None:
    ramp = coldstart.new_ramp(RampSettings(slots), 0)
    if state == 'full':
        apply_event(ramp, 'warm', 1)
        apply_event(ramp, 'warm', 1)
        for _ in range(slots - 1):
            apply_event(ramp, 'complete x1', 1)
        assert ramp.limit == slots
    now = 10
    for row in context.table:
        for event in row['events'].split(', '):
            now += 1
            apply_event(ramp, event, now)
        assert ramp.limit == int(row['limit']), (row, ramp)


@then(
    '{count:d} completions with every third {factor:d} times as slow move '
    'the baseline by less than {percent:d} percent',
)
def check_baseline(
    context: Any,
    count: int,
    factor: int,
    percent: int,
) -> None:
    ramp = coldstart.new_ramp(RampSettings(), 0)
    for number in range(count):
        slow = factor if number % 3 == 2 else 1
        apply_event(ramp, f'complete x{slow}', number)
    assert abs(ramp.baseline / FAST_SECONDS - 1) * 100 < percent, ramp


@then('two agents of one cold engine together run one request at a time')
def check_two_agents(context: Any) -> None:
    held: set[str] = set()
    agents = [Ledger(LedgerSettings(4), name, limit=1) for name in ('a', 'b')]
    now = 0
    for turn in range(20):
        now += 1
        state = agents[turn % 2]
        ledger.open_link(state, 'entry', now)
        answer = EngineReport(frozenset(held), len(held), True, 'e', now)
        reconciliation.reconcile(state, answer, now)
        key = Key(str(turn), 1)
        request = ReserveRequest(key, 'account', now + 100)
        ledger.reserve(state, request, 'entry', now)
        for granted in list(state.places):
            for action in ledger.start(state, granted, 0, 1000, now):
                if isinstance(action, StartRun):
                    held.add(action.run_id)
        assert len(held) == 1, held
