"""Roll-outs of all services, as a coordinator keeps them."""

from __future__ import annotations

from typing import Final

import attrs

from gypsumrelay_rollouts.evidence import Evidence, Summary, restore_totals
from gypsumrelay_rollouts.evidence import restore as restore_evidence
from gypsumrelay_rollouts.exposure import Bounds, restore_exposure
from gypsumrelay_rollouts.orders import Order, Status
from gypsumrelay_rollouts.rollout import Change, Rollout, Stage, status_of
from gypsumrelay_rollouts.totals import Totals

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
        barred: Versions that get nothing without another order, by service:
            those that were reverted, and the old ones after a completion.
        held: Instants until which a version waits for an order, by service and
            version.
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
    barred: dict[str, frozenset[str]] = attrs.field(factory=dict)
    held: dict[tuple[str, str], float] = attrs.field(factory=dict)
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
        totals: What the coordinator had judged at the last grant.
        is_partial: Whether counts before a restart of all instances are
            missing.
    """

    service: str
    version: str
    requests: int
    sent: int
    answers: int
    bad: int
    totals: Totals = attrs.field(factory=Totals)
    is_partial: bool = False


def apply_report(rollouts: Rollouts, entry: str, report: Report) -> None:
    """Count what an instance reports of earlier coordinators."""
    rollout = rollouts.current.get(report.service)
    if rollout is None or rollout.order.version != report.version:
        return
    exposure = rollout.exposure
    # The first report may come before the status, which marks counts that
    # nobody reports as partial.
    is_unknown = exposure.is_partial or not exposure.requests
    exposure.is_partial = is_unknown and report.is_partial
    restore_exposure(exposure, report.requests, report.sent)
    totals = report.totals
    restore_totals(rollout.evidence, totals, with_times=True)
    restore_totals(rollout.failures, totals, with_times=False)
    if report.answers:
        for evidence in (rollout.evidence, rollout.failures):
            restore_evidence(evidence, entry, report.answers, report.bad)
            evidence.counted[f'reported by {entry}'] = report.answers


def set_leading(rollouts: Rollouts, *, is_leading: bool) -> None:
    """Begin or end the term of this instance as the coordinator."""
    rollouts.is_leading = is_leading
    rollouts.is_status_known = False
    if is_leading:
        return
    for rollout in rollouts.current.values():
        # In the next term, the instances report these answers.
        rollout.evidence = Evidence(references=rollout.evidence.references)
        rollout.failures = Evidence()
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
