"""Figures of a measurement, computed from what its callers saw."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from typing import Final

import attrs

# A deployment with more open requests than this share of its live decode
# slots has no capacity to spare.
SPARE_SHARE: Final = 0.9
TAIL: Final = 0.95


@attrs.frozen
class Contracted:
    """What a client account was promised."""

    rate: float
    burst: float
    first_token_seconds: float
    between_tokens_seconds: float


@attrs.frozen
class Outcome:
    """What became of one offered request; instants are since the start.

    Attributes:
        at: When it was offered.
        ended_at: When its caller had the answer or the failure.
        cost: Tokens that its account is charged.
        cancel: Whether its caller gives up early on purpose.
        accepted: Whether an answer began.
        whole: Whether the answer came to its end.
        code: Code of the failure, '' without one.
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
    """A prefill or decode as an engine recorded it."""

    run_id: str
    kind: str
    prompt_tokens: int
    cached_tokens: int
    output_tokens: int


@attrs.define
class PerfectCounter:
    """One token bucket that sees every request of an account at once."""

    rate: float
    burst: float
    level: float
    refilled_at: float = 0

    def admit(self, cost: float, now: float) -> bool:
        """Take the cost where the level holds it."""
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
    """Return the requests that a perfect counter would let in."""
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
    """Return the smallest number that a share of all do not exceed."""
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
    """Return whether an answer began and its caller never got the rest."""
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
    """Return the smallest share served well, relative to the mean share."""
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
    """Return the prompt tokens computed for runs that decoded nothing."""
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
    """Return in-rate requests refused while capacity remained.

    Args:
        outcomes: All requests.
        inside: The requests that a perfect counter lets in.
        slots: Live decode slots from an instant on, in order.
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
