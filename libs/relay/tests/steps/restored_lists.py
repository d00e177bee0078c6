"""Steps of restored_list.feature: a follower, a scheduler and a store."""

from __future__ import annotations

import json
from typing import Any
from unittest import mock

import attrs
from behave import given, then, when
from gypsumrelay_dispatch import (
    Phase,
    PlacementRequest,
    SchedulerState,
    Upstream,
    apply_upstreams,
)
from gypsumrelay_dispatch.loads import ActivePlacement
from gypsumrelay_dispatch.scheduler_state import add_placement, is_usable
from gypsumrelay_relay import (
    Changes,
    RecordReader,
    RecordsExpired,
    Snapshot,
    Store,
    StoreEpoch,
    Topic,
    position_at,
)
from gypsumrelay_relay.coordination.messages import UpstreamsChanged
from gypsumrelay_relay.operator_records import OperatorRecords
from gypsumrelay_relay.read_intervals import ReadIntervals
from gypsumrelay_relay.store_follower import StoreFollower
from gypsumrelay_settings import DispatchSettings

STARTED_MS = 1000
HOURS = 3600


@attrs.define(eq=False)
class ListStore:
    """A store with the list of upstreams alone."""

    now: float = 100
    number: int = 1
    first: int = 0
    records: list[tuple[str, bytes | None]] = attrs.field(factory=list)
    epoch: StoreEpoch = attrs.field(factory=StoreEpoch)

    def write(self, name: str, **fields: Any) -> None:
        """Append a record; without fields, it removes the name."""
        record = json.dumps(fields).encode() if fields else None
        self.records.append((name, record))

    def position(self) -> int:
        """Return the end of the topic, and state the epoch."""
        self.epoch.observe(self.number, self.now)
        return position_at(self.number, len(self.records))

    def snapshot(self, _: Topic) -> Snapshot:
        """Return the newest record of each name."""
        newest = dict(self.records)
        listed = {name: one for name, one in newest.items() if one is not None}
        return Snapshot(self.position(), listed)

    def changes(
        self, _: Topic, position: int, wait_seconds: float
    ) -> Changes | RecordsExpired:
        """Return the records after a position of the present epoch."""
        start = position - position_at(self.number, 0)
        end = self.position()
        if not self.first <= start <= len(self.records):
            return RecordsExpired()
        return Changes(end, tuple(self.records[start:]))


def read_entry(name: str, record: bytes) -> Upstream:
    """Parse a record."""
    fields = json.loads(record)
    return Upstream(
        name=name,
        service='service',
        availability_zone='zone',
        phase=Phase.plain,
        slots=4,
        **{'address': f'10.0.0.1:{ord(name[0])}'} | fields,
    )


@given('a relay that has read "{name}" with sequence {sequence:d}')
def give_relay(context: Any, name: str, sequence: int) -> None:
    context.lists = ListStore()
    context.scheduler = SchedulerState(DispatchSettings())
    reader = RecordReader(lambda records: None, frozenset, read_entry)
    lists = context.lists

    def clock() -> float:
        return float(lists.now)

    for module in ('topics', 'store_follower'):
        patch = mock.patch(f'gypsumrelay_relay.{module}.monotonic', clock)
        patch.start()
        context.add_cleanup(patch.stop)

    def on_update(update: Any) -> None:
        if isinstance(update, UpstreamsChanged):
            apply_upstreams(
                context.scheduler,
                update.upstreams,
                lists.now,
                store_recovered=update.store_recovered,
            )

    context.follower = StoreFollower(
        Store(lists.snapshot, lists.changes, lambda *_: 0, lists.epoch),
        reader,
        OperatorRecords(reader),
        on_update,
        lambda: ReadIntervals(0.4, 4, 0.3),
    )
    write(context, name, sequence)


def write(context: Any, name: str, sequence: int, **fields: Any) -> None:
    """Write a record of an upstream, which the relay reads."""
    fields = {'started_ms': STARTED_MS, 'sequence': sequence} | fields
    context.lists.write(name, **fields)
    read(context)


def read(context: Any) -> None:
    """Let the relay read the list twice, as after some time."""
    for _ in range(2):
        context.follower.read_list()
        context.lists.now += 0.1


@when('"{name}" is leaving with sequence {sequence:d}')
def write_leaving(context: Any, name: str, sequence: int) -> None:
    write(context, name, sequence, leaving=True)


