"""Steps of performance.feature."""

from __future__ import annotations

import threading
from typing import Any

import attrs
import logbook
import msgpack
import pykka
from behave import given, then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import (
    UNMEASURED,
    Ending,
    Phase,
    PlacementRequest,
    SchedulerState,
    StreamPace,
    Upstream,
    apply_upstreams,
    limits_in_force,
    take_limit_changes,
    tick,
)
from gypsumrelay_performance import (
    decode_pace_ms,
    observe_service,
    prefill_ms,
    service_seconds,
)
from gypsumrelay_relay.coordination.client import Coordination
from gypsumrelay_relay.coordination.conversion import from_wire, to_wire
from gypsumrelay_relay.coordination.reports import report_end
from gypsumrelay_relay.membership import Member, Members
from gypsumrelay_relay.metrics import RelayMetrics
from gypsumrelay_relay.operator_records import OperatorRecords
from gypsumrelay_relay.performance.events import report_limits
from gypsumrelay_relay.performance.gauges import update_limits
from gypsumrelay_relay.performance.history import PerformanceHistory
from gypsumrelay_relay.performance.messages import (
    MeasurementsReported,
    apply_measurements,
)
from gypsumrelay_relay.placement import Placement
from gypsumrelay_relay.state_reports import state_reports
from gypsumrelay_relay.topics import RecordReader
from gypsumrelay_settings import DispatchSettings, TelemetrySettings
from gypsumrelay_telemetry import new_metrics
from gypsumrelay_wire import PlaceEnded, decode, encode

START = 1000.0


class BusyActor(pykka.ThreadingActor):
    """An actor that handles one message until an event is set."""

    use_daemon_thread = True

    def __init__(self, done: threading.Event) -> None:
        """Set the event."""
        super().__init__()
        self.done = done

    def on_receive(self, message: Any) -> None:
        """Wait for the event."""
        self.done.wait(5)


@given(
    'a relay whose streams at upstream {name} had {events:d} events in '
    '{stream_ms:d} ms'
)
def give_streams(context: Any, name: str, events: int, stream_ms: int) -> None:
    context.history = PerformanceHistory()
    context.learns = True
    placement = _placement(name, 3200)
    pace = StreamPace(events, stream_ms)
    for number in range(3):
        now = START + number
        context.history.record_end(placement, Ending.answered, pace, now)


@given('whose plain requests at upstream {name} took {seconds:g} seconds')
def give_plain(context: Any, name: str, seconds: float) -> None:
    placement = _placement(name, 0)
    now = START + seconds
    context.history.record_end(placement, Ending.answered, UNMEASURED, now)


@given(
    'whose prefills at upstream {name} took {seconds:g} seconds for '
    '{tokens:d} tokens'
)
def give_prefill(context: Any, name: str, seconds: float, tokens: int) -> None:
    placement = attrs.evolve(_placement('other', tokens), prefill=name)
    context.history.record_prefill(placement, Ending.answered, START + seconds)


@given('it does not learn the performance of upstreams')
def give_off(context: Any) -> None:
    context.learns = False


@given('a relay whose attempts at upstream {name} failed after 3 seconds')
def give_failed(context: Any, name: str) -> None:
    context.history = PerformanceHistory()
    context.learns = True
    for ending in set(Ending) - {Ending.answered}:
        pace = StreamPace(10, 3000)
        for tokens in (0, 3200):
            placement = _placement(name, tokens)
            context.history.record_end(placement, ending, pace, START + 3)
            context.history.record_prefill(placement, ending, START + 3)


@given('a relay that measured {count:d} upstreams')
def give_many(context: Any, count: int) -> None:
    context.history = PerformanceHistory()
    for number in range(count):
        placement = _placement(f'u{number}', 0)
        context.history.record_end(
            placement, Ending.answered, UNMEASURED, START + 1
        )


@then('it reports the {count:d} newest ones')
def check_newest(context: Any, count: int) -> None:
    names = [one.upstream for one in context.history.reports(START + 2)]
    assert names == [f'u{number}' for number in range(400 - count, 400)]


@then('none of them after {seconds:d} seconds')
def check_old(context: Any, seconds: int) -> None:
    assert not list(context.history.reports(START + 1 + seconds))


@when('it reports its state to a coordinator on another relay')
def report_state(context: Any) -> None:
    scheduler = SchedulerState(DispatchSettings(learn_performance=True))
    pool = [
        _upstream('one', Phase.decode),
        _upstream('two', Phase.plain),
        _upstream('three', Phase.prefill),
    ]
    apply_upstreams(scheduler, pool, START)
    context.scheduler = scheduler
    context.reported = []
    for message in _reports(context):
        received = decode(encode(to_wire(message, START)))
        local = from_wire(received, 'other', START)
        assert isinstance(local, MeasurementsReported)
        apply_measurements(scheduler, local)
        context.reported.append(local)


@then('the coordinator learns {event_ms:g} ms for an event of {name}')
def check_event(context: Any, event_ms: float, name: str) -> None:
    scheduler = context.scheduler
    measured = decode_pace_ms(scheduler.loads[name].performance, 1)
    per_event = measured * scheduler.event_size('service').tokens_per_event
    assert abs(per_event - event_ms) < 0.1, per_event


