"""Steps of malformed_answers.feature."""

from __future__ import annotations

from typing import Any

from behave import given, then
from gypsumrelay_clock import monotonic
from gypsumrelay_relay.cancellation import Cancellation
from gypsumrelay_relay.connections import Connections
from gypsumrelay_relay.protocol import UpstreamRequest
from gypsumrelay_relay.sending import SendFailed, io_errors, send
from gypsumrelay_standins import GROUPS, FaultyService

TIMEOUT_SECONDS = 5


@given('a faulty upstream of the relay')
def start_service(context: Any) -> None:
    context.service = FaultyService()
    context.service.start()
    context.add_cleanup(context.service.stop)


def never_disconnects() -> bool:
    """Return False, since the caller stays connected."""
    return False


def read_answer(context: Any, name: str) -> bytes | None:
    """Return the body of an answer, None if it counts as lost."""
    context.service.fault = f'odd: {name}'
    deadline = monotonic() + TIMEOUT_SECONDS
    reply = send(
        Connections(),
        context.service.url.removeprefix('http://'),
        UpstreamRequest('POST', '/', {}, b'request'),
        Cancellation(deadline, never_disconnects),
        fresh=True,
        deadline=deadline,
    )
    if isinstance(reply, SendFailed):
        assert reply.ending.value == 'lost', reply
        return None
    failures = io_errors()
    try:
        return reply.read(deadline)
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
