"""Steps for retry budgets, the retry policy and the link budget."""

from __future__ import annotations

import itertools
import random
from typing import Any

import attrs
from behave import given, then
from gypsumrelay_errors import (
    BodyMalformed,
    Failure,
    Outcome,
    RateExceeded,
    RequestBlamed,
    UpstreamFailed,
)
from gypsumrelay_routing import (
    AttemptState,
    LinkBudget,
    LinkSettings,
    RetryBudgets,
    RetrySettings,
    Transfer,
    backoff_seconds,
    hedge_at,
    may_hedge,
    may_retry,
)
from hypothesis import Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

RETRY_SETTINGS = RetrySettings()
MACHINE_SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    # Shrinking a failure can take minutes, and an example of 40 steps is
    # readable without it.
    phases=(Phase.generate,),
    max_examples=150,
    stateful_step_count=40,
)
LINK_SETTINGS = LinkSettings(
    bytes_per_second=100, max_transfers=5, stall_seconds=2
)
FIRST_ATTEMPT = AttemptState(idempotent=True, attempts=1, deadline=10)


@then(
    '{count:d} random attempts never exceed the budget of account or upstream'
)
def run_attempts(context: Any, count: int) -> None:
    rng = random.Random(2)
    budgets = RetryBudgets()
    first_attempts: dict[str, int] = {}
    retries: dict[str, int] = {}
    now: float = 0
    for _ in range(count):
        now += rng.random() / 50
        names = (f'a{rng.randrange(3)}', f'u{rng.randrange(4)}')
        counts = first_attempts
        if rng.random() < 0.3:
            budgets.record_first_attempt(*names, now)
        elif budgets.try_spend(*names, now):
            counts = retries
        else:
            continue
        for name in names:
            counts[name] = counts.get(name, 0) + 1
            allowed = first_attempts.get(name, 0) * RETRY_SETTINGS.ratio
            allowed += (
                RETRY_SETTINGS.burst + now * RETRY_SETTINGS.minimum_per_second
            )
            assert retries.get(name, 0) <= allowed + 1e-6, (name, retries)
    assert sum(retries.values()) > 100


def failures() -> list[Failure]:
    kinds = itertools.product(Failure.__subclasses__(), Outcome)
    return [kind('text', outcome) for kind, outcome in kinds]


@then('no class of failure permits a retry after it may have run')
def check_not_idempotent(context: Any) -> None:
    attempt_state = attrs.evolve(FIRST_ATTEMPT, idempotent=False)
    allowed = [
        failure
        for failure in failures()
        if may_retry(failure, attempt_state, RETRY_SETTINGS, 0)
    ]
    assert allowed
    assert {one.outcome for one in allowed} == {Outcome.not_run}, allowed


@then('an idempotent request is retried after the failure of an upstream')
def check_idempotent(context: Any) -> None:
    failure = UpstreamFailed('text', Outcome.unknown)
    assert may_retry(failure, FIRST_ATTEMPT, RETRY_SETTINGS, 0)
    assert not may_retry(failure, FIRST_ATTEMPT, RETRY_SETTINGS, 10)
    tried = attrs.evolve(FIRST_ATTEMPT, attempts=RETRY_SETTINGS.max_attempts)
    assert not may_retry(failure, tried, RETRY_SETTINGS, 0)


@then('no request is retried after a permanent failure')
def check_permanent(context: Any) -> None:
    for kind in (BodyMalformed, RateExceeded, RequestBlamed):
        assert not may_retry(kind('text'), FIRST_ATTEMPT, RETRY_SETTINGS, 0), (
            kind
        )


@then('the delays of attempts 1 to {last:d} fill their bounds up to 1 second')
def check_backoff(context: Any, last: int) -> None:
    rng = random.Random(4)
    for attempts in range(1, last + 1):
        bound = min(1, RETRY_SETTINGS.backoff_seconds * 2 ** (attempts - 1))
        delays = [
            backoff_seconds(attempts, rng, RETRY_SETTINGS) for _ in range(400)
        ]
        assert 0 <= min(delays) < bound * 0.1
        assert bound * 0.9 < max(delays) <= bound


