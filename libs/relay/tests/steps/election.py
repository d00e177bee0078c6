"""Steps of election.feature."""

from __future__ import annotations

import errno
import socket
import threading
from types import SimpleNamespace
from typing import Any
from unittest import mock

import attrs
from behave import given, then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_relay.coordination.links import complete_report
from gypsumrelay_relay.heartbeats import Heartbeats, pack
from gypsumrelay_relay.membership import (
    Member,
    Members,
    add_hosts,
    changes_choice,
    coordinator,
    note_followed,
    record_heartbeat,
)
from gypsumrelay_relay.registration import register_again
from gypsumrelay_relay.startup.election import hosts_to_probe, may_follow
from gypsumrelay_relay.startup.probing import probe
from gypsumrelay_wire import Endpoint, Identity, Link, dial, listen
from logbook import TestHandler

SENIORITY = 50


@given('a starting relay that knows the addresses of {count:d} others')
def give_starting(context: Any, count: int) -> None:
    own = Member('own', 'a', '10.0.0.1', is_stale=True, is_new=True)
    context.members = Members(own)
    context.hosts = [f'10.0.1.{number + 1}' for number in range(count)]
    context.now = monotonic()
    context.elapsed = 0
    context.members.election.started_at = context.now
    add_hosts(context.members, context.hosts, context.now)


def evolve(context: Any, **changes: Any) -> None:
    members = context.members
    members.own = attrs.evolve(members.own, **changes)


@when('it is registered and has read the list of upstreams')
def make_ready(context: Any) -> None:
    register(context)
    read_list(context)


@when('it is registered but has read no list')
def register(context: Any) -> None:
    evolve(context, seniority=SENIORITY)
    context.members.election.is_registered = True


@when('it has read the list but is unregistered')
def read_list(context: Any) -> None:
    evolve(context, is_stale=False)


def follows(context: Any, seconds: float = 0) -> str:
    """Return whom the relay follows some seconds later, nobody if empty."""
    now = context.now + seconds
    chosen = coordinator(context.members, now)
    return chosen.name if may_follow(context.members, chosen, now) else ''


def probed(context: Any) -> set[str]:
    """Return the addresses that the relay has to probe."""
    chosen = coordinator(context.members, context.now)
    return set(hosts_to_probe(context.members, chosen, context.now))


@then('it does not coordinate yet, and probes {count:d} addresses')
def check_probes(context: Any, count: int) -> None:
    assert not follows(context)
    check_probed(context, count)


@then('it probes {count:d} addresses')
def check_probed(context: Any, count: int) -> None:
    assert probed(context) == set(context.hosts)
    assert len(context.hosts) == count


@then('it probes nothing and does not coordinate yet')
def check_waits(context: Any) -> None:
    check_no_probe(context)
    assert not follows(context)


@then('it probes nothing more')
def check_no_probe(context: Any) -> None:
    assert not probed(context)


@when('all of them refuse the connection')
def refuse(context: Any) -> None:
    no_answer(context)
    context.members.election.absent = frozenset(context.hosts)


@when('one of them accepts the connection and the other refuses it')
def accept_one(context: Any) -> None:
    no_answer(context)
    election = context.members.election
    election.running = frozenset(context.hosts[:1])
    election.absent = frozenset(context.hosts[1:])


@when('no probe is answered')
def no_answer(context: Any) -> None:
    context.members.election.probed = frozenset(context.hosts)


@then('it coordinates')
def check_coordinates(context: Any) -> None:
    assert follows(context) == 'own'


@then('it does not coordinate {seconds:g} seconds after its start')
def check_not_yet(context: Any, seconds: float) -> None:
    assert not follows(context, seconds)


@then('it coordinates {seconds:g} seconds after its start')
def check_later(context: Any, seconds: float) -> None:
    assert follows(context, seconds) == 'own'


@when('{seconds:g} seconds of its start pass')
def pass_time(context: Any, seconds: float) -> None:
    # A sum of instants could be rounded to less than the sum of the seconds.
    context.elapsed = round(context.elapsed + seconds, 3)
    context.now = context.members.election.started_at + context.elapsed


def hear(context: Any, name: str, seniority: int, **fields: Any) -> None:
    host = context.hosts[len(context.members.known)]
    member = Member(name, 'a', host, seniority, **fields)
    record_heartbeat(context.members, member, context.now)


@when('it hears a senior relay that names the coordinator "{name}"')
def hear_follower(context: Any, name: str) -> None:
    hear(context, 'senior', 2, leader=name)


@when('it hears "{name}", which coordinates')
def hear_coordinator(context: Any, name: str) -> None:
    hear(context, name, 1, leader=name)


@when('it hears "{name}", a junior relay that coordinates')
def hear_junior(context: Any, name: str) -> None:
    hear(context, name, SENIORITY + 1, leader=name)


@then('its rank is behind that of "{name}" from then on')
def check_behind(context: Any, name: str) -> None:
    members = context.members
    note_followed(members, name)
    assert not members.own.is_new
    assert members.own.leader == name
    assert coordinator(members, context.now).name == name


@given('a starting relay that follows a coordinator with seniority {rank:d}')
def give_following(context: Any, rank: int) -> None:
    give_starting(context, 1)
    hear(context, 'first', rank, leader='first')
    note_followed(context.members, 'first')


@when('the store answers its registrations with {first:d} and {second:d}')
def answer_registrations(context: Any, first: int, second: int) -> None:
    answers = [first, second]
    process: Any = SimpleNamespace(
        stopped=threading.Event(),
        adapter=SimpleNamespace(
            store=SimpleNamespace(append=lambda *_: answers.pop(0))
        ),
        heartbeats=SimpleNamespace(send_round=lambda now: None),
        relay=SimpleNamespace(
            coordination=SimpleNamespace(
                members=context.members, lock=threading.RLock()
            )
        ),
    )
    register_again(process).join()