@when('"{name}" is ready with sequence {sequence:d}')
def write_ready(context: Any, name: str, sequence: int) -> None:
    write(context, name, sequence)


@when(
    '"{name}" is ready with sequence {sequence:d} and starts {later:d} ms later'
)
def write_restarted(context: Any, name: str, sequence: int, later: int) -> None:
    write(context, name, sequence, started_ms=STARTED_MS + later)


@when(
    '"{name}" is ready with sequence {sequence:d} at the address of "{other}"'
)
def write_with_address(
    context: Any, name: str, sequence: int, other: str
) -> None:
    write(context, name, sequence, address=f'10.0.0.1:{ord(other)}')


@when('"{name}" is ready with sequence {sequence:d} but removed when read')
def write_before_removed(context: Any, name: str, sequence: int) -> None:
    context.lists.write(name, started_ms=STARTED_MS, sequence=sequence)
    write_removed(context, name)


@when(
    '"{name}" is ready with sequence {sequence:d} and is removed, and the '
    'store keeps no history',
)
def write_and_discard(context: Any, name: str, sequence: int) -> None:
    context.lists.first = len(context.lists.records) + 2
    write_before_removed(context, name, sequence)


@when('"{name}" is removed')
def write_removed(context: Any, name: str) -> None:
    context.lists.write(name)
    read(context)


def restore(context: Any) -> None:
    context.lists.number += 1
    context.lists.records = []
    context.lists.first = 0


@when('the store is restored with "{name}" ready with sequence {sequence:d}')
def restore_with(context: Any, name: str, sequence: int) -> None:
    restore(context)
    write(context, name, sequence)


@when('the store is restored without upstreams')
def restore_empty(context: Any) -> None:
    restore(context)
    read(context)


@when('{seconds:d} seconds pass at the relay')
def pass_seconds(context: Any, seconds: int) -> None:
    for _ in range(2 * seconds):
        context.lists.now += 0.5
        context.follower.read_list()


@when('a request runs at "{name}"')
def run_request(context: Any, name: str) -> None:
    now = context.lists.now
    deadline = now + HOURS
    request = PlacementRequest(
        request_id='r',
        attempt=1,
        entry='entry',
        availability_zone='zone',
        service='service',
        client_account='',
        cost_tokens=0,
        priority=1,
        objective_at=deadline,
        deadline=deadline,
        wait_until=deadline,
    )
    placement = ActivePlacement(
        request, name, prefill='', prefill_ms=0, granted_at=now
    )
    add_placement(context.scheduler, placement)


@then('the request still counts there')
def check_counts(context: Any) -> None:
    assert context.scheduler.loads['a'].running


def gets_requests(context: Any, name: str, seconds: float = 0) -> bool:
    load = context.scheduler.loads.get(name)
    now = context.lists.now + seconds
    return load is not None and is_usable(context.scheduler, load, now)


@then('"{name}" gets requests')
def check_used(context: Any, name: str) -> None:
    assert gets_requests(context, name)


@then('"{name}" gets no requests')
def check_unused(context: Any, name: str) -> None:
    assert not gets_requests(context, name)


@then('"{name}" gets requests for {seconds:d} more seconds')
def check_used_for(context: Any, name: str, seconds: int) -> None:
    assert gets_requests(context, name, seconds)


@then('"{name}" gets no requests {seconds:d} seconds later')
def check_unused_after(context: Any, name: str, seconds: int) -> None:
    pass_seconds(context, seconds)
    assert not gets_requests(context, name)


@when('{count:d} upstreams come and go in lists of {size:d}')
def list_many(context: Any, count: int, size: int) -> None:
    for first in range(0, count, size):
        restore(context)
        for number in range(first, first + size):
            context.lists.write(f'u{number}', started_ms=STARTED_MS)
        pass_seconds(context, 3)


@then('at most {most:d} removed upstreams are remembered')
def check_bounded(context: Any, most: int) -> None:
    assert 0 < len(removed(context)) <= most, len(removed(context))


@then('after {seconds:d} seconds none is remembered')
def check_forgotten(context: Any, seconds: int) -> None:
    context.lists.now += seconds
    write(context, 'a', 1)
    pass_seconds(context, 3)
    forgotten = removed(context)
    context.lists.now += seconds
    write(context, 'a', 2)
    assert not removed(context), forgotten


def removed(context: Any) -> list[str]:
    known = context.follower.history.known
    return [name for name, one in known.items() if one.is_removed]
