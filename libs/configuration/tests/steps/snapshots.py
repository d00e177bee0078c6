"""Steps for snapshots and for the decision which process writes them."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any, Final

import attrs
from behave import given, then, when
from gypsumrelay_configuration import (
    Contract,
    ContractPut,
    Record,
    SnapshotPart,
    SnapshotPolicy,
    State,
    apply,
    is_ready,
    is_writer_now,
    new_snapshot_schedule,
    next_offset,
    note_oldest,
    record_from_json,
    record_to_json,
    split_state,
)

SMALL_PART_BYTES: Final = 1024 + 4000
SIMULATION_PART_BYTES: Final = 1024 + 800


def put(number: int) -> ContractPut:
    contract = Contract(f'account-{number:05}', 10, 20, ('m',), ('r',))
    return ContractPut(f'put-{number}', 0, contract)


def through_json(record: Record) -> Record:
    copied = record_from_json(json.loads(json.dumps(record_to_json(record))))
    assert isinstance(copied, Record), copied
    return copied


class Log:
    """A log in memory with retention.

    Attributes:
        kept: Number of records that the log holds; None keeps all.
        oldest: Offset of the oldest record.
        records: Records from that offset on.
    """

    def __init__(self, kept: int | None = None) -> None:
        """Create an empty log."""
        self.kept = kept
        self.oldest = 0
        self.records: list[Record] = []

    @property
    def end(self) -> int:
        """Return the offset that the next record will get."""
        return self.oldest + len(self.records)

    def append(self, record: Record) -> None:
        """Append one record and drop the oldest one beyond the retention."""
        self.records.append(record)
        if self.kept and len(self.records) > self.kept:
            self.records.pop(0)
            self.oldest += 1

    def read(self, state: State) -> None:
        """Apply the records to a reader's state up to the end of the log."""
        while True:
            note_oldest(state, self.oldest)
            begin = max(next_offset(state), self.oldest)
            if begin >= self.end:
                return
            for offset in range(begin, self.end):
                apply(state, offset, self.records[offset - self.oldest])


@given('a state with {count:d} accounts')
def make_state(context: Any, count: int) -> None:
    context.state = State()
    for number in range(count):
        apply(context.state, number, put(number))


@then('every part of its snapshot is under {limit:d} bytes')
def check_sizes(context: Any, limit: int) -> None:
    context.parts = split_state(context.state)
    sizes = [len(json.dumps(record_to_json(part))) for part in context.parts]
    assert len(sizes) > 1
    assert max(sizes) < limit, max(sizes)


@then('a fresh reader takes an equal state from the parts')
def check_taken(context: Any) -> None:
    reader = fresh_reader(context.state)
    feed(reader, context.parts)
    assert is_ready(reader)
    assert reader == context.state


def fresh_reader(state: State) -> State:
    reader = State()
    note_oldest(reader, state.offset + 1)
    assert not is_ready(reader)
    return reader


def feed(reader: State, parts: list[SnapshotPart]) -> None:
    begin = next_offset(reader)
    for offset, part in enumerate(parts, begin):
        apply(reader, offset, through_json(part))


def change_part(parts: list[SnapshotPart]) -> list[SnapshotPart]:
    content = json.loads(json.dumps(parts[1].content))
    contract = next(iter(content['contracts'].values()))
    contract['burst_tokens'] += 1
    changed = attrs.evolve(parts[1], content=content)
    return [parts[0], changed, *parts[2:]]


def malform_parts(parts: list[SnapshotPart]) -> list[SnapshotPart]:
    contents: list[Any] = [{'offset': {'a': 1}}, {'offset': 1}, {'keys': 3}]
    return [
        attrs.evolve(part, content=contents[part.index % len(contents)])
        for part in parts
    ]


Change = Callable[[list[SnapshotPart]], list[SnapshotPart]]
FAULTS: Final[dict[str, Change]] = {
    'a missing part': lambda parts: [parts[0], *parts[2:]],
    'the first part cut': lambda parts: parts[1:],
    'a changed part': change_part,
    'parts out of order': lambda parts: list(reversed(parts)),
    'malformed parts': malform_parts,
}


@when('a fresh reader gets the parts of its snapshot with {fault}')
def feed_faulty(context: Any, fault: str) -> None:
    parts = split_state(context.state, SMALL_PART_BYTES)
    assert len(parts) > 3
    context.reader = fresh_reader(context.state)
    feed(context.reader, FAULTS[fault](parts))
    # The same parts without the fault are applied.
    sound = fresh_reader(context.state)
    feed(sound, parts)
    assert is_ready(sound)


@then('the reader is not ready')
def check_not_ready(context: Any) -> None:
    assert not is_ready(context.reader)
    assert context.reader == State()


