"""Steps of broken_answers.feature."""

from __future__ import annotations

import re
from typing import Any

from behave import given, then, when
from gypsumrelay_agent.connections import new_pool
from gypsumrelay_agent.engine import EngineClient, UpstreamFault
from gypsumrelay_agent.service import ResponseStart, ServiceClient
from gypsumrelay_clock import monotonic
from gypsumrelay_standins import GROUPS, FaultyService

TIMEOUT_SECONDS = 20
WHOLE = [200, b'whole']
# A whole stream of an engine, which is also the answer to a prefill.
ENGINE_ANSWER = b'{"index": 0, "tokens": "", "finished": true}\n'


def start_service(context: Any) -> FaultyService:
    service = FaultyService()
    service.start()
    context.add_cleanup(service.stop)
    context.faulty = service
    context.faults = []
    return service


@given("a faulty upstream and the agent's client of plain services")
def start_plain(context: Any) -> None:
    url = start_service(context).url
    # One connection, which is kept between requests.
    context.client = ServiceClient(url, new_pool(1))


@given("a faulty upstream and the agent's client of engines")
def start_engine(context: Any) -> None:
    context.client = EngineClient(start_service(context).url, new_pool(1))


@when('it answers with the fault "{fault}", framed by {framing}')
def set_fault(context: Any, fault: str, framing: str) -> None:
    context.fault = fault
    context.faulty.framing = framing


def call(context: Any, size: int, fault: str) -> list[Any]:
    """Return the status and body of an answer, with the fault that ended it."""
    context.faulty.fault = fault
    deadline = monotonic() + TIMEOUT_SECONDS
    parts = list(
        context.client.call('POST', '/orders', [], b'x' * size, deadline)
    )
    status = [part.status for part in parts if isinstance(part, ResponseStart)]
    body = b''.join(part for part in parts if isinstance(part, bytes))
    faults = [part for part in parts if isinstance(part, UpstreamFault)]
    return [*status, body, *faults]


def call_once(context: Any, name: str) -> list[Any]:
    """Call on a new connection, as that of each odd answer is closed."""
    context.client.pool.clear()
    return call(context, 100, f'odd: {name}')


def sizes_in(text: str) -> list[int]:
    return [int(size) for size in re.findall(r'\d+', text)]


@then('bodies of {sizes} bytes get no whole answer on new connections')
def check_new(context: Any, sizes: str) -> None:
    for size in sizes_in(sizes):
        context.client.pool.clear()
        answer = call(context, size, context.fault)
        assert isinstance(answer[-1], UpstreamFault), (size, answer)
        context.faults.append(answer[-1])


@then('bodies of {sizes} bytes get no whole answer on kept connections')
def check_kept(context: Any, sizes: str) -> None:
    for size in sizes_in(sizes):
        assert call(context, 100, '') == WHOLE
        known = context.faulty.connections
        answer = call(context, size, context.fault)
        assert context.faulty.connections == known, 'not a kept connection'
        assert isinstance(answer[-1], UpstreamFault), (size, answer)
        context.faults.append(answer[-1])


@then('requests after the fault get whole answers on new connections')
def check_next(context: Any) -> None:
    known = context.faulty.connections
    assert call(context, 100, '') == WHOLE
    assert context.faulty.connections == known + 1


@then('no fault is taken for a crash of the upstream')
def check_no_crash(context: Any) -> None:
    assert context.faults
    for fault in context.faults:
        assert fault.reached and not fault.crashed, fault


@then('prompts of {sizes} bytes get no answer of the engine')
def check_engine(context: Any, sizes: str) -> None:
    for size in sizes_in(sizes):
        context.faulty.fault = context.fault
        prompt = 'x' * size
        computed = context.client.prefill('run', prompt, TIMEOUT_SECONDS)
        assert isinstance(computed, UpstreamFault), (size, computed)
        batches = list(context.client.decode(prompt, 0, 10, 0))
        assert len(batches) == 1, (size, batches)
        assert isinstance(batches[0], UpstreamFault), (size, batches)


@then('none of the {group} gives a whole answer')
def check_malformed(context: Any, group: str) -> None:
    whole = []
    for name in GROUPS[group]:
        answer = call_once(context, name)
        if isinstance(answer[-1], UpstreamFault):
            context.faults.append(answer[-1])
        else:
            whole.append(name)
    assert not whole, whole


@then('each of the {group} gives a whole answer')
def check_sound(context: Any, group: str) -> None:
    for name in GROUPS[group]:
        assert call_once(context, name) == WHOLE, name


@then('none of the {group} gives the result of a prefill')
def check_malformed_prefill(context: Any, group: str) -> None:
    context.faulty.whole = ENGINE_ANSWER
    whole = []
    for name in GROUPS[group]:
        context.faulty.fault = f'odd: {name}'
        computed = context.client.prefill('run', '', TIMEOUT_SECONDS)
        if not isinstance(computed, UpstreamFault):
            whole.append((name, computed))
    assert not whole, whole


@then('none of the {group} gives an answer of the engine')
def check_malformed_engine(context: Any, group: str) -> None:
    context.faulty.whole = ENGINE_ANSWER
    whole = []
    for name in GROUPS[group]:
        context.faulty.fault = f'odd: {name}'
        computed = context.client.prefill('run', '', TIMEOUT_SECONDS)
        batches = list(context.client.decode('run', 0, 10, 0))
        if not isinstance(computed, UpstreamFault):
            whole.append((name, computed))
        if not isinstance(batches[-1], UpstreamFault):
            whole.append((name, batches))
    assert not whole, whole


@then(
    'after each of the {group}, kept open, the next request gets its own on a '
    'new connection'
)
def check_rest(context: Any, group: str) -> None:
    for name in GROUPS[group]:
        assert call(context, 100, '') == WHOLE, name
        known = context.faulty.connections
        answer = call(context, 100, f'kept: {name}')
        assert context.faulty.connections == known, (name, 'not kept')
        assert isinstance(answer[-1], UpstreamFault), (name, answer)
        assert call(context, 100, '') == WHOLE, name
        assert context.faulty.connections == known + 1, name
