"""Steps for claims."""

from __future__ import annotations

import random
from typing import Any, Final

import attrs
from behave import given, then, when
from cluster import (
    CLAIM_SECONDS,
    NAMES,
    SETTINGS,
    STEPS,
    Cluster,
    Request,
)
from gypsumrelay_claims import (
    Append,
    AppendResult,
    Claim,
    Committer,
    CommitterSettings,
    Granted,
    LogRead,
    Taken,
    Unavailable,
    choose_committers,
    committer_of,
    complete,
    flush,
    observe_read,
    on_append_result,
    submit,
)
from gypsumrelay_errors import Outcome
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

FATES: Final = {'recorded': 0, 'lost': 2, 'refused': 3, 'timeout': 4}
NUMBERS: Final = st.integers(0, 11)


def started_cluster() -> Cluster:
    cluster = Cluster()
    for index, _ in enumerate(NAMES):
        cluster.read(index, 0)
    return cluster


def ask(context: Any, which: int, key: str, body: str = 'body') -> None:
    cluster = context.cluster
    name = f'r{len(cluster.requests)}'
    request = Request(name, key, body, cluster.now + 5)
    cluster.requests[name] = request
    cluster.submit(request, cluster.agents[which])


def new_claim(
    key: str,
    request_id: str,
    *,
    body: str = 'body',
    durable: bool = True,
) -> Claim:
    return Claim('account', key, body, request_id, 'runner', durable, 10)


def replayed(bounds: CommitterSettings) -> Committer:
    committer = Committer('a', 'a#1', bounds)
    observe_read(committer, LogRead(0, (), 0, 0, True), 0)
    return committer


@given('a request with key {key} at each of two committers')
def ask_two(context: Any, key: str) -> None:
    context.cluster = started_cluster()
    ask(context, 0, key)
    ask(context, 1, key)


@when('both appends are recorded and read')
def record_both(context: Any) -> None:
    cluster = context.cluster
    cluster.now += 0.1
    for which in (0, 1):
        cluster.tick(which, 0)
    while cluster.flying:
        cluster.resolve(0, 0)
    for reader in (0, 1):
        cluster.read(reader, 0)


@then('one request is granted and the other is told who holds the key')
def check_one_granted(context: Any) -> None:
    assert context.cluster.answers == [
        Granted('r0'),
        Taken('r1', 'r0', 'runner', same_body=True),
    ], context.cluster.answers


@given('a request with key {key} whose append is {fate}')
def ask_one(context: Any, key: str, fate: str) -> None:
    context.cluster = started_cluster()
    ask(context, 0, key)
    context.cluster.now += 0.1
    context.cluster.tick(0, 0)
    context.append = context.cluster.flying[0].append
    context.cluster.resolve(0, FATES[fate])


@then('it has no answer')
def check_no_answer(context: Any) -> None:
    assert not context.cluster.answers, context.cluster.answers


@when('its committer reads the log')
def read_log(context: Any) -> None:
    context.cluster.read(0, 0)


@then('the answer is {kind}')
def check_answer(context: Any, kind: str) -> None:
    name, _, body = kind.partition(' with ')
    context.answer = context.cluster.answers[-1]
    context.cluster.deliver(len(context.cluster.answers) - 1, 2)
    assert type(context.answer).__name__ == name, context.answer
    if body:
        assert context.answer.same_body == (body == 'the same body')


@then('one append was made')
def check_one_append(context: Any) -> None:
    context.cluster.now += 1
    context.cluster.tick(0, 0)
    assert context.cluster.counts['Append'] == 1


@when('its committer reads the log and a second passes')
def read_and_wait(context: Any) -> None:
    context.cluster.read(0, 0)
    context.cluster.now += 1
    context.cluster.tick(0, 0)


@then('the same claims are appended again')
def check_repeated(context: Any) -> None:
    repeated = context.cluster.flying[0].append
    assert repeated.records == context.append.records


@then('it says not_run and when to retry')
def check_not_run(context: Any) -> None:
    failure = context.answer.failure
    assert failure.outcome is Outcome.not_run
    assert failure.retry_at > context.cluster.now


@when("the request's deadline passes")
def pass_deadline(context: Any) -> None:
    context.cluster.now += 6
    context.cluster.tick(0, 0)


@when("the request's deadline passes unnoticed")
def pass_deadline_paused(context: Any) -> None:
    context.cluster.now += 6


@when('another request with key {key} and {body} body is served')
def serve(context: Any, key: str, body: str) -> None:
    cluster = context.cluster
    cluster.settle(5)
    digest = 'body' if body == 'the same' else 'changed'
    context.answer = cluster.answer_for(key, digest)
    cluster.answers.append(context.answer)


@when('{count:d} other claims pass and the log keeps 24 records')
def pass_others(context: Any, count: int) -> None:
    for number in range(count):
        ask(context, number % len(NAMES), f'other{number}')
        context.cluster.settle(1)
    context.cluster.drop_records(0, 0)
    assert context.cluster.log.oldest > 10


@when('every committer is restarted')
def restart(context: Any) -> None:
    for index, _ in enumerate(NAMES):
        context.cluster.crash_agent(index, 0)


@given('a request with key {key} at a committer that read nothing')
def ask_unread(context: Any, key: str) -> None:
    context.cluster = Cluster()
    ask(context, 0, key)


@when('a second passes without a read')
def wait_unread(context: Any) -> None:
    context.cluster.now += 1
    context.cluster.tick(0, 0)