@then('its seniority is {rank:d}')
def check_seniority(context: Any, rank: int) -> None:
    assert context.members.own.seniority == rank


@when('it hears a senior relay that names no coordinator')
def hear_older(context: Any) -> None:
    hear(context, 'senior', 2)


@when('it hears a new senior relay that has no coordinator')
def hear_new(context: Any) -> None:
    hear(context, 'senior', 2, is_new=True)
    # A relay that is new itself ranks behind others that are not.
    evolve(context, is_stale=True)
    context.members.known['senior'] = attrs.evolve(
        context.members.known['senior'], silence_ms=5000
    )


@then('it probes {first:d} of them and then the other {second:d}')
def check_probes_in_turn(context: Any, first: int, second: int) -> None:
    found = probed(context)
    assert len(found) == first, found
    context.members.election.probed = frozenset(found)
    rest = probed(context)
    assert len(rest) == second, rest
    assert not rest & found


@given('heartbeats of a starting relay that knows "{name}"')
def give_heartbeats(context: Any, name: str) -> None:
    give_starting(context, 0)
    context.sent_to = []
    first = Member(name, 'a', '10.0.1.1', 1)
    record_heartbeat(context.members, first, context.now)
    context.first = first

    def send(payload: bytes, address: tuple[str, int]) -> None:
        context.sent_to.append(address[0])

    context.heartbeats = Heartbeats(
        context.members,
        1,
        lambda: None,
        lambda: None,
        threading.RLock(),
        SimpleNamespace(sendto=send),
    )


@when('"{name}" sends a heartbeat with the address {host}')
def receive_heartbeat(context: Any, name: str, host: str) -> None:
    assert context.first.name == name
    payload = pack(context.first, [host])
    context.heartbeats._handle(payload, context.first.host)


@then('one heartbeat is sent to {host}')
def check_sent(context: Any, host: str) -> None:
    assert context.sent_to == [host], context.sent_to


@given('no socket can be opened')
def give_no_socket(context: Any) -> None:
    def fail() -> None:
        raise OSError(errno.EMFILE, 'Too many open files')

    patch = mock.patch('socket.socket', fail)
    patch.start()
    context.add_cleanup(patch.stop)


@then('a probe finds nothing')
def check_found_nothing(context: Any) -> None:
    assert not probe(['127.0.0.1'], 1)


@then('it follows nobody yet')
def check_nobody(context: Any) -> None:
    assert not follows(context)


@then('it follows "{name}"')
def check_follows(context: Any, name: str) -> None:
    assert follows(context) == name


@then('it follows that relay')
def check_follows_older(context: Any) -> None:
    check_follows(context, 'senior')


@when('it hears a new relay, and one that has followed a coordinator')
def hear_both(context: Any) -> None:
    hear(context, 'fresh', 2, is_new=True)
    hear(context, 'known', 3)


@then('a coordinator awaits the report of the second one only')
def check_awaited(context: Any) -> None:
    told: list[Any] = []
    coordination: Any = SimpleNamespace(
        name='own',
        lock=threading.RLock(),
        members=context.members,
        actor=SimpleNamespace(tell=told.append),
    )
    complete_report(coordination, 'own', context.now)
    assert told[0].live == {'own', 'known'}, told


@then('a new rank, a new leader and a shutdown change the choice')
def check_changes(context: Any) -> None:
    member = Member('other', 'a', '10.0.0.2', 3)
    changes: list[dict[str, Any]] = [
        {'seniority': 2},
        {'is_stale': True},
        {'leader': 'other'},
        {'leaving': True},
    ]
    for change in changes:
        assert changes_choice(member, attrs.evolve(member, **change))
    assert changes_choice(None, member)


@then('a new position does not change it')
def check_no_change(context: Any) -> None:
    member = Member('other', 'a', '10.0.0.2', 3)
    assert not changes_choice(member, attrs.evolve(member, position=7))


@given('a port with a listener that accepts nothing, and one without')
def give_ports(context: Any) -> None:
    listening = socket.create_server(('127.0.0.1', 0))
    context.add_cleanup(listening.close)
    context.port = listening.getsockname()[1]


@then('the probe finds that the first one runs and the second does not')
def check_probe(context: Any) -> None:
    found = probe(['127.0.0.1', '127.0.0.2'], context.port)
    assert found == {'127.0.0.1': True, '127.0.0.2': False}, found


@given('a listener for links')
def give_listener(context: Any) -> None:
    context.links = []
    context.accepted = threading.Event()

    def accept(link: Link) -> None:
        context.links.append(link)
        context.accepted.set()

    context.endpoint = Endpoint(
        Identity('own', 'a', 'relay'),
        b'secret',
        lambda *_: None,
        lambda *_: None,
    )
    listener = listen(('127.0.0.1', 0), context.endpoint, accept)
    listener.start()
    context.add_cleanup(listener.close)
    context.address = listener.server.getsockname()


@when('its address is probed and then dialled')
def probe_and_dial(context: Any) -> None:
    host, port = context.address
    handler = TestHandler()
    # The listener logs in a thread of its own.
    with handler.applicationbound():
        context.found = probe([host], port)
        link = dial(context.address, context.endpoint)
        assert context.accepted.wait(1)
    assert isinstance(link, Link), link
    context.add_cleanup(link.connection.close)
    context.warnings = handler.has_warnings


@then('it runs, has one link and logs no warning')
def check_one_link(context: Any) -> None:
    assert context.found == {context.address[0]: True}
    assert len(context.links) == 1
    assert not context.warnings
