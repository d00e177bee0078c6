"""Steps of silent_upstreams.feature."""

from __future__ import annotations

import socket
import threading
import time
from types import SimpleNamespace
from typing import Any
from unittest import mock

from behave import given, then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import Ending
from gypsumrelay_errors import Draining, Overloaded
from gypsumrelay_relay.cancellation import Cancellation
from gypsumrelay_relay.connections import Connections
from gypsumrelay_relay.coordination.messages import PlacementEnded
from gypsumrelay_relay.pending_requests import PendingRequest
from gypsumrelay_relay.protocol import UpstreamRequest
from gypsumrelay_relay.sending import Reply, send
from gypsumrelay_relay.substitution import Substitution

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
READ_BYTES = 65_536
TIMEOUT_SECONDS = 8.0


@given('an upstream that begins to read {seconds:g} seconds late')
def give_late_reader(context: Any, seconds: float) -> None:
    server = socket.create_server(('127.0.0.1', 0))
    context.add_cleanup(server.close)
    context.address = '{}:{}'.format(*server.getsockname())

    def serve() -> None:
        link, _ = server.accept()
        with link:
            link.settimeout(TIMEOUT_SECONDS)
            time.sleep(seconds)
            received = b''
            while not received.endswith(b'END'):
                received = received[-3:] + link.recv(READ_BYTES)
            link.sendall(ANSWER)

    threading.Thread(target=serve, daemon=True).start()


def never_disconnects() -> bool:
    """Return False, since the caller stays connected."""
    return False


@when('a request with a body of {size:d} bytes is sent to it')
def send_body(context: Any, size: int) -> None:
    deadline = monotonic() + TIMEOUT_SECONDS
    context.reply = send(
        Connections(),
        context.address,
        UpstreamRequest('POST', '/', {}, b'x' * size + b'END'),
        Cancellation(deadline, never_disconnects),
        fresh=True,
        deadline=deadline,
    )


@then('it is answered')
def check_answered(context: Any) -> None:
    assert isinstance(context.reply, Reply), context.reply
    assert context.reply.read(monotonic() + 1) == b'ok'


@given('a request whose upstream is silent')
def give_substitution(context: Any) -> None:
    context.requested = []

    def request_placement(request: Any) -> PendingRequest:
        context.requested.append(PendingRequest(request))
        return context.requested[-1]

    context.coordination = mock.MagicMock(request_placement=request_placement)
    context.coordination.pending = {}
    context.coordination.active = {}
    context.exchange = SimpleNamespace(
        relay=SimpleNamespace(coordination=context.coordination),
        reset_wait=lambda now: None,
        excluded={'silent'},
    )
    context.substitution = Substitution(
        context.exchange, lambda: SimpleNamespace(key=('request', 1))
    )


def reject(context: Any, failure: Any) -> None:
    context.substitution.request_at = 0
    context.substitution.poll()
    if context.substitution.pending is not None:
        context.requested[-1].answers.put(failure)
        assert context.substitution.poll() is None


@when('a substitute is requested and the shutdown rejects it')
def reject_in_shutdown(context: Any) -> None:
    reject(context, Draining('this relay is shutting down'))


@when('{count:d} substitutes are rejected')
def reject_some(context: Any, count: int) -> None:
    for _ in range(count):
        reject(context, Overloaded('no place'))


@when('the upstream sends an event and is silent again')
def send_event(context: Any) -> None:
    context.substitution.renew('silent')
    reject(context, Overloaded('no place'))


@then('the placement request is withdrawn')
def check_withdrawn(context: Any) -> None:
    tell = context.coordination.tell
    tell.assert_called_once()
    told = tell.call_args.args[0]
    assert isinstance(told, PlacementEnded), told
    assert told.key == ('request', 1)
    assert told.ending is Ending.cancelled
    assert context.substitution.pending is None


@then('at most {count:d} were requested')
def check_requested(context: Any, count: int) -> None:
    assert 0 < len(context.requested) <= count


@then('another substitute is requested')
def check_another(context: Any) -> None:
    assert len(context.requested) == 5, context.requested


@then('the upstream may resume the stream later on')
def check_not_excluded(context: Any) -> None:
    assert not context.exchange.excluded
