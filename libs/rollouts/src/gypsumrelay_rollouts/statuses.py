"""What the statuses in the store tell a new coordinator."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

import attrs

from gypsumrelay_rollouts.orders import (
    IN_FORCE,
    Order,
    State,
    Status,
    is_status_of,
)
from gypsumrelay_rollouts.rollout import Rollout, Stage, status_of
from gypsumrelay_rollouts.state import Rollouts
from gypsumrelay_rollouts.versions import (
    bar_version,
    keep_others,
    put_in_force,
    restore_others,
)

MS_PER_SECOND: Final = 1000


def apply_statuses(
    rollouts: Rollouts, statuses: Mapping[str, Status], left_seconds: float
) -> None:
    """Apply the statuses in the store.

    Once they are known, only the end of a roll-out that another coordinator
    has decided is news.

    Args:
        rollouts: The roll-outs.
        statuses: The statuses, by service.
        left_seconds: The present instant less the present Unix time, both in
            seconds; converts the deadlines.
    """
    if rollouts.is_status_known:
        _apply_ends(rollouts, statuses, left_seconds)
        return
    rollouts.is_status_known = True
    for service, status in statuses.items():
        rollout = rollouts.current.get(service)
        is_running = status.state is State.running
        if rollout is not None and is_status_of(status, rollout.order):
            _apply_status(rollouts, rollout, status, left_seconds)
        elif is_running and status.refusal and _is_refused(rollout):
            # The order that was refused did not replace the running one.
            order = Order(service, status.version, status.duration_seconds)
            running = Rollout(order, float('inf'))
            rollouts.current[service] = running
            versions = rollouts.listed.get(service, frozenset())
            rollouts.in_force[service] = versions or frozenset((order.version,))
            keep_others(rollouts, service, order.version)
            _apply_status(rollouts, running, status, left_seconds)
        else:
            _apply_former(rollouts, service, status)


def _apply_ends(
    rollouts: Rollouts, statuses: Mapping[str, Status], left_seconds: float
) -> None:
    for service, status in statuses.items():
        rollout = rollouts.current.get(service)
        if rollout is None or status.refusal or rollout.refusal:
            continue
        is_end = status.state is not State.running
        is_news = is_end and status.state is not status_of(rollout).state
        if is_news and is_status_of(status, rollout.order):
            _apply_status(rollouts, rollout, status, left_seconds)


def _is_refused(rollout: Rollout | None) -> bool:
    if rollout is None or rollout.former is not None:
        return False
    is_checked = rollout.stage not in {Stage.ordered, Stage.refused}
    return not is_checked


def _apply_status(
    rollouts: Rollouts, rollout: Rollout, status: Status, left_seconds: float
) -> None:
    """Apply the status of a roll-out."""
    service = status.service
    rollout.written = attrs.evolve(status, deadline_ms=0)
    rollout.refusal = status.refusal
    if status.deadline_ms:
        deadline = status.deadline_ms / MS_PER_SECOND + left_seconds
        rollout.deadline = min(rollout.deadline, deadline)
    if status.state is State.completed:
        rollout.stage = Stage.completed
        put_in_force(rollouts, service, status.version)
    elif status.state is State.reverted:
        _apply_reversal(rollouts, rollout, status)
    elif status.takes_back:
        rollout.is_trusted = True
        rollout.stage = Stage.draining
        rollouts.in_force[service] = frozenset((status.version,))
    elif not rollout.exposure.requests:
        rollout.exposure.is_partial = True


def _apply_reversal(
    rollouts: Rollouts, rollout: Rollout, status: Status
) -> None:
    if not status.refusal:
        rollout.stage = Stage.reverted
        bar_version(rollouts, status.service, status.version)
        restore_others(rollouts, status.service, status.version)
        return
    rollout.stage = Stage.refused
    if status.refusal == IN_FORCE:
        rollouts.in_force[status.service] = frozenset((status.version,))


def _apply_former(rollouts: Rollouts, service: str, status: Status) -> None:
    """Apply the status of a roll-out whose order was replaced or removed."""
    if status.refusal or not status.version:
        return
    rollout = rollouts.current.get(service)
    if status.state is State.completed:
        if rollout is not None:
            rollout.former = None
        known = rollouts.in_force.get(service)
        if known is None or status.version in known:
            rollouts.in_force[service] = frozenset((status.version,))
        return
    bar_version(rollouts, service, status.version)
    is_running = status.state is State.running
    if rollout is not None and not rollout.is_final and is_running:
        order = Order(service, status.version, status.duration_seconds)
        rollout.former = rollout.former or Rollout(order, rollout.deadline)
