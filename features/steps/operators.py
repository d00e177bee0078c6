"""Steps for operator changes under load."""

from __future__ import annotations

import secrets
import signal
from functools import partial
from typing import Any

import urllib3
from behave import then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_configuration import (
    DrainSet,
    KeyWithdrawn,
    Record,
    SnapshotPart,
)
from gypsumrelay_demo import complete, get_json, post_json, wait_until
from gypsumrelay_platform import Batch, LogClient
from gypsumrelay_standins import expected_text


def append(context: Any, record: Record) -> None:
    client = LogClient(context.system.platform['log'].url)
    assert isinstance(client.append([record]), int)


def new_id() -> str:
    return secrets.token_hex(8)


def any_key(context: Any) -> Any:
    return next(iter(context.system.keys.values()))


@when('its key is withdrawn after {tokens:d} tokens')
def withdraw_in_stream(context: Any, tokens: int) -> None:
    context.system.running_decode(tokens)
    withdraw(context)


@when('a key is withdrawn')
def withdraw(context: Any) -> None:
    context.withdrawn_at = monotonic()
    append(context, KeyWithdrawn(new_id(), any_key(context).key_id))


@then('the stream ends with "{code}" within {seconds:d} seconds')
def check_stream_end(context: Any, code: str, seconds: int) -> None:
    context.caller.join(seconds)
    assert context.replies, 'the stream did not end'
    reply = context.replies[-1]
    assert reply.code == code, reply
    assert not reply.whole
    took = monotonic() - context.withdrawn_at
    print(f'stream ended after {took:.2f} s')


@then('within {seconds:d} seconds every entry rejects the key')
def check_refused(context: Any, seconds: int) -> None:
    pool = urllib3.PoolManager()
    body = {'model': 'model', 'prompt': 'a', 'max_tokens': 1}

    def refused() -> bool:
        replies = [
            complete(pool, entry.url, any_key(context).secret, body)
            for entry in context.system.entries.values()
        ]
        return all(reply.code == 'key_withdrawn' for reply in replies)

    assert wait_until(refused, seconds)


@when('the zone of the stream is drained after {tokens:d} tokens')
def drain_zone(context: Any, tokens: int) -> None:
    name = context.system.running_decode(tokens)
    context.zone = context.system.upstreams[name].availability_zone
    context.system.run_command('drain', 'zone', context.zone)
    context.drained_at = monotonic()


@when('{seconds:d} seconds have passed since the drain')
def wait_since_drain(context: Any, seconds: int) -> None:
    due = context.drained_at + seconds
    wait_until(lambda: monotonic() >= due, seconds + 1)
    context.runs_before = runs_in_zone(context)


def runs_in_zone(context: Any) -> int:
    return sum(
        len(get_json(context.system.pool, f'{node.url}/record')['runs'])
        for node in context.system.upstreams.values()
        if node.availability_zone == context.zone
    )


@when('{count:d} requests are sent through all entries')
def send_requests(context: Any, count: int) -> None:
    pool = urllib3.PoolManager()
    entries = list(context.system.entries.values())
    context.results = []
    for number in range(count):
        prompt = f'question {number}'
        body = {'model': 'model', 'prompt': prompt, 'max_tokens': 3}
        entry = entries[number % len(entries)]
        reply = complete(pool, entry.url, any_key(context).secret, body)
        context.results.append((reply, expected_text(prompt, 3)))


@then('all are answered')
def check_answered(context: Any) -> None:
    for reply, expected in context.results:
        assert reply.text == expected, reply


@then('all are answered and none ran in the drained zone')
def check_none_in_zone(context: Any) -> None:
    check_answered(context)
    assert runs_in_zone(context) == context.runs_before


@when('the drain of the zone is undone')
def undo_drain(context: Any) -> None:
    context.system.run_command('drain', 'zone', context.zone, '--undo')


