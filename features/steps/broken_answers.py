"""Steps of broken_answers.feature."""

from __future__ import annotations

import re
import secrets
import socket
import time
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any

import attrs
from behave import given, then, when
from gypsumrelay_demo import System, smallest_deployment
from gypsumrelay_standins import GROUPS, FaultyService

PATH = '/orders/1'
TIMEOUT_SECONDS = 30
# Time in seconds for which bytes arrive that no caller reads.
FLOOD_SECONDS = 8
SLOW_CALLERS = 12
KILOBYTES_PER_MEGABYTE = 1000


@attrs.frozen
class Answer:
    """Answer as received by a caller.

    Attributes:
        status: HTTP status; 0 without an answer.
        body: What was received of the body.
        is_whole: Whether the answer ended as its framing states.
    """

    status: int
    body: bytes
    is_whole: bool


@attrs.define
class FaultySystem(System):
    """System whose plain service is a faulty one in this process.

    Attributes:
        service: The faulty service.
    """

    service: FaultyService = attrs.field(factory=FaultyService)

    def start_upstream(self, place: Any) -> None:
        """Start an upstream; the agent of the service gets the faulty one."""
        super().start_upstream(place)
        if place.kind == 'service':
            self.upstreams[place.name].url = self.service.url


@given('the smallest deployment with a faulty service')
def start_faulty(context: Any) -> None:
    context.system = FaultySystem(smallest_deployment(), context.path)
    context.system.service.start()
    context.add_cleanup(context.system.service.stop)
    context.system.start()


@given(
    'the smallest deployment with a faulty service and a time-out of '
    '{timeout:d} ms'
)
def start_with_timeout(context: Any, timeout: int) -> None:
    deployment = smallest_deployment()
    routes = [
        attrs.evolve(route, timeout_ms=timeout)
        for route in deployment.configuration.routes
    ]
    configuration = attrs.evolve(deployment.configuration, routes=routes)
    deployment = attrs.evolve(deployment, configuration=configuration)
    context.system = FaultySystem(deployment, context.path)
    context.system.service.start()
    context.add_cleanup(context.system.service.stop)
    context.system.start()


@given(
    'the service sends {size:d} bytes of an answer and resets the connection'
)
def set_part(context: Any, size: int) -> None:
    context.system.service.fault = 'late_reset'
    context.system.service.framing = 'length'
    context.system.service.part = b'x' * size


def entry_address(context: Any) -> tuple[str, int]:
    entry = next(iter(context.system.entries.values()))
    host, _, port = entry.url.removeprefix('http://').partition(':')
    return host, int(port)


def authorization(context: Any) -> str:
    secret = next(iter(context.system.keys.values())).secret
    return f'Bearer {secret}'


@then(
    'with these faults no body of {sizes} bytes gets a complete answer with '
    'status 200'
)
def check_none_complete(context: Any, sizes: str) -> None:
    service = context.system.service
    for row in context.table:
        service.fault = row['fault']
        service.framing = row['framing']
        answers = send_bodies(context, sizes, row['upload'])
        for answer in answers:
            is_complete = answer.status == 200 and answer.is_whole
            assert not is_complete, (row, answers)
        assert service.runs, row
        service.runs = 0


@then(
    'bodies of {sizes} bytes get a typed error with status 502 for the '
    'statuses {statuses}'
)
def check_bad_gateway(context: Any, sizes: str, statuses: str) -> None:
    service = context.system.service
    for status in re.findall(r'\d+', statuses):
        service.fault = f'status_{status}'
        answers = send_bodies(context, sizes, 'with a length')
        for answer in answers:
            assert answer.status == 502, (status, answers)
            assert b'"code"' in answer.body, (status, answers)


def send_bodies(context: Any, sizes: str, framing: str) -> list[Answer]:
    """Return the answers to two requests of each size."""
    answers = []
    for size in re.findall(r'\d+', sizes):
        connection = HTTPConnection(
            *entry_address(context), timeout=TIMEOUT_SECONDS
        )
        # The second request finds the connection of the caller kept, unless
        # the first answer broke off.
        for _ in range(2):
            answer = send_body(context, connection, int(size), framing)
            answers.append(answer)
        connection.close()
    return answers


def send_body(
    context: Any,
    connection: HTTPConnection,
    size: int,
    framing: str,
    headers: Mapping[str, str] | None = None,
) -> Answer:
    is_chunked = framing == 'in chunks'
    body: Any = b'x' * size
    try:
        connection.request(
            'POST',
            PATH,
            iter([body]) if is_chunked else body,
            {'Authorization': authorization(context)} | dict(headers or {}),
            encode_chunked=is_chunked,
        )
        response = connection.getresponse()
    except (HTTPException, OSError):
        connection.close()
        return Answer(0, b'', is_whole=False)
    try:
        return Answer(response.status, response.read(), is_whole=True)
    except (HTTPException, OSError):
        connection.close()
        return Answer(response.status, b'', is_whole=False)


@when(
    '{count:d} orders {key} get an answer without a length that takes '
    '{seconds:g} seconds'
)
def send_slow(context: Any, count: int, key: str, seconds: float) -> None:
    context.system.service.fault = f'slow: {seconds}'

    def send_one(_: int) -> Answer:
        connection = HTTPConnection(
            *entry_address(context), timeout=TIMEOUT_SECONDS
        )
        headers = {}
        if key == 'with a key':
            headers['Idempotency-Key'] = secrets.token_hex(8)
        return send_body(context, connection, 4, 'with a length', headers)

    with ThreadPoolExecutor(SLOW_CALLERS) as pool:
        context.answers = list(pool.map(send_one, range(count)))