@then('the coordinator learns {seconds:g} seconds for a request to {name}')
def check_service(context: Any, seconds: float, name: str) -> None:
    load = context.scheduler.loads[name]
    assert abs(service_seconds(load.performance, 1) - seconds) < 0.01


@then('the coordinator learns {speed:g} tokens a millisecond for {name}')
def check_speed(context: Any, speed: float, name: str) -> None:
    load = context.scheduler.loads[name]
    assert abs(1 / prefill_ms(load.performance, 1) - speed) < 0.1


@then('it reports no performance')
def check_nothing(context: Any) -> None:
    assert not context.reported


@given('a coordinator whose upstream turns 4 times slower than its pool')
def give_slow(context: Any) -> None:
    scheduler = SchedulerState(DispatchSettings(learn_performance=True))
    names = ['slow', 'second', 'third']
    pool = [_upstream(name, Phase.plain) for name in names]
    apply_upstreams(scheduler, pool, START)
    for step in range(300):
        now = START + step * 0.05
        for name in names:
            is_slow = name == 'slow' and step >= 160
            seconds = 0.4 if is_slow else 0.1
            load = scheduler.loads[name]
            observe_service(load.performance, 5, seconds, now)
        tick(scheduler, now)
    context.scheduler = scheduler


@when('one of its streams ends after {events:d} events in {stream_ms:d} ms')
def end_stream(context: Any, events: int, stream_ms: int) -> None:
    placement = _placement('one', 3200)
    coordination = context.coordination
    coordination.active[placement.request.key] = placement
    report_end(
        coordination,
        placement.request,
        Ending.answered,
        began=True,
        pace=StreamPace(events, stream_ms),
    )


@then('the coordinator is told {events:d} events in {stream_ms:d} ms')
def check_told(context: Any, events: int, stream_ms: int) -> None:
    sent = context.sent[-1]
    assert isinstance(sent, PlaceEnded)
    received = from_wire(decode(encode(sent)), 'other', START)
    assert received.events == events
    assert received.stream_ms == stream_ms
    history = context.coordination.measured
    assert history.measured['one'].samples == 1


@then('an end from an older relay counts as unmeasured')
def check_older_end(context: Any) -> None:
    older = decode(msgpack.packb([5, 44, 'r', 1, 'answered', True]))
    received = from_wire(older, 'other', START)
    assert received.events == received.stream_ms == 0


@then('one line for each change of its limit is logged')
def check_lines(context: Any) -> None:
    changes = take_limit_changes(context.scheduler)
    assert changes
    assert {change.upstream for change in changes} == {'slow'}
    assert not take_limit_changes(context.scheduler)
    handler = logbook.TestHandler()
    with handler:
        report_limits(logbook.Logger('test'), changes)
    assert len(handler.records) == len(changes)
    record = handler.records[-1]
    assert record.extra['event'] == 'concurrency_limit'
    assert record.extra['fields']['limit'] == changes[-1].after


@then('the metrics show its limit')
def check_metrics(context: Any) -> None:
    metrics = RelayMetrics(new_metrics(TelemetrySettings()))
    limits = limits_in_force(context.scheduler)
    assert limits['second'] == 6
    assert limits['slow'] < 6
    metrics.show_limits(limits)
    line = f'gypsumrelay_upstream_limit{{upstream="slow"}} {limits["slow"]}.0'
    assert line in metrics.page().decode()


@given('a relay whose coordinator does not answer')
def give_busy(context: Any) -> None:
    context.busy = threading.Event()

    actor = BusyActor.start(context.busy)
    context.add_cleanup(actor.stop)
    context.add_cleanup(context.busy.set)
    context.metrics = RelayMetrics(new_metrics(TelemetrySettings()))
    context.metrics.show_limits({'one': 3})
    context.coordination = _coordination(learns=True)
    context.coordination.actor = actor


@when('it updates the metrics of the limits')
def update(context: Any) -> None:
    started_at = monotonic()
    update_limits(context.coordination, context.metrics)
    context.elapsed = monotonic() - started_at


@then('that takes less than 1 second and the limits shown stay')
def check_quick(context: Any) -> None:
    assert context.elapsed < 1, context.elapsed
    line = 'gypsumrelay_upstream_limit{upstream="one"} 3.0'
    assert line in context.metrics.page().decode()


def _coordination(*, learns: bool) -> Coordination:
    reader = RecordReader(lambda records: None, frozenset, lambda *one: None)
    members = Members(Member('own', 'a', '10.0.0.1', 9))
    return Coordination(
        'own',
        members,
        OperatorRecords(reader),
        1,
        settings=DispatchSettings(learn_performance=learns),
    )


def _reports(context: Any) -> list[MeasurementsReported]:
    coordination = _coordination(learns=context.learns)
    coordination.measured = context.history
    return [
        message
        for message in state_reports(coordination, START + 3)
        if isinstance(message, MeasurementsReported)
    ]


def _placement(name: str, tokens: int) -> Placement:
    request = PlacementRequest(
        request_id='r',
        attempt=1,
        entry='entry',
        availability_zone='zone',
        service='service',
        client_account='',
        cost_tokens=0,
        priority=0,
        objective_at=START,
        deadline=START,
        wait_until=START,
        prompt_tokens=tokens,
    )
    return Placement(request, name, '10.0.0.1:80', granted_at=START)


def _upstream(name: str, phase: Phase) -> Upstream:
    return Upstream(name, 'service', '10.0.0.1:80', 'zone', phase, 6)
