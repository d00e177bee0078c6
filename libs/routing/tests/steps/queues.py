"""Steps for the fair queue, with stateful tests against a simple model."""

from __future__ import annotations

import random
from typing import Any

from behave import given, then, when
from gypsumrelay_errors import DeadlineUnreachable, Overloaded
from gypsumrelay_routing import (
    FairQueue,
    FairQueueSettings,
    QueuedRequest,
    QueueSelection,
    Rejected,
)
from hypothesis import Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

WEIGHTS = {'a': 1, 'b': 2, 'c': 5}
MAX_COST = 20
MAX_WAITING = 12
FAR_DEADLINE = 1e9
MACHINE_SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    # Shrinking a failure can take minutes, and an example of 50 steps is
    # readable without it.
    phases=(Phase.generate,),
    max_examples=150,
    stateful_step_count=50,
)


class QueueMachine(RuleBasedStateMachine):
    """Compares the queue with a model that uses linear searches."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        super().__init__()
        self.queue = FairQueue(FairQueueSettings(max_waiting=MAX_WAITING))
        self.model: dict[str, QueuedRequest] = {}
        self.now: float = 0
        self.count = 0

    @rule(
        account=strategies.sampled_from(sorted(WEIGHTS)),
        cost=strategies.integers(1, MAX_COST),
        slack=strategies.integers(-1, 30),
        run_seconds=strategies.integers(0, 3),
        priority=strategies.sampled_from((0, 0, 0, 4, 9)),
        repeated=strategies.booleans(),
    )
    def push(
        self,
        account: str,
        cost: int,
        slack: int,
        run_seconds: int,
        priority: int,
        repeated: bool,
    ) -> None:
        """Add a request."""
        self.count += 0 if repeated and slack % 5 == 0 else 1
        added = QueuedRequest(
            str(self.count),
            account,
            WEIGHTS[account],
            cost,
            self.now + slack,
            priority,
            run_seconds,
        )
        self.model[added.request_id] = added
        rejected = self.queue.push(added, self.now)
        self.remove_late(rejected)
        shed = [one for one in rejected if isinstance(one.failure, Overloaded)]
        if len(self.model) > MAX_WAITING:
            assert len(shed) == 1
            self.check_shed(shed[0].waiting)
        else:
            assert not shed

    def check_shed(self, shed_request: QueuedRequest) -> None:
        """Check that the shed request is the last one of the right account."""
        excess = {
            account: sum(
                one.cost / one.weight
                for one in self.model.values()
                if one.client_account == account
            )
            for account in WEIGHTS
        }
        above = excess[shed_request.client_account]
        assert above >= max(excess.values()) - 1e-6, (shed_request, excess)
        own = [
            (one.priority, one.deadline)
            for one in self.model.values()
            if one.client_account == shed_request.client_account
        ]
        assert (shed_request.priority, shed_request.deadline) == max(own)
        self.model.pop(shed_request.request_id)

    @rule()
    def pop(self) -> None:
        """Remove the next request and check its order."""
        turn = self.queue.pop(self.now)
        self.remove_late(turn.rejected)
        if turn.granted is None:
            assert not self.model
            return
        granted = self.model.pop(turn.granted.request_id)
        earlier = [
            one
            for one in self.model.values()
            if one.client_account == granted.client_account
            and one.priority == granted.priority
            and one.deadline < granted.deadline
        ]
        assert not earlier, (granted, earlier)

    @rule()
    def peek_agrees_with_pop(self) -> None:
        """Call `peek` twice; the second call rejects nothing."""
        expected = self.queue.peek(self.now)
        self.remove_late(expected.rejected)
        found = self.queue.peek(self.now)
        assert found == QueueSelection(expected.granted)

    @rule(number=strategies.integers(0, MAX_WAITING))
    def cancel(self, number: int) -> None:
        """Cancel a waiting request."""
        names = sorted(self.model)
        if names:
            name = names[number % len(names)]
            assert self.queue.cancel(name) == self.model.pop(name)

    @rule(seconds=strategies.integers(1, 8), expire=strategies.booleans())
    def wait(self, seconds: int, expire: bool) -> None:
        """Advance the clock, with or without a call of `expire`."""
        self.now += seconds
        if expire:
            self.remove_late(self.queue.expire(self.now))

    def remove_late(self, rejected: tuple[Rejected, ...]) -> None:
        """Check that exactly the late requests were rejected."""
        late = {
            name
            for name, one in self.model.items()
            if one.deadline - one.run_seconds < self.now
        }
        found = {
            one.waiting.request_id
            for one in rejected
            if isinstance(one.failure, DeadlineUnreachable)
        }
        assert late == found, (late, found)
        for one in rejected:
            assert one.failure.retry_at > self.now
        for name in late:
            self.model.pop(name)

    @invariant()
    def same_as_model(self) -> None:
        """Compare the queue with the model."""
        assert self.queue.waiting == self.model
        starts = [one.start_by for one in self.model.values()]
        assert self.queue.next_expiry() == min(starts, default=None)
        costs = sum(one.cost for one in self.model.values())
        assert self.queue.queued_cost == costs
        accounts = {one.client_account for one in self.model.values()}
        assert set(self.queue.backlogs) == accounts

    @invariant()
    def memory_is_bounded(self) -> None:
        """Check that heaps and flows do not grow without bound."""
        assert len(self.queue.expiries.nodes) <= 2 * MAX_WAITING + 18
        for priority_class in self.queue.classes:
            assert len(priority_class.flows) <= len(WEIGHTS)
            assert priority_class.active or not priority_class.flows


@then('a stateful random test finds no difference from the model')
def run_machine(context: Any) -> None:
    run_state_machine_as_test(QueueMachine, settings=MACHINE_SETTINGS)


class LoadGenerator:
    """Adds requests of random cost to a queue."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        self.rng = random.Random(7)
        self.queue = FairQueue()
        self.count = 0

    def push(self, account: str, weight: int, priority: int = 0) -> None:
        """Add a request."""
        self.count += 1
        cost = self.rng.randint(1, MAX_COST)
        self.queue.push(
            QueuedRequest(
                f'{account}/{self.count}',
                account,
                weight,
                cost,
                FAR_DEADLINE - self.count,
                priority,
            ),
            0,
        )

    def pop(self) -> QueuedRequest:
        """Remove the next request."""
        granted = self.queue.pop(0).granted
        assert granted is not None
        return granted


