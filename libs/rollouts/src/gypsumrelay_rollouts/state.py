"""Roll-outs of all services, as a coordinator keeps them."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from collections.abc import Set as AbstractSet
from typing import Final

import attrs

from gypsumrelay_rollouts.decision import (
    Change,
    Rollout,
    Situation,
    Stage,
    advance,
    is_due,
    move,
    note_refusal,
    status_of,
)
from gypsumrelay_rollouts.evidence import Evidence, Summary
from gypsumrelay_rollouts.evidence import restore as restore_evidence
from gypsumrelay_rollouts.exposure import Bounds, restore_exposure
from gypsumrelay_rollouts.orders import (
    IN_FORCE,
    Order,
    State,
    Status,
    is_status_of,
    refusal,
)

MS_PER_SECOND: Final = 1000
# Time in seconds after an answer of the store for which it counts as available;
# it is asked every second while a roll-out runs.
STORE_SECONDS: Final = 2.5


@attrs.define
class Rollouts:
    """Roll-outs of all services.

    Attributes:
        bounds: Bounds of the exposure.
        in_force: Versions that may get all requests, by service; a service
            without an entry has not been listed yet.
        listed: Versions of the listed upstreams, by service.
        orders: The last order of each service.
        current: The last roll-out of each service.
        is_leading: Whether this instance coordinates.
        is_status_known: Whether the statuses in the store were read since this
            instance began to coordinate.
        store_seen_at: Instant of the store's last answer.
        changes: Changes that have not been logged yet.
    """

    bounds: Bounds = attrs.field(factory=Bounds)
    in_force: dict[str, frozenset[str]] = attrs.field(factory=dict)
    listed: dict[str, frozenset[str]] = attrs.field(factory=dict)
    orders: dict[str, Order] = attrs.field(factory=dict)
    current: dict[str, Rollout] = attrs.field(factory=dict)
    is_leading: bool = False
    is_status_known: bool = False
    store_seen_at: float = float('-inf')
    changes: list[Change] = attrs.field(factory=list)

    def is_store_available(self, now: float) -> bool:
        """Return whether the store answered recently."""
        return now < self.store_seen_at + STORE_SECONDS


@attrs.frozen
class Report:
    """What an instance knows of a roll-out under earlier coordinators.

    Attributes:
        service: The service.
        version: The version on trial.
        requests: Requests of the service since the order.
        sent: Sends to the version.
        answers: Answers of the version to this instance.
        bad: Failures among them.
    """

    service: str
    version: str
    requests: int
    sent: int
    answers: int
    bad: int


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


def apply_versions(
    rollouts: Rollouts, listed: Mapping[str, AbstractSet[str]]
) -> None:
    """Apply the versions of the listed upstreams, by service.

    The first ones are in force; one that is listed later needs an order,
    unless no upstream of a version in force is left.
    """
    if not rollouts.bounds.enabled:
        return
    for service, versions in listed.items():
        rollouts.listed[service] = frozenset(versions)
        in_force = rollouts.in_force.get(service, frozenset())
        rollout = running_rollout(rollouts, service)
        if rollout is not None and not rollout.is_trusted:
            # Upstreams of the old version may be listed again.
            in_force -= {rollout.order.version}
        if in_force & versions:
            continue
        rollouts.in_force[service] = frozenset(versions)
        ordered = rollouts.current.get(service)
        if ordered is not None and ordered.stage is not Stage.refused:
            _keep_others(rollouts, service, ordered.order.version)


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
            _keep_others(rollouts, service, order.version)
            _apply_status(rollouts, running, status, left_seconds)
        else:
            _apply_former(rollouts, service, status)


def apply_report(rollouts: Rollouts, entry: str, report: Report) -> None:
    """Count what an instance reports of earlier coordinators."""
    rollout = rollouts.current.get(report.service)
    if rollout is None or rollout.order.version != report.version:
        return
    restore_exposure(rollout.exposure, report.requests, report.sent)
    rollout.exposure.is_partial = False
    if report.answers:
        restore_evidence(rollout.evidence, entry, report.answers, report.bad)
        counted = rollout.evidence.counted
        counted[f'reported by {entry}'] = report.answers


def set_leading(rollouts: Rollouts, *, is_leading: bool) -> None:
    """Begin or end the term of this instance as the coordinator."""
    rollouts.is_leading = is_leading
    rollouts.is_status_known = False
    if is_leading:
        return
    for rollout in rollouts.current.values():
        # In the next term, the instances report these answers.
        rollout.evidence = Evidence(references=rollout.evidence.references)
        rollout.summary = Summary()


def may_use(rollouts: Rollouts, service: str, version: str) -> bool:
    """Return whether a version may be used by any request.

    An ordered version may, though it gets nothing until the state of its
    roll-out is known.
    """
    in_force = rollouts.in_force.get(service)
    if in_force is None or not version or version in in_force:
        return True
    rollout = rollouts.current.get(service)
    return (
        rollout is not None
        and rollout.order.version == version
        and not rollout.is_final
    )


def may_place(rollouts: Rollouts, service: str, version: str) -> bool:
    """Return whether a request that is bound to a version may be placed now."""
    rollout = rollouts.current.get(service)
    if rollout is None or rollout.order.version != version:
        return True
    is_open = rollouts.is_leading and rollouts.is_status_known
    is_undecided = rollout.stage is Stage.ordered or not is_open
    return rollout.is_final or not is_undecided


def running_rollout(rollouts: Rollouts, service: str) -> Rollout | None:
    """Return a service's roll-out while its version is on trial."""
    rollout = rollouts.current.get(service)
    if rollout is None or not rollout.is_on_trial:
        return None
    return rollout


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
    if not rollouts.is_leading or not rollouts.is_status_known:
        return
    for rollout in list(rollouts.current.values()):
        change = None
        if rollout.stage is Stage.ordered:
            change = _begin(rollouts, rollout, services, now)
        elif rollout.is_on_trial and is_due(rollout, now):
            change = advance(rollout, situation(rollout), now)
            change = change or note_refusal(rollout)
        if change is not None:
            _apply_change(rollouts, change)


