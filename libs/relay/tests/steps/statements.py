"""Steps of statements.feature."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from changes import new_request, silent_link
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import Ending, Grant, Phase, Upstream, note_listed
from gypsumrelay_relay.answer_statements import report_leaving, report_pause
from gypsumrelay_relay.attempts import (
    AttemptResult,
    ending_for,
    send_request,
)
from gypsumrelay_relay.coordination.client import Coordination
from gypsumrelay_relay.coordination.conversion import from_wire, to_wire
from gypsumrelay_relay.coordination.messages import (
    LeavingReported,
    PauseReported,
)
from gypsumrelay_relay.membership import Member, Members
from gypsumrelay_relay.operator_records import OperatorRecords
from gypsumrelay_relay.placement import Placement, answer_message
from gypsumrelay_relay.protocol import AddedHeaders
from gypsumrelay_relay.sending import SendFailed
from gypsumrelay_relay.topics import RecordReader
from gypsumrelay_wire import (
    Heartbeat,
    PlaceEnded,
    PlaceGranted,
    PlaceRequest,
    UpstreamLeaving,
    UpstreamPaused,
    decode,
    encode,
)

ADDRESS = '10.0.0.9:80'


@given('a relay with a link to its coordinator')
def give_linked(context: Any) -> None:
    reader = RecordReader(
        lambda records: None,
        frozenset,
        lambda name, record: None,
    )
    members = Members(Member('own', 'a', '10.0.0.1', 9))
    coordination = Coordination('own', members, OperatorRecords(reader), 1)
    context.sent = []
    coordination.link = silent_link('first')
    coordination.link.send = context.sent.append
    context.coordination = coordination
    context.waiting = coordination.request_placement(new_request('waiting'))


@given('upstream "{name}" of start {born:d} states to it that it is leaving')
@when('upstream "{name}" of start {born:d} states to it that it is leaving')
def state_leaving(context: Any, name: str, born: int) -> None:
    coordination = context.coordination
    placement = Placement(
        new_request('earlier'), name, ADDRESS, started_ms={name: born}
    )
    key = placement.request.key
    coordination.active[key] = placement
    report_leaving(coordination, name, key)
    coordination.active.pop(key)
    if coordination.link is not None:
        context.sent.clear()


@when(
    'upstream "{name}" of start {born:d} states {count:d} times to it that it '
    'is leaving',
)
def state_often(context: Any, name: str, born: int, count: int) -> None:
    coordination = context.coordination
    context.sent.clear()
    request = new_request('earlier')
    coordination.active[request.key] = Placement(
        request, name, ADDRESS, started_ms={name: born}
    )
    for _ in range(count):
        report_leaving(coordination, name, request.key)


@when('{count:d} upstreams state to it that they are leaving and end')
def state_all(context: Any, count: int) -> None:
    for number in range(count):
        state_leaving(context, f'up-{number}', number + 1)
    assert len(context.coordination.departures) == count


@when('a request is granted upstream "{name}" of start {born:d}')
@when('it is granted upstream "{name}" of start {born:d}')
def grant(context: Any, name: str, born: int) -> None:
    context.sent.clear()
    granted = PlaceGranted(
        'waiting', 1, name, ADDRESS, '', '', 0, 0, started_ms=born
    )
    context.coordination.on_message(context.coordination.link, granted)


@when(
    'a request is granted "{name}", and "{prefill}" of start {born:d} for its '
    'prefill',
)
def grant_pair(context: Any, name: str, prefill: str, born: int) -> None:
    context.sent.clear()
    granted = PlaceGranted(
        'waiting',
        1,
        name,
        ADDRESS,
        prefill,
        ADDRESS,
        0,
        0,
        started_ms=1,
        prefill_started_ms=born,
    )
    context.coordination.on_message(context.coordination.link, granted)


@then(
    'the grant is returned and the request is sent again unchanged',
)
def check_returned(context: Any) -> None:
    check_excluded(context, [])


@then('the grant is returned and the request is sent again, without "{name}"')
def check_returned_again(context: Any, name: str) -> None:
    check_excluded(context, [name])


@then('the request has its placement at "{name}"')
def check_placed(context: Any, name: str) -> None:
    assert context.waiting.answers.get(timeout=1).upstream == name
    assert not context.sent


@then('the grant is used')
def check_used(context: Any) -> None:
    check_placed(context, 'up')


@then('the grant is returned')
def check_unused(context: Any) -> None:
    check_returned(context)


@when('it becomes its own coordinator')
def coordinate(context: Any) -> None:
    coordination = context.coordination
    context.told = []
    coordination.actor = SimpleNamespace(tell=context.told.append)
    coordination.switch_coordinator()


@then('it states first that "{name}" of start {born:d} is leaving')
def check_first(context: Any, name: str, born: int) -> None:
    assert context.sent[0] == UpstreamLeaving(name, born), context.sent
    assert any(isinstance(one, PlaceRequest) for one in context.sent[1:])


@then('it tells itself first that "{name}" of start {born:d} is leaving')
def check_told_itself(context: Any, name: str, born: int) -> None:
    assert context.told[0] == LeavingReported(name, born), context.told


@then('the coordinator was told once, of start {born:d}')
def check_once(context: Any, born: int) -> None:
    assert context.sent == [UpstreamLeaving('up', born)], context.sent


@given('a relay that coordinates two others, "{left}" and "{right}"')
def give_coordinating(context: Any, left: str, right: str) -> None:
    give_linked(context)
    coordination = context.coordination
    coordination.link = None
    coordination.actor = SimpleNamespace(tell=lambda message: None)
    context.passed_on = {}
    for name in (left, right):
        give_link_of(context, name)


def give_link_of(context: Any, name: str) -> Any:
    """Return the link that a relay opened to the coordinator."""
    link = silent_link(name)
    context.passed_on[name] = []
    link.send = context.passed_on[name].append
    context.coordination.on_link(link)
    return link


@when('"{name}" reports twice that "{upstream}" of start {born:d} is leaving')
def report_twice(context: Any, name: str, upstream: str, born: int) -> None:
    link = context.coordination.incoming[name]
    for _ in range(2):
        context.coordination.on_message(link, UpstreamLeaving(upstream, born))


@when('"{name}" completes its report')
def complete_report(context: Any, name: str) -> None:
    link = give_link_of(context, name)
    context.coordination.on_message(link, Heartbeat(0, 0, 0, 1))


@then('"{name}" is told once that "{upstream}" of start {born:d} is leaving')
def check_passed_on(context: Any, name: str, upstream: str, born: int) -> None:
    assert context.passed_on[name] == [UpstreamLeaving(upstream, born)]


@then(
    '"{right}" is told once that "{upstream}" of start {born:d} is leaving, and'
    ' "{left}" never'
)
def check_passed_on_to(
    context: Any, right: str, upstream: str, born: int, left: str
) -> None:
    check_passed_on(context, right, upstream, born)
    assert not context.passed_on[left]


@then('both are told that "{upstream}" of start {born:d} is leaving')
def check_both(context: Any, upstream: str, born: int) -> None:
    for passed_on in context.passed_on.values():
        assert passed_on[-1] == UpstreamLeaving(upstream, born)


@when(
    'its coordinator passes on that "{upstream}" of start {born:d} is leaving'
)
@given(
    'its coordinator passed on that "{upstream}" of start {born:d} is leaving'
)
def pass_on(context: Any, upstream: str, born: int) -> None:
    coordination = context.coordination
    coordination.actor = SimpleNamespace(tell=lambda message: None)
    link = coordination.link or silent_link('earlier')
    coordination.on_message(link, UpstreamLeaving(upstream, born))


@given('a grant of an upstream whose start time has {digits:d} digits')
def give_long_start(context: Any, digits: int) -> None:
    started_ms = 10**digits - 1
    listed = Upstream(
        'up', 'service', ADDRESS, 'zone', Phase.plain, 1, started_ms=started_ms
    )
    granted = Grant(new_request('waiting'), listed, None, 0, 0, 1)
    now = monotonic()
    context.messages = [
        answer_message(granted, now),
        to_wire(LeavingReported('up', started_ms), now),
    ]


@then('its message and the one that its upstream is leaving can be sent')
def check_sendable(context: Any) -> None:
    for message in context.messages:
        assert decode(encode(message)) == message


@then('it knows none of them {seconds:d} seconds later')
def check_forgotten(context: Any, seconds: int) -> None:
    departures = context.coordination.departures
    now = monotonic()
    note_listed(departures, [], now)
    note_listed(departures, [], now + seconds)
    assert not departures


@given(
    'upstream "{name}" of start {born:d} asks it for a pause of {seconds:g} '
    'seconds',
)
@when(
    'upstream "{name}" of start {born:d} asks it for a pause of {seconds:g} '
    'seconds',
)
def ask_pause(context: Any, name: str, born: int, seconds: float) -> None:
    coordination = context.coordination
    request = new_request('earlier')
    coordination.active[request.key] = Placement(
        request, name, ADDRESS, started_ms={name: born}
    )
    report_pause(coordination, name, seconds, request.key)
    coordination.active.pop(request.key)
    if coordination.link is not None:
        assert isinstance(context.sent.pop(), UpstreamPaused)


@then(
    'it states first that "{name}" of start {born:d} pauses for about '
    '{seconds:d} seconds',
)
def check_pause_first(context: Any, name: str, born: int, seconds: int) -> None:
    first = context.sent[0]
    assert isinstance(first, UpstreamPaused), context.sent
    assert (first.upstream, first.started_ms) == (name, born)
    assert (seconds - 1) * 1000 < first.remaining_ms <= seconds * 1000
    assert any(isinstance(one, PlaceRequest) for one in context.sent[1:])


@then('it tells itself first that "{name}" of start {born:d} pauses for it')
def check_pause_told(context: Any, name: str, born: int) -> None:
    first = context.told[0]
    assert isinstance(first, PauseReported), context.told
    assert (first.entry, first.upstream) == ('own', name)
    assert first.started_ms == born
    assert first.until > monotonic() + 50


@then(
    '{count:d} random pauses end no earlier after they were sent to another '
    'relay',
)
def check_rounding(context: Any, count: int) -> None:
    rng = random.Random(1)
    for _ in range(count):
        now = rng.uniform(0, 1e6)
        until = now + rng.uniform(0, 5)
        sent = to_wire(PauseReported('own', 'up', 5, until), now)
        received = from_wire(decode(encode(sent)), 'own', now)
        assert received.entry == 'own'
        assert until <= received.until + 1e-6 <= until + 0.002


@given('a request that was granted upstream "{name}" of start {born:d}')
def give_granted(context: Any, name: str, born: int) -> None:
    grant(context, name, born)
    assert context.waiting.answers.get(timeout=1).upstream == name


@then('the request is not sent to "{name}", and its upstream is not blamed')
def check_not_sent(context: Any, name: str) -> None:
    # Without connections, an attempt to send fails the test.
    exchange = SimpleNamespace(
        relay=SimpleNamespace(coordination=context.coordination),
        request_id='waiting',
        attempts=1,
    )
    added = AddedHeaders(name, '', 1000)
    now = monotonic()
    failed = send_request(exchange, ADDRESS, added, now + 1, fresh=True)
    assert isinstance(failed, SendFailed)
    assert failed.ending is Ending.returned
    result = AttemptResult(failed.ending, failed.reason)
    assert ending_for(exchange, result) is Ending.cancelled


def check_excluded(context: Any, excluded: list[str]) -> None:
    """Check that the grant was returned, and what the next request excludes."""
    assert context.waiting.answers.empty()
    assert not context.coordination.active
    assert not context.coordination.uses.uses
    ended, requested = context.sent
    assert ended == PlaceEnded('waiting', 1, 'returned', began=False)
    assert requested.request_id == 'waiting'
    assert requested.excluded == excluded
