"""Retry policy, retry budgets, backoff and hedging."""

from __future__ import annotations

from random import Random
from typing import Final

import attrs
from gypsumrelay_errors import (
    Draining,
    Failure,
    LinkClosed,
    NoUpstream,
    Outcome,
    OutcomeUnknown,
    Overloaded,
    UpstreamFailed,
)

# Failures of one upstream or path, where another upstream may succeed. All
# other failures concern the request or the account and would recur.
_TRANSIENT: Final = (
    Draining,
    LinkClosed,
    NoUpstream,
    OutcomeUnknown,
    Overloaded,
    UpstreamFailed,
)

# Keeps the power of two small; no useful delay needs as many doublings.
_MAX_DOUBLINGS: Final = 20


@attrs.frozen
class RetrySettings:
    """Settings of retries and hedges.

    Attributes:
        ratio: Retries that the budget gains per first attempt.
        minimum_per_second: Retries per second that the budget gains without
            traffic.
        burst: Maximum number of retries in the budget.
        max_attempts: Attempts per request, including the first one.
        backoff_seconds: Upper bound of the delay before the first retry; it
            doubles with each attempt.
        max_backoff_seconds: Limit to which the upper bound grows.
        hedge_factor: Multiple of the expected time after which a hedged
            request is sent.
        min_hedge_seconds: Shortest time from the first attempt to the
            hedged request.
        max_budgets: Maximum number of budgets for accounts, and for
            upstreams.
    """

    ratio: float = 0.1
    minimum_per_second: float = 0.5
    burst: float = 10
    max_attempts: int = 3
    backoff_seconds: float = 0.025
    max_backoff_seconds: float = 1
    hedge_factor: float = 3
    min_hedge_seconds: float = 0.1
    max_budgets: int = 20_000


@attrs.define
class RetryBudget:
    """Token bucket of retries for one account or upstream.

    Attributes:
        settings: Settings of retries.
        level: Retries that are left.
        refilled_at: Time of the last refill.
    """

    settings: RetrySettings
    level: float
    refilled_at: float

    def record_first_attempt(self, now: float) -> None:
        """Add the fraction of a retry that a first attempt allows."""
        self.refill(now)
        self._add(self.settings.ratio)

    def refill(self, now: float) -> None:
        """Add the minimum rate for the time since the last refill."""
        elapsed = max(0, now - self.refilled_at)
        self.refilled_at = max(now, self.refilled_at)
        self._add(elapsed * self.settings.minimum_per_second)

    def _add(self, amount: float) -> None:
        self.level = min(self.settings.burst, self.level + amount)


@attrs.define
class RetryBudgets:
    """Retry budgets by client account and by upstream.

    A retry needs both budgets. The account's budget limits the additional
    load from one account. The upstream's budget limits the additional load
    on a failing upstream from all accounts together.
    """

    settings: RetrySettings = attrs.field(factory=RetrySettings)
    accounts: dict[str, RetryBudget] = attrs.field(factory=dict)
    upstreams: dict[str, RetryBudget] = attrs.field(factory=dict)

    def record_first_attempt(
        self,
        client_account: str,
        upstream: str,
        now: float,
    ) -> None:
        """Add the share of a first attempt to both budgets."""
        self._budget(self.accounts, client_account, now).record_first_attempt(
            now
        )
        self._budget(self.upstreams, upstream, now).record_first_attempt(now)

    def try_spend(self, client_account: str, upstream: str, now: float) -> bool:
        """Take one retry or hedge from both budgets, or from neither.

        Returns:
            Whether both budgets allowed it.
        """
        budgets = (
            self._budget(self.accounts, client_account, now),
            self._budget(self.upstreams, upstream, now),
        )
        for refilled in budgets:
            refilled.refill(now)
        if any(budget.level < 1 for budget in budgets):
            return False
        for charged in budgets:
            charged.level -= 1
        return True

    def _budget(
        self,
        budgets: dict[str, RetryBudget],
        name: str,
        now: float,
    ) -> RetryBudget:
        # Reinsertion at the end keeps the budgets in LRU order, so that the
        # least recently used one can be evicted.
        budget = budgets.pop(name, None)
        if budget is None:
            budget = RetryBudget(self.settings, self.settings.burst, now)
        budgets[name] = budget
        if len(budgets) > self.settings.max_budgets:
            budgets.pop(next(iter(budgets)))
        return budget


@attrs.frozen
class AttemptState:
    """State of a request after its attempts so far.

    Attributes:
        idempotent: Whether the request may run more than once.
        attempts: Number of attempts made, including hedges.
        deadline: Time after which a response is useless.
        answering: Whether a part of a response has arrived.
    """

    idempotent: bool
    attempts: int
    deadline: float
    answering: bool = False


def may_retry(
    failure: Failure,
    attempt_state: AttemptState,
    settings: RetrySettings,
    now: float,
) -> bool:
    """Return whether another attempt is safe and may succeed.

    A request that is not idempotent is only retried if it is known not to
    have run.
    """
    if (
        attempt_state.attempts >= settings.max_attempts
        or now >= attempt_state.deadline
    ):
        return False
    if not isinstance(failure, _TRANSIENT):
        return False
    return attempt_state.idempotent or failure.outcome == Outcome.not_run


def backoff_seconds(
    attempts: int,
    rng: Random,
    settings: RetrySettings,
) -> float:
    """Return the delay before the next attempt in seconds.

    It is an exponential backoff with full jitter: uniformly distributed
    between 0 and the bound, so that requests that failed at the same time
    are not retried at the same time.
    """
    doublings = min(max(0, attempts - 1), _MAX_DOUBLINGS)
    bound = settings.backoff_seconds * (1 << doublings)
    return rng.random() * min(bound, settings.max_backoff_seconds)


def hedge_at(
    sent_at: float,
    ready_at: float,
    settings: RetrySettings,
) -> float:
    """Return the time at which a hedged request may be sent.

    Args:
        sent_at: Time at which the first attempt was sent.
        ready_at: Expected time of its first token or byte.
        settings: Settings of retries and hedges.
    """
    expected = (ready_at - sent_at) * settings.hedge_factor
    return sent_at + max(settings.min_hedge_seconds, expected)


def may_hedge(
    attempt_state: AttemptState,
    settings: RetrySettings,
    now: float,
) -> bool:
    """Return whether a hedged request may run beside the first attempt.

    The hedged request also needs a retry from the budgets. It is covered
    by the charge of the first attempt.
    """
    if not attempt_state.idempotent or attempt_state.answering:
        return False
    return (
        attempt_state.attempts < settings.max_attempts
        and now < attempt_state.deadline
    )
