"""Steps of streams.feature."""

from __future__ import annotations

import random
from typing import Any

from behave import given, then, when
from gypsumrelay_dispatch import UNMEASURED
from gypsumrelay_relay.eventstream import EventBlock, EventSplitter
from gypsumrelay_relay.performance.stream_meter import StreamMeter


@then(
    '{count:d} random streams in random parts are forwarded complete and in '
    'order',
)
def check_random(context: Any, count: int) -> None:
    rng = random.Random(3)
    for _ in range(count):
        end = rng.choice((b'\n\n', b'\r\n\r\n'))
        events = [
            b'id: %d' % number + end[: len(end) // 2] + b'data: x' + end
            for number in range(rng.randrange(1, 9))
        ]
        whole = b''.join(events)
        passed = _pass(rng, EventSplitter(), whole)
        assert b''.join(found.raw for found in passed) == whole
        ids = [int(found.last_id) for found in passed]
        assert ids == sorted(set(ids))
        assert ids[-1] == len(events) - 1
        assert all(found.raw.endswith(end) for found in passed)


def _pass(
    rng: random.Random, splitter: EventSplitter, whole: bytes
) -> list[EventBlock]:
    passed = []
    start = 0
    while start < len(whole):
        stop = start + rng.randrange(1, 30)
        found = splitter.feed(whole[start:stop])
        start = stop
        if found is not None:
            passed.append(found)
    assert not splitter.buffer
    return passed


@given('a stream of {count:d} events with ids, truncated inside the fourth')
def give_cut(context: Any, count: int) -> None:
    events = [b'id: %d\ndata: x\n\n' % (number + 1) for number in range(count)]
    context.events = events
    context.splitter = EventSplitter()
    whole = b''.join(events[:3])
    context.found = context.splitter.feed(whole + events[3][:7])


@then('the events up to the third are forwarded')
def check_third(context: Any) -> None:
    assert context.found.raw == b''.join(context.events[:3])


@then('the stream would be resumed after the third')
def check_goes_on(context: Any) -> None:
    assert context.found.last_id == '3'
    assert context.splitter.buffer


@given('a stream of {count:d} events without ids')
def give_without(context: Any, count: int) -> None:
    context.raw = b'data: x\n\n' * count
    context.found = EventSplitter().feed(context.raw)


@then('both are forwarded and no id is known')
def check_without(context: Any) -> None:
    assert context.found.raw == context.raw
    assert not context.found.last_id


@when('an event arrives whose id line ends with a lone carriage return')
def feed_carriage_return(context: Any) -> None:
    context.found = EventSplitter().feed(b'id: 7\rdata: x\n\n')


@then('its id is the text before the carriage return')
def check_clean_id(context: Any) -> None:
    assert context.found.last_id == '7', context.found


@given('a stream whose first events come after {seconds:g} seconds')
def give_first(context: Any, seconds: float) -> None:
    context.now = 100 + seconds
    context.meter = StreamMeter()
    context.meter.count(3, context.now)
    context.meter.resume(context.now)


@when(
    '{count:d} events follow in blocks of {size:d}, each block after '
    '{seconds:g} seconds'
)
def count_events(context: Any, count: int, size: int, seconds: float) -> None:
    for _ in range(count // size):
        context.now += seconds
        context.meter.count(size, context.now)
        context.meter.resume(context.now)


@when('the caller takes {seconds:g} seconds to read')
def block(context: Any, seconds: float) -> None:
    context.meter.resume(context.now + seconds)


@then('its pace is {events:d} events in {stream_ms:d} ms')
def check_pace(context: Any, events: int, stream_ms: int) -> None:
    measured = context.meter.pace()
    assert measured.events == events
    assert abs(measured.stream_ms - stream_ms) <= 1, measured


@then('its pace is unmeasured')
def check_unmeasured(context: Any) -> None:
    assert context.meter.pace() == UNMEASURED
