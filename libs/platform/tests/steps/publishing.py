"""Steps for publication to a stand-in of the log service."""

from __future__ import annotations

import socket
import threading
from typing import Any

from behave import given, then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_configuration import (
    Accepted,
    Configuration,
    ConfigurationPublished,
    Contract,
    ContractPut,
    Model,
    Record,
    Rejected,
    SnapshotPolicy,
    State,
    apply,
    copy_state,
    is_ready,
    new_snapshot_schedule,
    next_offset,
    split_state,
)
from gypsumrelay_errors import ConfigurationStale, Failure
from gypsumrelay_platform import (
    Follower,
    FollowerCallbacks,
    ListClient,
    LogClient,
    SnapshotWriter,
    Unknown,
    apply_batch,
    catch_up,
    publish,
    write_snapshot,
)
from gypsumrelay_standins import LogService, start

PUBLISH_SECONDS = 2


def new_client(server: Any) -> LogClient:
    return LogClient(f'http://127.0.0.1:{server.effective_port}')


def configuration(record_id: str, models: int = 1) -> ConfigurationPublished:
    named = tuple(Model(f'model-{index}') for index in range(models))
    return ConfigurationPublished(record_id, 0, Configuration(named))


def put(name: str, based_on: int = 0) -> ContractPut:
    return ContractPut(f'put-{name}', based_on, Contract(name, 1, 1))


def run(context: Any, *records: Record) -> None:
    context.records = records
    deadline = monotonic() + PUBLISH_SECONDS
    context.outcomes = publish(context.client, context.state, records, deadline)


@given('a log service and a publisher that has read it')
def start_log(context: Any) -> None:
    context.service = LogService()
    server = start(context.service.handle)
    context.add_cleanup(server.close)
    context.server = server
    context.client = new_client(server)
    context.state = State()
    assert catch_up(context.client, context.state) is None


@when('the publisher publishes a configuration')
def publish_one(context: Any) -> None:
    run(context, configuration('one'))


@when('the publisher publishes a configuration and the answer is lost')
def publish_lost(context: Any) -> None:
    context.service.faults.lose_answers = 1
    run(context, configuration('one'))
    assert len(context.service.records) == 1


@when('the publisher publishes a configuration and {count:d} answers are lost')
def publish_doubled(context: Any, count: int) -> None:
    # A copy of the record by another writer simulates a delayed append.
    context.service.faults.lose_answers = count
    context.client.append([configuration('one')])
    run(context, configuration('one'))
    assert len(context.service.records) == 2


@then('the outcome is "{kind}" with version {version:d}')
def check_version(context: Any, kind: str, version: int) -> None:
    found = context.outcomes['one']
    assert type(found).__name__ == kind, found
    assert found.version == version, found


@then('the configuration has version {version:d} at a fresh reader')
def check_fresh(context: Any, version: int) -> None:
    state = State()
    assert catch_up(context.client, state) is None
    assert state.configuration.version == version


@when(
    '{count:d} publishers with the same state publish at once, '
    'half without answers',
)
def publish_racing(context: Any, count: int) -> None:
    context.service.faults.lose_answers = count // 2
    context.outcomes = {}
    barrier = threading.Barrier(count)

    def work(number: int) -> None:
        record = configuration(f'writer-{number}')
        barrier.wait()
        found = publish(new_client(context.server), State(), [record])
        assert isinstance(found, dict), found
        context.outcomes.update(found)

    workers = [
        threading.Thread(target=work, args=(number,)) for number in range(count)
    ]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()


@then(
    'one outcome is "Accepted" and {others:d} are "Rejected" '
    'with version {version:d}',
)
def check_racing(context: Any, others: int, version: int) -> None:
    kinds = [type(found) for found in context.outcomes.values()]
    assert kinds.count(Accepted) == 1, context.outcomes
    assert kinds.count(Rejected) == others, context.outcomes
    for found in context.outcomes.values():
        assert found.version == version


@given('the log service is down')
def take_down(context: Any) -> None:
    context.service.faults.down = True


@given('the log service is down for {seconds:f} s')
def take_down_briefly(context: Any, seconds: float) -> None:
    faults = context.service.faults
    faults.down = True
    threading.Timer(seconds, setattr, (faults, 'down', False)).start()


@then('the outcome is "{kind}"')
def check_kind(context: Any, kind: str) -> None:
    found = context.outcomes['one']
    assert isinstance(found, Unknown), found
    assert type(found).__name__ == kind
    assert found.sentence


@given('a publisher whose log has no listener')
def refuse_connections(context: Any) -> None:
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        port = unused.getsockname()[1]
    context.client = LogClient(f'http://127.0.0.1:{port}')


