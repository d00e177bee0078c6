"""Steps for claims."""

from __future__ import annotations

import random
import re
from typing import Any, Final

import attrs
from behave import given, then, when
from cluster import FATES, NAMES, SETTINGS, STEPS, Cluster, Request
from gypsumrelay_claims import (
    Append,
    AppendResult,
    Claim,
    Committer,
    CommitterSettings,
    Granted,
    LogRead,
    ReadLog,
    Taken,
    Unavailable,
    apply_read,
    choose_committers,
    committer_of,
    complete,
    flush,
    on_append_result,
    run_maintenance,
    submit,
)
from gypsumrelay_configuration import ClaimBatch, ClaimEntry
from gypsumrelay_errors import Outcome
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

NUMBERS: Final = st.integers(0, 11)
AGENTS: Final = {'a': 0, 'b': 1, 'c': 2}


def submit_new(cluster: Cluster, agent: int, key: str, other: str = '') -> None:
    name = f'r{len(cluster.requests)}'
    body = 'other' if other else 'body'
    request = Request(name, key, body, cluster.now + 5)
    cluster.requests[name] = request
    cluster.submit(request, cluster.agents[agent])


def resubmit(cluster: Cluster, agent: int, name: str) -> None:
    cluster.submit(cluster.requests[name], cluster.agents[agent])


def flush_agent(cluster: Cluster, agent: int) -> None:
    cluster.now += 0.06
    cluster.tick(agent, 0)


def read_to_end(cluster: Cluster, agent: int) -> None:
    for _ in (0, *cluster.log.history):
        cluster.read(agent, 0)


def pass_time(cluster: Cluster, seconds: str) -> None:
    cluster.now += int(seconds)


def pass_claim_period(cluster: Cluster) -> None:
    cluster.pass_claim_period(0, 0)
    cluster.settle(8)


def pass_other_claims(cluster: Cluster, count: str) -> None:
    for number in range(int(count)):
        submit_new(cluster, number % len(NAMES), f'other{number}')
        cluster.settle(1)


def drop_first(cluster: Cluster, count: str) -> None:
    assert cluster.log.oldest < int(count)
    cluster.log.oldest = int(count)


def restart(cluster: Cluster) -> None:
    for index, _ in enumerate(NAMES):
        cluster.crash_agent(index, 0)


def limit_claims(cluster: Cluster, agent: int, room: str) -> None:
    committer = cluster.agents[agent].committer
    committer.settings = attrs.evolve(SETTINGS, max_claims=int(room))


def skip_records(cluster: Cluster, agent: int) -> None:
    read = LogRead(5, (), 9, 0, at_end=True)
    committer = cluster.agents[agent].committer
    assert apply_read(committer, read, cluster.now) == [ReadLog()]


def refuse_dispatch(cluster: Cluster, name: str) -> None:
    assert cluster.answers.pop(0) == Granted(name)
    cluster.reject(cluster.requests[name])
    cluster.release(cluster.requests[name], 0)


EVENTS: Final[dict[str, Any]] = {
    r'(\w) gets (k\d)( with another body)?': submit_new,
    r'(\w) gets (r\d+) again': resubmit,
    r'(\w) gets a read that skips records': skip_records,
    r'(\w) flushes': flush_agent,
    r'(\w) reads': read_to_end,
    r'(\w) reads once': lambda cluster, agent: cluster.read(agent, 0),
    r'(\w) has a read in flight': lambda cluster, agent: cluster.delay_read(
        agent,
        0,
    ),
    r"(\w)'s read arrives": lambda cluster, agent: cluster.deliver_read(
        agent,
        0,
    ),
    r'(\w) pauses': lambda cluster, agent: cluster.pause(agent, 0),
    r'(\w) resumes': lambda cluster, agent: cluster.pause(agent, 1),
    r'(\w) has room for (\d+) claims': limit_claims,
    r'the append is (\w+)': lambda cluster, fate: cluster.resolve(
        0,
        FATES.index(fate),
    ),
    r'the last append is recorded': lambda cluster: cluster.resolve(-1, 0),
    r'the late append takes effect': lambda cluster: cluster.apply_late_append(
        0,
        0,
    ),
    r'(r\d+) is not dispatched after its grant': refuse_dispatch,
    r'(\d+) seconds pass': pass_time,
    r'(\d+) other claims pass': pass_other_claims,
    r'the claim period passes': pass_claim_period,
    r'the log drops (\d+) records': drop_first,
    r'the log drops records': lambda cluster: cluster.drop_records(0, 0),
    r'all restart': restart,
    r'all catch up': lambda cluster: cluster.settle(10),
    r'all catch up except late appends': lambda cluster: cluster.settle(
        10,
        apply_late=False,
    ),
}


@given('committers that have read the log')
def start(context: Any) -> None:
    context.cluster = Cluster()
    for index, _ in enumerate(NAMES):
        context.cluster.read(index, 0)


@when('{events}')
def run_events(context: Any, events: str) -> None:
    for event in events.split(', '):
        found = [
            (action, match.groups())
            for pattern, action in EVENTS.items()
            if (match := re.fullmatch(pattern, event))
        ]
        assert len(found) == 1, f'{event} matches no or several events'
        action, arguments = found[0]
        action(context.cluster, *map(number_of, arguments))


def number_of(argument: Any) -> Any:
    return AGENTS[argument] if argument in AGENTS else argument


@then('{name} gets {answer}')
def check_answer(context: Any, name: str, answer: str) -> None:
    answers = context.cluster.answers
    found = [action for action in answers if action.request_id == name]
    if answer == 'nothing':
        assert not found, found
        return
    assert found, f'{name} has no answer'
    assert describe(found[0]) == answer, found
    if isinstance(found[0], Unavailable):
        failure = found[0].failure
        assert failure.outcome is Outcome.not_run
        assert failure.retry_at is not None
    context.cluster.deliver(answers.index(found[0]), 2)


