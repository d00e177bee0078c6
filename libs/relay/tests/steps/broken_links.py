"""Steps of membership.feature: broken and silent links to a coordinator."""

from __future__ import annotations

import socket
import threading
import time
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from changes import switch_to_other
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import SchedulerState
from gypsumrelay_errors import LinkClosed, PlatformUnavailable
from gypsumrelay_relay.coordination import links as module
from gypsumrelay_relay.coordination.actor import Coordinator
from gypsumrelay_relay.coordination.client import Coordination
from gypsumrelay_relay.heartbeats import Heartbeats, open_socket, unpack
from gypsumrelay_relay.membership import Member, Members, record_heartbeat
from gypsumrelay_relay.operator_records import OperatorRecords
from gypsumrelay_relay.topics import RecordReader
from gypsumrelay_settings import DispatchSettings
from gypsumrelay_wire import Endpoint, Identity


@given('its link to a coordinator that sends heartbeats')
def link_to_coordinator(context: Any) -> None:
    switch_to_other(context)
    link = context.coordination.link
    link.peer = SimpleNamespace(name='first')
    link.closed = threading.Event()
    link.closed.set()
    context.first_link = link


@when('the link breaks')
def break_link(context: Any) -> None:
    coordination = context.coordination
    renewed = SimpleNamespace(send=context.sent.append, start=lambda: None)
    module.dial = lambda *_: renewed
    reason = LinkClosed('receiving on the link failed')
    coordination.on_close(context.first_link, reason)
    coordination.switch_coordinator()
    context.renewed = renewed


@when('the link breaks {seconds:g} seconds after the last heartbeat')
def break_later(context: Any, seconds: float) -> None:
    coordination = context.coordination
    received_at = coordination.members.received_at
    received_at['first'] = monotonic() - seconds
    break_link(context)


@then('it opens a new link to the same coordinator')
def check_opened_again(context: Any) -> None:
    coordination = context.coordination
    assert coordination.leader == 'first'
    assert coordination.link is context.renewed


@then('it coordinates itself')
def check_own_coordinator(context: Any) -> None:
    assert context.coordination.leader == 'own'
    assert context.coordination.link is None


@given('a member whose coordinator accepts connections and sends nothing')
def give_silent_leader(context: Any) -> None:
    silent = socket.create_server(('127.0.0.1', 0))
    context.add_cleanup(silent.close)
    port = silent.getsockname()[1]
    listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    listener.bind(('127.0.0.1', port))
    listener.settimeout(0.6)
    context.add_cleanup(listener.close)
    context.listener = listener
    members = Members(Member('own', 'a', '127.0.0.2', 9))
    reader = RecordReader(
        lambda records: PlatformUnavailable('no configuration'),
        lambda records: frozenset(),
        lambda name, record: None,
    )
    coordination = Coordination('own', members, OperatorRecords(reader), port)
    coordination.actor = Coordinator.start(
        SchedulerState(DispatchSettings()),
        coordination.deliver_answer,
    )
    coordination.endpoint = Endpoint(
        Identity('own', 'a', 'relay'),
        b'secret',
        coordination.on_message,
        coordination.on_close,
    )
    heartbeats = Heartbeats(
        members,
        port,
        coordination.changed.set,
        lambda: None,
        coordination.lock,
        open_socket('127.0.0.2', port),
    )
    context.add_cleanup(coordination.actor.stop)
    context.add_cleanup(heartbeats.stop)
    context.add_cleanup(coordination.stopped.set)
    context.coordination = coordination
    context.heartbeats = heartbeats


@when('it follows the coordinator')
def follow(context: Any) -> None:
    context.started = monotonic()
    leader = Member('leader', 'a', '127.0.0.1', 1)
    stopped = threading.Event()
    context.add_cleanup(stopped.set)

    def send() -> None:
        while not stopped.wait(0.1):
            record_heartbeat(context.coordination.members, leader, monotonic())

    record_heartbeat(context.coordination.members, leader, context.started)
    threading.Thread(target=send, daemon=True).start()
    context.coordination.start()
    context.heartbeats.start()


@then('it continues to send heartbeats')
def check_heartbeats(context: Any) -> None:
    for _ in range(5):
        payload = context.listener.recv(8192)
        assert unpack(payload) is not None


@then('it becomes the coordinator within {seconds:d} seconds')
def check_own(context: Any, seconds: int) -> None:
    while context.coordination.leader != 'own':
        assert monotonic() - context.started < seconds
        time.sleep(0.01)
