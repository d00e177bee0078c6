"""Steps of restored_store.feature: positions and operator records."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any
from unittest import mock

import attrs
import msgpack
from behave import given, then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure, PlatformUnavailable
from gypsumrelay_relay import operator_records as records_module
from gypsumrelay_relay.coordination.client import Coordination
from gypsumrelay_relay.heartbeats import pack, unpack
from gypsumrelay_relay.membership import Member, Members, record_heartbeat
from gypsumrelay_relay.operator_records import (
    OperatorRecords,
    apply_records,
    end_holds,
)
from gypsumrelay_relay.records_exchange import (
    exchange_records,
    request_records,
)
from gypsumrelay_relay.store_epoch import (
    MAX_EPOCH,
    MAX_OFFSET,
    epoch_of,
    offset_of,
    position_at,
)
from gypsumrelay_relay.topics import RecordReader, Topic, TopicCopy, refresh
from gypsumrelay_wire import RecordsCopy, RecordsRequest
from steps.simulated_store import SimulatedStore


def read_configuration(records: Any) -> Any:
    """Return the configuration, whose record is its version."""
    version = records.get('config', b'')
    if not version.isdigit():
        return PlatformUnavailable('unusable')
    return SimpleNamespace(version=int(version))


def read_evacuated(records: Any) -> frozenset[str]:
    """Return the evacuated zones, which are the other keys."""
    return frozenset(records) - {'config'}


READER = RecordReader(read_configuration, read_evacuated, lambda *_: None)


class FollowingRelay:
    """The parts of a relay that follow the operator records."""

    def __init__(self, store: SimulatedStore) -> None:
        """Create a relay that has read nothing."""
        self.store = store.client()
        self.copy = TopicCopy(Topic.operator)
        self.operator_records = OperatorRecords(READER)
        self.versions: list[int] = []
        self.operator_records.listeners.append(
            lambda state: self.versions.append(state.configuration.version)
        )
        self.is_cut_off = False

    def read(self) -> None:
        """Read the store once and apply what is new."""
        if self.is_cut_off:
            self.copy.failing = True
            return
        if refresh(self.copy, self.store, 0) is True:
            apply_records(
                self.operator_records,
                self.copy.position,
                self.copy.records,
                'store',
            )

    def evacuated(self) -> str:
        """Return the evacuated zones, separated by commas."""
        return ', '.join(sorted(self.operator_records.state.evacuated))

    def request_from(self, other: FollowingRelay) -> None:
        """Request the records that another relay has and this one misses."""
        own = self.operator_records
        answers: list[RecordsCopy] = []
        link = SimpleNamespace(
            send=answers.append, peer=SimpleNamespace(name='other')
        )
        request = RecordsRequest(own.position, own.version)
        exchange_records(other.operator_records, link, request)
        for answer in answers:
            exchange_records(own, link, answer)


@given('a store with {count:d} records that a copy has read')
def give_copy(context: Any, count: int) -> None:
    context.store = SimulatedStore()
    for number in range(count):
        context.store.put(Topic.operator, f'key{number}', b'first')
    context.client = context.store.client()
    context.copy = TopicCopy(Topic.operator)
    refresh(context.copy, context.client, 0)


@when(
    'the store is restored to its first {length:d} records and {count:d} '
    'others are written',
)
def restore_and_write(context: Any, length: int, count: int) -> None:
    context.store.restore(Topic.operator, length)
    for number in range(count):
        context.store.put(Topic.operator, f'other{number}', b'second')


@when('a read of the copy fails')
def fail_read(context: Any) -> None:
    context.store.is_away = True
    assert isinstance(refresh(context.copy, context.client, 0), Failure)
    context.store.is_away = False


@then(
    'the next read, which may wait {wait:d} seconds, returns within '
    '{seconds:d} seconds',
)
def check_no_wait(context: Any, wait: int, seconds: int) -> None:
    started_at = monotonic()
    assert refresh(context.copy, context.client, wait) is True
    assert monotonic() - started_at < seconds


@then('the copy has the records of the store')
def check_copy(context: Any) -> None:
    refresh(context.copy, context.client, 0)
    assert context.copy.records == context.store.newest(Topic.operator)


@then('positions rise over epochs, and all fit into 53 bits')
def check_order(context: Any) -> None:
    parts = [(0, 0), (0, 1), (0, MAX_OFFSET), (1, 0)]
    parts.append((2, 5))
    parts.append((MAX_EPOCH, MAX_OFFSET))
    positions = [position_at(*pair) for pair in parts]
    assert positions == sorted(set(positions))
    assert [(epoch_of(one), offset_of(one)) for one in positions] == parts
    assert positions[-1] < 2**53
    assert positions[1] == 1
    assert (epoch_of(-1), offset_of(-1)) == (-1, -1)


@given('a relay with the configurations 1, 2 and 3 of the store')
def give_relay(context: Any) -> None:
    context.store = SimulatedStore()
    context.relay = FollowingRelay(context.store)
    context.relays = {'the': context.relay}
    for version in ('1', '2', '3'):
        write_configuration(context, version)


def read_all(context: Any) -> None:
    """Let all relays read the store."""
    for relay in context.relays.values():
        relay.read()


@when('the store is restored to its first {length:d} records')
def restore(context: Any, length: int) -> None:
    context.store.restore(Topic.operator, length)
    read_all(context)


@when('configuration {version} is written')
def write_configuration(context: Any, version: str) -> None:
    context.store.put(Topic.operator, 'config', version.encode())
    read_all(context)


@when('the evacuation of "{zone}" is written')
def write_evacuation(context: Any, zone: str) -> None:
    context.store.put(Topic.operator, zone, b'{}')
    read_all(context)


@when('the evacuation of "{zone}" is removed')
def remove_evacuation(context: Any, zone: str) -> None:
    context.store.put(Topic.operator, zone, None)
    read_all(context)


@when('{seconds:g} seconds pass')
def pass_time(context: Any, seconds: float) -> None:
    end_holds(context.relay.operator_records, monotonic() + seconds)


@then('{which} relay has configuration {version:d}')
def check_version(context: Any, which: str, version: int) -> None:
    relay = context.relays[which.removeprefix('the ')]
    assert relay.operator_records.version == version
    assert relay.versions[-1] == version
    assert relay.versions == sorted(relay.versions)


@then('{which} relay evacuates "{zones}"')
def check_evacuated(context: Any, which: str, zones: str) -> None:
    relay = context.relays[which.removeprefix('the ')]
    assert relay.evacuated() == zones, relay.evacuated()


@then('{which} relay evacuates ""')
def check_none_evacuated(context: Any, which: str) -> None:
    check_evacuated(context, which, '')


@given('a second relay that has read the same')
@when('a second relay starts and reads the store')
def start_second(context: Any) -> None:
    context.relays['second'] = FollowingRelay(context.store)
    context.relays['second'].read()


@when('the second relay cannot reach the store')
def cut_off(context: Any) -> None:
    context.relays['second'].is_cut_off = True


@when('the second relay requests records from the first')
def request_second(context: Any) -> None:
    context.relays['second'].request_from(context.relay)


@given('a coordinator that has configuration {version:d} at position {at:d}')
def give_coordinator(context: Any, version: int, at: int) -> None:
    members = Members(Member('own', 'a', '10.0.0.1', 1))
    context.coordination = Coordination(
        'own', members, OperatorRecords(READER), 1
    )
    apply_records(
        context.coordination.operator_records,
        at,
        {'config': str(version).encode()},
        'store',
    )
    context.asked = []


@given(
    'it is linked to "{name}" with configuration {version:d} at position '
    '{at:d}',
)
def give_link(context: Any, name: str, version: int, at: int) -> None:
    peer = Member(name, 'a', '10.0.0.2', 2, position=at, version=version)
    record_heartbeat(context.coordination.members, peer, monotonic())

    def send(message: RecordsRequest) -> None:
        assert (message.position, message.version) == (9, 3)
        context.asked.append(name)

    context.coordination.incoming[name] = SimpleNamespace(send=send)


@when('it compares its records')
def compare(context: Any) -> None:
    request_records(context.coordination, monotonic())


@then('it requests records from "{names}"')
def check_asked(context: Any, names: str) -> None:
    assert ', '.join(sorted(context.asked)) == names, context.asked


@then('a heartbeat with version {version:d} is decoded to the same')
def check_heartbeat(context: Any, version: int) -> None:
    member = Member('name', 'inc', '10.0.0.1', 7, position=12, version=version)
    assert unpack(pack(member, ['10.0.0.2'])) == (member, ['10.0.0.2'])


@then('a heartbeat of a relay that sends no version is decoded without one')
def check_older_heartbeat(context: Any) -> None:
    fields = ['name', 'inc', '10.0.0.1', 7, True, False, True, 12]
    frame = msgpack.packb([1, *fields, ['10.0.0.2'], 900])
    member = Member(*fields, silence_ms=900, version=-1)
    assert unpack(frame) == (member, ['10.0.0.2'])


@attrs.define
class History:
    """Random steps of an operator, a store and relays.

    Attributes:
        store: The store.
        relays: The relays.
        rng: Chooses the steps.
        now: The simulated instant.
        version: The newest version that the operator has written.
        evacuated: Zones that the operator has evacuated.
        copy_length: Number of records in the copy that a restore uses.
        behind: Reads after which a relay was behind the store.
    """

    store: SimulatedStore
    relays: list[FollowingRelay]
    rng: random.Random
    now: float = 1000.0
    version: int = 0
    evacuated: set[str] = attrs.field(factory=set)
    copy_length: int = 0
    behind: int = 0

    def step(self) -> None:
        """Take one step."""
        self.now += self.rng.random()
        one, other = self.rng.sample(self.relays, 2)
        kind = self.rng.randrange(8)
        if kind < 4:
            self.step_outside(kind)
        elif kind == 4:
            one.request_from(other)
        elif kind == 5:
            one.is_cut_off = not one.is_cut_off
        else:
            self.read(one)
        end_holds(one.operator_records, self.now)

    def read(self, relay: FollowingRelay) -> None:
        """Let a relay read the store, and compare it with the store."""
        relay.read()
        newest = self.store.newest(Topic.operator)
        version = int(newest.pop('config', b'-1'))
        own = relay.operator_records
        if not relay.is_cut_off and version >= 0:
            self.behind += own.version < version
            self.behind += not own.state.evacuated >= set(newest)

    def step_outside(self, kind: int) -> None:
        """Take one step of the operator or of the store."""
        if kind == 0:
            self.version += self.rng.randrange(1, 4)
            self.write_configuration()
        elif kind == 1:
            self.toggle(self.rng.choice('abc'))
        elif kind == 2 and self.rng.random() < 0.2:
            self.restore()
        elif self.rng.random() < 0.2:
            self.copy_length = len(self.store.topics[Topic.operator])

    def write_configuration(self) -> None:
        """Write the newest configuration."""
        content = str(self.version).encode()
        self.store.put(Topic.operator, 'config', content)

    def toggle(self, zone: str) -> None:
        """Evacuate a zone, or take the evacuation back."""
        self.evacuated ^= {zone}
        record = b'{}' if zone in self.evacuated else None
        self.store.put(Topic.operator, zone, record)

    def restore(self) -> None:
        """Restore the store; then the operator writes again what is lost."""
        self.store.restore(Topic.operator, self.copy_length)
        for relay in self.relays:
            if self.rng.random() < 0.5:
                relay.read()
        if self.version:
            self.write_configuration()
        newest = self.store.newest(Topic.operator)
        for zone in self.evacuated ^ (set(newest) - {'config'}):
            record = b'{}' if zone in self.evacuated else None
            self.store.put(Topic.operator, zone, record)


@given('{count:d} relays of which each may miss reads, restores and messages')
def give_relays(context: Any, count: int) -> None:
    store = SimulatedStore()
    relays = [FollowingRelay(store) for _ in range(count)]
    context.history = History(store, relays, random.Random())


@when('{steps:d} random steps are taken with seed {seed:d}')
def take_steps(context: Any, steps: int, seed: int) -> None:
    history = context.history
    history.rng.seed(seed)
    with mock.patch.object(records_module, 'monotonic', lambda: history.now):
        for _ in range(steps):
            history.step()
    assert history.store.epoch > 1


@then('no relay ever went back, or was behind a store that it had read')
def check_histories(context: Any) -> None:
    assert context.history.behind == 0
    for relay in context.history.relays:
        assert relay.versions == sorted(relay.versions)


@then('after all reads succeed again, all have the state of the operator')
def check_agreement(context: Any) -> None:
    history = context.history
    end = history.now + records_module.RESTORE_HOLD_SECONDS
    with mock.patch.object(records_module, 'monotonic', lambda: history.now):
        for relay in history.relays:
            relay.is_cut_off = False
            relay.read()
            end_holds(relay.operator_records, end)
    for relay in history.relays:
        assert relay.operator_records.version == history.version
        zones = relay.operator_records.state.evacuated
        assert zones == history.evacuated, (zones, history.evacuated)
