"""Steps of membership.feature: reports of crashes."""

from __future__ import annotations

import queue
import random
import threading
from typing import Any

import attrs
from behave import given, then, when
from changes import new_request, silent_link
from gypsumrelay_attribution import Content, Crash
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import Ending, SchedulerState, restore_crash
from gypsumrelay_relay.coordination import messages
from gypsumrelay_relay.coordination.actor import Coordinator
from gypsumrelay_relay.coordination.reports import report_end
from gypsumrelay_relay.crash_reports import crash_from_wire, crash_to_wire
from gypsumrelay_relay.placement import Placement
from gypsumrelay_settings import DispatchSettings
from gypsumrelay_wire import (
    PlaceRequest,
    SubjectsCompleted,
    UpstreamCrashed,
    decode,
    encode,
)

SHARED = b'shared'
ANSWER_SECONDS = 5


@given(
    'its coordinator reported the crash of "{upstream}" with the part "{part}"',
)
def give_reported(context: Any, upstream: str, part: str) -> None:
    coordination = context.coordination
    coordination.link = silent_link('earlier')
    coordination.link.close = lambda reason: None
    coordination.link.closed = threading.Event()
    now = monotonic()
    crash = Crash(upstream, now - 1)
    crash.add(Content(b'c1', (SHARED, part.encode())), began=False)
    coordination.on_message(coordination.link, crash_to_wire(crash, now))


@given(
    'it lost a stream with the part "{part}" at the crash of "{upstream}"',
)
def give_lost(context: Any, part: str, upstream: str) -> None:
    end_stream(context, 'lost', upstream, part, Ending.crashed)


@given(
    'it completed a stream with the part "{part}" that ran at the crash of '
    '"{upstream}"',
)
def give_completed(context: Any, part: str, upstream: str) -> None:
    end_stream(context, 'done', upstream, part, Ending.answered)


def end_stream(
    context: Any, request_id: str, upstream: str, part: str, ending: Ending
) -> None:
    coordination = context.coordination
    request = attrs.evolve(
        new_request(request_id),
        prompt_tokens=100,
        digest=request_id.encode(),
        parts=(part.encode(),),
    )
    placement = Placement(
        request, upstream, '10.0.0.9:80', granted_at=monotonic()
    )
    coordination.active[request.key] = placement
    began = ending is Ending.answered
    report_end(coordination, request, ending, began=began)


@then('it reports the crashes of "{first}" and "{second}" before it requests')
def check_reported(context: Any, first: str, second: str) -> None:
    kinds = [type(message) for message in context.sent]
    reports = [one for one in context.sent if isinstance(one, UpstreamCrashed)]
    assert {one.upstream for one in reports} == {first, second}
    requested = kinds.index(PlaceRequest)
    assert UpstreamCrashed not in kinds[requested:]


@then('it reports that the part "{part}" was completed')
def check_completed(context: Any, part: str) -> None:
    reports = [
        one for one in context.sent if isinstance(one, SubjectsCompleted)
    ]
    assert part.encode() in reports[0].subjects


@given('a coordinator that knows of the crash of "{upstream}"')
def give_coordinator(context: Any, upstream: str) -> None:
    scheduler = SchedulerState(DispatchSettings())
    crash = Crash(upstream, monotonic())
    crash.add(Content(b'c1', (b'broken',)), began=False)
    restore_crash(scheduler, crash)
    context.published = queue.SimpleQueue()
    context.actor = Coordinator.start(
        scheduler,
        lambda decision: None,
        lambda one, relay: context.published.put((one.upstream, relay)),
    )
    context.add_cleanup(context.actor.stop)


@when('a relay completes its report')
def complete_report(context: Any) -> None:
    completed = messages.ReportCompleted('joined', frozenset(('joined',)))
    context.actor.tell(completed)


@then('the crash of "{upstream}" is reported to that relay alone')
def check_alone(context: Any, upstream: str) -> None:
    published = context.published.get(timeout=ANSWER_SECONDS)
    assert published == (upstream, 'joined'), published


@then('the next tick reports it to all relays once')
def check_tick(context: Any) -> None:
    context.actor.tell(messages.Tick())
    context.actor.tell(messages.Tick())
    context.actor.ask(messages.GetFigures())
    assert context.published.get(timeout=ANSWER_SECONDS)[1] == ''
    assert context.published.empty()


@then('{count:d} random crashes are equal after their way over a link')
def check_round_trip(context: Any, count: int) -> None:
    rng = random.Random(5)
    now = 1000.0
    for _ in range(count):
        crash = Crash('up', now - rng.randrange(100))
        for number in range(rng.randrange(1, 9)):
            parts = tuple(rng.randbytes(12) for _ in range(rng.randrange(4)))
            content = Content(b'%d' % number, parts)
            crash.add(content, began=rng.random() < 0.5)
        message = decode(encode(crash_to_wire(crash, now)))
        assert isinstance(message, UpstreamCrashed), message
        passed = crash_from_wire(message, now)
        assert (passed.upstream, passed.at) == (crash.upstream, crash.at)
        assert passed.started == crash.started
        assert passed.answered == crash.answered
