"""Steps for malformed and random input."""

from __future__ import annotations

import json
import random
import socket
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import attrs
import urllib3
from behave import given, then, when
from gypsumrelay_demo import (
    System,
    call,
    complete,
    smallest_deployment,
    wait_until,
)
from gypsumrelay_standins import expected_text

BODY_LIMIT = 100_000
HEADER_LIMIT = 8192
PROMPT = 'the seal of the left window'
# Time in milliseconds in which the links between the processes open.
OPENING_MS = 20_000
# State of a connection in /proc/net/tcp that the peer has closed.
CLOSE_WAIT = '08'
FIELD_VALUES = (
    None,
    True,
    -1,
    0,
    1e308,
    10**30,
    '',
    'model',
    '\ud800',
    [],
    ['a'],
    {},
    {'role': 'user', 'content': 'a'},
    [{'role': 'user', 'content': 'a'}],
    [{'role': 1, 'content': None}],
    [{'content': [{'type': 'image_url', 'image_url': 'x'}]}],
)
FIELD_NAMES = (
    'model',
    'prompt',
    'messages',
    'max_tokens',
    'stream',
    'priority',
    'first_token_ms',
)


@given('the smallest deployment with low limits on request sizes')
def start_bounded(context: Any) -> None:
    deployment = attrs.evolve(
        smallest_deployment(),
        entry_settings={
            'caller': {
                'max_body_bytes': BODY_LIMIT,
                'max_header_bytes': HEADER_LIMIT,
                'body_seconds': 2,
            },
        },
    )
    context.system = System(deployment, context.path)
    context.system.start()


def entry_url(context: Any) -> str:
    return next(iter(context.system.entries.values())).url


def any_key(context: Any) -> str:
    return next(iter(context.system.keys.values())).secret


def post(context: Any, body: bytes, extra_header: str = '') -> Any:
    return call(
        context.system.pool,
        f'{entry_url(context)}/v1/completions',
        'POST',
        {
            'Authorization': f'Bearer {any_key(context)}',
            'X-Flood': extra_header,
        },
        body,
    )


@then('these completion bodies are rejected with outcome "not_run"')
def check_bodies(context: Any) -> None:
    for row in context.table:
        reply = post(context, row['body'].encode())
        found = (reply.code, reply.outcome)
        assert found == (row['code'], 'not_run'), (row['body'], reply)


@then('a body of deeply nested arrays is rejected with code "{code}"')
def check_nested(context: Any, code: str) -> None:
    reply = post(context, b'[' * 40_000)
    assert reply.code == code, reply


@then('a body over the limit is rejected with code "{code}"')
def check_large(context: Any, code: str) -> None:
    reply = post(context, b'x' * (BODY_LIMIT + 1))
    assert (reply.code, reply.outcome) == (code, 'not_run'), reply


@then('headers over the limit are rejected with code "{code}"')
def check_headers(context: Any, code: str) -> None:
    reply = post(context, b'{}', 'x' * HEADER_LIMIT)
    assert (reply.code, reply.outcome) == (code, 'not_run'), reply


@then('a path without a route is rejected with code "{code}"')
def check_path(context: Any, code: str) -> None:
    url = f'{entry_url(context)}/nowhere/at/all'
    reply = call(context.system.pool, url, 'PUT', {}, b'')
    assert (reply.code, reply.outcome) == (code, 'not_run'), reply


@then('no upstream executed a request')
def check_no_runs(context: Any) -> None:
    for name in context.system.upstreams:
        assert not context.system.runs_at(name), name


def address_of(url: str) -> tuple[str, int]:
    parsed = urllib3.util.parse_url(url)
    return parsed.host or '', parsed.port or 0


@when('{count:d} connections send half a body and then stay idle')
def open_idle_connections(context: Any, count: int) -> None:
    head = b'POST /v1/completions HTTP/1.1\r\nContent-Length: 900\r\n\r\nhalf'
    context.idle_connections = []
    for _ in range(count):
        connection = socket.create_connection(address_of(entry_url(context)))
        connection.sendall(head)
        connection.settimeout(0.01)
        context.idle_connections.append(connection)


