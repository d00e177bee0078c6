"""Steps of buffers.feature for connections that close."""

from __future__ import annotations

import socket
import threading
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from gypsumrelay_relay.buffers import Kind, new_memory
from gypsumrelay_relay.caller_server import CallerChannel
from waitress.adjustments import Adjustments
from waitress.channel import ClientDisconnected

PIECE_BYTES = 8192
WAIT_SECONDS = 5.0


@given('a connection with the memory of an instance with {memory_mb:d} MB')
def give_connection(context: Any, memory_mb: int) -> None:
    context.memory = new_memory(memory_mb)
    caller, served = socket.socketpair()
    context.caller = caller
    context.add_cleanup(context.caller.close)
    server = SimpleNamespace(
        add_task=lambda _: None,
        pull_trigger=lambda: None,
        active_channels={},
        draining=threading.Event(),
    )
    context.channel = CallerChannel(
        server, served, '', Adjustments(), {}, memory=context.memory
    )


@given('its caller is gone')
def end_caller(context: Any) -> None:
    context.caller.close()


@when('a request and a body of {size:d} bytes arrive on it')
def receive_two(context: Any, size: int) -> None:
    first = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
    head = f'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n'
    context.channel.received(first + head.encode() + bytes(size))


@when('a body of {size:d} bytes that expects a permission arrives on it')
def receive_expecting(context: Any, size: int) -> None:
    head = (
        'POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n'
        f'Content-Length: {size}\r\n\r\n'
    )
    context.channel.received(head.encode() + bytes(PIECE_BYTES))


@when('the connection closes')
def close_connection(context: Any) -> None:
    context.channel.handle_close()


@when('the first is served and its answer is not read')
def serve_unread(context: Any) -> None:
    def wait() -> None:
        raise ClientDisconnected

    task = SimpleNamespace(service=lambda: None, close_on_finish=False)
    context.channel.task_class = lambda *_: task
    # The wait itself takes 30 s.
    setattr(  # noqa: B010
        context.channel, '_flush_outbufs_below_high_watermark', wait
    )
    context.channel.service()
    assert not context.channel.requests


@then('{size:d} bytes of bodies are held')
def check_bodies_held(context: Any, size: int) -> None:
    assert context.memory.budget.held[Kind.bodies] == size


@when('a caller with HTTP 1.0 requests a stream that breaks off')
def request_broken(context: Any) -> None:
    link = socket.create_connection(context.address, timeout=WAIT_SECONDS)
    context.add_cleanup(link.close)
    link.sendall(b'GET /broken HTTP/1.0\r\n\r\n')
    context.link = link


@then('its connection is reset after the first event')
def check_reset(context: Any) -> None:
    received = b''
    try:
        while read := context.link.recv(PIECE_BYTES):
            received += read
    except ConnectionResetError:
        return
    raise AssertionError(f'the answer ended in order: {received!r}')
