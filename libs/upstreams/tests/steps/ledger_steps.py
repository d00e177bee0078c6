"""Steps for the ledger and its reconciliation."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from behave import then
from gypsumrelay_upstreams import (
    Action,
    EngineReport,
    Key,
    Ledger,
    LedgerSettings,
    ReserveRequest,
    ledger,
    reconciliation,
)
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test
from ledger_machine import LedgerMachine, SharingMachine

LINK = 'entry'
PIECE_TOKENS = 100
PIECES = 10
FOREIGN_PIECES = 8


@then(
    "{runs:d} random histories of {steps:d} steps keep the ledger's "
    'invariants, sharing prefixes: {sharing}',
)
def run_machine(context: Any, runs: int, steps: int, sharing: str) -> None:
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


@then('a ledger with {slots:d} slots returns these actions')
def check_ledger(context: Any, slots: int) -> None:
    check_new_ledger(context, slots, is_new=False)


@then('a new ledger with {slots:d} slots returns these actions')
def check_new_ledger(context: Any, slots: int, is_new: bool = True) -> None:
    state = Ledger(LedgerSettings(slots, PIECES, PIECE_TOKENS, True), 'agent')
    ledger.open_link(state, LINK, 0)
    ledger.set_limit(state, slots, 0)
    if not is_new:
        reconciliation.reconcile(state, report(0, ()), 0)
    for row in context.table:
        now = float(row['at'])
        if now > 5:
            state.links.update({LINK: now + 3} if LINK in state.links else {})
        actions = apply_event(state, row['event'], now)
        text = ', '.join(map(format_action, actions)) or 'nothing'
        assert text == row['actions'], f'{row["event"]}: {text}'


def apply_event(state: Ledger, event: str, now: float) -> list[Any]:
    """Apply one event of the table and return the resulting actions."""
    name, *words = event.split()
    handlers: dict[str, Callable[[], list[Any]]] = {
        'lose': lambda: ledger.lose_link(state, LINK, now),
        'heartbeat': lambda: ledger.heartbeat(state, LINK, now) or [],
        'expire': lambda: ledger.expire(state, now),
        'drain': lambda: ledger.drain(state, now),
        'superseded': lambda: ledger.supersede(state, now),
        'cold': lambda: ledger.set_limit(state, 1, now),
        'is': lambda: ['yes' if ledger.is_drained(state) else 'no'],
        'report': lambda: reconcile_report(
            state,
            report(now, words, state.engine or 'e1'),
            now,
        ),
        'restarted': lambda: reconcile_report(
            state, report(now, (), 'e2'), now
        ),
    }
    return (
        handlers[name]()
        if name in handlers
        else apply_request_event(state, event, now)
    )


def apply_request_event(state: Ledger, event: str, now: float) -> list[Action]:
    """Apply an event of one request and return the resulting actions."""
    name, label, *more = event.split()
    request_id, attempt = label.split('.')
    key = Key(request_id, int(attempt))
    if name == 'reserve':
        sizes = [int(word) for word in more if word.isdigit()] or [0, 0]
        reservation = ReserveRequest(
            key,
            'account',
            1000,
            prompt_tokens=sizes[0] * PIECE_TOKENS,
            prefixes=tuple(b'%d' % block for block in range(sizes[1])),
            keyed='keyed' in more,
            alone='alone' in more,
        )
        return ledger.reserve(state, reservation, LINK, now)
    if name == 'tokens':
        return ledger.progress(state, key, 0, 2)
    if name == 'start':
        return ledger.start(state, key, 0, 1000, now)
    if name == 'freed':
        return ledger.confirm_freed(state, f'agent.{label}', now)
    kept_until = now + 1 if 'kept' in more else -math.inf
    if name == 'finish':
        return ledger.release(state, key, now, kept_until=kept_until)
    return ledger.cancel(state, key, now)


def report(now: float, names: Any, engine: str = 'e1') -> EngineReport:
    """Return an engine report; own runs are named by key, others as given."""
    held = [f'agent.{name}' if '.' in name else name for name in names]
    pieces = FOREIGN_PIECES * len(held)
    return EngineReport(frozenset(held), pieces, False, engine, now)


def reconcile_report(
    state: Ledger, answer: EngineReport, now: float
) -> list[Action]:
    """Reconcile the ledger with an engine report."""
    return reconciliation.reconcile(state, answer, now)


def format_action(action: Any) -> str:
    """Return an action as it is written in the tables."""
    if isinstance(action, str):
        return action
    parts = [type(action).__name__]
    if hasattr(action, 'key'):
        parts.append(f'{action.key.request_id}.{action.key.attempt}')
    elif hasattr(action, 'run_id'):
        parts.append(action.run_id.removeprefix('agent.'))
    if hasattr(action, 'reason'):
        parts.append(action.reason.value)
    if hasattr(action, 'failure'):
        assert action.failure.outcome.value == 'not_run'
        parts.append(action.failure.code)
    return ' '.join(parts)