@then('nothing was published, for "{kind}"')
def check_failure(context: Any, kind: str) -> None:
    assert isinstance(context.outcomes, Failure), context.outcomes
    assert type(context.outcomes).__name__ == kind, context.outcomes


@when('the publisher publishes a configuration of {models:d} models')
def publish_large(context: Any, models: int) -> None:
    run(context, configuration('one', models))


@then('the log has no record')
def check_empty(context: Any) -> None:
    assert not context.service.records


@when('the publisher publishes two contracts, one of them on a wrong version')
def publish_two(context: Any) -> None:
    run(context, put('kiosk'), put('office', 3))


@then('the outcomes are "{first}" and "{second}"')
def check_two(context: Any, first: str, second: str) -> None:
    found = [context.outcomes[rec.record_id] for rec in context.records]
    assert [type(one).__name__ for one in found] == [first, second], found


@given('{count:d} records')
def append_records(context: Any, count: int) -> None:
    context.client.append([put(f'account-{index}') for index in range(count)])
    assert catch_up(context.client, context.state) is None


@given(
    '{before:d} records, a snapshot written with {lost:d} lost answers, '
    'and {after:d} records',
)
def append_snapshot(context: Any, before: int, lost: int, after: int) -> None:
    append_records(context, before)
    context.service.faults.lose_answers = lost
    parts = split_state(context.state)
    assert len(parts) > 1
    failed = write_snapshot(context.client, parts, threading.Event())
    assert failed is None, failed
    context.client.append([put(f'later-{index}') for index in range(after)])
    assert catch_up(context.client, context.state) is None


@given('the log has dropped its first {count:d} records')
def drop_records(context: Any, count: int) -> None:
    del context.service.records[:count]
    context.service.oldest = count


@when('a fresh reader catches up')
def catch_up_fresh(context: Any) -> None:
    context.reader = State()
    context.result = catch_up(context.client, context.reader)


@then('it has the same state as the publisher')
def check_same(context: Any) -> None:
    assert context.result is None, context.result
    assert context.reader == context.state
    assert context.reader.contracts


@then('it reports that its configuration is stale')
def check_stale(context: Any) -> None:
    assert isinstance(context.result, ConfigurationStale), context.result


@then('the follower does not confirm the state as current')
def check_not_confirmed(context: Any) -> None:
    state = State()
    ends: list[float] = []
    follower = Follower(
        context.client,
        ListClient('http://127.0.0.1:1'),
        FollowerCallbacks(
            lambda batch: apply_batch(state, batch),
            lambda listing, asked_at: None,
            lambda: next_offset(state),
            ends.append,
            lambda: is_ready(state),
        ),
    )
    assert follower.read_log()
    assert not ends
    assert follower.log_read_at == float('-inf')
    # The same reader restores a snapshot, reads on, and becomes current.
    parts = split_state(context.state)
    write_snapshot(context.client, parts, threading.Event())
    assert follower.read_log()
    assert follower.log_read_at > float('-inf')
    assert state == context.state or state.offset > context.state.offset


def start_snapshot(context: Any, stopped: bool = False) -> None:
    policy = SnapshotPolicy(records=500)
    context.snapshot_writer = SnapshotWriter(
        context.client,
        new_snapshot_schedule('one', policy, 0),
    )
    if stopped:
        context.snapshot_writer.stopped.set()
    context.expected = copy_state(context.state)
    assert context.snapshot_writer.write_if_due(context.state, ['one'], 1)


@when('the process starts a snapshot, and its state changes meanwhile')
def write_while_changing(context: Any) -> None:
    start_snapshot(context)
    offset = context.state.offset + 1
    apply(context.state, offset, put('meanwhile'))
    context.snapshot_writer.writer.join(timeout=20)


@then('the log holds the snapshot of the state at the start')
def check_snapshot(context: Any) -> None:
    context.reader = State()
    assert catch_up(context.client, context.reader) is None
    drop_records(context, context.expected.offset + 1)
    reader = State()
    assert catch_up(context.client, reader) is None
    assert reader.contracts == context.expected.contracts
    assert reader.completed is not None
    assert reader.completed.covers == context.expected.offset


@then('the process writes no second one')
def check_no_second(context: Any) -> None:
    assert not context.snapshot_writer.write_if_due(
        context.reader, ['one'], 700
    )


@when('the process starts a snapshot, and is shut down')
def write_while_stopping(context: Any) -> None:
    start_snapshot(context, stopped=True)
    context.snapshot_writer.writer.join(timeout=20)


@then('the log has no complete snapshot')
def check_no_snapshot(context: Any) -> None:
    assert not context.snapshot_writer.writer.is_alive()
    reader = State()
    assert catch_up(context.client, reader) is None
    assert reader.completed is None