class FloodMachine(RuleBasedStateMachine):
    """One account is always backlogged; the others send bursts."""

    def __init__(self) -> None:
        """Start with a backlog of the account that is always backlogged."""
        super().__init__()
        self.load = LoadGenerator()
        self.leads: dict[str, float] = dict.fromkeys('abcd', 0)
        self.lowest = dict(self.leads)
        self.load.push('steady', 3)
        self.load.push('steady', 3)

    @rule(
        account=strategies.sampled_from('abcd'), count=strategies.integers(1, 9)
    )
    def add_burst(self, account: str, count: int) -> None:
        """Add a burst of requests of another account."""
        for _ in range(count):
            self.load.push(account, 1)

    @rule(count=strategies.integers(1, 30))
    def serve(self, count: int) -> None:
        """Serve requests and update the lead of each account."""
        for _ in range(count):
            granted = self.load.pop()
            normalized_cost = granted.cost / granted.weight
            if granted.client_account == 'steady':
                self.load.push('steady', 3)
                self.leads = {
                    name: lead - normalized_cost
                    for name, lead in self.leads.items()
                }
            else:
                self.leads[granted.client_account] += normalized_cost
            self.check()

    def check(self) -> None:
        """Check that no lead grew by more than one request of each account."""
        for name, lead in self.leads.items():
            self.lowest[name] = min(self.lowest[name], lead)
            bound = MAX_COST / 3 + MAX_COST
            assert lead - self.lowest[name] <= bound + 1e-6, (name, lead)


@then('no other account gets ahead of it by more than one request of each')
def run_flood(context: Any) -> None:
    fewer = settings(MACHINE_SETTINGS, max_examples=50)
    run_state_machine_as_test(FloodMachine, settings=fewer)


@given('every priority class always has requests waiting')
def fill_classes(context: Any) -> None:
    context.load = LoadGenerator()
    context.classes = range(10)
    for priority in range(10):
        context.load.push(f'class{priority}', 1, priority)


@when('{count:d} requests are served')
def serve(context: Any, count: int) -> None:
    context.served = []
    for _ in range(count):
        granted = context.load.pop()
        context.served.append(granted)
        context.load.push(granted.client_account, 1, granted.priority)


@then('the most urgent class gets at least {fraction:g} of the service')
def check_urgent(context: Any, fraction: float) -> None:
    urgent = sum(one.cost for one in context.served if not one.priority)
    assert urgent >= fraction * sum(one.cost for one in context.served)


@then('every class is served within {factor:d} times the largest request')
def check_gaps(context: Any, factor: int) -> None:
    gaps = dict.fromkeys(context.classes, 0)
    for granted in context.served:
        for priority in gaps:
            gaps[priority] += granted.cost
        gaps[granted.priority] = 0
        assert max(gaps.values()) <= factor * MAX_COST, gaps


@given('a full queue in which one account has most of the requests')
def fill_queue(context: Any) -> None:
    context.queue = FairQueue(FairQueueSettings(max_waiting=4))
    for number, account in enumerate(('many', 'many', 'many', 'few')):
        context.queue.push(
            QueuedRequest(str(number), account, 1, 10, FAR_DEADLINE), 0
        )


@when('a request of another account arrives')
def push_other(context: Any) -> None:
    added = QueuedRequest('new', 'few', 1, 10, FAR_DEADLINE)
    context.rejected = context.queue.push(added, 0)


@then('a request of the account above its share is shed with a retry time')
def check_shed_account(context: Any) -> None:
    rejected = context.rejected[0]
    assert rejected.waiting.client_account == 'many'
    assert isinstance(rejected.failure, Overloaded)
    assert rejected.failure.retry_at > 0


@given('a queue with 100 requests of which 10 are served per second')
def serve_at_rate(context: Any) -> None:
    context.queue = FairQueue()
    for number in range(100):
        context.queue.push(
            QueuedRequest(str(number), 'a', 1, 5, FAR_DEADLINE), 0
        )
    for number in range(11):
        context.queue.pop(number / 10)


@when('a request arrives after its deadline')
def push_late(context: Any) -> None:
    context.rejected = context.queue.push(
        QueuedRequest('late', 'a', 1, 5, 0.5), 1
    )


@then('its retry time is about {seconds:d} seconds away')
def check_retry(context: Any, seconds: int) -> None:
    rejected = context.rejected[0]
    assert isinstance(rejected.failure, DeadlineUnreachable)
    away = rejected.failure.retry_at - 1
    assert seconds - 1.5 <= away <= seconds + 1.5, away
