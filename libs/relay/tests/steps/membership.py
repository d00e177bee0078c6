"""Steps of membership.feature: membership and choice of the coordinator."""

from __future__ import annotations

import itertools
import random
from typing import Any

import attrs
import msgpack
from behave import given, then, when
from gypsumrelay_relay.heartbeats import (
    pack,
    unpack,
)
from gypsumrelay_relay.membership import (
    UNRANKED,
    Member,
    Members,
    becomes_stale,
    coordinator,
    heartbeat_targets,
    must_give_up_rank,
    others_read_list,
    record_heartbeat,
)

NOW = 100.0


INTERVAL = 0.2


@given('members with seniorities {first:d}, {second:d} and {third:d}')
def give_members(context: Any, first: int, second: int, third: int) -> None:
    context.now = NOW
    context.silent = set()
    context.own = {
        number: Member(f'm{number}', 'a', f'10.0.0.{number}', number)
        for number in (first, second, third)
    }
    context.views = {
        number: Members(member) for number, member in context.own.items()
    }
    _send_heartbeats(context)


@when('the one with seniority {number:d} stops sending heartbeats')
def stop_heartbeats(context: Any, number: int) -> None:
    context.silent.add(number)


@when('the one with seniority {number:d} is cut off')
def cut_off(context: Any, number: int) -> None:
    context.cut = number
    context.now += 1.1
    for other, view in context.views.items():
        view.own = context.own[other]
        for sender, member in context.own.items():
            if number not in {other, sender}:
                record_heartbeat(view, member, context.now)


@when(
    'the one with seniority {number:d} restarts and registers anew with {new:d}'
)
def restart(context: Any, number: int, new: int) -> None:
    _evolve(context, number, incarnation='b', seniority=new)


@when('the list of the one with seniority {number:d} is stale')
def make_stale(context: Any, number: int) -> None:
    _evolve(context, number, is_stale=True)


@when('the list of the one with seniority {number:d} is fresh again')
def make_fresh(context: Any, number: int) -> None:
    view = context.views[number]
    leader = coordinator(view, context.now).name
    seniority = UNRANKED if must_give_up_rank(view, leader) else number
    _evolve(context, number, is_stale=False, seniority=seniority)


@then('the one with seniority {number:d} does not have to give up its rank')
def check_keeps_rank(context: Any, number: int) -> None:
    view = context.views[number]
    assert not must_give_up_rank(view, coordinator(view, context.now).name)


@when('the lists of all are stale')
def make_all_stale(context: Any) -> None:
    for number in context.own:
        _evolve(context, number, is_stale=True)


@when('the one with seniority {number:d} is shutting down')
def shut_down(context: Any, number: int) -> None:
    _evolve(context, number, leaving=True)


@when('the one with seniority {number:d} is small')
def make_small(context: Any, number: int) -> None:
    _evolve(context, number, is_small=True)


@then('all of them choose the one with seniority {number:d}')
def check_all(context: Any, number: int) -> None:
    for view in context.views.values():
        assert coordinator(view, context.now).seniority == number


@then(
    'all others choose the one with seniority {number:d} within '
    '{seconds:g} seconds',
)
def check_replaced(context: Any, number: int, seconds: float) -> None:
    for _ in range(int(seconds / INTERVAL)):
        context.now += INTERVAL
        _send_heartbeats(context)
    for other, view in context.views.items():
        if other not in context.silent:
            assert coordinator(view, context.now).seniority == number


@then('it chooses itself')
def check_itself(context: Any) -> None:
    view = context.views[context.cut]
    assert coordinator(view, context.now).seniority == context.cut


@given('a list that is read every {pause:g} seconds')
def give_list(context: Any, pause: float) -> None:
    context.pause = pause


@when('the store stops answering')
def store_stops(context: Any) -> None:
    context.read_at = NOW


@then('the member is stale within {seconds:g} seconds of the last read')
def check_stale(context: Any, seconds: float) -> None:
    due_at = context.read_at + context.pause
    never = float('-inf')
    assert not becomes_stale(False, due_at, never, due_at)
    late = context.read_at + seconds + 0.001
    assert becomes_stale(False, due_at, never, late)


@then('it is fresh again {seconds:g} seconds after the last failure')
def check_fresh(context: Any, seconds: float) -> None:
    failed_at = NOW + 5
    due_at = failed_at + seconds
    assert becomes_stale(True, due_at, failed_at, failed_at + seconds - 0.1)
    assert not becomes_stale(True, due_at, failed_at, failed_at + seconds)


@then('it is probed every {pause:d} seconds for {seconds:d} seconds')
def check_probed(context: Any, pause: int, seconds: int) -> None:
    dead = next(iter(context.silent))
    view = context.views[next(iter(context.own.keys() - context.silent))]
    host = context.own[dead].host
    probes = []
    for step in range(int((seconds + 10) / INTERVAL)):
        now = NOW + step * INTERVAL
        if host in heartbeat_targets(view, now) and step * INTERVAL >= 1:
            probes.append(now)
    pauses = {
        round(later - earlier, 2)
        for earlier, later in itertools.pairwise(probes)
    }
    assert pauses == {pause}
    assert probes[-1] < NOW + seconds


@then('a heartbeat is decoded to what was encoded')
def check_heartbeat(context: Any) -> None:
    member = Member('name', 'inc', '10.0.0.1', 7, True, False, True, 12)
    assert unpack(pack(member, ['10.0.0.2'])) == (member, ['10.0.0.2'])


@then('a heartbeat of the previous version is decoded with the usual time-out')
def check_older_heartbeat(context: Any) -> None:
    fields = ['name', 'inc', '10.0.0.1', 7, True, False, True, 12]
    frame = msgpack.packb([1, *fields, ['10.0.0.2']])
    assert unpack(frame) == (Member(*fields), ['10.0.0.2'])


@then(
    '{count:d} random datagrams are rejected or decoded, without an exception',
)
def check_fuzz(context: Any, count: int) -> None:
    rng = random.Random(1)
    parts = ['x', 1, True, None, [], b'']
    for _ in range(count):
        frame = [rng.choice(parts) for _ in range(rng.randrange(14))]
        payload = msgpack.packb(frame)
        if rng.random() < 0.3:
            payload = rng.randbytes(rng.randrange(60))
        decoded = unpack(payload)
        assert decoded is None or isinstance(decoded[0], Member)


def _evolve(context: Any, number: int, **changes: Any) -> None:
    context.own[number] = attrs.evolve(context.own[number], **changes)
    _send_heartbeats(context)


def _send_heartbeats(context: Any) -> None:
    for number, view in context.views.items():
        view.own = context.own[number]
        for sender, member in context.own.items():
            if sender not in context.silent:
                record_heartbeat(view, member, context.now)


@then(
    'the one with seniority {number:d} takes it that others may read the list'
)
def check_others_read(context: Any, number: int) -> None:
    context.number = number
    assert others_read_list(context.views[number], context.now)


@then('the one with seniority {number:d} takes it that no other reads the list')
def check_nobody_reads(context: Any, number: int) -> None:
    assert not others_read_list(context.views[number], context.now)


@then('{seconds:d} seconds later it takes it that no other reads the list')
def check_nobody_later(context: Any, seconds: int) -> None:
    context.now += seconds
    check_nobody_reads(context, context.number)
