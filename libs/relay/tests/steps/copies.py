"""Steps of copies.feature, with a stand-in that answers twice."""

from __future__ import annotations

import socket
import threading
import time
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import Ending
from gypsumrelay_relay.attempts import classify_reply
from gypsumrelay_relay.cancellation import Cancellation
from gypsumrelay_relay.connections import Connections
from gypsumrelay_relay.protocol import ReplyHeaders, UpstreamRequest
from gypsumrelay_relay.sending import Reply, send

NAME = 'X-Request'


def answer(request_id: str, body: str) -> bytes:
    """Return an answer, without a request id if that is empty."""
    lines = ['HTTP/1.1 200 OK', 'Keep-Alive: timeout=5']
    if request_id:
        lines.append(f'{NAME}: {request_id}')
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', body)).encode()


def read_id(link: socket.socket) -> str:
    """Read one request; return its id, empty if the connection closed."""
    got = b''
    while b'\r\n\r\n' not in got:
        part = link.recv(4096)
        if not part:
            return ''
        got += part
    _, _, after = got.decode().partition(f'{NAME}: ')
    return after.partition('\r\n')[0]


@given('a server that {fault}')
def give_upstream(context: Any, fault: str) -> None:
    server = socket.create_server(('127.0.0.1', 0))
    context.add_cleanup(server.close)
    host, port = server.getsockname()
    context.address = f'{host}:{port}'
    context.connections = Connections()
    context.opened = 0

    def serve(link: socket.socket) -> None:
        first = read_id(link)
        link.sendall(
            answer('' if 'names no request in' in fault else first, first)
        )
        if 'at once' in fault:
            link.sendall(answer(first, first))
        second = read_id(link)
        if 'before its second' in fault:
            link.sendall(answer(first if 'first' in fault else '', first))
        if second:
            link.sendall(answer(second, second))

    def accept() -> None:
        while True:
            try:
                link, _ = server.accept()
            except OSError:
                return
            context.opened += 1
            threading.Thread(target=serve, args=(link,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


def read_reply(status: int, headers: Any) -> ReplyHeaders:
    """Parse the headers of the stand-in's answer."""
    return ReplyHeaders(headers.get(NAME, ''), signed=True, not_run=False)


def ask(context: Any, request_id: str) -> tuple[Ending, bytes]:
    """Send one request; return how it ended and the answer's body."""
    deadline = monotonic() + 2
    reply = send(
        context.connections,
        context.address,
        UpstreamRequest('GET', '/', {NAME: request_id}),
        Cancellation(deadline, bool),
        fresh=False,
        deadline=deadline,
    )
    assert isinstance(reply, Reply), reply
    protocol = SimpleNamespace(read_reply=read_reply)
    relay = SimpleNamespace(protocol=protocol)
    exchange = SimpleNamespace(request_id=request_id, relay=relay)
    verdict = classify_reply(exchange, reply)
    if verdict.ending is Ending.lost:
        reply.close()
        return verdict.ending, b''
    body = reply.read(deadline)
    reply.return_connection()
    return verdict.ending, body


@when('two requests are sent to it one after the other')
def ask_twice(context: Any) -> None:
    context.first = ask(context, 'r1')
    time.sleep(0.1)
    context.second = ask(context, 'r2')


@when('one request is sent to it')
def ask_once(context: Any) -> None:
    context.first = ask(context, 'r1')


@then('the first request gets its own answer')
def check_first(context: Any) -> None:
    assert context.first == (Ending.answered, b'r1'), context.first


@then('the second attempt is lost, and the connection is not reused')
def check_lost(context: Any) -> None:
    assert context.second == (Ending.lost, b''), context.second
    assert context.opened == 1
    assert not context.connections.idle[context.address]


@then('the second request gets its own answer')
def check_second(context: Any) -> None:
    assert context.second == (Ending.answered, b'r2'), context.second
