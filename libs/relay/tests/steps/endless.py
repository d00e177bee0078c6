"""Steps of endless.feature, with stand-ins that never end an answer."""

from __future__ import annotations

import itertools
import socket
import threading
import time
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_relay.cancellation import Cancellation
from gypsumrelay_relay.connections import Connections
from gypsumrelay_relay.eventstream import EventSplitter
from gypsumrelay_relay.prefill import Cache, free_cache
from gypsumrelay_relay.protocol import UpstreamRequest
from gypsumrelay_relay.sending import Reply, SendFailed, io_errors, send

HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
STREAM = HEAD + b'Connection: close\r\n\r\n'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
BLOCK = b'x' * 16_384
TRICKLE_SECONDS = 0.1


def trickle(start: bytes, part: bytes) -> Iterator[bytes]:
    """Yield a start, and then a part at fixed intervals without end."""
    yield start
    for again in itertools.repeat(part):
        time.sleep(TRICKLE_SECONDS)
        yield again


def flood(start: bytes, part: bytes) -> Iterator[bytes]:
    """Yield a start, and then a part without end and without pauses."""
    return itertools.chain([start], itertools.repeat(part))


def events(pause: float) -> Iterator[bytes]:
    """Yield six complete events, each in two parts."""
    yield CHUNKED
    for number in range(6):
        for half in (b'id: %d\n' % number, b'data: a\n\n'):
            time.sleep(pause / 2)
            yield b'%x\r\n%s\r\n' % (len(half), half)
    yield b'0\r\n\r\n'


ANSWERS = {
    'a byte of a head now and then': lambda: trickle(HEAD, b'X'),
    'a status line without end': lambda: flood(b'HTTP/1.1 200 ', BLOCK),
    'a header without end': lambda: flood(HEAD + b'X-A: ', BLOCK),
    'headers without end': lambda: flood(HEAD, b'X-A: b\r\n' * 99),
    'interim answers without end': lambda: flood(b'', INTERIM * 99),
    'interim answers now and then': lambda: trickle(b'', INTERIM),
    'a byte of a body now and then': lambda: trickle(CHUNKED, b'1\r\nx\r\n'),
    'a body without length or end': lambda: flood(STREAM, BLOCK),
    'chunks without end': lambda: flood(CHUNKED, b'4000\r\n%s\r\n' % BLOCK),
    'a chunk size without end': lambda: flood(CHUNKED, b'0' * 4096),
    'trailers without end': lambda: flood(
        CHUNKED + b'0\r\n',
        b'X-A: b\r\n' * 99,
    ),
    'an event without end': lambda: flood(STREAM + b'data: ', BLOCK),
    'a byte of an event now and then': lambda: trickle(STREAM, b':'),
    'a whole event every 0.3 seconds': lambda: events(0.3),
}


@given('an upstream that answers with {answer}')
def give_upstream(context: Any, answer: str) -> None:
    server = socket.create_server(('127.0.0.1', 0))
    context.add_cleanup(server.close)
    host, port = server.getsockname()
    context.address = f'{host}:{port}'
    counted = SimpleNamespace(sent=0)
    closed = threading.Event()
    context.counted = counted
    context.closed = closed

    def serve() -> None:
        link, _ = server.accept()
        with link:
            link.recv(65_536)
            try:
                for part in ANSWERS[answer]():
                    link.sendall(part)
                    counted.sent += len(part)
            except OSError:
                closed.set()

    threading.Thread(target=serve, daemon=True).start()


def never_disconnects() -> bool:
    """Return False, since the caller stays connected."""
    return False


def send_call(context: Any, seconds: float) -> Reply | SendFailed:
    context.started = monotonic()
    deadline = context.started + seconds
    guard = Cancellation(deadline, never_disconnects)
    request = UpstreamRequest('GET', '/', {})
    return send(
        Connections(),
        context.address,
        request,
        guard,
        fresh=True,
        deadline=deadline,
    )


@when('a request is sent to it with {seconds:g} seconds left')
def send_request(context: Any, seconds: float) -> None:
    context.reply = send_call(context, seconds)
    context.ended = monotonic()


@then('the attempt is lost within {seconds:g} seconds')
def check_lost(context: Any, seconds: float) -> None:
    assert isinstance(context.reply, SendFailed), context.reply
    assert context.reply.ending.value == 'lost'
    assert context.ended - context.started <= seconds


@when('the answer to a request is read with {seconds:g} seconds left')
def read_whole(context: Any, seconds: float) -> None:
    reply = send_call(context, seconds)
    assert isinstance(reply, Reply), reply
    context.fault = None
    failures = io_errors()
    try:
        reply.read(context.started + seconds)
    except failures as error:
        context.fault = error
        reply.close()
    context.ended = monotonic()


@when('its events are read, each within {seconds:g} seconds')
def read_events(context: Any, seconds: float) -> None:
    reply = send_call(context, 5)
    assert isinstance(reply, Reply), reply
    splitter = EventSplitter()
    context.events = b''
    context.fault = None
    context.started = monotonic()
    reply.set_limits(monotonic() + seconds)
    failures = io_errors()
    try:
        for piece in reply.pieces():
            found = splitter.feed(piece)
            if found is not None:
                context.events += found.raw
                reply.set_limits(monotonic() + seconds)
    except failures as error:
        context.fault = error
        reply.close()
    context.ended = monotonic()


@then('reading fails within {seconds:g} seconds')
def check_fails(context: Any, seconds: float) -> None:
    assert context.fault is not None
    assert context.ended - context.started <= seconds


@then('the connection is closed, and less than {most:d} megabyte was read')
@then('the connection is closed, and less than {most:d} megabytes were read')
def check_read(context: Any, most: int) -> None:
    assert context.closed.wait(2)
    # The kernel buffers some megabytes that the relay has not read.
    sent = context.counted.sent
    assert sent < (most + 8) * 1_000_000, sent


@then('all {count:d} events arrive')
def check_events(context: Any, count: int) -> None:
    assert context.fault is None, context.fault
    assert context.events.count(b'data: a\n\n') == count


@when('a KV cache is freed there')
def free_stored_cache(context: Any) -> None:
    cache = Cache('up', context.address, 'name', 'source', monotonic())
    protocol = SimpleNamespace(release_cache=lambda name: ('DELETE', '/'))
    relay = SimpleNamespace(connections=Connections(), protocol=protocol)
    context.started = monotonic()
    freeing = threading.Thread(
        target=free_cache,
        args=(SimpleNamespace(relay=relay), cache),
        daemon=True,
    )
    freeing.start()
    freeing.join(5)
    context.ended = monotonic()


@then('the call ends within {seconds:g} seconds')
def check_ends(context: Any, seconds: float) -> None:
    assert context.ended - context.started <= seconds
