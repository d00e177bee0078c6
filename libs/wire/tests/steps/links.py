"""Steps of links.feature."""

from __future__ import annotations

import errno
import gc
import queue
import random
import socket
import threading
from typing import Any
from unittest.mock import patch

import attrs
import msgpack
from behave import given, then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import FrameMalformed, LinkClosed, PeerUnauthenticated
from gypsumrelay_wire import (
    Endpoint,
    FrameReader,
    FrameWriter,
    Heartbeat,
    Identity,
    Link,
    Message,
    base,
    decode,
    dial,
    encode,
    listen,
    messages,
    new_unpacker,
    performance_reports,
    placements,
)

HEARTBEAT = Heartbeat(7, 1000, 2)
FRAME_LIMIT = 1024
_create_server = socket.create_server
EXAMPLES: dict[str, Any] = {
    'str': 'text',
    'int': 3,
    'bool': True,
    'bytes': b'\x00\xff',
    'list[bytes]': [b'a'],
    'list[int]': [1, 250],
    'list[str]': ['a', 'b'],
    'list[list[str]]': [['a', 'b']],
}


def new_endpoint(secret: str, inbox: queue.SimpleQueue[Any]) -> Endpoint:
    return Endpoint(
        Identity('a', '1', 'agent'),
        secret.encode(),
        lambda link, message: inbox.put(message),
        lambda link, reason: inbox.put(reason),
    )


@given('a listener with the secret "{secret}"')
def start_listener(context: Any, secret: str) -> None:
    context.inbox = queue.SimpleQueue()
    context.links = []
    context.listener = listen(
        ('127.0.0.1', 0),
        new_endpoint(secret, context.inbox),
        context.links.append,
    )
    context.listener.start()
    context.address = context.listener.server.getsockname()


