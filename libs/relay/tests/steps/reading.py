"""Steps of membership.feature: how often relays read the store."""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import PlatformUnavailable
from gypsumrelay_relay.coordination.client import Coordination
from gypsumrelay_relay.membership import Member, Members, record_heartbeat
from gypsumrelay_relay.operator_records import OperatorRecords
from gypsumrelay_relay.read_intervals import ReadIntervals, read_intervals
from gypsumrelay_relay.records_exchange import request_records
from gypsumrelay_relay.store_follower import StoreFollower
from gypsumrelay_relay.topics import (
    Changes,
    RecordReader,
    Snapshot,
    Store,
)
from gypsumrelay_settings import StoreSettings
from gypsumrelay_wire import RecordsRequest

READER = RecordReader(
    lambda records: PlatformUnavailable('no configuration'),
    lambda records: frozenset(),
    lambda name, record: None,
)


def reads_per_second(fleet: Any) -> float:
    """Return the reads of the store per second of a whole fleet."""
    fleet.run(5)
    settings = StoreSettings('10.0.0.1:80')
    paces = [
        read_intervals(view, settings, fleet.now)
        for view in fleet.views.values()
    ]
    return sum(1 / one.list_seconds + 1 / one.watch_seconds for one in paces)


@then('the larger one reads the store at most {ratio:g} times as often')
def check_reads(context: Any, ratio: float) -> None:
    small = reads_per_second(context.fleet)
    large = reads_per_second(context.larger)
    assert large <= ratio * small, (small, large)


@then(
    'while the store is unavailable, the larger one retries {most:g} times a '
    'second',
)
def check_tries(context: Any, most: float) -> None:
    settings = StoreSettings('10.0.0.1:80')
    fleet = context.larger
    paces = [
        read_intervals(view, settings, fleet.now)
        for view in fleet.views.values()
    ]
    tries = sum(2 / one.retry_seconds for one in paces)
    assert tries <= most, tries


@then(
    'the larger one reads the store at most {most:g} times a second for each',
)
def check_reads_of_each(context: Any, most: float) -> None:
    # One read waits for 30 s at most, so that their number cannot reach 0.
    reads = reads_per_second(context.larger)
    assert reads <= most * len(context.larger.views), reads


@given('a relay whose next read of the list is due in {seconds:g} seconds')
def give_following(context: Any, seconds: float) -> None:
    context.intervals = ReadIntervals(seconds, 1, 0.3)
    context.reads = []
    context.is_unavailable = False

    def changes(topic: Any, position: int, wait: float) -> Any:
        context.reads.append(monotonic())
        if context.is_unavailable:
            return PlatformUnavailable('away')
        return Changes(position, ())

    store = Store(
        lambda topic: Snapshot(0, {}),
        changes,
        lambda *record: PlatformUnavailable('away'),
    )
    context.news = []
    follower = StoreFollower(
        store,
        READER,
        OperatorRecords(READER),
        context.news.append,
        lambda: context.intervals,
    )
    context.add_cleanup(follower.stopped.set)
    context.follower = follower
    follower.upstreams.position = 0
    follower.start()
    wait_for(lambda: follower.due_at > monotonic() + seconds / 2)


def wait_for(condition: Any, seconds: float = 5) -> None:
    """Wait until a condition holds."""
    deadline = monotonic() + seconds
    while not condition():
        assert monotonic() < deadline
        time.sleep(0.005)


@when('it becomes a candidate for coordinator')
def become_candidate(context: Any) -> None:
    context.since = monotonic()
    context.intervals = ReadIntervals(0.4, 1, 0.3)
    context.follower.read_early(context.since)


@then('it reads the list within {seconds:g} seconds')
def check_read(context: Any, seconds: float) -> None:
    wait_for(lambda: max(context.reads) > context.since, seconds)


@when('it becomes a candidate again while the store is unavailable')
def become_candidate_again(context: Any) -> None:
    context.intervals = ReadIntervals(8, 1, 0.3)
    until = monotonic() + 4
    wait_for(lambda: context.follower.due_at > until)
    context.is_unavailable = True
    become_candidate(context)


@when('its process was suspended and the store is unavailable')
def suspend(context: Any) -> None:
    context.is_unavailable = True
    context.follower.read_after_suspension(monotonic())
    assert not context.follower.is_stale(False, monotonic())


@then('placements may be granted from it again, since none is newer')
def check_usable(context: Any) -> None:
    now = monotonic()
    context.follower.allow_use(now)
    assert context.news[-1].usable_until > now


@then('its list counts as stale within {seconds:g} seconds')
def check_old(context: Any, seconds: float) -> None:
    follower = context.follower
    wait_for(lambda: follower.is_stale(False, monotonic()), seconds)


@given('a coordinator that is linked to a relay with newer records')
def give_linked(context: Any) -> None:
    members = Members(Member('own', 'a', '10.0.0.1', 1))
    coordination = Coordination('own', members, OperatorRecords(READER), 1)
    coordination.leader = 'own'
    newer = Member('other', 'a', '10.0.0.2', 2, position=7)
    record_heartbeat(members, newer, monotonic())
    context.sent = []
    link = SimpleNamespace(send=context.sent.append)
    coordination.incoming['other'] = link
    context.coordination = coordination


@when('it checks for newer records')
def ask_records(context: Any) -> None:
    request_records(context.coordination, monotonic())


@then('it requests them from that relay')
def check_asked(context: Any) -> None:
    assert context.sent == [RecordsRequest(-1, -1)], context.sent
