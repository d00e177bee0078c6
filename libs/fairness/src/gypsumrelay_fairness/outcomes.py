"""How often the requests of each group are served, to prevent starvation."""

from __future__ import annotations

import enum
import math
from collections import deque
from typing import Final, NamedTuple

import attrs

# Time constant in seconds of the counts; the rules on sessions look at 8 s.
WINDOW_SECONDS: Final = 8.0
# Groups that are kept; the least recently observed ones are dropped.
MAX_GROUPS: Final = 4096
# Recent costs by which the size of a request is classified.
COSTS_KEPT: Final = 64
# Size classes: the largest tenth of a kind and the fifth below it.
LARGEST_QUANTILE: Final = 0.9
LARGE_QUANTILE: Final = 0.7


class GroupKind(enum.Enum):
    """Property that the requests of a group have in common."""

    all = 'all'
    rank = 'rank'
    account = 'account'
    session = 'session'
    size = 'size'


# Share of the reference's served part below which a group counts as starved.
# The rules demand a quarter for kinds and accounts, and half for sizes; the
# distance leaves time for the correction to take effect. Higher thresholds cost
# answers in time: 0.75 for sizes made 5 in 100 of a busy random day late.
_THRESHOLDS: Final = {
    GroupKind.rank: 0.35,
    GroupKind.account: 0.3,
    GroupKind.session: 0.3,
    GroupKind.size: 0.55,
}
# Outcomes below which a group's served part says nothing.
_MIN_OUTCOMES: Final = {
    GroupKind.rank: 4.0,
    GroupKind.account: 3.0,
    GroupKind.session: 1.5,
    GroupKind.size: 4.0,
}


class Group(NamedTuple):
    """Requests of a service that have a property in common."""

    kind: GroupKind
    service: str
    name: str


@attrs.define
class Outcome:
    """Served and rejected requests of a group, decayed exponentially."""

    served: float = 0
    rejected: float = 0
    observed_at: float = 0

    @property
    def served_part(self) -> float:
        """Return the served part of the requests; 1 without any."""
        total = self.served + self.rejected
        return self.served / total if total else 1


@attrs.define
class Outcomes:
    """Outcomes of requests.

    Attributes:
        groups: Outcomes by group; the least recently observed is first.
        starved: Groups that are served too rarely, with the instant at which
            that was found.
        costs: Recent costs of requests, by service and rank.
    """

    groups: dict[Group, Outcome] = attrs.field(factory=dict)
    starved: dict[Group, float] = attrs.field(factory=dict)
    costs: dict[tuple[str, int], deque[float]] = attrs.field(factory=dict)


def groups_of(
    outcomes: Outcomes,
    service: str,
    rank: int,
    account: str,
    session: bytes,
    cost: float,
) -> tuple[Group, ...]:
    """Return the groups of a request.

    Args:
        outcomes: Outcomes of earlier requests.
        service: Service of the request.
        rank: Its rank.
        account: Its client account; empty for none.
        session: Digest of the last shared part of its prompt; empty for none.
        cost: Its cost in any unit; 0 for one without a prompt.
    """
    found = [
        Group(GroupKind.all, service, ''),
        Group(GroupKind.rank, service, str(rank)),
    ]
    if account:
        found.append(Group(GroupKind.account, service, account))
    if session:
        found.append(Group(GroupKind.session, service, session.hex()))
    if cost:
        size = _size_class(outcomes, (service, rank), cost)
        found.append(Group(GroupKind.size, service, f'{rank} {size}'))
    return tuple(found)


def observe_cost(
    outcomes: Outcomes, service: str, rank: int, cost: float
) -> None:
    """Record the cost of a new request."""
    kept = outcomes.costs.setdefault((service, rank), deque(maxlen=COSTS_KEPT))
    kept.append(cost)


def observe_outcome(
    outcomes: Outcomes,
    groups: tuple[Group, ...],
    now: float,
    *,
    served: bool,
) -> None:
    """Record that a request was served or rejected, and update the starved."""
    for group in groups:
        outcome = outcomes.groups.pop(group, None) or Outcome(observed_at=now)
        decay = math.exp(-max(0, now - outcome.observed_at) / WINDOW_SECONDS)
        outcome.served = outcome.served * decay + served
        outcome.rejected = outcome.rejected * decay + (not served)
        outcome.observed_at = now
        if len(outcomes.groups) >= MAX_GROUPS:
            oldest = next(iter(outcomes.groups))
            outcomes.groups.pop(oldest)
            outcomes.starved.pop(oldest, None)
        outcomes.groups[group] = outcome
    for group in groups:
        if _is_below_threshold(outcomes, group):
            outcomes.starved[group] = now
        else:
            outcomes.starved.pop(group, None)


def starved_kinds(
    outcomes: Outcomes, groups: tuple[Group, ...], now: float
) -> frozenset[GroupKind]:
    """Return the properties for which a request's groups are starved."""
    if not outcomes.starved:
        return frozenset()
    return frozenset(
        group.kind
        for group in groups
        if now - outcomes.starved.get(group, float('-inf')) < WINDOW_SECONDS
    )


def _is_below_threshold(outcomes: Outcomes, group: Group) -> bool:
    threshold = _THRESHOLDS.get(group.kind)
    outcome = outcomes.groups.get(group)
    if threshold is None or outcome is None:
        return False
    if outcome.served + outcome.rejected < _MIN_OUTCOMES[group.kind]:
        return False
    reference = outcomes.groups.get(_reference(group))
    if reference is None:
        return False
    return outcome.served_part < threshold * reference.served_part


def _reference(group: Group) -> Group:
    """Return the group that another one is compared with."""
    if group.kind is GroupKind.size:
        rank = group.name.partition(' ')[0]
        return Group(GroupKind.rank, group.service, rank)
    return Group(GroupKind.all, group.service, '')


def _size_class(outcomes: Outcomes, kind: tuple[str, int], cost: float) -> str:
    costs = outcomes.costs.get(kind)
    if not costs:
        return 'usual'
    below = sum(other < cost for other in costs) / len(costs)
    if below >= LARGEST_QUANTILE:
        return 'largest'
    return 'large' if below >= LARGE_QUANTILE else 'usual'
