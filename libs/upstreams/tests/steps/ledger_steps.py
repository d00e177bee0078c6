"""Steps for the ledger and its reconciliation."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from gypsumrelay_upstreams import (
    CancelRun,
    Dropped,
    Ended,
    EngineReport,
    EngineRestarted,
    Granted,
    Key,
    Ledger,
    LedgerSettings,
    Phase,
    Queued,
    Refused,
    ReserveRequest,
    capacity,
    ledger,
    reconciliation,
)
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test
from ledger_machine import LedgerMachine, SharingMachine

LINK = 'entry'


def request_for(name: str, attempt: int = 1, **more: Any) -> ReserveRequest:
    return ReserveRequest(Key(name, attempt), 'account', 1000, **more)


def report_of(now: float, *held: str, engine: str = 'e1') -> EngineReport:
    return EngineReport(frozenset(held), len(held), False, engine, now)


def start_ledger(context: Any, sizes: LedgerSettings) -> None:
    context.now = 0
    context.ledger = Ledger(sizes, 'agent')
    ledger.open_link(context.ledger, LINK, 0)
    ledger.set_limit(context.ledger, sizes.slots, 0)
    reconciliation.reconcile(context.ledger, report_of(0), 0)


def ask(context: Any, request: ReserveRequest) -> list[Any]:
    return ledger.reserve(context.ledger, request, LINK, context.now)


def begin(context: Any, key: Key) -> list[Any]:
    return ledger.start(context.ledger, key, 0, 1000, context.now)


def kinds(found: list[Any]) -> list[type]:
    return [type(action) for action in found]


@then(
    "{runs:d} random histories of {steps:d} steps keep the ledger's "
    'promises, sharing prefixes: {sharing}',
)
def run_machine(
    context: Any,
    runs: int,
    steps: int,
    sharing: str,
) -> None:
    machine = SharingMachine if sharing == 'yes' else LedgerMachine
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=runs,
            stateful_step_count=steps,
            derandomize=True,
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


@given('a ledger with {slots:d} slots on a known engine')
def given_ledger(context: Any, slots: int) -> None:
    start_ledger(context, LedgerSettings(slots))


@when('attempt {attempt:d} of request "{name}" is reserved')
def reserve_attempt(context: Any, attempt: int, name: str) -> None:
    context.found = ask(context, request_for(name, attempt))


@when(
    'attempt {attempt:d} of request "{name}" is reserved, started and finished'
)
def run_attempt(context: Any, attempt: int, name: str) -> None:
    key = Key(name, attempt)
    assert kinds(ask(context, request_for(name, attempt))) == [Granted]
    begin(context, key)
    ledger.release(context.ledger, key, context.now)


@when('attempt {attempt:d} of request "{name}" is cancelled')
def cancel_attempt(context: Any, attempt: int, name: str) -> None:
    ledger.cancel(context.ledger, Key(name, attempt), context.now)


@then('it is dropped as {reason}')
def check_dropped(context: Any, reason: str) -> None:
    assert kinds(context.found) == [Dropped], context.found
    assert context.found[0].reason.value == reason


@given('a prefill "{name}" whose result the engine keeps for 1 second')
def keep_result(context: Any, name: str) -> None:
    key = Key(name, 1)
    ask(context, request_for(name))
    begin(context, key)
    ledger.release(context.ledger, key, context.now, kept_until=1)


@then('request "{name}" waits while the result is kept')
def waits(context: Any, name: str) -> None:
    assert kinds(ask(context, request_for(name))) == [Queued]


@then(
    'after a cancel of "{name}" it waits until the engine has cancelled '
    'the result'
)
def cancel_result(context: Any, name: str) -> None:
    found = ledger.cancel(context.ledger, Key(name, 1), context.now)
    assert kinds(found) == [CancelRun], found
    run_id = found[0].run_id
    freed = ledger.confirm_freed(context.ledger, run_id, context.now)
    assert kinds(freed) == [Granted], freed


@when('{seconds:d} seconds pass')
def pass_seconds(context: Any, seconds: int) -> None:
    context.now += seconds
    context.found = ledger.expire(context.ledger, context.now)


@then('the ledger remembers no attempt')
def check_forgotten(context: Any) -> None:
    assert not context.ledger.attempts


@given('a running request "{name}" {with_or_without} an idempotency key')
def given_running(context: Any, name: str, with_or_without: str) -> None:
    ask(context, request_for(name, keyed=with_or_without == 'with'))
    begin(context, Key(name, 1))
    assert context.ledger.places[Key(name, 1)].phase is Phase.running


@when('its link is lost')
def lose(context: Any) -> None:
    context.found = ledger.lose_link(context.ledger, LINK, context.now)


@then('it is cancelled after {seconds:d} seconds and not before')
def check_cancelled(context: Any, seconds: int) -> None:
    if seconds:
        assert not context.found
        assert not ledger.expire(context.ledger, seconds - 0.1)
        context.found = ledger.expire(context.ledger, seconds)
    assert CancelRun('agent.a.1') in context.found, context.found


@when('the link sends a heartbeat each second for {seconds:d} seconds')
def send_heartbeats(context: Any, seconds: int) -> None:
    for _ in range(seconds):
        context.now += 1
        ledger.heartbeat(context.ledger, LINK, context.now)
        assert not ledger.expire(context.ledger, context.now)


@then('both requests run')
def check_both_run(context: Any) -> None:
    assert len(context.ledger.places) == 2


@then('both end when it is silent for {seconds:d} seconds')
def check_both_end(context: Any, seconds: int) -> None:
    assert not ledger.expire(context.ledger, context.now + seconds - 0.1)
    found = ledger.expire(context.ledger, context.now + seconds)
    assert kinds(found).count(Ended) == 2


@when('the ledger drains')
def drain(context: Any) -> None:
    ledger.drain(context.ledger, context.now)


@then('a new request is refused as draining with outcome not_run')
def check_refused(context: Any) -> None:
    refused = ask(context, request_for('new'))[0]
    assert isinstance(refused, Refused)
    assert refused.failure.code == 'draining'
    assert refused.failure.outcome.value == 'not_run'


@then('the ledger is drained only after request "{name}" has finished')
def check_drained(context: Any, name: str) -> None:
    assert not ledger.is_drained(context.ledger)
    ledger.release(context.ledger, Key(name, 1), context.now)
    assert ledger.is_drained(context.ledger)


@given('a ledger with {pieces:d} blocks of {size:d} tokens and shared prefixes')
def given_blocks(context: Any, pieces: int, size: int) -> None:
    start_ledger(context, LedgerSettings(20, pieces, size, True))


@then(
    '{count:d} requests of {tokens:d} tokens with a common prefix of '
    '{blocks:d} blocks have places',
)
def check_places(context: Any, count: int, tokens: int, blocks: int) -> None:
    prefixes = tuple(b'%d' % block for block in range(blocks))
    sizes = {'prompt_tokens': tokens, 'prefixes': prefixes}
    for number in range(count):
        found = ask(context, request_for(str(number), **sizes))
        assert kinds(found) == [Granted], found
    context.found = ask(context, request_for('next', **sizes))


@then('the fourth waits')
def check_waits(context: Any) -> None:
    assert kinds(context.found) == [Queued], context.found


@when('{used:d} tokens are in use and a request of {tokens:d} tokens waits')
def fill(context: Any, used: int, tokens: int) -> None:
    assert kinds(ask(context, request_for('a', prompt_tokens=used))) == [
        Granted,
    ]
    found = ask(context, request_for('b', prompt_tokens=tokens))
    assert kinds(found) == [Queued]


@then('a later request of {tokens:d} tokens waits behind it')
def check_behind(context: Any, tokens: int) -> None:
    found = ask(context, request_for('c', prompt_tokens=tokens))
    assert kinds(found) == [Queued]


@given('an engine that holds {count:d} runs of an earlier agent')
def given_held(context: Any, count: int) -> None:
    context.held = {f'earlier.{number}.1' for number in range(count)}


@when('a new agent reconciles each second')
@when('a superseded agent reconciles each second')
def reconcile_each_second(context: Any) -> None:
    state = Ledger(LedgerSettings(4), 'agent', limit=4)
    if 'superseded' in context.scenario.name:
        ledger.supersede(state, 0)
    ledger.open_link(state, LINK, 0)
    context.before = ledger.reserve(state, request_for('a'), LINK, 0)
    context.cancelled_in = []
    for now in range(3):
        report = report_of(now + 0.5, *context.held)
        found = reconciliation.reconcile(state, report, now + 0.6)
        for action in found:
            if isinstance(action, CancelRun):
                context.held.discard(action.run_id)
                context.cancelled_in.append(now)


@then('it grants nothing before its first look')
def check_no_grant(context: Any) -> None:
    assert kinds(context.before) == [Queued]


@then('it has cancelled all of them within {count:d} reconciliations')
def check_all_cancelled(context: Any, count: int) -> None:
    assert not context.held
    assert max(context.cancelled_in) < count


@then('it cancels none of them and grants nothing')
def check_none_cancelled(context: Any) -> None:
    assert len(context.held) == 3
    assert kinds(context.before) == [Refused]


@when("the engine's reports do not list it for {seconds:d} second")
def report_without(context: Any, seconds: int) -> None:
    context.now += seconds
    report = report_of(context.now)
    found = reconciliation.reconcile(context.ledger, report, context.now)
    assert not found, found


@then('both parts of the ledger still count it')
def check_counted(context: Any) -> None:
    assert capacity.at_engine(context.ledger) == 1
    assert capacity.used_slots(context.ledger) == 1


@then('it ends as run_missing after {seconds:d} more seconds')
def check_missing(context: Any, seconds: int) -> None:
    found: list[Any] = []
    for _ in range(seconds):
        assert not found
        context.now += 1
        report = report_of(context.now)
        found = reconciliation.reconcile(context.ledger, report, context.now)
    assert found[0].reason.value == 'run_missing'
    assert capacity.used_slots(context.ledger) == 0


@when('the engine reports another incarnation')
def report_restart(context: Any) -> None:
    context.now += 3
    report = report_of(context.now, engine='e2')
    context.found = reconciliation.reconcile(
        context.ledger,
        report,
        context.now,
    )


@then('request "{name}" ends as engine_restarted and is named as failed')
def check_restarted(context: Any, name: str) -> None:
    key = Key(name, 1)
    assert EngineRestarted('e2', (key,)) in context.found
    ended = [item for item in context.found if isinstance(item, Ended)]
    assert [item.reason.value for item in ended] == ['engine_restarted']
    assert not context.ledger.places
