"""Progress of all roll-outs, from their orders to their ends."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from collections.abc import Set as AbstractSet

from gypsumrelay_rollouts.decision import advance, is_due, move, note_refusal
from gypsumrelay_rollouts.orders import IN_FORCE, Order, refusal
from gypsumrelay_rollouts.rollout import Change, Rollout, Situation, Stage
from gypsumrelay_rollouts.state import Rollouts
from gypsumrelay_rollouts.versions import (
    bar_version,
    keep_others,
    put_in_force,
    release_held,
)


def apply_orders(
    rollouts: Rollouts, orders: Mapping[str, Order], now: float
) -> None:
    """Apply the operator's orders.

    An order that is no longer recorded goes on: a store that was restored from
    an older copy may have lost it.
    """
    if not rollouts.bounds.enabled:
        return
    for service, order in orders.items():
        if rollouts.orders.get(service) != order:
            rollouts.orders[service] = order
            _replace(rollouts, order, now)


def advance_all(
    rollouts: Rollouts,
    services: AbstractSet[str],
    situation: Callable[[Rollout], Situation],
    now: float,
) -> None:
    """Take the decisions that are due; their changes are kept for the log.

    Args:
        rollouts: The roll-outs.
        services: The configured services.
        situation: Returns what the coordinator sees of a roll-out's service.
        now: The present instant.
    """
    release_held(rollouts, now)
    if not rollouts.is_leading or not rollouts.is_status_known:
        return
    for rollout in list(rollouts.current.values()):
        change = None
        if rollout.stage is Stage.ordered:
            change = _begin(rollouts, rollout, services, now)
        elif rollout.is_on_trial and is_due(rollout, now):
            change = advance(rollout, situation(rollout), rollouts.bounds, now)
            change = change or note_refusal(rollout)
        if change is not None:
            _apply_change(rollouts, change)


def _replace(rollouts: Rollouts, order: Order, now: float) -> None:
    """Replace the order of a service."""
    service = order.service
    former = rollouts.current.get(service)
    if former is not None and former.is_final:
        former = None
    deadline = now + order.duration_seconds
    if former is not None and order.fault:
        former.refusal = order.fault
        former.is_refusal_noted = False
    elif former is not None and former.order.version == order.version:
        former.order = order
        former.deadline = deadline
    else:
        rollouts.current[service] = Rollout(order, deadline, former=former)
        if not order.fault:
            keep_others(rollouts, service, order.version)


def _begin(
    rollouts: Rollouts,
    rollout: Rollout,
    services: AbstractSet[str],
    now: float,
) -> Change | None:
    order = rollout.order
    in_force = rollouts.in_force.get(order.service, frozenset())
    former = rollout.former
    reason = refusal(order, services, in_force)
    if reason == IN_FORCE and former is not None:
        bar_version(rollouts, order.service, former.order.version)
        rollout.is_trusted = True
        return move(rollout, Stage.draining, 'former order taken back', now)
    if reason:
        rollout.refusal = reason
        change = move(rollout, Stage.refused, reason, now)
        if former is not None:
            former.refusal = reason
            former.is_refusal_noted = True
            rollouts.current[order.service] = former
        return change
    if not in_force:
        # The list of upstreams has not been read.
        return None
    if former is not None:
        bar_version(rollouts, order.service, former.order.version)
    barred = rollouts.barred.get(order.service, frozenset())
    rollouts.barred[order.service] = barred - {order.version}
    return move(rollout, Stage.canary, 'order', now)


def _apply_change(rollouts: Rollouts, change: Change) -> None:
    rollouts.changes.append(change)
    order = change.order
    if change.stage is Stage.completed:
        put_in_force(rollouts, order.service, order.version)
    elif change.stage is Stage.reverted:
        bar_version(rollouts, order.service, order.version)
