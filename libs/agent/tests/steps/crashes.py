"""Steps of crashes.feature."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from gypsumrelay_agent import crashes
from gypsumrelay_agent.engine import UpstreamFault
from gypsumrelay_agent.runs import Run
from gypsumrelay_upstreams import EngineReport, Key
from gypsumrelay_wire import CrashReport, Failed, Prefill

BROKEN_CONNECTION = UpstreamFault('the connection broke', crashed=True)
REFUSED_CONNECTION = UpstreamFault(
    'the upstream refuses connections', reached=False
)


def add_run(context: Any, number: int) -> Run:
    """Add a run at the engine."""
    key = Key(f'r{number}', 1)
    order = Prefill(key.request_id, key.attempt, 'model', 'prompt', 1000)
    run = Run(key, f'run-{number}', context.link, order, digest=b'%d' % number)
    context.state.runs[key] = run
    return run


@given('an agent whose engine runs {count:d} requests')
def create_agent(context: Any, count: int) -> None:
    context.sent = []
    context.link = SimpleNamespace(
        peer=SimpleNamespace(role='entry'),
        send=context.sent.append,
    )
    context.state = SimpleNamespace(
        suspected_crash=None,
        crashes=0,
        crashed_at=float('-inf'),
        runs={},
        links={'entry': context.link},
        ledger=SimpleNamespace(engine='first'),
        ramp=SimpleNamespace(settings=SimpleNamespace(reports_cold=False)),
        settings=SimpleNamespace(
            upstream=SimpleNamespace(name='engine', cold_limit=1),
        ),
        accounts=SimpleNamespace(
            member=SimpleNamespace(incarnation='agent'),
        ),
        executor=SimpleNamespace(submit=lambda *call: None),
    )
    for number in range(count):
        add_run(context, number)


def break_connection(context: Any, run: Run) -> None:
    """Report that the connection of a run broke."""
    context.state.runs.pop(run.key)
    crashes.suspect_crash(context.state, run, BROKEN_CONNECTION)


@when('the engine crashes and {count:d} broken connections are detected')
def break_connections(context: Any, count: int) -> None:
    for run in list(context.state.runs.values())[:count]:
        break_connection(context, run)


@when('the crash is confirmed')
def confirm_crash(context: Any) -> None:
    crashes.resolve_suspected_crash(context.state, REFUSED_CONNECTION)


@when('the last broken connection is detected while the engine is down')
def break_last_connection(context: Any) -> None:
    run = next(iter(context.state.runs.values()))
    break_connection(context, run)
    confirm_crash(context)


@when('a request runs on the restarted engine, which crashes')
def crash_restarted_engine(context: Any) -> None:
    context.state.ledger.engine = 'second'
    break_connection(context, add_run(context, 9))
    report = EngineReport(frozenset(), 0, False, 'third', 0)
    crashes.resolve_suspected_crash(context.state, report)


def crash_reports(context: Any) -> list[CrashReport]:
    """Return the crash reports sent to entries."""
    return [
        sent_message
        for sent_message in context.sent
        if isinstance(sent_message, CrashReport)
    ]


@then('1 crash with {count:d} requests was reported')
def check_crash_report(context: Any, count: int) -> None:
    sizes = [len(report.digests) for report in crash_reports(context)]
    assert sizes == [count], sizes


@then('{count:d} crashes were reported, the last one with 1 request')
def check_last_report(context: Any, count: int) -> None:
    sizes = [len(report.digests) for report in crash_reports(context)]
    assert len(sizes) == count, sizes
    assert sizes[-1] == 1, sizes


@then('the failure of all {count:d} requests was reported')
def check_failures(context: Any, count: int) -> None:
    failed = [
        sent_message
        for sent_message in context.sent
        if isinstance(sent_message, Failed)
    ]
    assert len(failed) == count, failed