@then('no append was made')
def check_no_append(context: Any) -> None:
    assert not context.cluster.flying
    pass_deadline(context)


@given('{count:d} claims within one window and batches of {size:d}')
def ask_many(context: Any, count: int, size: int) -> None:
    committer = replayed(CommitterSettings(CLAIM_SECONDS, max_batch=size))
    for number in range(count):
        submit(committer, new_claim(f'k{number}', f'r{number}'), 0)
    context.batches = []
    for _ in range(count):
        for action in flush(committer, 0.051):
            assert isinstance(action, Append)
            context.batches.append(len(action.records[0].claims))
            on_append_result(
                committer,
                action.append_id,
                AppendResult.recorded,
                0.052,
            )
    assert sum(context.batches) == count


@then('{count:d} appends hold them all')
def check_batches(context: Any, count: int) -> None:
    assert len(context.batches) == count, context.batches


@when('the claim period passes')
def pass_period(context: Any) -> None:
    context.cluster.pass_period(0, 0)
    context.cluster.settle(8)


@then('no committer holds key {key}')
def check_forgotten(context: Any, key: str) -> None:
    for agent in context.cluster.agents:
        committer = agent.committer
        assert ('account', key) not in committer.table.holdings


@given('a committer with room for {room:d} claims that holds {held:d}')
def fill(context: Any, room: int, held: int) -> None:
    context.cluster = started_cluster()
    committer = context.cluster.agents[0].committer
    committer.settings = attrs.evolve(SETTINGS, max_claims=room)
    for number in range(held):
        ask(context, 0, f'full{number}')
    context.cluster.settle(5)
    assert context.cluster.counts['Granted'] == held


@when('a third key comes')
def ask_third(context: Any) -> None:
    ask(context, 0, 'third')


@then('it is rejected and the {held:d} claims are still held')
def check_full(context: Any, held: int) -> None:
    assert isinstance(context.cluster.answers.pop(), Unavailable)
    for number in range(held):
        ask(context, 0, f'full{number}')
        assert isinstance(context.cluster.answers.pop(), Taken)


@given('a non-durable claim for key {key}')
def claim_volatile(context: Any, key: str) -> None:
    context.committer = Committer('a', 'a#1', SETTINGS)
    context.key = key
    claim = new_claim(key, 'r1', durable=False)
    assert submit(context.committer, claim, 0) == [Granted('r1')]


@then('a repeat with the same body is taken and with another body too')
def check_volatile(context: Any) -> None:
    for body in ('body', 'changed'):
        claim = new_claim(context.key, 'r2', body=body, durable=False)
        taken = Taken('r2', 'r1', 'runner', body == 'body')
        assert submit(context.committer, claim, 1) == [taken]


@when('the request completes')
def complete_volatile(context: Any) -> None:
    complete(context.committer, ('account', context.key), 'r1', 2)


@then('a repeat with the same body is granted')
def check_completed(context: Any) -> None:
    claim = new_claim(context.key, 'r2', durable=False)
    assert submit(context.committer, claim, 2) == [Granted('r2')]


@given('{agents:d} service agents and {count:d} committers')
def make_agents(context: Any, agents: int, count: int) -> None:
    context.agents = [f'agent{number}' for number in range(agents)]
    context.before = choose_committers(context.agents, count)
    assert len(context.before) == count


@when('one committer leaves')
def leave(context: Any) -> None:
    context.agents.remove(context.before[0])
    context.after = choose_committers(context.agents, len(context.before))


@then('two committers stay and every key of theirs with them')
def check_stay(context: Any) -> None:
    kept = set(context.before[1:])
    assert kept < set(context.after)
    moved = set()
    for number in range(300):
        key = ('account', f'k{number}')
        before = committer_of(key, context.before)
        after = committer_of(key, context.before[1:])
        assert before == after or before == context.before[0]
        moved.add(before)
    assert moved == set(context.before)


@then('{count:d} seeded histories of {length:d} steps keep every promise')
def check_histories(context: Any, count: int, length: int) -> None:
    for seed in range(count):
        numbers = random.Random(seed)  # noqa: S311 - reproducible test
        cluster = Cluster()
        for _ in range(length):
            step = numbers.choice(STEPS)
            step(cluster, numbers.randrange(12), numbers.randrange(12))
        cluster.recover()


class ClaimMachine(RuleBasedStateMachine):
    """The cluster under steps that hypothesis chooses."""

    def __init__(self) -> None:
        """Start with a cluster that read nothing."""
        super().__init__()
        self.cluster = Cluster()
        self.failed = False

    @rule(step=st.sampled_from(STEPS), which=NUMBERS, seed=NUMBERS)
    def take_step(self, step: Any, which: int, seed: int) -> None:
        """Take one step."""
        self.failed = True
        step(self.cluster, which, seed)
        self.failed = False

    def teardown(self) -> None:
        """Check that everything recovers, unless a step failed."""
        if not self.failed:
            self.cluster.recover()


@then(
    'the state machine with {examples:d} examples of {steps:d} steps holds',
)
def check_machine(context: Any, examples: int, steps: int) -> None:
    run_machine(ClaimMachine, examples, steps)


def run_machine(machine: Any, examples: int, steps: int) -> None:
    run_state_machine_as_test(
        machine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=examples,
            stateful_step_count=steps,
            suppress_health_check=list(HealthCheck),
        ),
    )
