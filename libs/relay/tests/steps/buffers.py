"""Steps of buffers.feature."""

from __future__ import annotations

import hashlib
import io
import random
import socket
import threading
import time
from collections.abc import Iterable, Iterator
from http.client import HTTPConnection
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_http import start_server
from gypsumrelay_relay.buffers import (
    Kind,
    holds_of,
    new_memory,
    read_whole,
    take_body,
)
from gypsumrelay_relay.buffers.budget import (
    KIND_SHARE,
    available_bytes,
    change_held,
    end_read,
    fits_body,
    may_grow,
    may_read,
    new_budget,
    note_pressure,
    note_quiet,
    retry_seconds,
)
from gypsumrelay_relay.buffers.holds import HOLDS, AnswerHold, BodyHold, Holds
from gypsumrelay_relay.buffers.queueing import ByteQueue
from gypsumrelay_relay.caller_server import CallerChannel

PIECE_BYTES = 8192
STEP_SECONDS = 0.1
ROUNDS = 5000
UNSENT_BYTES = 8_000_000
HALF_BODY_BYTES = 2_000_000
# Bytes of an answer that the kernel's buffers may take.
KERNEL_BYTES = 7_000_000
WAIT_SECONDS = 5.0


@given('a budget of an instance with {memory_mb:d} MB')
def give_budget(context: Any, memory_mb: int) -> None:
    context.budget = new_budget(memory_mb)


@given('the memory of an instance with {memory_mb:d} MB')
def give_memory(context: Any, memory_mb: int) -> None:
    context.memory = new_memory(memory_mb)


def grow(context: Any, kind: Kind, size: int) -> None:
    change_held(context.budget, kind, size, 0)


@when('{count:d} answers of {size:d} bytes arrive at the same pace')
def give_answers(context: Any, count: int, size: int) -> None:
    context.held = [0 for _ in range(count)]
    context.produced = list(context.held)
    context.size = size


@when('their callers read {rate:d} bytes a second')
def read_answers(context: Any, rate: int) -> None:
    held = context.held
    context.highest = 0
    # Ten pieces of each answer, which is 820 kB a second, between two reads.
    for round_number in range(2000):
        for number, size in enumerate(held):
            sent = 0 if round_number % 10 else int(rate * STEP_SECONDS)
            held[number] -= min(size, sent)
            grow(context, Kind.answers, held[number] - size)
            is_done = context.produced[number] >= context.size
            if not is_done and may_grow(context.budget, held[number]):
                held[number] += PIECE_BYTES
                context.produced[number] += PIECE_BYTES
                grow(context, Kind.answers, PIECE_BYTES)
        context.highest = max(
            context.highest, context.budget.held[Kind.answers]
        )


@then('the answers never hold more than their share and a piece each')
def check_highest(context: Any) -> None:
    share = context.budget.limit_bytes * KIND_SHARE
    assert context.highest <= share + len(context.held) * PIECE_BYTES


@then('each of the 500 holds at least {size:d} bytes at the end')
def check_each(context: Any, size: int) -> None:
    assert min(context.held) >= size, min(context.held)


@then('another answer may hold {size:d} bytes')
def check_another(context: Any, size: int) -> None:
    assert may_grow(context.budget, size)


@when('{count:d} bodies of {size:d} bytes arrive')
def send_bodies(context: Any, count: int, size: int) -> None:
    context.size = size
    context.fitting = 0
    for _ in range(count):
        if fits_body(context.budget, 0, size):
            context.fitting += 1
            grow(context, Kind.bodies, size)
    context.rejected = count - context.fitting


@then('those that are held fit into the budget and the others are rejected')
def check_bodies(context: Any) -> None:
    budget = context.budget
    held = budget.held[Kind.bodies]
    assert held == context.fitting * context.size
    assert held <= budget.limit_bytes * KIND_SHARE < held + context.size
    assert context.rejected


@then('a rejected request may return within {seconds:d} seconds')
def check_retry(context: Any, seconds: int) -> None:
    assert 0 < retry_seconds(context.budget, context.size) <= seconds
    # Five bodies end within a second, so that one fits soon.
    for _ in range(5):
        change_held(context.budget, Kind.bodies, -context.size, 1.0)
    for _ in range(5):
        change_held(context.budget, Kind.bodies, context.size, 1.0)
    assert retry_seconds(context.budget, context.size) < 1


