"""Retry budgets of an entry, shared by all its requests."""

from __future__ import annotations

import random
import threading

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure, Outcome
from gypsumrelay_routing import (
    AttemptState,
    RetryBudgets,
    backoff_seconds,
    may_retry,
)


@attrs.define
class RetryPolicy:
    """Retry budgets and backoff.

    Attributes:
        budgets: Retry budgets by client account and by upstream.
        rng: Random generator of the backoff's jitter.
        lock: Protects the other attributes.
    """

    budgets: RetryBudgets = attrs.field(factory=RetryBudgets)
    rng: random.Random = attrs.field(factory=random.Random)
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def record_first_attempt(self, client_account: str, upstream: str) -> None:
        """Add the share of a request's first attempt to the budgets."""
        with self.lock:
            self.budgets.record_first_attempt(
                client_account,
                upstream,
                monotonic(),
            )

    def allow(
        self,
        failure: Failure,
        attempt_state: AttemptState,
        client_account: str,
        upstream: str,
    ) -> bool:
        """Return whether a failed attempt may be retried.

        The budgets limit the retries of rejected attempts, which would
        amplify the load of an overloaded deployment. Retries of attempts
        that may have run are limited by the number of attempts alone, since
        the failure of an availability zone ends more requests at once than
        any budget allows to retry.
        """
        now = monotonic()
        settings = self.budgets.settings
        if failure.outcome is not Outcome.not_run:
            return True
        if not may_retry(failure, attempt_state, settings, now):
            return False
        with self.lock:
            return self.budgets.try_spend(client_account, upstream, now)

    def next_attempt_at(self, attempts: int) -> float:
        """Return the monotonic time of the next attempt, after a backoff."""
        with self.lock:
            delay = backoff_seconds(attempts, self.rng, self.budgets.settings)
        return monotonic() + delay
