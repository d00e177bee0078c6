"""Steps for the reducer of the log."""

from __future__ import annotations

import json
import random
from typing import Any

import attrs
from behave import given, then, when
from gypsumrelay_configuration import (
    Accepted,
    Contract,
    ContractPut,
    ContractRemoved,
    DrainSet,
    KeyGranted,
    KeyWithdrawn,
    Record,
    Rejected,
    State,
    Verdict,
    apply,
    dump_state,
    is_drained,
    load_state,
    record_from_json,
    record_to_json,
    reducer,
    skip_offset,
)
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test
from steps.histories import Histories


def send(context: Any, record: Record, as_of: int | None = None) -> Verdict:
    known = context.state.offset if as_of is None else as_of
    stamped = attrs.evolve(record, as_of=known)
    return apply(context.state, context.state.offset + 1, stamped)


def put(name: str, based_on: int) -> ContractPut:
    return ContractPut(f'put-{name}', based_on, Contract(name, 1, 1))


def key_of(context: Any, key_id: str) -> Any:
    return context.state.keys[context.state.key_ids[key_id]]


@then('{count:d} histories of {steps:d} steps agree with the oracle')
def check_histories(context: Any, count: int, steps: int) -> None:
    run_state_machine_as_test(
        Histories,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=count,
            stateful_step_count=steps,
            suppress_health_check=list(HealthCheck),
        ),
    )


@given('a reducer that keeps tombstones for {count:d} records')
def set_memory(context: Any, count: int) -> None:
    original = reducer.MEMORY_RECORDS
    reducer.MEMORY_RECORDS = count
    context.add_cleanup(setattr, reducer, 'MEMORY_RECORDS', original)
    context.state = State()


@when('{count:d} accounts are created and removed with their keys and drains')
def create_and_remove(context: Any, count: int) -> None:
    for number in range(count):
        name = f'account-{number}'
        records = (
            put(name, 0),
            KeyGranted(f'g{number}', f'k{number}', name, f'd{number}'),
            ContractRemoved(f'r{number}', 1, name),
            KeyWithdrawn(f'w{number}', f'unknown-{number}'),
            DrainSet(f'd{number}', 0, 'instance', name, True),
            DrainSet(f'u{number}', 1, 'instance', name, False),
        )
        for record in records:
            assert isinstance(send(context, record), Accepted), record


@then('the state holds at most {limit:d} of each')
def check_memory(context: Any, limit: int) -> None:
    for name, member in dump_state(context.state).items():
        if isinstance(member, dict) and name != 'configuration':
            assert len(member) <= limit, (name, len(member))
    # A copy has its tombstones in the same order, so it expires the same.
    dumped = json.dumps(dump_state(context.state), sort_keys=True)
    copied = load_state(json.loads(dumped))
    for state in (context.state, copied):
        for offset in range(state.offset + 1, state.offset + limit):
            apply(state, offset, put('other', 0))
    assert copied == context.state


@when(
    'a contract and a drain are removed, restored, and {count:d} records follow'
)
def restore_removed(context: Any, count: int) -> None:
    records = (
        put('kiosk', 0),
        ContractRemoved('r', 1, 'kiosk'),
        put('kiosk', 2),
        DrainSet('d1', 0, 'zone', 'one', True),
        DrainSet('d2', 1, 'zone', 'one', False),
        DrainSet('d3', 2, 'zone', 'one', True),
    )
    for record in records:
        assert isinstance(send(context, record), Accepted), record
    for _ in range(count):
        send(context, put('office', 0))


@then('both are in force with their versions')
def check_in_force(context: Any) -> None:
    state = context.state
    assert is_drained(state, 'zone', 'one')
    assert state.drains['zone/one'].version == 3
    assert state.contracts['kiosk'].version == 3
    assert isinstance(send(context, put('kiosk', 3)), Accepted)


@given('the account "{name}" with the key "{key_id}"')
def make_account(context: Any, name: str, key_id: str) -> None:
    context.state = State()
    send(context, put(name, 0))
    send(context, KeyGranted('g', key_id, name, 'digest'))
    assert not key_of(context, key_id).withdrawn


@when('the contract is removed and put again')
def remove_and_put(context: Any) -> None:
    context.before = context.state.offset
    assert isinstance(send(context, ContractRemoved('r', 1, 'kiosk')), Accepted)
    assert isinstance(send(context, put('kiosk', 0)), Rejected)
    assert isinstance(send(context, put('kiosk', 2)), Accepted)


@then('the key "{key_id}" is withdrawn')
def check_withdrawn(context: Any, key_id: str) -> None:
    assert key_of(context, key_id).withdrawn


@then('a grant written before the removal is rejected when it arrives')
def check_late_grant(context: Any) -> None:
    late = KeyGranted('late', 'k9', 'kiosk', 'other')
    assert isinstance(send(context, late, context.before), Rejected)
    assert 'other' not in context.state.keys
    assert isinstance(send(context, late), Accepted)


@when('the key id "{key_id}" is withdrawn before its grant arrives')
def withdraw_first(context: Any, key_id: str) -> None:
    assert isinstance(send(context, KeyWithdrawn('w', key_id)), Accepted)


@then('the grant of "{key_id}" is rejected')
def check_grant_rejected(context: Any, key_id: str) -> None:
    grant = KeyGranted('late', key_id, 'kiosk', 'other')
    assert isinstance(send(context, grant, 1), Rejected)
    assert 'other' not in context.state.keys


@when("a removed contract's put arrives again {count:d} records later")
def late_put(context: Any, count: int) -> None:
    assert isinstance(send(context, put('kiosk', 0)), Accepted)
    assert isinstance(send(context, ContractRemoved('r', 1, 'kiosk')), Accepted)
    for _ in range(count):
        send(context, put('office', 0))
    assert 'kiosk' not in context.state.contract_versions
    context.verdict = send(context, put('kiosk', 0), -1)


@then('the late put is rejected and the account has no contract')
def check_late_put(context: Any) -> None:
    assert isinstance(context.verdict, Rejected), context.verdict
    assert 'kiosk' not in context.state.contracts


@then('{count:d} random records leave a state that equals its own copy')
def check_faulty(context: Any, count: int) -> None:
    rng = random.Random(3)
    state = State()
    examples = [
        record_to_json(record)
        for record in (
            put('a', 0),
            ContractRemoved('r', 1, 'a'),
            KeyGranted('g', 'k', 'a', 'd'),
            DrainSet('d', 0, 'zone', 'z', True),
        )
    ]
    values: list[Any] = [None, -1, 'x', [], {}, {'a': 1}, 1e99, True, ['q']]
    for offset in range(count):
        raw: Any = json.loads(json.dumps(rng.choice(examples)))
        raw[rng.choice(list(raw))] = rng.choice(values)
        record = record_from_json(rng.choice((raw, raw, raw, values[0])))
        if isinstance(record, Record):
            apply(state, offset, record)
        else:
            skip_offset(state, offset)
        assert state.offset == offset
    assert load_state(json.loads(json.dumps(dump_state(state)))) == state
