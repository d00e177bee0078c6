"""Steps of starting.feature."""

from __future__ import annotations

import socket
import threading
import time
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import (
    ConfigurationMissing,
    PlatformUnavailable,
    RouteUnknown,
)
from gypsumrelay_relay.admission import admit
from gypsumrelay_relay.operator_records import OperatorRecords, apply_records
from gypsumrelay_relay.read_intervals import ReadIntervals
from gypsumrelay_relay.startup import (
    Phase,
    StartPhases,
    WaitLimit,
    arrival,
)
from gypsumrelay_relay.store_follower import StoreFollower
from gypsumrelay_relay.topics import (
    Changes,
    RecordReader,
    Snapshot,
    Store,
)

ENVIRON = {'REQUEST_URI': '/orders', 'HTTP_HOST': 'shop'}
# Delay in seconds that a busy machine may add to a wait.
SLACK_SECONDS = 0.5


def read_configuration(records: Any) -> Any:
    """Return an operator configuration without routes."""
    return SimpleNamespace(version=1, routes={})


READER = RecordReader(
    read_configuration,
    lambda records: frozenset(),
    lambda name, record: None,
)


@given('a relay without a configuration')
def give_relay(context: Any) -> None:
    context.relay = SimpleNamespace(
        operator_records=OperatorRecords(READER),
        protocol=SimpleNamespace(
            read_caller=lambda environ: SimpleNamespace(
                wait_ms=environ.get('wait_ms')
            )
        ),
        wait_limit=WaitLimit(2, 1000),
    )
    context.environ = dict(ENVIRON)


def send(context: Any) -> None:
    context.arrived_at = monotonic()
    context.answer = admit(context.relay, context.environ, context.arrived_at)


@when('a request arrives')
def send_request(context: Any) -> None:
    send(context)


@when('a request arrives with {wait:d} ms left')
def send_with_deadline(context: Any, wait: int) -> None:
    context.environ['wait_ms'] = wait
    send(context)


@when('a request arrives with a body of {size:d} bytes')
def send_large(context: Any, size: int) -> None:
    context.environ['CONTENT_LENGTH'] = str(size)
    send(context)


@given('{count:d} requests wait for the configuration')
def give_waiting(context: Any, count: int) -> None:
    environ = context.environ | {'wait_ms': 3000, 'CONTENT_LENGTH': '100'}
    for _ in range(count):
        threading.Thread(
            target=admit, args=(context.relay, environ, monotonic())
        ).start()
    limit = context.relay.wait_limit
    deadline = monotonic() + 1
    while limit.count < count:
        assert monotonic() < deadline, limit


@then('nothing is counted as waiting')
def check_limit(context: Any) -> None:
    limit = context.relay.wait_limit
    assert (limit.count, limit.waiting_bytes) == (0, 0), limit


@when('a request arrives and the configuration {seconds:f} seconds later')
def send_early(context: Any, seconds: float) -> None:
    operator_records = context.relay.operator_records
    timer = threading.Timer(
        seconds, apply_records, (operator_records, 1, {}, 'store')
    )
    timer.start()
    send(context)
    timer.join()


@then('the request is matched to that configuration')
def check_matched(context: Any) -> None:
    # RouteUnknown shows that the request was matched to the configuration.
    assert isinstance(context.answer, RouteUnknown), context.answer


@then('it is rejected after {seconds:f} seconds with Retry-After')
def check_refused(context: Any, seconds: float) -> None:
    waited = monotonic() - context.arrived_at
    assert isinstance(context.answer, ConfigurationMissing), context.answer
    assert context.answer.retry_at > context.arrived_at + seconds, waited
    assert seconds <= waited < seconds + SLACK_SECONDS, waited


@given('a relay of a fleet that retries the store every {seconds:f} seconds')
def give_fleet(context: Any, seconds: float) -> None:
    context.intervals = ReadIntervals(seconds, 1, seconds)


@when('it starts while the store is unavailable for {seconds:f} seconds')
def start_early(context: Any, seconds: float) -> None:
    context.back_at = monotonic() + seconds

    def snapshot(topic: Any) -> Snapshot | PlatformUnavailable:
        if monotonic() < context.back_at:
            return PlatformUnavailable('away')
        return Snapshot(0, {})

    def changes(topic: Any, position: int, wait_seconds: float) -> Changes:
        context.follower.stopped.wait(wait_seconds)
        return Changes(position, ())

    context.follower = StoreFollower(
        Store(snapshot, changes, lambda *record: PlatformUnavailable('away')),
        READER,
        OperatorRecords(READER),
        lambda news: None,
        lambda: context.intervals,
    )
    context.add_cleanup(context.follower.stopped.set)
    context.follower.start()


@then(
    'it has configuration and upstreams {seconds:f} seconds after the store '
    'answers',
)
def check_known(context: Any, seconds: float) -> None:
    follower = context.follower
    assert follower.operator_records.available.wait(
        context.back_at + seconds - monotonic(),
    )
    while follower.upstreams.position < 0:
        assert monotonic() < context.back_at + seconds


@given('a connection whose request arrived {seconds:f} seconds ago')
def give_connection(context: Any, seconds: float) -> None:
    with socket.create_server(('127.0.0.1', 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        context.add_cleanup(caller.close)
        context.accepted = listener.accept()[0]
        context.add_cleanup(context.accepted.close)
    caller.sendall(b'GET')
    time.sleep(seconds)


@given('a connection that is closed')
def give_closed(context: Any) -> None:
    give_connection(context, 0.3)
    context.accepted.close()


@when('requests are read from now on')
def read_now(context: Any) -> None:
    read_since(context, 0)


@when('requests were read from {seconds:f} seconds ago on')
def read_since(context: Any, seconds: float) -> None:
    now = monotonic()
    phases = StartPhases()
    phases.note(Phase.serving, now - seconds)
    context.waited = now - arrival(phases, context.accepted, now)


@then('the request counts as having waited {seconds:f} seconds')
def check_waited(context: Any, seconds: float) -> None:
    # The kernel counts in ticks of up to 10 ms.
    slack = SLACK_SECONDS if seconds else 0
    assert seconds - 0.02 <= context.waited <= seconds + slack, context.waited
