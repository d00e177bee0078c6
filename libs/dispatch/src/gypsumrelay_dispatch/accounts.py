"""Fleet-wide token buckets of the client accounts."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_buckets import Bucket, BucketSize, refill, resize

from gypsumrelay_dispatch.models import AccountLimits

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Seconds for which charges of earlier coordinators are kept, so that later
# reports of other instances are added to them.
RESTORED_SECONDS: Final = 10.0
# Interval in seconds over which these charges are added up; bounds their number
# in large fleets.
INTERVAL_SECONDS: Final = 0.2


@attrs.define
class Accounts:
    """Token buckets of the client accounts that have a limit, by name.

    Attributes:
        buckets: The buckets.
        restored: Charges of earlier coordinators, as tokens by instant.
    """

    buckets: dict[str, Bucket] = attrs.field(factory=dict)
    restored: dict[str, Counter[float]] = attrs.field(
        factory=lambda: defaultdict(Counter)
    )


def set_accounts(
    accounts: Accounts,
    limits: Iterable[AccountLimits],
    now: float,
) -> None:
    """Apply the limits of a configuration.

    The bucket of a new account is full. An existing bucket keeps its level,
    so that a change of the configuration does not refill it.
    """
    sizes = {
        limit.name: BucketSize(limit.tokens_per_second, limit.burst_tokens)
        for limit in limits
        if limit.tokens_per_second > 0
    }
    for gone in accounts.buckets.keys() - sizes.keys():
        accounts.buckets.pop(gone)
        accounts.restored.pop(gone, None)
    for name, size in sizes.items():
        bucket = accounts.buckets.get(name)
        if bucket is None:
            accounts.buckets[name] = Bucket(size, now, level=size.burst)
        else:
            resize(bucket, size, now)


def retry_after(
    accounts: Accounts,
    name: str,
    overdraft: float,
    now: float,
) -> float | None:
    """Return when an account may send again; None if it may send now.

    Args:
        accounts: The buckets.
        name: The account.
        overdraft: Tokens by which a bucket may be overdrawn. A single
            request may exceed it, since a request larger than the burst
            could never run otherwise; the debt delays the next request.
        now: The present instant.
    """
    bucket = accounts.buckets.get(name)
    if bucket is None:
        return None
    refill(bucket, now)
    missing = -overdraft - bucket.level
    if missing < 0 or not bucket.size.rate:
        return None
    return now + missing / bucket.size.rate


def is_overdrawn(accounts: Accounts, name: str) -> bool:
    """Return whether an account's bucket is overdrawn."""
    bucket = accounts.buckets.get(name)
    return bucket is not None and bucket.level < 0


def level(accounts: Accounts, name: str) -> float:
    """Return the tokens in an account's bucket; 0 without a limit."""
    bucket = accounts.buckets.get(name)
    return bucket.level if bucket else 0


def size_of(accounts: Accounts, name: str) -> BucketSize | None:
    """Return rate and burst of an account; None without a limit."""
    bucket = accounts.buckets.get(name)
    return bucket.size if bucket else None


def charge(accounts: Accounts, name: str, tokens: int) -> None:
    """Charge an admitted request to its account."""
    bucket = accounts.buckets.get(name)
    if bucket is not None:
        bucket.level -= tokens


def restore_charges(
    accounts: Accounts,
    name: str,
    charges: Mapping[float, int],
    now: float,
) -> None:
    """Charge an account for what earlier coordinators admitted.

    The reports of several instances add up to one history; the bucket is
    debited by what that history lacks in refill.

    Args:
        accounts: The buckets.
        name: The account.
        charges: Charged tokens, by instant.
        now: The present instant.
    """
    bucket = accounts.buckets.get(name)
    if bucket is None:
        return
    refill(bucket, now)
    restored = accounts.restored[name]
    for at in tuple(restored):
        if at < now - RESTORED_SECONDS:
            restored.pop(at)
    bucket.level += _deficit(restored, bucket.size.rate, now)
    for at, tokens in charges.items():
        restored[_interval_end(at)] += tokens
    bucket.level -= _deficit(restored, bucket.size.rate, now)


def _interval_end(at: float) -> float:
    """Return the end of the interval, so that no charge counts as older."""
    return math.ceil(at / INTERVAL_SECONDS) * INTERVAL_SECONDS


def _deficit(charges: Mapping[float, int], rate: float, now: float) -> float:
    """Return the tokens by which a full bucket falls below its burst."""
    total = 0
    deficit: float = 0
    for at in sorted(charges, reverse=True):
        total += charges[at]
        deficit = max(deficit, total - rate * max(0, now - at))
    return deficit


def refund(accounts: Accounts, name: str, tokens: int) -> None:
    """Refund a request that no upstream ran, up to the burst."""
    bucket = accounts.buckets.get(name)
    if bucket is not None:
        bucket.level = min(bucket.level + tokens, bucket.size.burst)
