"""Which failures are tried again, how often, when, and hedging."""

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

# Failures of one upstream or path; another one may do better. All others
# are about the request or the account and would be the same again.
_TRANSIENT: Final = (
    Draining,
    LinkClosed,
    NoUpstream,
    OutcomeUnknown,
    Overloaded,
    UpstreamFailed,
)

# Far beyond any useful delay; keeps the delay's bound a sensible number.
_MAX_DOUBLINGS: Final = 20


@attrs.frozen
class RetrySettings:
    """Settings of retries and hedges.

    Attributes:
        ratio: Retries per first attempt.
        minimum_per_second: Retries that are allowed without traffic.
        burst: Retries that can be saved up.
        max_attempts: Attempts per request, the first one included.
        backoff_seconds: Mean delay bound of the first retry; it doubles.
        max_backoff_seconds: Largest delay bound.
        hedge_factor: Multiple of the expected time after which a hedge is
            sent.
        min_hedge_seconds: Earliest hedge after the first attempt.
        max_budgets: Budgets that are kept for accounts, and for upstreams.
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
    """Retries that one account or upstream has left."""

    settings: RetrySettings
    level: float
    refilled_at: float

    def count_first(self, now: float) -> None:
        """Earn the share of a retry for a first attempt."""
        self.refill(now)
        self._earn(self.settings.ratio)

    def refill(self, now: float) -> None:
        """Earn the minimum for the time that has passed."""
        elapsed = max(0, now - self.refilled_at)
        self.refilled_at = max(now, self.refilled_at)
        self._earn(elapsed * self.settings.minimum_per_second)

    def _earn(self, amount: float) -> None:
        self.level = min(self.settings.burst, self.level + amount)


@attrs.define
class RetryBudgets:
    """Retry budgets by account and by upstream.

    Both have to allow a retry: the account's budget keeps one account from
    multiplying its load, the upstream's keeps all accounts together from
    multiplying the load of an upstream in trouble.
    """

    settings: RetrySettings = attrs.field(factory=RetrySettings)
    accounts: dict[str, RetryBudget] = attrs.field(factory=dict)
    upstreams: dict[str, RetryBudget] = attrs.field(factory=dict)

    def count_first(
        self,
        client_account: str,
        upstream: str,
        now: float,
    ) -> None:
        """Count a first attempt."""
        self._budget(self.accounts, client_account, now).count_first(now)
        self._budget(self.upstreams, upstream, now).count_first(now)

    def take(self, client_account: str, upstream: str, now: float) -> bool:
        """Take one retry or hedge from both budgets, or from neither."""
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
        # Inserted again at the end, so that the first is the least used.
        budget = budgets.pop(name, None)
        if budget is None:
            budget = RetryBudget(self.settings, self.settings.burst, now)
        budgets[name] = budget
        if len(budgets) > self.settings.max_budgets:
            budgets.pop(next(iter(budgets)))
        return budget


@attrs.frozen
class Attempted:
    """What was tried for a request so far.

    Attributes:
        idempotent: Whether running it twice does no harm.
        attempts: Attempts made, hedges included.
        deadline: Instant after which an answer is of no use.
        answering: Whether a part of an answer has arrived.
    """

    idempotent: bool
    attempts: int
    deadline: float
    answering: bool = False


def may_retry(
    failure: Failure,
    attempted: Attempted,
    settings: RetrySettings,
    now: float,
) -> bool:
    """Return whether another attempt is safe and can help.

    Work that is not idempotent is tried again only where it is known not
    to have run.
    """
    if attempted.attempts >= settings.max_attempts or now >= attempted.deadline:
        return False
    if not isinstance(failure, _TRANSIENT):
        return False
    return attempted.idempotent or failure.outcome == Outcome.not_run


def backoff_seconds(
    attempts: int,
    rng: Random,
    settings: RetrySettings,
) -> float:
    """Return the delay before the next attempt, evenly spread from 0.

    The full spread keeps requests that failed together from returning
    together.
    """
    doublings = min(max(0, attempts - 1), _MAX_DOUBLINGS)
    bound = settings.backoff_seconds * (1 << doublings)
    return rng.random() * min(bound, settings.max_backoff_seconds)


def hedge_at(
    sent_at: float,
    ready_at: float,
    settings: RetrySettings,
) -> float:
    """Return when a second copy may be sent if nothing has arrived."""
    expected = (ready_at - sent_at) * settings.hedge_factor
    return sent_at + max(settings.min_hedge_seconds, expected)


def may_hedge(
    attempted: Attempted,
    settings: RetrySettings,
    now: float,
) -> bool:
    """Return whether a second copy may run beside the first.

    The copy also needs a retry from the budgets and runs inside the charge
    of the first one.
    """
    if not attempted.idempotent or attempted.answering:
        return False
    return (
        attempted.attempts < settings.max_attempts and now < attempted.deadline
    )
