"""Steps of odd_records.feature."""

from __future__ import annotations

import json
import random
import socket
import threading
from types import SimpleNamespace
from typing import Any

import msgpack
from behave import given, then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import PlatformUnavailable
from gypsumrelay_relay.heartbeats import (
    Heartbeats,
    open_socket,
    pack,
    unpack,
)
from gypsumrelay_relay.membership import Member, Members, add_hosts
from gypsumrelay_relay.operator_records import OperatorRecords
from gypsumrelay_relay.read_intervals import ReadIntervals
from gypsumrelay_relay.registration import register_and_discover
from gypsumrelay_relay.store_follower import StoreFollower
from gypsumrelay_relay.topics import (
    Changes,
    RecordReader,
    Snapshot,
    Store,
    Topic,
)
from reading import wait_for

LONG_HOST = 'h' * 300
RECEIVE_SECONDS = 3


@given('a relay that sends heartbeats to a member')
def give_heartbeats(context: Any) -> None:
    listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    listener.bind(('127.0.0.1', 0))
    listener.settimeout(RECEIVE_SECONDS)
    context.add_cleanup(listener.close)
    port = listener.getsockname()[1]
    context.members = Members(Member('own', 'a', '127.0.0.2', 1))
    heartbeats = Heartbeats(
        context.members,
        port,
        lambda: None,
        lambda: None,
        threading.RLock(),
        open_socket('127.0.0.2', port),
    )
    context.add_cleanup(heartbeats.stop)
    heartbeats.start()
    context.listener = listener


@given('hosts of {count:d} characters and with a null byte')
def give_odd_hosts(context: Any, count: int) -> None:
    hosts = ['h' * count, '10.0.0.1\0', '127.0.0.1']
    add_hosts(context.members, hosts, monotonic())


@then('the member receives {count:d} more heartbeats')
def check_received(context: Any, count: int) -> None:
    for _ in range(count):
        assert unpack(context.listener.recv(8192)) is not None


@then('a heartbeat from the host {host} is rejected')
def check_sender(context: Any, host: str) -> None:
    member = Member('name', 'a', json.loads(host))
    assert unpack(pack(member, [])) is None


@then('a heartbeat that lists the host {host} lists only the others')
def check_listed(context: Any, host: str) -> None:
    member = Member('name', 'a', '10.0.0.1')
    payload = pack(member, ['10.0.0.2', json.loads(host), '10.0.0.3'])
    assert msgpack.unpackb(payload)
    assert unpack(payload) == (member, ['10.0.0.2', '10.0.0.3'])


@given('records of members that hold an address, random bytes and long texts')
def give_records(context: Any) -> None:
    rng = random.Random(6)
    records = {str(size): rng.randbytes(size) for size in range(1, 200)}
    records['long'] = LONG_HOST.encode()
    records['many'] = b'1' * 1_000_000
    records['sound'] = b'10.0.0.7'
    context.records = records


@when('a relay registers')
def register(context: Any) -> None:
    members = Members(Member('own', 'a', '127.0.0.2'))
    coordination = SimpleNamespace(
        members=members, lock=threading.RLock(), changed=threading.Event()
    )
    store = Store(
        lambda topic: Snapshot(1, context.records),
        lambda topic, position, wait: None,
        lambda topic, key, record, expected: 1,
    )
    process = SimpleNamespace(
        adapter=SimpleNamespace(store=store),
        relay=SimpleNamespace(coordination=coordination),
        heartbeats=SimpleNamespace(send_round=lambda now: None),
        stopped=threading.Event(),
    )
    register_and_discover(process)
    context.members = members


@then('it knows only the address')
def check_hosts(context: Any) -> None:
    assert list(context.members.hosts) == ['10.0.0.7'], context.members.hosts


@when('{count:d} hosts are added to the members')
def add_many(context: Any, count: int) -> None:
    context.members = Members(Member('own', 'a', '127.0.0.2'))
    hosts = [f'10.{part}.0.1' for part in range(count)]
    add_hosts(context.members, hosts, monotonic())


@then('at most {count:d} of them are known')
def check_bounded(context: Any, count: int) -> None:
    assert 0 < len(context.members.hosts) <= count


@given('a store with one record of each topic')
def give_store(context: Any) -> None:
    context.records = {topic: ['first'] for topic in Topic}

    def snapshot(topic: Topic) -> Snapshot:
        records = context.records[topic]
        return Snapshot(len(records), {'key': records[-1].encode()})

    def changes(topic: Topic, position: int, wait: float) -> Changes:
        new = context.records[topic][position:]
        rows = tuple(('key', text.encode()) for text in new)
        if not rows:
            context.stopped.wait(0.05)
        return Changes(position + len(rows), rows)

    context.stopped = threading.Event()
    context.store = Store(
        snapshot, changes, lambda topic, key, record, expected: 0
    )


@given('a relay that fails on the first change of the {topic}')
def give_failing(context: Any, topic: str) -> None:
    context.applied = []
    failures = [topic]

    def apply(changed: str, text: str) -> None:
        if changed == topic and failures:
            failures.pop()
            raise RuntimeError('unexpected')
        context.applied.append((changed, text))

    def read_operator(records: Any) -> Any:
        apply('operator', records['key'].decode())
        return PlatformUnavailable('not used')

    def read_upstream(name: str, record: bytes) -> Any:
        apply('upstreams', record.decode())
        return PlatformUnavailable('not used')

    reader = RecordReader(read_operator, frozenset, read_upstream)
    context.follower = StoreFollower(
        context.store,
        reader,
        OperatorRecords(reader),
        lambda update: None,
        lambda: ReadIntervals(0.05, 1, 0.05),
    )
    context.add_cleanup(context.follower.stopped.set)


@when('it follows the store')
def follow(context: Any) -> None:
    context.follower.start()


@then('it applies the record of the {topic} within {seconds:d} seconds')
def check_applied(context: Any, topic: str, seconds: int) -> None:
    wait_for(lambda: (topic, 'first') in context.applied, seconds)


@then('a later record of the {topic} within {seconds:d} seconds')
def check_later(context: Any, topic: str, seconds: int) -> None:
    context.records[Topic(topic)].append('second')
    wait_for(lambda: (topic, 'second') in context.applied, seconds)


@given('a list with {count:d} unreadable records')
def give_unreadable(context: Any, count: int) -> None:
    records = {str(number): b'odd' for number in range(count)}
    context.store = SimpleNamespace(
        snapshot=lambda topic: Snapshot(1, records),
        changes=lambda topic, position, wait: Changes(
            position + 1, (('1', b'new'),)
        ),
    )


@when('a relay reads the list twice')
def read_twice(context: Any) -> None:
    reads = []

    def read(name: str, record: bytes) -> Any:
        reads.append(name)
        return PlatformUnavailable('odd')

    reader = RecordReader(lambda records: None, frozenset, read)
    context.follower = StoreFollower(
        context.store,
        reader,
        OperatorRecords(reader),
        lambda update: None,
        lambda: ReadIntervals(0.05, 1, 0.05),
    )
    context.add_cleanup(context.follower.stopped.set)
    context.follower.start()
    wait_for(lambda: len(reads) >= 10_000)


@then('it remembers at most {count:d} of them')
def check_unreadable(context: Any, count: int) -> None:
    assert 0 < len(context.follower.unreadable) <= count