@then('a body of {size:d} bytes fits')
def check_body(context: Any, size: int) -> None:
    assert fits_body(context.budget, 0, size)


@when('one answer grows until it has to wait')
def grow_giant(context: Any) -> None:
    context.giant = 0
    while may_grow(context.budget, context.giant):
        context.giant += PIECE_BYTES
        grow(context, Kind.answers, PIECE_BYTES)


@then('it holds at most half of the budget')
def check_giant(context: Any) -> None:
    assert PIECE_BYTES < context.giant <= context.budget.limit_bytes / 2


@then('{count:d} answers of {size:d} bytes do not wait')
def check_small(context: Any, count: int, size: int) -> None:
    for _ in range(count):
        held = 0
        while held < size:
            assert may_grow(context.budget, held)
            held += PIECE_BYTES
            grow(context, Kind.answers, PIECE_BYTES)


@when('answers hold {first:d}, {second:d} and {third:d} bytes')
def hold_three(context: Any, first: int, second: int, third: int) -> None:
    context.sizes = [first, second, third]
    grow(context, Kind.answers, sum(context.sizes))
    grow(context, Kind.bodies, UNSENT_BYTES)


@then('only the first one waits')
def check_first(context: Any) -> None:
    waits = [not may_grow(context.budget, size) for size in context.sizes]
    assert waits == [True, False, False], waits


@when(
    '{count:d} whole answers of {size:d} bytes arrive in pieces of {piece:d} '
    'bytes',
)
def read_partly(context: Any, count: int, size: int, piece: int) -> None:
    held = dict.fromkeys(range(count), 0)
    # Objects, since a reader is known by its identity.
    readers = [object() for _ in range(count)]
    context.done = 0
    context.highest = 0
    context.size = size
    for _ in range(ROUNDS):
        for number in list(held):
            if not may_read(
                context.budget, readers[number], held[number], piece
            ):
                continue
            held[number] += piece
            grow(context, Kind.answers, piece)
            context.highest = max(
                context.highest, context.budget.held[Kind.answers]
            )
            if held[number] >= size:
                end_read(context.budget, readers[number])
                grow(context, Kind.answers, -held.pop(number))
                context.done += 1
    context.count = count


@then('all of them are read in the end')
def check_read(context: Any) -> None:
    assert context.done == context.count, context.done
    assert context.budget.held[Kind.answers] == 0


@then('the answers never hold more than their share and one answer')
def check_share(context: Any) -> None:
    share = context.budget.limit_bytes * KIND_SHARE
    assert context.highest <= share + context.size, context.highest


