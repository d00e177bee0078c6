"""Order of waiting requests by what waiting and failing cost each caller."""

from __future__ import annotations

from typing import Final, NamedTuple

import attrs

from gypsumrelay_fairness.outcomes import (
    Group,
    GroupKind,
    Outcomes,
    starved_kinds,
)
from gypsumrelay_fairness.shares import Shares, excess_level

# Ranks by which a request that is late already falls back. The value of an
# answer in time about halves from rank to rank (17, 8.9 and 4.4 for qpl), and a
# late one is worth about a fifth: a late request of one rank is worth as much
# as a request in time two ranks below it.
LATE_RANKS: Final = 2
# Bound of the delay by cost, as a multiple of the average cost.
MAX_COST_RATIO: Final = 3.0


class OrderKey(NamedTuple):
    """Sort key of a waiting request, compared by its fields in their order.

    Attributes:
        is_overdrawn: Whether the account's bucket is overdrawn.
        tier: Requests that have begun, then ranks; late ones fall back.
        is_new: Whether neither the caller returned nor a group is starved.
        excess: How far the account is above its rate.
        has_time: Whether it does not have to start soon to be in time.
        due: Its objective, delayed by its cost.
        arrived_at: Instant of its arrival.
        key: Key of the attempt, so that no two requests are equal.
    """

    is_overdrawn: bool
    tier: int
    is_new: bool
    excess: int
    has_time: bool
    due: float
    arrived_at: float
    key: tuple[str, int]


@attrs.frozen
class OrderPolicy:
    """Figures that the order depends on.

    Attributes:
        urgent_seconds: Time before the latest start below which a request is
            served before others of its rank.
        first_token_seconds: Time from the start of a request with a prompt to
            its first token.
        cost_delay_seconds: Delay of a request of mean cost in the order.
    """

    urgent_seconds: float
    first_token_seconds: float
    cost_delay_seconds: float


@attrs.frozen
class Waiting:
    """A waiting request, as the order sees it.

    Attributes:
        key: Key of the attempt, unique among the waiting ones.
        account: Client account; empty for none.
        rate: Contracted rate of the account in tokens per second; 0 for none.
        rank: Rank of the request; 0 highest.
        arrived_at: Instant of its arrival.
        objective_at: Instant of its latency objective.
        cost_ratio: Its cost relative to the mean; 0 without a prompt.
        has_begun: Whether upstreams have worked on it already: a stream that
            is resumed, or a request whose prefill is complete.
        is_overdrawn: Whether the bucket of its account is overdrawn.
        has_returned: Whether its caller was rejected with a retry time.
        groups: Groups that must not be starved.
    """

    key: tuple[str, int]
    account: str
    rate: float
    rank: int
    arrived_at: float
    objective_at: float
    cost_ratio: float
    has_begun: bool
    is_overdrawn: bool
    has_returned: bool
    groups: tuple[Group, ...] = ()


def latest_start(policy: OrderPolicy, waiting: Waiting) -> float:
    """Return the instant until which a request has to start to be in time."""
    if waiting.cost_ratio:
        return waiting.objective_at - policy.first_token_seconds
    return waiting.objective_at


def is_late(policy: OrderPolicy, waiting: Waiting, now: float) -> bool:
    """Return whether a request misses its objective even if it starts now."""
    return latest_start(policy, waiting) <= now


def is_nearly_late(policy: OrderPolicy, waiting: Waiting, now: float) -> bool:
    """Return whether a request has to start soon to be in time."""
    slack = latest_start(policy, waiting) - now
    return 0 < slack < policy.urgent_seconds


def order_key(
    policy: OrderPolicy,
    shares: Shares,
    outcomes: Outcomes,
    waiting: Waiting,
    now: float,
) -> OrderKey:
    """Return the sort key of a waiting request; the lowest is served first.

    First come requests that have begun, since their work would be lost. Then,
    by rank, those in time before those two ranks above that are late already.
    Within a rank, callers that return to promised capacity come first, then
    accounts within their contracted rate, then the first due; costly requests
    are delayed. Requests of overdrawn accounts come last. A request of a
    starved group loses no place through its cost or the consumption of its
    account; if its rank is starved, it is ordered as if it had the highest.
    Late requests get no more, since they would displace others that can still
    be in time.
    """
    starved = starved_kinds(outcomes, waiting.groups, now)
    is_exempt = bool(starved) or waiting.has_begun
    tier = _tier(policy, waiting, starved, now)
    excess = 0
    if not is_exempt:
        excess = excess_level(shares, waiting.account, waiting.rate, now)
    nearly_late = is_nearly_late(policy, waiting, now)
    delay: float = 0
    if not is_exempt:
        ratio = min(MAX_COST_RATIO, waiting.cost_ratio)
        delay = ratio * policy.cost_delay_seconds
    return OrderKey(
        waiting.is_overdrawn and not is_exempt,
        tier,
        not (waiting.has_returned or bool(starved - {GroupKind.size})),
        excess,
        not nearly_late,
        waiting.objective_at + delay,
        waiting.arrived_at,
        waiting.key,
    )


def reserves_capacity(
    policy: OrderPolicy, waiting: Waiting, now: float
) -> bool:
    """Return whether later requests leave capacity for a waiting one.

    Without that, a large request never finds enough memory: smaller ones take
    each part that becomes free.
    """
    if waiting.has_begun or waiting.has_returned:
        return True
    return is_nearly_late(policy, waiting, now)


def _tier(
    policy: OrderPolicy,
    waiting: Waiting,
    starved: frozenset[GroupKind],
    now: float,
) -> int:
    if waiting.has_begun:
        return 0
    if GroupKind.rank in starved:
        return 1
    rank = 1 + max(0, waiting.rank)
    # A caller that returns is late through an earlier rejection.
    if waiting.has_returned or not is_late(policy, waiting, now):
        return rank
    return rank + LATE_RANKS
