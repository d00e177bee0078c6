"""Steps of malformed_answers.feature."""

from __future__ import annotations

from typing import Any

from behave import given, then
from gypsumrelay_clock import monotonic
from gypsumrelay_relay.cancellation import Cancellation
from gypsumrelay_relay.connections import Connections
from gypsumrelay_relay.protocol import UpstreamRequest
from gypsumrelay_relay.sending import Reply, SendFailed, io_errors, send
from gypsumrelay_standins import GROUPS, FaultyService

TIMEOUT_SECONDS = 5


@given('a faulty upstream of the relay')
def start_service(context: Any) -> None:
    context.service = FaultyService()
    context.service.start()
    context.add_cleanup(context.service.stop)
    context.connections = Connections()


def never_disconnects() -> bool:
    """Return False, since the caller stays connected."""
    return False


def send_to(context: Any, fault: str) -> Reply | SendFailed:
    """Send a request to the upstream, which answers with a fault."""
    context.service.fault = fault
    deadline = monotonic() + TIMEOUT_SECONDS
    return send(
        context.connections,
        context.service.url.removeprefix('http://'),
        UpstreamRequest('POST', '/', {}, b'request'),
        Cancellation(deadline, never_disconnects),
        fresh=True,
        deadline=deadline,
    )


def read_answer(context: Any, name: str) -> bytes | None:
    """Return the body of an answer, None if it counts as lost."""
    reply = send_to(context, f'odd: {name}')
    if isinstance(reply, SendFailed):
        assert reply.ending.value == 'lost', reply
        return None
    failures = io_errors()
    try:
        return reply.read(monotonic() + TIMEOUT_SECONDS)
    except failures:
        return None
    finally:
        reply.close()


@then('none of the {group} is read as an answer')
def check_lost(context: Any, group: str) -> None:
    read = {name: read_answer(context, name) for name in GROUPS[group]}
    wrong = [name for name, body in read.items() if body is not None]
    assert not wrong, wrong


@then('each of the {group} is read as an answer')
def check_read(context: Any, group: str) -> None:
    for name in GROUPS[group]:
        assert read_answer(context, name) == context.service.whole, name


def read_and_return(context: Any) -> bytes:
    """Read a whole answer, whose connection is used again."""
    reply = send_to(context, '')
    assert isinstance(reply, Reply), reply
    body = reply.read(monotonic() + TIMEOUT_SECONDS)
    reply.return_connection()
    return body


@then(
    'after each of the {group}, kept open, the next request gets its own on a '
    'new connection'
)
def check_rest(context: Any, group: str) -> None:
    for name in GROUPS[group]:
        assert read_and_return(context) == context.service.whole, name
        known = context.service.connections
        reply = send_to(context, f'kept: {name}')
        assert context.service.connections == known, (name, 'not kept')
        assert isinstance(reply, SendFailed), name
        assert read_and_return(context) == context.service.whole, name
        assert context.service.connections == known + 1, name