@then('hedging needs idempotence, time, attempts and no response yet')
def check_hedging(context: Any) -> None:
    assert may_hedge(FIRST_ATTEMPT, RETRY_SETTINGS, 0)
    for changes in (
        {'idempotent': False},
        {'answering': True},
        {'attempts': RETRY_SETTINGS.max_attempts},
        {'deadline': 0},
    ):
        changed = attrs.evolve(FIRST_ATTEMPT, **changes)
        assert not may_hedge(changed, RETRY_SETTINGS, 0), changed
    assert (
        hedge_at(1, 1.01, RETRY_SETTINGS)
        == 1 + RETRY_SETTINGS.min_hedge_seconds
    )
    assert hedge_at(1, 2, RETRY_SETTINGS) == 1 + RETRY_SETTINGS.hedge_factor


class LinkMachine(RuleBasedStateMachine):
    """Simulates a link that admitted transfers share equally."""

    def __init__(self) -> None:
        """Start without transfers."""
        super().__init__()
        self.budget = LinkBudget(LINK_SETTINGS)
        self.now: float = 0
        self.count = 0

    @rule(size=strategies.integers(1, 300), slack=strategies.integers(1, 20))
    def admit(self, size: int, slack: int) -> None:
        """Request a transfer; check the answer exactly on an idle link."""
        idle = not self.budget.transfers
        self.count += 1
        deadline = self.now + slack
        found = self.budget.admit(str(self.count), size, deadline, self.now)
        if idle:
            fits = size <= slack * LINK_SETTINGS.bytes_per_second
            assert isinstance(found, Transfer) == fits
        if not isinstance(found, Transfer):
            assert found.retry_at >= self.now

    @rule(ticks=strategies.integers(1, 60))
    def transfer_bytes(self, ticks: int) -> None:
        """Transfer bytes in small steps, with an equal share per transfer."""
        for _ in range(ticks):
            active = list(self.budget.transfers.items())
            share = LINK_SETTINGS.bytes_per_second / 20 / max(1, len(active))
            self.now += 0.05
            for name, transfer in active:
                remaining = transfer.remaining_bytes - share
                self.budget.progress(name, max(0, remaining), self.now)
                if remaining <= 1e-6:
                    # The steps may delay a transfer by one step for each
                    # transfer on the link.
                    late = self.now - transfer.deadline
                    assert late <= 0.05 * LINK_SETTINGS.max_transfers + 1e-6, (
                        late
                    )
                    self.budget.finish(name)

    @rule(number=strategies.integers(1, 30))
    def cancel(self, number: int) -> None:
        """Cancel a transfer twice; the second call has no effect."""
        self.budget.finish(str(number))
        self.budget.finish(str(number))

    @invariant()
    def committed_bytes_match(self) -> None:
        """Compare the committed bytes with the sum over the transfers."""
        transfers = self.budget.transfers.values()
        remaining = sum(one.remaining_bytes for one in transfers)
        assert abs(self.budget.committed_bytes - remaining) < 1e-6
        assert self.budget.committed_bytes >= 0
        assert len(transfers) <= LINK_SETTINGS.max_transfers


@then('a stateful random test finds no admitted transfer late')
def run_machine(context: Any) -> None:
    run_state_machine_as_test(LinkMachine, settings=MACHINE_SETTINGS)


@given('two transfers of which one makes progress')
def start_transfers(context: Any) -> None:
    context.budget = LinkBudget(LINK_SETTINGS)
    for name in ('moving', 'stuck'):
        context.budget.admit(name, 100, 20, 0)
    context.budget.progress('moving', 50, 1.5)
    context.budget.progress('stuck', 100, 1.5)


@then('only the other one is stalled after the time limit')
def check_stalled(context: Any) -> None:
    assert context.budget.stalled(1.9) == ()
    assert context.budget.stalled(2.5) == ('stuck',)
    assert set(context.budget.stalled(21)) == {'moving', 'stuck'}
