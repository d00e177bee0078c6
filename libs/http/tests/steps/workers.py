"""Steps of workers.feature."""

from __future__ import annotations

import socket
import threading
import time
from typing import Any

from behave import given, then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_http import start_server


@given('a server with a maximum of {max_threads:d} threads')
def create_server(context: Any, max_threads: int) -> None:
    context.started_requests = threading.Semaphore(0)
    context.may_respond = threading.Event()
    context.may_respond.set()

    def respond(environ: dict[str, Any], start_response: Any) -> list[bytes]:
        context.started_requests.release()
        context.may_respond.wait(10)
        start_response('200 OK', [('Content-Length', '2')])
        return [b'ok']

    with socket.create_server(('127.0.0.1', 0)) as temporary_socket:
        port = temporary_socket.getsockname()[1]
    context.address = ('127.0.0.1', port)
    context.server = start_server(respond, context.address, threads=max_threads)
    context.add_cleanup(context.server.close)


def open_request(context: Any) -> socket.socket:
    """Send a request and return its connection."""
    connection = socket.create_connection(context.address, timeout=10)
    connection.sendall(
        b'GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
    )
    return connection


def read_response(connection: socket.socket) -> bytes:
    """Return the complete response on a connection."""
    with connection:
        return b''.join(iter(lambda: connection.recv(4096), b''))


@when('{count:d} requests arrive, each after the previous one was served')
def send_sequentially(context: Any, count: int) -> None:
    dispatcher = context.server.task_dispatcher
    for _ in range(count):
        assert read_response(open_request(context)).endswith(b'ok')
        # The response arrives before its thread has ended the request.
        deadline = monotonic() + 10
        while dispatcher.open_requests:
            assert monotonic() < deadline
            time.sleep(0.001)


@when('{count:d} requests arrive at the same time')
def send_concurrently(context: Any, count: int) -> None:
    context.may_respond.clear()
    context.connections = [open_request(context) for _ in range(count)]


@then('all of them are served concurrently')
def check_all_served(context: Any) -> None:
    check_served(context, len(context.connections))


@then('{count:d} of them are served concurrently')
def check_served(context: Any, count: int) -> None:
    for _ in range(count):
        assert context.started_requests.acquire(timeout=10)
    assert not context.started_requests.acquire(timeout=0.2)


@then('all of them get a response when these end')
def check_responses(context: Any) -> None:
    context.may_respond.set()
    for connection in context.connections:
        assert read_response(connection).endswith(b'ok')


@then('it has at most {count:d} threads')
def check_threads(context: Any, count: int) -> None:
    time.sleep(0.05)
    assert len(context.server.task_dispatcher.threads) <= count