def describe(answer: Any) -> str:
    kind = type(answer).__name__
    if isinstance(answer, Taken):
        body = 'the same' if answer.same_body else 'another'
        return f'{kind} by {answer.holder_request_id} with {body} body'
    return kind


@then('{count:d} appends were made')
def check_appends(context: Any, count: int) -> None:
    assert context.cluster.counts.get('Append', 0) == count


@then('{name} holds {key}')
def check_holder(context: Any, name: str, key: str) -> None:
    run = context.cluster.dispatches.get(key)
    assert run and run[0] == name, f'{run} is the last run'


@then('no committer has a claim for {key}')
def check_no_claim(context: Any, key: str) -> None:
    for agent in context.cluster.agents:
        committer = agent.committer
        assert ('account', key) not in committer.table.holders


@then('a has applied no records')
def check_nothing_applied(context: Any) -> None:
    committer = context.cluster.agents[0].committer
    assert committer.next_offset == 0


@then('{count:d} claims of one window need {expected:d} appends')
def check_window(context: Any, count: int, expected: int) -> None:
    committer = Committer('a', 'a#1', CommitterSettings(60))
    apply_read(committer, LogRead(0, (), 0, 0, at_end=True), 0)
    for number in range(count):
        claim = new_claim(f'r{number}', durable=True)
        submit(committer, attrs.evolve(claim, key_digest=str(number)), 0)
        if not number:
            assert not flush(committer, 0.04), (
                'appended before the end of the window'
            )
    sizes = []
    while committer.pending:
        for action in flush(committer, 0.06):
            assert isinstance(action, Append)
            sizes.append(len(action.records[0].claims))
            append_id = action.append_id
            on_append_result(committer, append_id, AppendResult.recorded, 0.06)
    assert sum(sizes) == count
    assert len(sizes) == expected, sizes


def new_claim(
    request_id: str,
    body: str = 'body',
    *,
    durable: bool = False,
) -> Claim:
    return Claim('account', 'k', body, request_id, 'runner', durable, 10)


@then('a late compaction does not cancel one that is due')
def check_late_compaction(context: Any) -> None:
    committer = Committer('a', 'a#1', SETTINGS, ('a',))
    entry = ClaimEntry('account', 'k', 'body', 'r1', 'runner')
    batch = ClaimBatch('b', 'a#1', (entry,))
    read_records(committer, 0, (batch,), 8)
    first = flush(committer, 0)[0]
    on_append_result(committer, first.append_id, AppendResult.recorded, 0)
    read_records(committer, 8, first.records, 16)
    read_records(committer, 16, first.records, 17)
    again = flush(committer, 1)[0]
    assert again.records[0].covers == 16


def read_records(
    committer: Committer,
    start: int,
    records: Any,
    end: int,
) -> None:
    entries = tuple(enumerate(records, start))
    apply_read(committer, LogRead(start, entries, end, 0, at_end=True), 0)
    run_maintenance(committer, 0)


@then('a non-durable claim is held until its request completes')
def check_volatile(context: Any) -> None:
    committer = Committer('a', 'a#1', SETTINGS)
    assert submit(committer, new_claim('r1'), 0) == [Granted('r1')]
    for body in ('body', 'changed'):
        taken = Taken('r2', 'r1', 'runner', body == 'body')
        assert submit(committer, new_claim('r2', body), 1) == [taken]
    complete(committer, ('account', 'k'), 'r1', 2)
    assert submit(committer, new_claim('r2'), 2) == [Granted('r2')]


@then(
    'of {agents:d} agents and {count:d} committers one leaves '
    'and only its keys move',
)
def check_departure(context: Any, agents: int, count: int) -> None:
    names = [f'agent{number}' for number in range(agents)]
    before = choose_committers(names, count)
    remaining = before[1:]
    names.remove(before[0])
    after = choose_committers(names, count)
    assert set(remaining) < set(after)
    owners = set()
    for number in range(300):
        key = ('account', f'k{number}')
        owner = committer_of(key, before)
        assert owner == before[0] or owner == committer_of(key, remaining)
        owners.add(owner)
    assert owners == set(before)


@then('{count:d} seeded histories of {length:d} steps agree with the oracle')
def check_histories(context: Any, count: int, length: int) -> None:
    for seed in range(count):
        numbers = random.Random(seed)
        cluster = Cluster()
        for _ in range(length):
            step = numbers.choice(STEPS)
            step(cluster, numbers.randrange(12), numbers.randrange(12))
        cluster.recover()


class ClaimMachine(RuleBasedStateMachine):
    """Runs the cluster with steps that hypothesis generates."""

    def __init__(self) -> None:
        """Start with a cluster that has not read the log yet."""
        super().__init__()
        self.cluster = Cluster()
        self.failed = False

    @rule(step=st.sampled_from(STEPS), which=NUMBERS, seed=NUMBERS)
    def take_step(self, step: Any, which: int, seed: int) -> None:
        """Execute one step."""
        self.failed = True
        step(self.cluster, which, seed)
        self.failed = False

    def teardown(self) -> None:
        """Check that the cluster recovers, unless a step failed."""
        if not self.failed:
            self.cluster.recover()


@then(
    'the state machine with {examples:d} examples of {steps:d} steps '
    'agrees with the oracle',
)
def check_machine(context: Any, examples: int, steps: int) -> None:
    run_state_machine_as_test(
        ClaimMachine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=examples,
            stateful_step_count=steps,
        ),
    )
