"""The control budget of a node and the verdict on each cost."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from typing import Final

import attrs


class Unit(enum.Enum):
    """What a budget limits."""

    core = 'part of a core'
    memory = 'bytes'
    network = 'bytes/s'
    appends = 'appends/s'
    data = 'data, no control budget'


# Limits per process from section 3 of the design. The log service takes
# several hundred appends per second; 300 is the lower end of that.
LIMITS: Final = {
    Unit.core: 0.01,
    Unit.memory: 128_000_000,
    Unit.network: 3000,
    Unit.appends: 300,
}


@attrs.frozen
class Cost:
    """One cost of one role at the target size.

    Attributes:
        role: Whose cost it is.
        name: What causes it.
        unit: What it uses.
        amount: How much, in the unit.
        basis: `measured`, `computed` or `designed`.
        working: How the amount follows from slopes and scale.
    """

    role: str
    name: str
    unit: Unit
    amount: float
    basis: str
    working: str


@attrs.frozen
class Judged:
    """A cost, or the sum of a role's costs, against its limit."""

    cost: Cost
    limit: float | None
    passed: bool | None


def judge(cost: Cost) -> Judged:
    """Compare a cost with the limit of its unit; exactly the limit passes."""
    limit = LIMITS.get(cost.unit)
    if limit is None:
        return Judged(cost, None, None)
    return Judged(cost, limit, cost.amount <= limit)


def sum_costs(costs: Iterable[Cost]) -> tuple[Cost, ...]:
    """Return the sum of each role's costs in each unit with a limit."""
    sums: dict[tuple[str, Unit], float] = {}
    for cost in costs:
        if cost.unit in LIMITS:
            place = (cost.role, cost.unit)
            sums[place] = sums.get(place, 0) + cost.amount
    return tuple(
        Cost(role, 'all rows together', unit, amount, 'computed', 'sum')
        for (role, unit), amount in sums.items()
    )