def unwritten_statuses(rollouts: Rollouts) -> list[tuple[Status, float]]:
    """Return the statuses that the store lacks, with their deadlines."""
    if not rollouts.is_leading or not rollouts.is_status_known:
        return []
    return [
        (status_of(rollout), rollout.deadline)
        for rollout in rollouts.current.values()
        if rollout.stage is not Stage.ordered
        and status_of(rollout) != rollout.written
    ]


def mark_written(rollouts: Rollouts, status: Status) -> None:
    """Record that the store has a status."""
    rollout = rollouts.current.get(status.service)
    if rollout is not None:
        rollout.written = attrs.evolve(status, deadline_ms=0)


def _replace(rollouts: Rollouts, order: Order, now: float) -> None:
    """Replace the order of a service."""
    service = order.service
    former = rollouts.current.get(service)
    is_running = former is not None and not former.is_final
    deadline = now + order.duration_seconds
    if former is not None and is_running and order.fault:
        former.refusal = order.fault
        former.is_refusal_noted = False
    elif (
        former is not None
        and is_running
        and former.order.version == order.version
    ):
        former.order = order
        former.deadline = deadline
    else:
        rollouts.current[service] = Rollout(
            order, deadline, former=former if is_running else None
        )
        if not order.fault:
            _keep_others(rollouts, service, order.version)


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
    return move(rollout, Stage.canary, 'order', now)


def _apply_change(rollouts: Rollouts, change: Change) -> None:
    rollouts.changes.append(change)
    if change.stage is Stage.completed:
        order = change.order
        rollouts.in_force[order.service] = frozenset((order.version,))


def _keep_others(rollouts: Rollouts, service: str, version: str) -> None:
    """Put a version out of force if there is another one in force."""
    others = rollouts.in_force.get(service, frozenset()) - {version}
    if others:
        rollouts.in_force[service] = others


def _apply_ends(
    rollouts: Rollouts, statuses: Mapping[str, Status], left_seconds: float
) -> None:
    for service, status in statuses.items():
        rollout = rollouts.current.get(service)
        if rollout is None or rollout.is_final or status.refusal:
            continue
        is_end = status.state is not State.running
        if is_end and is_status_of(status, rollout.order):
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
        rollouts.in_force[service] = frozenset((status.version,))
    elif status.state is State.reverted:
        rollout.stage = Stage.refused if status.refusal else Stage.reverted
        if status.refusal == IN_FORCE:
            rollouts.in_force[service] = frozenset((status.version,))
    elif status.takes_back:
        rollout.is_trusted = True
        rollout.stage = Stage.draining
        rollouts.in_force[service] = frozenset((status.version,))
    elif not rollout.exposure.requests:
        rollout.exposure.is_partial = True


def _apply_former(rollouts: Rollouts, service: str, status: Status) -> None:
    """Apply the status of a roll-out whose order was replaced or removed."""
    if status.refusal or not status.version:
        return
    rollout = rollouts.current.get(service)
    if status.state is State.completed:
        known = rollouts.in_force.get(service)
        if known is None or status.version in known:
            rollouts.in_force[service] = frozenset((status.version,))
        return
    _keep_others(rollouts, service, status.version)
    is_running = status.state is State.running
    if rollout is not None and not rollout.is_final and is_running:
        order = Order(service, status.version, status.duration_seconds)
        rollout.former = rollout.former or Rollout(order, rollout.deadline)