@when('a whole answer of {size:d} bytes breaks off after {sent:d}')
def break_off(context: Any, size: int, sent: int) -> None:
    hold = AnswerHold(context.memory)
    held = []

    def pieces() -> Iterator[bytes]:
        for _ in range(sent // PIECE_BYTES):
            held.append(hold.held)
            yield b'x' * PIECE_BYTES
        raise ConnectionError('reset')

    reply: Any = SimpleNamespace(
        headers={'Content-Length': str(size)},
        pieces=pieces,
        set_limits=lambda *_: None,
    )
    exchange: Any = SimpleNamespace(
        deadline=monotonic() + 1,
        cancellation=SimpleNamespace(cause=None),
        environ={HOLDS: Holds(BodyHold(context.memory), hold)},
    )
    try:
        read_whole(exchange, reply, size)
    except ConnectionError:
        assert set(held) == {size}
        return
    raise AssertionError('the answer did not break off')


@then('nothing is held')
def check_nothing(context: Any) -> None:
    deadline = monotonic() + WAIT_SECONDS
    while any(context.memory.budget.held.values()):
        assert monotonic() < deadline, context.memory.budget.held
        time.sleep(0.02)


def break_stream() -> Iterator[bytes]:
    yield b'event'
    raise ConnectionError('the stream broke off')


def respond(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
    """Answer with the digest of the body, or with many bytes without one."""
    if environ['PATH_INFO'] == '/broken':
        start_response('200 OK', [])
        return break_stream()
    if holds_of(environ).body.refused:
        content = b'refused'
    else:
        body = take_body(environ)
        content = hashlib.sha256(body).hexdigest().encode()
        if not body:
            content = b'x' * UNSENT_BYTES
    start_response('200 OK', [('Content-Length', str(len(content)))])
    return [content]


@given(
    'a server for callers with the memory of an instance with {memory_mb:d} MB',
)
def give_server(context: Any, memory_mb: int) -> None:
    context.memory = new_memory(memory_mb)
    with socket.create_server(('127.0.0.1', 0)) as free:
        context.address = free.getsockname()

    def channel(*given: Any, **options: Any) -> CallerChannel:
        return CallerChannel(*given, memory=context.memory, **options)

    server = start_server(
        respond, context.address, channel, threads=4, inbuf_overflow=2**26
    )
    server.draining = threading.Event()
    context.links = []
    context.kept = HTTPConnection(*context.address, timeout=WAIT_SECONDS)
    context.add_cleanup(context.kept.close)


@when('a caller reads nothing of an answer of 8000000 bytes')
def read_nothing(context: Any) -> None:
    link = socket.create_connection(context.address)
    link.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
    context.links.append(link)


@when('a caller sends half of a body of 4000000 bytes')
def send_half(context: Any) -> None:
    link = socket.create_connection(context.address)
    link.sendall(
        b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n'
    )
    link.sendall(b'x' * HALF_BODY_BYTES)
    context.links.append(link)


@then('12000000 bytes are held but for those in the kernel')
def check_held(context: Any) -> None:
    held = context.memory.budget.held
    deadline = monotonic() + WAIT_SECONDS
    while (
        held[Kind.bodies] != 2 * HALF_BODY_BYTES
        or held[Kind.answers] < UNSENT_BYTES - KERNEL_BYTES
    ):
        assert monotonic() < deadline, held
        time.sleep(0.02)


@when('both callers disconnect')
def disconnect(context: Any) -> None:
    for link in context.links:
        link.close()


@given('bodies hold {size:d} bytes')
def hold_bodies(context: Any, size: int) -> None:
    context.other = BodyHold(context.memory)
    assert context.other.grow_to(size)


@when('the bodies are freed')
def free_bodies(context: Any) -> None:
    context.other.release()


@when('a caller sends a body of {size:d} bytes on a kept connection')
def send_body(context: Any, size: int) -> None:
    context.body = random.Random(size).randbytes(size)
    context.kept.request('POST', '/', context.body)
    context.answer = context.kept.getresponse().read()


@then('it is told that there was no memory')
def check_refused(context: Any) -> None:
    assert context.answer == b'refused'
    assert context.memory.rejected == 1


@then('it gets the digest of its body')
def check_digest(context: Any) -> None:
    expected = hashlib.sha256(context.body).hexdigest().encode()
    assert context.answer == expected


@then('an answer may hold {size:d} bytes, and not one more')
def check_unknown(context: Any, size: int) -> None:
    assert may_grow(context.budget, size)
    assert not may_grow(context.budget, size + 1)


@then('{count:d} bodies of {size:d} bytes fit')
def check_all_fit(context: Any, count: int, size: int) -> None:
    for _ in range(count):
        assert fits_body(context.budget, 0, size)
        grow(context, Kind.bodies, size)
    assert available_bytes(context.budget, Kind.bodies) > 0


@when('requests are rejected for 5 seconds')
def reject(context: Any) -> None:
    context.changes = []
    for step in range(100):
        now = step * STEP_SECONDS
        change = note_quiet(context.budget, now)
        if now <= 5:
            change = note_pressure(context.budget, now) or change
        if change is not None:
            context.changes.append((change.value, round(now, 3)))


@then(
    '"exhausted" is reported at {start:d} seconds and "free" at {end:d} '
    'seconds',
)
def check_changes(context: Any, start: int, end: int) -> None:
    assert context.changes == [('exhausted', start), ('free', end)]


@when('{count:d} random pieces pass through a queue of bytes')
def pass_through(context: Any, count: int) -> None:
    rng = random.Random(count)
    queue = ByteQueue()
    sent = io.BytesIO()
    received = io.BytesIO()
    for _ in range(count):
        piece = rng.randbytes(rng.choice((1, 100, 9000, 70_000, 200_000)))
        sent.write(piece)
        queue.append(piece)
        for _ in range(rng.randrange(4)):
            taken = bytes(queue.get(rng.randrange(1, 100_000)))
            received.write(taken)
            queue.skip(len(taken), True)
    while len(queue):
        taken = bytes(queue.get())
        received.write(taken)
        queue.skip(len(taken), True)
    assert not queue.pieces
    context.passed = sent.getvalue(), received.getvalue()


@then('they leave it unchanged')
def check_passed(context: Any) -> None:
    sent, received = context.passed
    assert sent == received