@given('a log that dropped its first records after a snapshot')
def make_dropped_log(context: Any) -> None:
    context.log = Log()
    context.writer = State()
    for number in range(100):
        context.log.append(put(number))
    context.log.read(context.writer)


@when('a fresh reader reads it, with changes between the parts')
def read_between(context: Any) -> None:
    log = context.log
    parts = split_state(context.writer, SMALL_PART_BYTES)
    assert len(parts) > 3
    for number, part in enumerate(parts):
        log.append(put(1000 + number))
        log.append(part)
    log.append(put(2000))
    del log.records[:100]
    log.oldest = 100
    context.reader = State()
    log.read(context.reader)


@then('it reads the changes after the snapshot and is ready')
def check_read_again(context: Any) -> None:
    context.log.read(context.writer)
    assert is_ready(context.reader)
    assert 'account-02000' in context.reader.contracts
    assert context.reader == context.writer
    assert context.reader.offset == context.log.end - 1


@when('{count:d} writers each append the first part of a snapshot and stop')
def append_first_parts(context: Any, count: int) -> None:
    context.log = Log()
    context.writer = State()
    for number in range(100):
        context.log.append(put(10_000 + number))
    for number in range(count):
        context.log.append(put(number))
        context.log.read(context.writer)
        parts = split_state(context.writer, SMALL_PART_BYTES)
        context.log.append(parts[0])
    del context.log.records[:1]
    context.log.oldest = 1
    context.reader = State()
    context.log.read(context.reader)


@then('a fresh reader buffers at most {count:d} of them')
def check_buffered(context: Any, count: int) -> None:
    assert 0 < len(context.reader.read_position.unfinished) <= count
    assert 0 < len(context.reader.read_position.buffered) <= count
    assert not is_ready(context.reader)


@then('it applies a later complete snapshot')
def check_later(context: Any) -> None:
    context.log.read(context.writer)
    for part in split_state(context.writer):
        context.log.append(part)
    context.log.read(context.reader)
    assert is_ready(context.reader)
    assert len(context.reader.read_position.buffered) <= 4


@given('{count:d} instances and a log that keeps {kept:d} records')
def make_instances(context: Any, count: int, kept: int) -> None:
    context.kept = kept
    context.names = [f'entry-{number}' for number in range(count)]


@when('they run for {steps:d} steps while one in three writers fails')
def run_with_failures(context: Any, steps: int) -> None:
    simulate(context, steps, context.names, 1 / 3)


@when('they run for {steps:d} steps without a member list')
def run_without_members(context: Any, steps: int) -> None:
    simulate(context, steps, [], 0)


def simulate(
    context: Any,
    steps: int,
    members: list[str],
    failure_rate: float,
) -> None:
    rng = random.Random(7)
    log = Log(context.kept)
    policy = SnapshotPolicy(records=1500, period_seconds=1e9, spread_seconds=60)
    # All instances read at each step, so they can share one state.
    shared = State()
    schedules = [
        new_snapshot_schedule(name, policy, 0) for name in context.names
    ]
    queues: list[list[SnapshotPart]] = []
    context.started = 0
    context.not_ready = 0
    for step in range(steps):
        for _ in range(3):
            log.append(put(rng.randrange(40)))
        log.read(shared)
        for schedule in schedules:
            if is_writer_now(schedule, shared, members, step):
                parts = split_state(shared, SIMULATION_PART_BYTES)
                context.started += 1
                fails = rng.random() < failure_rate
                queues.append(parts[:1] if fails else parts)
        for queue in queues:
            # One part a step: writing takes longer than the delay of the
            # next instance.
            if queue:
                log.append(queue.pop(0))
        if step % 5 == 0:
            reader = State()
            log.read(reader)
            context.not_ready += not is_ready(reader)
    context.dropped = log.oldest
    context.due = log.end / (context.kept / 2)


@then('a fresh reader was ready at every step')
def check_always_ready(context: Any) -> None:
    assert context.dropped > context.kept
    assert not context.not_ready, context.not_ready


@then('at most {ratio:d} snapshots were started for each that was due')
def check_number(context: Any, ratio: int) -> None:
    assert 0 < context.started <= ratio * context.due, context.started


@given('one instance with a renewal period of {period:d} s')
def make_single(context: Any, period: int) -> None:
    policy = SnapshotPolicy(period_seconds=period)
    context.schedule = new_snapshot_schedule('entry-1', policy, 0)


@when('nothing changes for {seconds:d} s')
def run_idle(context: Any, seconds: int) -> None:
    log = Log()
    log.append(put(1))
    state = State()
    context.count = 0
    for now in range(seconds):
        log.read(state)
        if is_writer_now(context.schedule, state, ['entry-1'], now):
            context.count += 1
            for part in split_state(state):
                log.append(part)


@then('it writes {low:d} or {high:d} snapshots')
def check_renewals(context: Any, low: int, high: int) -> None:
    assert context.count in {low, high}, context.count