@then('none got a complete answer with status 200, and some ran')
def check_none_whole(context: Any) -> None:
    assert context.system.service.runs
    wrong = [
        answer
        for answer in context.answers
        if answer.status == 200 and answer.is_whole
    ]
    assert not wrong, wrong


@then('each that ran got the answer in {count:d} parts as a whole')
def check_parts(context: Any, count: int) -> None:
    service = context.system.service
    expected = Answer(200, service.part * count, is_whole=True)
    # An upstream that has just started gets few requests at once.
    assert service.runs
    assert context.answers.count(expected) == service.runs, context.answers


@then(
    'orders that ran get the statuses {statuses} with the body of the service'
)
def check_statuses(context: Any, statuses: str) -> None:
    service = context.system.service
    for status in map(int, re.findall(r'\d+', statuses)):
        service.runs = 0
        service.fault = f'status_{status}'
        answers = send_bodies(context, '100', 'with a length')
        expected = Answer(status, service.whole, is_whole=True)
        assert set(answers) == {expected}, answers
        assert service.runs == len(answers), (status, service.runs)


@when('{count:d} orders are sent with HTTP 1.0')
def send_old(context: Any, count: int) -> None:
    context.answers = [send_old_order(context) for _ in range(count)]


def send_old_order(context: Any) -> Answer:
    """Send a request whose answer ends with its connection."""
    received = b''
    is_whole = False
    with socket.create_connection(
        entry_address(context), TIMEOUT_SECONDS
    ) as connection:
        head = (
            f'POST {PATH} HTTP/1.0\r\nContent-Length: 4\r\n'
            f'Authorization: {authorization(context)}\r\n\r\nbody'
        )
        connection.sendall(head.encode())
        with suppress(ConnectionResetError):
            while True:
                piece = connection.recv(4096)
                received += piece
                if not piece:
                    is_whole = True
                    break
    status_line, _, rest = received.partition(b'\r\n')
    status = int(status_line.split()[1]) if status_line else 0
    return Answer(status, rest.partition(b'\r\n\r\n')[2], is_whole)


@then('each connection that carried a status 200 was reset')
def check_reset(context: Any) -> None:
    assert any(answer.status == 200 for answer in context.answers)
    for answer in context.answers:
        assert answer.status != 200 or not answer.is_whole, context.answers


@then('each got the whole answer')
def check_whole(context: Any) -> None:
    for answer in context.answers:
        assert answer == Answer(200, b'whole', is_whole=True), context.answers


@then('none of the {group} gets a complete answer with status 200')
def check_malformed(context: Any, group: str) -> None:
    service = context.system.service
    whole = []
    for name in GROUPS[group]:
        service.fault = f'odd: {name}'
        answers = send_bodies(context, '100', 'with a length')
        if any(answer.status == 200 and answer.is_whole for answer in answers):
            whole.append(name)
        assert service.runs, name
        service.runs = 0
    assert not whole, whole


@then(
    'each request with one of the {group} runs once and gets a typed error '
    'with status {status:d}'
)
def check_not_repeated(context: Any, group: str, status: int) -> None:
    service = context.system.service
    for name in GROUPS[group]:
        service.runs = 0
        service.fault = f'odd: {name}'
        answers = send_bodies(context, '100', 'with a length')
        for answer in answers:
            assert answer.status == status, (name, answer)
            assert answer.is_whole and b'"code"' in answer.body, (name, answer)
        assert service.runs == len(answers), (name, service.runs)


@then('each request with one of the {group} gets a whole answer')
def check_sound(context: Any, group: str) -> None:
    service = context.system.service
    for name in GROUPS[group]:
        service.fault = f'odd: {name}'
        answers = send_bodies(context, '100', 'with a length')
        for answer in answers:
            expected = Answer(200, service.whole, is_whole=True)
            assert answer == expected, (name, answer)


@when(
    '{count:d} orders {key} get {answer} without end, and their callers read '
    'nothing'
)
def send_without_reading(
    context: Any, count: int, key: str, answer: str
) -> None:
    context.system.service.fault = f'endless: {answer}'
    connections = []
    for _ in range(count):
        connection = HTTPConnection(
            *entry_address(context), timeout=TIMEOUT_SECONDS
        )
        headers = {'Authorization': authorization(context)}
        if key == 'with a key':
            headers['Idempotency-Key'] = secrets.token_hex(8)
        connection.request('POST', PATH, b'body', headers)
        connections.append(connection)
    time.sleep(FLOOD_SECONDS)
    for connection in connections:
        connection.close()
    assert context.system.service.runs


@then('entry and agent used no more than {most:d} megabytes each')
def check_memory(context: Any, most: int) -> None:
    system = context.system
    nodes = system.entries | system.agents
    used = {
        name: peak_kilobytes(node.process.pid) // KILOBYTES_PER_MEGABYTE
        for name, node in nodes.items()
    }
    assert max(used.values()) <= most, used


def peak_kilobytes(pid: int) -> int:
    """Return the largest resident memory that a process has had."""
    text = Path(f'/proc/{pid}/status').read_text()
    found = re.search(r'VmHWM:\s+(\d+) kB', text)
    assert found is not None, text
    return int(found.group(1))


@then('other orders are answered')
def check_others(context: Any) -> None:
    context.system.service.fault = ''
    whole = context.system.service.whole
    for answer in send_bodies(context, '100', 'with a length'):
        assert answer == Answer(200, whole, is_whole=True), answer
