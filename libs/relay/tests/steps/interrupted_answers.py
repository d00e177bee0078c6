"""Steps of interrupted_answers.feature."""

from __future__ import annotations

import select
import socket
import struct
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_relay.cancellation import (
    CancelCause,
    Cancellation,
    RequestWatcher,
)
from gypsumrelay_relay.connections import Connections
from gypsumrelay_relay.protocol import UpstreamRequest
from gypsumrelay_relay.sending import Reply, io_errors, send
from gypsumrelay_relay.stream_runs import close_silent

TIMEOUT_SECONDS = 5.0
PIECE = b'id: 1\ndata: a\n\n'
HALF = PIECE * 2
WHOLE = PIECE * 4
# Time in seconds until a reader waits for the next bytes.
READER_SECONDS = 0.1
FRAMINGS = {
    'without a length': b'',
    'in chunks': b'Transfer-Encoding: chunked\r\n',
    'with a length': b'Content-Length: %d\r\n' % len(WHOLE),
}


def framed(framing: str, body: bytes) -> bytes:
    """Return a part of an answer, or all of it."""
    head = b'HTTP/1.1 200 OK\r\n' + FRAMINGS[framing] + b'\r\n'
    if framing != 'in chunks':
        return head + body
    end = b'0\r\n\r\n' if body == WHOLE else b''
    return head + b'%x\r\n%s\r\n' % (len(body), body) + end


