"""Steps of restored_store.feature: registrations after a restore."""

from __future__ import annotations

import random
import threading
import time
from hashlib import sha256
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_relay.membership import Member, Members
from gypsumrelay_relay.registration import (
    follow_restores,
    register_and_discover,
    restore_registration,
)
from gypsumrelay_relay.topics import Topic
from steps.simulated_store import SimulatedStore


def host_of(name: str) -> str:
    """Return the address of a relay with a name of the scenarios."""
    digest = sha256(name.encode()).digest()
    return f'10.0.{digest[0]}.{digest[1]}'


def new_process(store: SimulatedStore, name: str, seed: int = 1) -> Any:
    """Return the parts of a relay that its registration needs."""
    host = host_of(name)
    return SimpleNamespace(
        stopped=threading.Event(),
        adapter=SimpleNamespace(store=store.client()),
        heartbeats=SimpleNamespace(send_round=lambda now: None),
        relay=SimpleNamespace(
            random=random.Random(seed),
            coordination=SimpleNamespace(
                members=Members(Member(name, 'a', host)),
                lock=threading.RLock(),
                changed=threading.Event(),
            ),
        ),
    )


def members(context: Any, name: str) -> Members:
    """Return a relay's view of the fleet."""
    coordination = context.processes[name].relay.coordination
    return coordination.members


def seniority(context: Any, name: str) -> int:
    """Return the seniority of a relay."""
    return members(context, name).own.seniority


@given('a relay "{name}" that has registered')
def give_registered(context: Any, name: str) -> None:
    context.store = SimulatedStore()
    context.processes = {}
    register(context, name)
    context.before = seniority(context, name)


@when('it follows restores')
def follow(context: Any) -> None:
    follow_restores(context.processes['one'])


@when('a relay "{name}" registers')
def register(context: Any, name: str) -> None:
    process = new_process(context.store, name)
    context.add_cleanup(process.stopped.set)
    context.processes[name] = process
    register_and_discover(process)


@when('the store is restored without registrations')
def restore_without(context: Any) -> None:
    context.store.restore(Topic.members, 0)


@when('the store is restored with all registrations')
def restore_with(context: Any) -> None:
    context.store.restore(Topic.members, 1)


@when('"{name}" reads the store')
def read(context: Any, name: str) -> None:
    store = context.processes[name].adapter.store
    store.snapshot(Topic.operator)


@then(
    'the store has the registration of "{name}" within {seconds:d} seconds',
)
def check_written(context: Any, name: str, seconds: int) -> None:
    deadline = monotonic() + seconds
    while name not in context.store.newest(Topic.members):
        assert monotonic() < deadline
        time.sleep(0.01)


@then('the seniority of "{name}" is the same as before')
def check_kept(context: Any, name: str) -> None:
    assert seniority(context, name) == context.before


@then('"{name}" checks its registration and writes nothing')
def check_not_written(context: Any, name: str) -> None:
    process = context.processes[name]
    read(context, name)
    context.store.calls.clear()
    process.stopped = SimpleNamespace(wait=lambda seconds: False)
    restore_registration(process, context.store.epoch)
    assert context.store.calls == [('snapshot', Topic.members)]


@then('"{name}" has a lower seniority than "{other}"')
def check_lower(context: Any, name: str, other: str) -> None:
    assert seniority(context, name) < seniority(context, other)


@when('"{other}" registers after "{name}" has found its registration missing')
def register_between(context: Any, other: str, name: str) -> None:
    process = context.processes[name]
    read(context, name)
    client = process.adapter.store
    process.stopped = SimpleNamespace(wait=lambda seconds: False)

    def append(*record: Any) -> Any:
        register(context, other)
        return client.append(*record)

    process.adapter.store = SimpleNamespace(
        snapshot=client.snapshot, append=append, epoch=client.epoch
    )
    restore_registration(process, context.store.epoch)


@then('"{name}" knows the address of "{other}"')
def check_known(context: Any, name: str, other: str) -> None:
    hosts = members(context, name).hosts
    assert host_of(other) in hosts, hosts


@when('{count:d} relays notice a restore that lost their registrations')
def notice(context: Any, count: int) -> None:
    store = SimulatedStore()
    store.restore(Topic.members, 0)
    context.calls = []
    for number in range(count):
        process = new_process(store, str(number), number)
        process.adapter.store.snapshot(Topic.operator)
        store.calls.clear()
        delays: list[float] = []

        def wait(seconds: float, delays: list[float] = delays) -> bool:
            delays.append(seconds)
            return False

        process.stopped = SimpleNamespace(wait=wait)
        restore_registration(process, 1)
        assert len(delays) == 1
        context.calls += [(delays[0], kind) for kind, _ in store.calls]


@then(
    'they read at most {reads:d} times and write at most {writes:d} times in '
    'each second',
)
def check_rates(context: Any, reads: int, writes: int) -> None:
    limits = {'snapshot': reads, 'append': writes}
    for kind, limit in limits.items():
        instants = sorted(at for at, one in context.calls if one == kind)
        assert instants
        for start in instants:
            within = sum(start <= at < start + 1 for at in instants)
            assert within <= limit, (kind, within)