@then('the zone gets requests again within {seconds:d} seconds')
def check_zone_requests(context: Any, seconds: int) -> None:
    def gets_requests() -> bool:
        send_requests(context, 4)
        return runs_in_zone(context) > context.runs_before

    assert wait_until(gets_requests, seconds)


@when('the agent of the stream is terminated after {tokens:d} tokens')
def terminate_agent(context: Any, tokens: int) -> None:
    name = context.system.running_decode(tokens)
    context.agent = context.system.agents[f'agent-{name}']
    context.agent.process.signal(signal.SIGTERM)


@when('the entry of the stream is terminated after {tokens:d} tokens')
def terminate_entry(context: Any, tokens: int) -> None:
    context.system.running_decode(tokens)
    entry = next(iter(context.system.entries.values()))
    entry.process.signal(signal.SIGTERM)


@then('it was produced by a single decode run')
def check_one_run(context: Any) -> None:
    states = [
        run['state']
        for name in context.system.upstreams
        for run in context.system.runs_at(name)
        if run.get('kind') == 'decode'
    ]
    assert states == ['finished'], states


@then('the terminated agent has exited by itself')
def check_exited(context: Any) -> None:
    assert context.agent.process.wait(10) == 0


@when('the log service goes down')
def take_log_down(context: Any) -> None:
    url = f'{context.system.platform["log"].url}/fault'
    assert post_json(context.system.pool, url, {'down': True})


@when('the log service is up again')
def bring_log_back(context: Any) -> None:
    url = f'{context.system.platform["log"].url}/fault'
    assert post_json(context.system.pool, url, {'down': False})


@when('{seconds:d} seconds pass')
def wait_seconds(context: Any, seconds: int) -> None:
    due = monotonic() + seconds
    wait_until(lambda: monotonic() >= due, seconds + 1)


@when('an agent is killed and restarted')
@when('an agent is killed and restarted while the log is down')
def restart_agent(context: Any) -> None:
    context.agent = next(iter(context.system.agents.values()))
    context.system.kill(context.agent)
    context.system.restart(context.agent)


@then(
    'the agent has the configuration of the others within {seconds:d} seconds'
)
@then('the agent has the configuration from a peer within {seconds:d} seconds')
def check_copied(context: Any, seconds: int) -> None:
    entry = next(iter(context.system.entries.values()))
    newest = get_json(context.system.pool, f'{entry.admin_url}/status')

    def has_copy() -> bool:
        url = f'{context.agent.admin_url}/status'
        status = get_json(context.system.pool, url)
        return bool(status) and status['offset'] >= newest['offset']

    assert wait_until(has_copy, seconds)


@when('the log retains {kept:d} records and {count:d} drains are published')
def fill_log(context: Any, kept: int, count: int) -> None:
    url = f'{context.system.platform["log"].url}/retention'
    assert post_json(context.system.pool, url, {'retention': kept})
    for number in range(count):
        name = f'unused-{number}'
        append(context, DrainSet(new_id(), 0, 'instance', name, True))
        if number % 20 == 0:
            # Without this wait, retention could drop records before the
            # processes have read them.
            assert wait_until(partial(have_all_read, context), 10)


def have_all_read(context: Any) -> bool:
    log_url = context.system.platform['log'].url
    end = get_json(context.system.pool, log_url)['next']
    nodes = [*context.system.agents.values(), *context.system.entries.values()]
    statuses = [
        get_json(context.system.pool, f'{node.admin_url}/status')
        for node in nodes
    ]
    return all(status and status['offset'] + 1 >= end for status in statuses)


@then('the log holds a snapshot within {seconds:d} seconds')
def check_snapshot(context: Any, seconds: int) -> None:
    client = LogClient(context.system.platform['log'].url)

    def is_written() -> bool:
        batch = client.read(0)
        assert isinstance(batch, Batch)
        return any(
            isinstance(entry.record, SnapshotPart) for entry in batch.entries
        )

    assert wait_until(is_written, seconds)
