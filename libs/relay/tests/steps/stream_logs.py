"""Steps of stream_log.feature."""

from __future__ import annotations

import secrets
from collections import Counter
from typing import Any, Final

import attrs
import msgpack
from behave import given, then, when
from changes import new_request
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import SchedulerState, take_unsaved
from gypsumrelay_relay.coordination.conversion import from_wire, to_wire
from gypsumrelay_relay.digests import fraction_of, stream_digest
from gypsumrelay_relay.routes import RetryPolicy, Route, Target, choose_target
from gypsumrelay_relay.stream_history import StreamHistory
from gypsumrelay_relay.stream_log import StreamLog
from gypsumrelay_relay.stream_messages import (
    SavedStartsLost,
    SavedStartsRead,
    SavedStartsUnavailable,
    StreamsReported,
    apply_saved_starts,
    apply_streams_report,
)
from gypsumrelay_relay.topics import Topic
from gypsumrelay_settings import DispatchSettings
from gypsumrelay_wire import PlaceGranted, decode, encode
from simulated_store import SimulatedStore

VERSIONS: Final = ('v1', 'v2')
WEIGHTS: Final = (70, 20, 10)
SERVICES: Final = ('a', 'b', 'c')
TOLERANCE: Final = 0.04


def store_of(context: Any) -> SimulatedStore:
    if not hasattr(context, 'store'):
        context.store = SimulatedStore()
        context.starts = {}
        context.told = []
    return context.store


def new_starts(context: Any, count: int) -> dict[bytes, str]:
    """Return starts of new streams, which are remembered in order."""
    first = len(context.starts)
    starts = {
        stream_digest('service', 'account', str(first + number)): VERSIONS[
            number % 2
        ]
        for number in range(count)
    }
    context.starts.update(starts)
    return starts


def save(log: StreamLog, starts: dict[bytes, str]) -> None:
    log.save(starts)
    log.save_batch()


@given('a store that is away')
def take_away(context: Any) -> None:
    store_of(context).is_away = True


@when('the store is back')
def bring_back(context: Any) -> None:
    context.store.is_away = False
    context.log.save_batch()


@given('a relay that saves the starts of {count:d} streams')
def save_starts(context: Any, count: int) -> None:
    context.log = StreamLog(store_of(context).client())
    save(context.log, new_starts(context, count))


@when('the first relay saves the starts of {count:d} more')
def save_more(context: Any, count: int) -> None:
    save(context.log, new_starts(context, count))


@given(
    'a relay that saves the starts of {count:d} streams, one after the other',
)
@given(
    'a second relay that saves the starts of {count:d} streams, one after the '
    'other',
)
def save_singly(context: Any, count: int) -> None:
    log = StreamLog(store_of(context).client())
    for _ in range(count):
        save(log, new_starts(context, 1))


@given('a coordinator that has saved the starts of {count:d} streams')
def save_as_coordinator(context: Any, count: int) -> None:
    context.scheduler = SchedulerState(DispatchSettings())
    store = store_of(context)
    for digest, version in new_starts(context, count).items():
        report = StreamsReported(version, (digest,))
        received = decode(encode(to_wire(report, monotonic())))
        apply_streams_report(
            context.scheduler, from_wire(received, 'other', monotonic())
        )
    context.log = StreamLog(store.client())
    save(context.log, take_unsaved(context.scheduler.stream_starts))


@when('the store is restored without them, and the coordinator learns of it')
def restore(context: Any) -> None:
    context.store.restore(Topic.streams, 0)
    apply_saved_starts(context.scheduler, SavedStartsLost(), monotonic())
    save(context.log, take_unsaved(context.scheduler.stream_starts))


@given('records that are no msgpack, a list, and a map of other types')
def put_odd(context: Any) -> None:
    store = store_of(context)
    odd = {'v1': 7, 'v2': ['text', 1], 3: [b'digest']}
    for record in (b'\xc1', msgpack.packb([1, 2]), msgpack.packb(odd)):
        store.put(Topic.streams, secrets.token_hex(4), record)


@when('another relay reads the saved starts')
def read_starts(context: Any) -> None:
    context.other = StreamLog(context.store.client(), context.told.append)
    context.other.read()


