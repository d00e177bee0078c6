"""Membership of the agents and the upstreams that may get new work."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_membership import (
    ConnectionRefused,
    DrainChanged,
    HeartbeatReceived,
    InstanceDescription,
    ListReceived,
    MembershipView,
    Subject,
    WorkCompleted,
    accepts_new_work,
    apply_event,
    work_limit,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumrelay_configuration import Drain
    from gypsumrelay_platform import ListedInstance, Listing
    from gypsumrelay_wire import LoadReport

SUBJECT_BY_NAME: Final = {subject.value: subject for subject in Subject}


@attrs.define
class AgentMembership:
    """Membership of the agents and open attempts at their upstreams.

    Attributes:
        view: Membership state of each agent.
        open_attempts: Number of this entry's open attempts by upstream.
    """

    view: MembershipView = attrs.field(factory=MembershipView)
    open_attempts: Counter[str] = attrs.field(factory=Counter)


def apply_listing(
    membership: AgentMembership, listing: Listing, now: float
) -> None:
    """Update the membership from a read of the platform's list."""
    instances = tuple(
        _description(instance)
        for instance in listing.instances
        if instance.role == 'agent'
    )
    apply_event(membership.view, ListReceived(listing.version, instances), now)


def apply_report(
    membership: AgentMembership,
    instance: ListedInstance,
    report: LoadReport,
    now: float,
) -> None:
    """Update the membership from an agent's load report."""
    event = HeartbeatReceived(_description(instance), draining=report.draining)
    apply_event(membership.view, event, now)


def apply_drains(
    membership: AgentMembership,
    drains: Iterable[Drain],
    now: float,
) -> None:
    """Update the membership from the drains in the configuration."""
    for drain in drains:
        subject = SUBJECT_BY_NAME.get(drain.subject)
        if subject is not None:
            event = DrainChanged(subject, drain.name, drain.drained)
            apply_event(membership.view, event, now)


def record_link_failure(
    membership: AgentMembership,
    instance: ListedInstance,
    now: float,
) -> None:
    """Record that a link to an agent closed or could not be opened."""
    event = ConnectionRefused(instance.name, instance.incarnation)
    apply_event(membership.view, event, now)


def begin_attempt(
    membership: AgentMembership, upstreams: Iterable[str]
) -> None:
    """Count an attempt that begins at its upstreams."""
    membership.open_attempts.update(upstreams)


def end_attempt(
    membership: AgentMembership,
    upstreams: Iterable[str],
    now: float,
    *,
    completed: bool,
) -> None:
    """Count an attempt that ends; a completed one advances a slow start."""
    for upstream in upstreams:
        membership.open_attempts[upstream] -= 1
        if membership.open_attempts[upstream] <= 0:
            membership.open_attempts.pop(upstream)
        name = membership.view.by_upstream.get(upstream)
        if completed and name is not None:
            apply_event(membership.view, WorkCompleted(name), now)


def unusable_upstreams(
    membership: AgentMembership,
    upstreams: Iterable[str],
    now: float,
) -> frozenset[str]:
    """Return those of the upstreams that must get no new work now."""
    return frozenset(
        upstream
        for upstream in upstreams
        if not _is_usable(membership, upstream, now)
    )


def _is_usable(membership: AgentMembership, upstream: str, now: float) -> bool:
    if not accepts_new_work(membership.view, upstream, now):
        return False
    limit = work_limit(membership.view, upstream).instance
    return limit is None or membership.open_attempts[upstream] < limit


def _description(instance: ListedInstance) -> InstanceDescription:
    return InstanceDescription(
        instance.name,
        instance.incarnation,
        instance.availability_zone,
        instance.leaving,
        instance.upstream,
    )