def start_upstream(context: Any, answer: Any) -> None:
    """Start an upstream; `answer` gets each connection with a request."""
    server = socket.create_server(('127.0.0.1', 0), backlog=64)
    context.add_cleanup(server.close)
    context.address = '{}:{}'.format(*server.getsockname())
    context.connections = Connections()
    context.ended = threading.Event()
    context.add_cleanup(context.ended.set)

    def serve(link: socket.socket) -> None:
        with link:
            link.recv(65_536)
            answer(link)

    def accept() -> None:
        while True:
            try:
                link, _ = server.accept()
            except OSError:
                return
            threading.Thread(target=serve, args=(link,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


@given('an upstream that sends half of an answer {framing}')
def give_half(context: Any, framing: str) -> None:
    def answer(link: socket.socket) -> None:
        link.sendall(framed(framing, HALF))
        context.ended.wait(TIMEOUT_SECONDS)

    start_upstream(context, answer)


@given('an upstream that resets an answer without a length in the middle')
def give_reset(context: Any) -> None:
    def answer(link: socket.socket) -> None:
        link.sendall(framed('without a length', HALF))
        linger = struct.pack('ii', 1, 0)
        link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    start_upstream(context, answer)


@given('an upstream that sends a whole answer {framing} and closes')
def give_whole(context: Any, framing: str) -> None:
    start_upstream(context, lambda link: link.sendall(framed(framing, WHOLE)))


@given(
    'an upstream that sends a whole answer without a length after '
    '{seconds:g} seconds'
)
def give_late_whole(context: Any, seconds: float) -> None:
    def answer(link: socket.socket) -> None:
        link.sendall(framed('without a length', HALF))
        time.sleep(seconds)
        link.sendall(HALF)

    start_upstream(context, answer)


def never_disconnects() -> bool:
    """Return False, since the caller stays connected."""
    return False


def send_request(context: Any, cancellation: Cancellation) -> Reply:
    reply = send(
        context.connections,
        context.address,
        UpstreamRequest('GET', '/', {}),
        cancellation,
        fresh=True,
        deadline=cancellation.deadline,
    )
    assert isinstance(reply, Reply), reply
    return reply


def open_answer(context: Any) -> None:
    """Send a request and read the head of its answer."""
    deadline = monotonic() + TIMEOUT_SECONDS
    context.cancellation = Cancellation(deadline, never_disconnects)
    context.reply = send_request(context, context.cancellation)


def read(context: Any) -> None:
    """Read the answer to its end; keep what was read, and the error if any."""
    context.body = b''
    context.error = None
    failures = io_errors()
    context.reply.set_limits(monotonic() + TIMEOUT_SECONDS)
    try:
        for piece in context.reply.pieces():
            context.body += piece
    except failures as error:
        context.error = error


def wait_for(sock: Any, event: int) -> bool:
    poller = select.poll()
    poller.register(sock.fileno(), event)
    return bool(poller.poll(TIMEOUT_SECONDS * 1000))


@when('the request is cancelled while its answer is read')
def cancel_during_read(context: Any) -> None:
    open_answer(context)
    reading = threading.Thread(target=read, args=(context,), daemon=True)
    reading.start()
    time.sleep(READER_SECONDS)
    context.cancellation.cancel(CancelCause.deadline)
    reading.join(TIMEOUT_SECONDS)


@when('the request is cancelled before its answer is read on')
def cancel_before_read(context: Any) -> None:
    open_answer(context)
    time.sleep(READER_SECONDS)
    context.cancellation.cancel(CancelCause.deadline)
    read(context)


@when('its stream is closed for a substitute')
def close_for_substitute(context: Any) -> None:
    open_answer(context)
    run: Any = SimpleNamespace(silent=context.reply.sock)
    close_silent(run)
    read(context)


@when('the request is cancelled once the end has arrived')
@when('the request is cancelled {times} once the end has arrived')
def cancel_after_end(context: Any, times: str = 'once') -> None:
    open_answer(context)
    assert wait_for(context.reply.sock, select.POLLRDHUP)
    context.cancellation.cancel(CancelCause.deadline)
    if times == 'twice':
        context.reply.sock.interrupt()
    read(context)


@when(
    '{count:d} answers are read with {seconds:g} seconds left while requests '
    'are watched'
)
def read_watched(context: Any, count: int, seconds: float) -> None:
    watcher = RequestWatcher()
    watcher.start()
    context.add_cleanup(watcher.stopped.set)

    def read_one(_: int) -> bytes:
        cancellation = Cancellation(monotonic() + seconds, never_disconnects)
        watcher.add(cancellation)
        body = send_request(context, cancellation).read(cancellation.deadline)
        watcher.remove(cancellation)
        return body

    with ThreadPoolExecutor(count) as pool:
        context.bodies = list(pool.map(read_one, range(count)))


@then('reading the answer fails')
def check_fails(context: Any) -> None:
    assert context.error is not None, context.body
    assert HALF.startswith(context.body), context.body


@then('the answer is read as a whole')
def check_whole(context: Any) -> None:
    assert context.error is None, context.error
    assert context.body == WHOLE, context.body


@then('each of them is whole')
def check_all_whole(context: Any) -> None:
    assert set(context.bodies) == {WHOLE}, context.bodies


@given('an upstream that answers each request on a kept connection')
def give_kept(context: Any) -> None:
    def answer(link: socket.socket) -> None:
        link.sendall(framed('with a length', WHOLE))
        while link.recv(65_536):
            time.sleep(READER_SECONDS * 2)
            link.sendall(framed('with a length', WHOLE))

    start_upstream(context, answer)


@when('the answer to a request is read and its connection serves another')
def serve_two(context: Any) -> None:
    open_answer(context)
    read(context)
    context.reply.return_connection()
    context.first = context.cancellation
    context.sent = threading.Event()

    def serve_other() -> None:
        context.sent.set()
        open_answer(context)
        read(context)

    context.serving = threading.Thread(target=serve_other, daemon=True)
    context.serving.start()
    assert context.sent.wait(TIMEOUT_SECONDS)
    time.sleep(READER_SECONDS)


@when('the first request is cancelled')
def cancel_first(context: Any) -> None:
    context.first.cancel(CancelCause.gone)
    context.serving.join(TIMEOUT_SECONDS)


@then('the other request is answered')
def check_other(context: Any) -> None:
    assert context.cancellation is not context.first, 'no answer'
    assert context.reply.is_reused
    check_whole(context)


@when(
    'a request is cancelled when its answer is read and before its connection '
    'is returned'
)
def cancel_before_return(context: Any) -> None:
    open_answer(context)
    read(context)
    context.cancellation.cancel(CancelCause.gone)
    context.reply.return_connection()


@then('the next request gets a new connection')
def check_new_connection(context: Any) -> None:
    assert not context.connections.idle
    open_answer(context)
    assert not context.reply.is_reused
    read(context)
    check_whole(context)


@given('a request whose interrupt takes {seconds:g} seconds')
def give_slow_interrupt(context: Any, seconds: float) -> None:
    context.begun = threading.Event()
    context.over = threading.Event()

    def interrupt() -> None:
        context.begun.set()
        time.sleep(seconds)
        context.over.set()

    context.interrupt = interrupt
    context.cancellation = Cancellation(
        monotonic() + TIMEOUT_SECONDS, never_disconnects
    )
    context.cancellation.set_interrupt(interrupt)


@when('the request is cancelled and then ends its interrupt')
def end_begun_interrupt(context: Any) -> None:
    threading.Thread(
        target=context.cancellation.cancel,
        args=(CancelCause.gone,),
        daemon=True,
    ).start()
    assert context.begun.wait(TIMEOUT_SECONDS)
    context.cancellation.end_interrupt(context.interrupt)
    context.was_over = context.over.is_set()


@then('the interrupt was over before')
def check_over(context: Any) -> None:
    assert context.was_over
