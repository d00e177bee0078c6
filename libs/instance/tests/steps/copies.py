"""Steps for copies of the configuration between peers."""

from __future__ import annotations

import zlib
from typing import Any

from behave import given, then, when
from gypsumrelay_configuration import (
    Contract,
    Key,
    Share,
    State,
    digest_of_key,
    share_id,
)
from gypsumrelay_instance import ConfigurationReplica
from gypsumrelay_wire import FRAME_LIMIT_BYTES

MEGABYTE = 1_000_000
NESTED_ARRAYS = 100_000


@given(
    'a state with {count:d} accounts, a key and two shares each',
)
def make_large(context: Any, count: int) -> None:
    state = State(offset=5)
    for number in range(count):
        name = f'account-{number:05d}'
        digest = digest_of_key(name)
        models = ('first-model', 'second-model')
        state.contracts[name] = Contract(name, 5000, 20000, models)
        state.contract_versions[name] = 1
        state.keys[digest] = Key(f'key-{number}', name, digest)
        state.key_ids[f'key-{number}'] = digest
        for part in range(2):
            share = Share(name, part, 1, f'agent-{number % 7600}', 'a1b2c3d4')
            state.shares[share_id(name, part)] = share
    context.replica = ConfigurationReplica(state)


@given('a state at offset {offset:d}')
def make_replica(context: Any, offset: int) -> None:
    context.replica = ConfigurationReplica(State(offset=offset))


@then('its copy is smaller than the largest frame')
def check_size(context: Any) -> None:
    size = len(context.replica.encode_copy())
    print(f'{size} bytes of {FRAME_LIMIT_BYTES}')
    assert size < FRAME_LIMIT_BYTES / 2, size


@then('a process that receives the copy has the same state')
def check_same(context: Any) -> None:
    fresh = ConfigurationReplica()
    fresh.load_copy(context.replica.encode_copy())
    assert fresh.state == context.replica.state


@when('a copy at offset {offset:d} is received')
def take_older(context: Any, offset: int) -> None:
    older = ConfigurationReplica(State(offset=offset))
    context.replica.load_copy(older.encode_copy())


@when('bytes that are not a copy are received')
def take_faulty(context: Any) -> None:
    packed = zlib.compress(b'[1]'), zlib.compress(b'[' * NESTED_ARRAYS)
    for encoded in (b'', b'{}', b'[1]', b'\xff' * 9, *packed):
        context.replica.load_copy(encoded)


@when('a copy that would unpack to {size:d} megabytes is received')
def take_endless(context: Any, size: int) -> None:
    packer = zlib.compressobj()
    pieces = [packer.compress(b' ' * MEGABYTE) for _ in range(size)]
    context.replica.load_copy(b''.join((*pieces, packer.flush())))


@then('the state is still at offset {offset:d}')
def check_offset(context: Any, offset: int) -> None:
    assert context.replica.state.offset == offset
