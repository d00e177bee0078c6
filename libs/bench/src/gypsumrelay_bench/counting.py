"""Metrics of a benchmark run, computed from its callers' observations."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from typing import Final

import attrs

# Share of the live decode slots in use above which a deployment is
# considered to have no spare capacity.
SPARE_SHARE: Final = 0.9
TAIL: Final = 0.95


@attrs.frozen
class Contracted:
    """Rate limit and latency targets of a client account."""

    rate: float
    burst: float
    first_token_seconds: float
    between_tokens_seconds: float


@attrs.frozen
class Outcome:
    """Result of one offered request; times in seconds since the start.

    Attributes:
        at: Time of the offer.
        ended_at: Time at which its caller had the whole response or failure.
        cost: Tokens charged to its account.
        cancel: Whether its caller cancels it on purpose.
        accepted: Whether a response started.
        whole: Whether the response was complete.
        code: Error code, or '' without a failure.
    """

    request_id: str
    account: str
    at: float
    ended_at: float
    cost: int
    cancel: bool = False
    accepted: bool = False
    whole: bool = False
    code: str = ''
    first_seconds: float = math.inf
    gaps: tuple[float, ...] = ()
    late_seconds: float = 0


@attrs.frozen
class Run:
    """A prefill or decode recorded by an engine."""

    run_id: str
    kind: str
    prompt_tokens: int
    cached_tokens: int
    output_tokens: int


@attrs.define
class PerfectCounter:
    """Token bucket that sees all requests of an account without delay."""

    rate: float
    burst: float
    level: float
    refilled_at: float = 0

    def admit(self, cost: float, now: float) -> bool:
        """Take the cost from the bucket; return False if the level is lower."""
        elapsed = now - self.refilled_at
        self.level = min(self.burst, self.level + elapsed * self.rate)
        self.refilled_at = now
        if cost > self.level:
            return False
        self.level -= cost
        return True


def admitted(
    outcomes: Iterable[Outcome],
    contracts: dict[str, Contracted],
) -> set[str]:
    """Return the ids of the requests that a perfect counter admits."""
    counters = {
        name: PerfectCounter(contract.rate, contract.burst, contract.burst)
        for name, contract in contracts.items()
    }
    return {
        one.request_id
        for one in sorted(outcomes, key=lambda outcome: outcome.at)
        if counters[one.account].admit(one.cost, one.at)
    }


def quantile(numbers: Sequence[float], share: float) -> float:
    """Return the smallest number that the given share does not exceed."""
    if not numbers:
        return 0
    ordered = sorted(numbers)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def is_good(outcome: Outcome, contract: Contracted) -> bool:
    """Return whether a request was served within both latency targets."""
    return (
        outcome.whole
        and outcome.first_seconds <= contract.first_token_seconds
        and quantile(outcome.gaps, TAIL) <= contract.between_tokens_seconds
    )


def is_lost(outcome: Outcome) -> bool:
    """Return whether a response started but ended early, uncancelled."""
    return outcome.accepted and not outcome.whole and not outcome.cancel


def in_rate_accounts(
    outcomes: Sequence[Outcome],
    inside: set[str],
) -> set[str]:
    """Return the accounts that never exceeded their rate and burst."""
    exceeding = {
        one.account for one in outcomes if one.request_id not in inside
    }
    return {one.account for one in outcomes} - exceeding


def worst_served(
    outcomes: Sequence[Outcome],
    contracts: dict[str, Contracted],
    accounts: set[str],
) -> float:
    """Return the lowest share within targets, relative to the mean share."""
    shares = []
    for account in sorted(accounts):
        own = [
            one for one in outcomes if one.account == account and not one.cancel
        ]
        good = sum(is_good(one, contracts[account]) for one in own)
        shares.append(good / max(1, len(own)))
    mean = sum(shares) / max(1, len(shares))
    return min(shares) / mean if mean else 0


def wasted_tokens(runs: Sequence[Run]) -> int:
    """Return the prompt tokens computed for runs without decoded tokens."""
    decoded = {
        run.run_id for run in runs if run.kind == 'decode' and run.output_tokens
    }
    return sum(
        run.prompt_tokens - run.cached_tokens
        for run in runs
        if run.kind == 'prefill' and run.run_id not in decoded
    )


def refused_with_room(
    outcomes: Sequence[Outcome],
    inside: set[str],
    slots: Sequence[tuple[float, int]],
) -> list[Outcome]:
    """Return in-rate requests rejected while there was spare capacity.

    Args:
        outcomes: All requests.
        inside: Ids of the requests that a perfect counter admits.
        slots: Start times and numbers of live decode slots, ordered by time.
    """
    refused = [
        one
        for one in outcomes
        if one.code and not one.accepted and one.request_id in inside
    ]
    return [
        one
        for one in refused
        if _open_at(outcomes, one.ended_at)
        < SPARE_SHARE * _slots_at(slots, one.ended_at)
    ]


def _open_at(outcomes: Sequence[Outcome], instant: float) -> int:
    return sum(
        one.accepted and one.at <= instant < one.ended_at for one in outcomes
    )


def _slots_at(slots: Sequence[tuple[float, int]], instant: float) -> int:
    return [count for since, count in slots if since <= instant][-1]