@then('the idle connections are closed within {seconds:d} seconds')
def check_closed(context: Any, seconds: int) -> None:
    def is_closed(connection: socket.socket) -> bool:
        try:
            return connection.recv(4096) == b''
        except TimeoutError:
            return False
        except OSError:
            return True

    assert wait_until(
        lambda: all(map(is_closed, context.idle_connections)), seconds
    )


@when('{count:d} random messages with seed {seed:d} are sent to every port')
def send_random(context: Any, count: int, seed: int) -> None:
    rng = random.Random(seed)
    nodes = [*context.system.entries.values(), *context.system.agents.values()]
    addresses = [address_of(node.admin_url) for node in nodes]
    for node in nodes:
        host, _, port = node.listed['address'].partition(':')
        addresses.append((host, int(port)))
    for _ in range(count):
        with suppress(OSError):
            address = rng.choice(addresses)
            with socket.create_connection(address, 2) as connection:
                connection.sendall(rng.randbytes(rng.randrange(1, 5000)))


@then('no process keeps a connection of them open for over {seconds:d} seconds')
def check_connections(context: Any, seconds: int) -> None:
    ports = set()
    for node in (*context.system.entries.values(), *agents_of(context)):
        ports.add(address_of(node.admin_url)[1])
        ports.add(int(node.listed['address'].partition(':')[2]))
    left = wait_until(lambda: not unclosed_ports(ports), seconds)
    assert left, unclosed_ports(ports)


def agents_of(context: Any) -> list[Any]:
    return list(context.system.agents.values())


def unclosed_ports(ports: set[int]) -> list[int]:
    """Return the ports with connections that only the peer has closed."""
    lines = Path('/proc/net/tcp').read_text().splitlines()[1:]
    columns = [line.split() for line in lines]
    local = [int(one[1].partition(':')[2], 16) for one in columns]
    return [
        port
        for port, one in zip(local, columns, strict=True)
        if port in ports and one[3] == CLOSE_WAIT
    ]


@given('a caller that requests {tokens:d} tokens was served')
def serve_first(context: Any, tokens: int) -> None:
    # On a busy machine, opening the links between the processes may take
    # longer than the account's 1.5 s for the first token.
    body = {
        'model': 'model',
        'prompt': PROMPT,
        'max_tokens': tokens,
        'first_token_ms': OPENING_MS,
        'stream': True,
    }
    pool = urllib3.PoolManager()
    reply = complete(pool, entry_url(context), any_key(context), body)
    assert reply.whole, reply
    assert reply.text == expected_text(PROMPT, tokens), reply


@then('every process is still running')
def check_running(context: Any) -> None:
    time.sleep(0.5)
    nodes = [*context.system.entries.values(), *context.system.agents.values()]
    stopped = [
        node.process.name for node in nodes if not node.process.is_running()
    ]
    assert not stopped, stopped


@then('{count:d} random requests with seed {seed:d} get no internal error')
def check_random_requests(context: Any, count: int, seed: int) -> None:
    rng = random.Random(seed)
    paths = ('/v1/completions', '/v1/chat/completions', '/orders/x', '/open')
    for _ in range(count):
        chosen = rng.sample(FIELD_NAMES, rng.randrange(len(FIELD_NAMES)))
        body = {name: rng.choice(FIELD_VALUES) for name in chosen}
        body.update({'model': 'model'} if rng.random() < 0.7 else {})
        reply = call(
            context.system.pool,
            entry_url(context) + rng.choice(paths),
            rng.choice(('POST', 'GET', 'PUT')),
            {'Authorization': f'Bearer {any_key(context)}'},
            json.dumps(body).encode(),
        )
        assert reply.status not in {0, 500}, (body, reply)
        assert reply.code != 'upstream_failed', (body, reply)
