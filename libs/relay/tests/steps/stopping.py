"""Steps of stopping.feature."""

from __future__ import annotations

import socket
import threading
import time
from typing import Any

from behave import given, then, when
from gypsumrelay_http import start_server
from gypsumrelay_relay.caller_server import (
    CallerChannel,
    close_idle,
    count_busy_connections,
)

REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
ANSWER = b'answered'
LARGE = b'x' * 20_000_000


class SlowEnd(list[bytes]):
    """An answer whose request ends 0.3 s after it was sent."""

    def close(self) -> None:
        """End the request."""
        time.sleep(0.3)


def respond(environ: dict[str, Any], start_response: Any) -> list[bytes]:
    """Answer every request."""
    if environ['PATH_INFO'] == '/large':
        start_response('200 OK', [('Content-Length', str(len(LARGE)))])
        return [LARGE]
    start_response('200 OK', [('Content-Length', str(len(ANSWER)))])
    return SlowEnd([ANSWER]) if environ['PATH_INFO'] == '/slow' else [ANSWER]


def read_answer(link: socket.socket) -> bytes:
    """Read one answer from a connection that stays open."""
    got = b''
    while not got.endswith(ANSWER):
        got += link.recv(4096)
    return got


@given('a server for callers with {count:d} idle connections')
def give_server(context: Any, count: int) -> None:
    with socket.create_server(('127.0.0.1', 0)) as free:
        context.address = free.getsockname()
    server = start_server(respond, context.address, CallerChannel, threads=4)
    server.draining = threading.Event()
    context.server = server
    context.links = []
    for _ in range(count):
        link = socket.create_connection(context.address, timeout=5)
        link.sendall(REQUEST)
        read_answer(link)
        context.links.append(link)


def close_after(context: Any, arrive: Any) -> None:
    """Send requests while the server's thread cannot read them."""
    done = threading.Event()

    def close() -> None:
        arrive()
        context.server.draining.set()
        close_idle(context.server)
        done.set()

    context.server.trigger.pull_trigger(close)
    assert done.wait(5)


@when('requests arrive on {count:d} of them at the moment at which it closes')
def arrive_kept(context: Any, count: int) -> None:
    def arrive() -> None:
        for link in context.links[:count]:
            link.sendall(REQUEST)

    close_after(context, arrive)


@when(
    '{count:d} new connections with requests arrive at the moment at which '
    'it closes',
)
def arrive_new(context: Any, count: int) -> None:
    def arrive() -> None:
        for _ in range(count):
            link = socket.create_connection(context.address, timeout=5)
            link.sendall(REQUEST)
            context.links.append(link)

    close_after(context, arrive)


@when('a caller asks for 20 megabytes and reads nothing for a while')
def ask_large(context: Any) -> None:
    context.links[0].sendall(REQUEST.replace(b'/', b'/large', 1))
    time.sleep(0.3)


@when('the server closes')
def close_now(context: Any) -> None:
    close_after(context, lambda: None)


@when('it closes while a request whose answer was read has not ended')
def close_at_end(context: Any) -> None:
    link = context.links[0]
    link.sendall(REQUEST.replace(b'/', b'/slow', 1))
    read_answer(link)
    close_after(context, lambda: None)


@then('the caller gets all 20 megabytes and its connection closes')
def check_large(context: Any) -> None:
    answer = read_rest(context.links.pop())
    assert answer.endswith(LARGE), len(answer)


@then('its connection counts as busy until the caller has read everything')
def check_busy(context: Any) -> None:
    assert count_busy_connections(context.server) == 1
    left = len(LARGE)
    while left > 0:
        left -= len(context.links[0].recv(1_000_000))
    time.sleep(0.3)
    assert count_busy_connections(context.server) == 0


def read_rest(link: socket.socket) -> bytes:
    """Return the bytes that arrive until the connection closes."""
    with link:
        return b''.join(iter(lambda: link.recv(4096), b''))


@then('{count:d} requests are answered and their connections close')
def check_answered(context: Any, count: int) -> None:
    for _ in range(count):
        answer = read_rest(context.links.pop(0))
        assert answer.endswith(ANSWER), answer


@then('{count:d} connections close without an answer')
def check_closed(context: Any, count: int) -> None:
    assert len(context.links) == count
    assert not any(map(read_rest, context.links))


@then('no new connection is accepted')
def check_refused(context: Any) -> None:
    try:
        socket.create_connection(context.address, timeout=1)
    except OSError:
        return
    raise AssertionError('a connection was accepted')
