"""Steps for the cold ramp."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from gypsumrelay_upstreams import (
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


def complete(context: Any, factor: float = 1, started_at: float = -1) -> None:
    context.now += 1
    coldstart.observe_completion(
        context.ramp,
        FAST_SECONDS * factor,
        context.now if started_at < 0 else started_at,
        context.now,
    )


def report(context: Any, *, cold: bool) -> None:
    context.now += 1
    now = context.now
    coldstart.observe_report(context.ramp, cold=cold, asked_at=now, now=now)


@given('a ramp to {slots:d} slots')
def given_ramp(context: Any, slots: int) -> None:
    context.now = 0
    context.ramp = coldstart.new_ramp(RampSettings(slots), 0)


@given('a ramp that has reached its slots')
def given_full(context: Any) -> None:
    given_limit(context, 20)


@given('a ramp with a limit of {limit:d}')
def given_limit(context: Any, limit: int) -> None:
    given_ramp(context, 20)
    report(context, cold=False)
    report(context, cold=False)
    for _ in range(limit - 1):
        complete(context)
    assert context.ramp.limit == limit


@then('completions on a cold engine leave the limit at 1')
def check_cold(context: Any) -> None:
    report(context, cold=True)
    for _ in range(5):
        complete(context)
        assert context.ramp.limit == 1


@then('{count:d} completions on a warm engine raise it to {limit:d}, {rate}')
def check_growth(context: Any, count: int, limit: int, rate: str) -> None:
    report(context, cold=False)
    report(context, cold=False)
    for number in range(count):
        complete(context)
        assert context.ramp.limit == number + 2, rate
    assert context.ramp.limit == limit
    complete(context)
    assert context.ramp.limit == limit


@when('the engine reports that it is cold')
def report_cold(context: Any) -> None:
    report(context, cold=True)


@then('the limit is 1 until the engine has reported twice that it is warm')
def check_hysteresis(context: Any) -> None:
    for warm in (False, True):
        complete(context)
        assert context.ramp.limit == 1
        report(context, cold=False)
        assert coldstart.is_cold(context.ramp) is not warm
    complete(context)
    assert context.ramp.limit == 2


@when('the engine is warm again and {count:d} older requests complete')
def complete_older(context: Any, count: int) -> None:
    report(context, cold=False)
    report(context, cold=False)
    for _ in range(count):
        complete(context, started_at=1)


@when('every third of {count:d} completions takes {factor:d} times as long')
def complete_some_slow(context: Any, count: int, factor: int) -> None:
    for number in range(count):
        complete(context, factor if number % 3 == 2 else 1)


@when('{count:d} completions in a row take {factor:g} times as long')
@when('{count:d} completions take {factor:g} times as long')
def complete_slow(context: Any, count: int, factor: float) -> None:
    for _ in range(count):
        complete(context, factor)


@when('runs of another agent are seen')
def see_foreign(context: Any) -> None:
    coldstart.observe_foreign_runs(context.ramp, context.now)


@then('the limit is {limit:d}')
def check_limit(context: Any, limit: int) -> None:
    assert context.ramp.limit == limit, context.ramp


@then('the baseline is within {percent:d} percent of the fast completions')
def check_baseline(context: Any, percent: int) -> None:
    ratio = context.ramp.baseline / FAST_SECONDS
    assert abs(ratio - 1) <= percent / 100, ratio


@then('two agents beside one cold engine run one request at once between them')
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
