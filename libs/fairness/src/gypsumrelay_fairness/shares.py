"""Recent consumption of client accounts relative to their contracted rate."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

# Time constant in seconds of the consumption: half of the window in which
# contracts are checked, so that a burst counts while it lasts.
USAGE_SECONDS: Final = 4.0
# Highest level of excess; beyond eight times its rate an account is not told
# apart from others.
MAX_EXCESS: Final = 4
# Accounts whose consumption is kept; the least recently used ones are dropped.
MAX_ACCOUNTS: Final = 4096


@attrs.define
class Usage:
    """Tokens that an account consumed, decayed exponentially."""

    tokens: float
    observed_at: float


@attrs.define
class Shares:
    """Recent consumption, by account; the least recent consumer is first."""

    usages: dict[str, Usage] = attrs.field(factory=dict)


def consume(shares: Shares, account: str, tokens: float, now: float) -> None:
    """Count tokens that an account consumed."""
    used = _used(shares, account, now)
    shares.usages.pop(account, None)
    if len(shares.usages) >= MAX_ACCOUNTS:
        shares.usages.pop(next(iter(shares.usages)))
    shares.usages[account] = Usage(used + tokens, now)


def share(shares: Shares, account: str, rate: float, now: float) -> float:
    """Return the recent consumption of an account relative to its contract.

    Args:
        shares: Recent consumption of all accounts.
        account: The account.
        rate: Its contracted rate in tokens per second; 0 for no limit.
        now: The present instant.

    Returns:
        1 for an account that consumes its rate; 0 without a contracted rate.
    """
    if rate <= 0:
        return 0
    return _used(shares, account, now) / (rate * USAGE_SECONDS)


def excess_level(shares: Shares, account: str, rate: float, now: float) -> int:
    """Return how far an account is above its rate; 0 if it is within it.

    The levels are doublings, so that small differences do not override the
    due times of requests.
    """
    ratio = share(shares, account, rate, now)
    if ratio <= 1:
        return 0
    return min(MAX_EXCESS, 1 + int(math.log2(ratio)))


def current_shares(
    shares: Shares, rates: Mapping[str, float], now: float
) -> dict[str, float]:
    """Return the shares of the accounts that consumed something recently."""
    found = {
        account: share(shares, account, rates.get(account, 0), now)
        for account in shares.usages
    }
    return {account: ratio for account, ratio in found.items() if ratio > 0}


def _used(shares: Shares, account: str, now: float) -> float:
    usage = shares.usages.get(account)
    if usage is None:
        return 0
    elapsed = max(0, now - usage.observed_at)
    return usage.tokens * math.exp(-elapsed / USAGE_SECONDS)