class NoDescriptorOnce:
    """Listening socket whose first accept finds no file descriptor left."""

    def __init__(self, server: socket.socket) -> None:
        """Wrap a listening socket."""
        self.server = server
        self.failed = False

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the socket."""
        return getattr(self.server, name)

    def accept(self) -> Any:
        """Fail once, then accept connections."""
        if self.failed:
            return self.server.accept()
        self.failed = True
        raise OSError(errno.EMFILE, 'Too many open files')


@given('a listener with the secret "{secret}" that once has no descriptor left')
def start_without_descriptor(context: Any, secret: str) -> None:
    with patch.object(socket, 'create_server', _failing_server):
        start_listener(context, secret)


def _failing_server(address: Any, **options: Any) -> Any:
    return NoDescriptorOnce(_create_server(address, **options))


@given('a listener with the secret "{secret}" that once has no thread left')
def start_without_thread(context: Any, secret: str) -> None:
    start_listener(context, secret)
    exhausted = RuntimeError("can't start new thread")
    with patch.object(threading.Thread, 'start', side_effect=exhausted):
        first = socket.create_connection(context.address)
        first.settimeout(5)
        assert first.recv(1) == b''


@when('a process with the secret "{secret}" dials it and sends a heartbeat')
def dial_and_send(context: Any, secret: str) -> None:
    link = dial(context.address, new_endpoint(secret, queue.SimpleQueue()))
    assert isinstance(link, Link), link
    assert link.send(HEARTBEAT) is None
    context.dialed = link


@then('the listener receives the same heartbeat')
def check_received(context: Any) -> None:
    assert context.inbox.get(timeout=5) == HEARTBEAT


@then(
    'unacknowledged bytes break the link at both ends within {seconds:g} second'
)
def check_break_options(context: Any, seconds: float) -> None:
    for link in (context.dialed, context.links[0]):
        option = socket.TCP_USER_TIMEOUT
        timeout_ms = link.connection.getsockopt(socket.IPPROTO_TCP, option)
        assert 0 < timeout_ms <= seconds * 1000, timeout_ms


@when('a process with the secret "{secret}" dials it')
def dial_only(context: Any, secret: str) -> None:
    context.result = dial(
        context.address,
        new_endpoint(secret, queue.SimpleQueue()),
    )


@then('the dialer is rejected as unauthenticated')
def check_refused(context: Any) -> None:
    assert isinstance(context.result, PeerUnauthenticated), context.result


@then('the listener has accepted no link')
def check_no_link(context: Any) -> None:
    assert not context.links


@given('the frames of two messages with the same key')
def make_frames(context: Any) -> None:
    writer = FrameWriter(b'key')
    payload = encode(HEARTBEAT)
    context.frames = [writer.frame(payload), writer.frame(payload)]
    context.reader = FrameReader(b'key', new_unpacker(FRAME_LIMIT))


@when('the reader receives the first frame twice')
def feed_twice(context: Any) -> None:
    assert context.reader.feed(context.frames[0]) == [encode(HEARTBEAT)]
    context.result = context.reader.feed(context.frames[0])


@then('the reader rejects the second copy')
@then('the reader rejects the frame')
def check_reader_refused(context: Any) -> None:
    assert isinstance(context.result, PeerUnauthenticated), context.result


@when('the reader receives the first frame with one modified byte')
def change_byte(context: Any) -> None:
    modified = bytearray(context.frames[0])
    modified[-1] ^= 1
    context.result = context.reader.feed(bytes(modified))


@when('the reader receives a frame over the limit')
def feed_oversized(context: Any) -> None:
    oversized = FrameWriter(b'key').frame(b'x' * FRAME_LIMIT * 2)
    context.result = context.reader.feed(oversized)


@then('the reader rejects the frame as malformed')
def check_malformed(context: Any) -> None:
    assert isinstance(context.result, FrameMalformed), context.result


@then('{count:d} random payloads decode without an exception')
def fuzz_decode(context: Any, count: int) -> None:
    rng = random.Random(1)
    examples = list(EXAMPLES.values())
    for _ in range(count):
        fields = [rng.choice(examples) for _ in range(rng.randrange(16))]
        frame = msgpack.packb([1, rng.randrange(50), *fields])
        if rng.random() < 0.5:
            frame = rng.randbytes(rng.randrange(40))
        decoded = decode(frame)
        assert decoded is None or isinstance(decoded, (Message, FrameMalformed))


@then('each message class decodes to the encoded message')
def round_trip(context: Any) -> None:
    # attrs replaces each class by one with slots; the garbage collector
    # removes the replaced one from __subclasses__().
    gc.collect()
    checked = 0
    for message_class in Message.__subclasses__():
        fields = [
            EXAMPLES[str(field.type)] for field in attrs.fields(message_class)
        ]
        message = message_class(*fields)
        assert decode(encode(message)) == message
        checked += 1
    modules = (base, messages, placements, performance_reports)
    module_members = [
        one for module in modules for one in vars(module).values()
    ]
    message_classes = {
        member
        for member in module_members
        if isinstance(member, type) and issubclass(member, Message)
    }
    assert checked == len(message_classes - {Message})


@then('a request and a grant of the previous version have default values')
def check_older(context: Any) -> None:
    request_fields = ['r1', 2, 'zone', 's', 'a', 10, 1, 900, 9000, 100, 50, 40]
    request = decode(msgpack.packb([1, 40, *request_fields, True, ['u'], b'd']))
    assert request.prompt_tokens == 100
    assert request.read
    assert request.excluded == ['u']
    assert request.digest == b'd'
    assert request.wait_ms > 0
    assert not request.reread
    assert not request.resumed
    grant_fields = ['r1', 2, 'u', '10.0.0.1:80', '', '', 3, 120]
    grant = decode(msgpack.packb([1, 41, *grant_fields]))
    assert grant.waited_ms == 120
    assert grant.list_position == -1
    assert grant.rate_limit == -1
    assert grant.prefill_rate_limit == -1
    assert grant.started_ms == grant.prefill_started_ms == 0


@when('a heartbeat with an additional field is decoded')
def add_field(context: Any) -> None:
    frame = msgpack.unpackb(encode(HEARTBEAT))
    context.result = decode(msgpack.packb([*frame, 'newer']))


@then('the heartbeat equals the one without the field')
def check_heartbeat(context: Any) -> None:
    assert context.result == HEARTBEAT


@given('a listener that accepts a link and then sends nothing')
def start_silent_listener(context: Any) -> None:
    start_listener(context, 'one')


@when('the dialer waits for a message on the link')
def wait_on_link(context: Any) -> None:
    context.closed = queue.SimpleQueue()
    link = dial(context.address, new_endpoint('one', context.closed))
    assert isinstance(link, Link), link
    context.started = monotonic()
    link.start()


@then('the link is closed by a time-out within {seconds:d} seconds')
def check_silent(context: Any, seconds: int) -> None:
    reason = context.closed.get(timeout=seconds)
    assert isinstance(reason, LinkClosed)
    assert monotonic() - context.started < seconds