@when('the other relay reads the saved starts')
def read_again(context: Any) -> None:
    context.other.read()


def known(context: Any) -> dict[bytes, str]:
    starts: dict[bytes, str] = {}
    for message in context.told:
        assert isinstance(message, SavedStartsRead), message
        starts.update(message.starts)
    return starts


@then('it knows the version of all {count:d} streams')
def check_all(context: Any, count: int) -> None:
    assert len(context.starts) == count
    assert known(context) == context.starts


@then('it knows the version of the newest {count:d} streams and no others')
def check_newest(context: Any, count: int) -> None:
    newest = dict(list(context.starts.items())[-count:])
    assert known(context) == newest, len(known(context))


@then('it was told of {first:d} starts and then of {second:d}')
def check_told(context: Any, first: int, second: int) -> None:
    counts = [len(message.starts) for message in context.told]
    assert counts == [first, second], counts


@then('it keeps the newest {count:d} of them')
def check_kept(context: Any, count: int) -> None:
    newest = list(context.starts.items())[-count:]
    assert context.log.unsaved == dict(newest)


@then('it is told that they cannot be read')
def check_unavailable(context: Any) -> None:
    assert context.told == [SavedStartsUnavailable()], context.told


@given(
    'a relay at which {old:d} streams began {seconds:d} seconds ago and '
    '{new:d} just now',
)
def begin_streams(context: Any, old: int, seconds: int, new: int) -> None:
    store_of(context)
    context.history = StreamHistory()
    now = monotonic()
    for digest, version in new_starts(context, old).items():
        context.history.record(digest, version, now - seconds)
    recent = new_starts(context, new)
    for began, began_version in recent.items():
        context.history.record(began, began_version, now)
    context.starts = recent


@given('a relay at which {count:d} streams began just now')
def begin_many(context: Any, count: int) -> None:
    begin_streams(context, 0, 0, count)


def reported(context: Any) -> dict[bytes, str]:
    return {
        digest: report.version
        for report in context.history.reports(monotonic())
        for digest in report.digests
    }


@then('it reports the {count:d} streams, each with its version')
def check_reported(context: Any, count: int) -> None:
    assert reported(context) == context.starts
    assert len(context.starts) == count


@then('it reports the newest {count:d}')
def check_reported_newest(context: Any, count: int) -> None:
    newest = list(context.starts.items())[-count:]
    assert reported(context) == dict(newest)


@given('a route that is split over 3 services')
def split_route(context: Any) -> None:
    targets = map(Target, SERVICES, WEIGHTS)
    context.route = Route(
        'split', 'host', '/', RetryPolicy.stream, tuple(targets), 1000, 100
    )


@then('the services of {count:d} requests are distributed by the weights')
def check_weights(context: Any, count: int) -> None:
    context.chosen = {
        request_id: choose_target(context.route, fraction_of(request_id))
        for request_id in map(str, range(count))
    }
    counts = Counter(context.chosen.values())
    for service, weight in zip(SERVICES, WEIGHTS, strict=True):
        share = counts[service] / count
        assert abs(share - weight / 100) < TOLERANCE, counts


@then('each request that names one of them goes to the same service')
def check_same(context: Any) -> None:
    for resumes, service in context.chosen.items():
        assert choose_target(context.route, fraction_of(resumes)) == service


@when(
    'a request that is bound {to} is granted an upstream of "{version}"',
)
@when('a request that is bound {to} is granted an upstream of ""')
def grant_version(context: Any, to: str, version: str = '') -> None:
    bindings: dict[str, dict[str, Any]] = {
        'to nothing': {},
        'to version v1': {'version': 'v1'},
        'by its stream': {'resumes': b'digest'},
    }
    request = attrs.evolve(new_request('waiting'), **bindings[to])
    coordination = context.coordination
    context.waiting = coordination.request_placement(request)
    context.sent.clear()
    granted = PlaceGranted(
        'waiting', 1, 'up', '10.0.0.9:80', '', '', 0, 0, version=version
    )
    coordination.on_message(coordination.link, granted)
