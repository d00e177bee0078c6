"""Membership of the agents and the upstreams that may get new work."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_membership import (
    ConnectionRefused,
    DrainSeen,
    Listed,
    ListSeen,
    Reported,
    Subject,
    View,
    WorkCompleted,
    accepts_new_work,
    observe,
    work_limit,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumrelay_configuration import Drain
    from gypsumrelay_platform import ListedInstance, Listing
    from gypsumrelay_wire import LoadReport

SUBJECTS: Final = {subject.value: subject for subject in Subject}


@attrs.define
class Members:
    """Membership of the agents and open attempts at their upstreams.

    Attributes:
        view: Membership state of each agent.
        open_work: Number of this entry's open attempts by upstream.
    """

    view: View = attrs.field(factory=View)
    open_work: Counter[str] = attrs.field(factory=Counter)


def take_members(members: Members, listing: Listing, now: float) -> None:
    """Update the membership from a read of the platform's list."""
    seen = tuple(
        _listed(instance)
        for instance in listing.instances
        if instance.role == 'agent'
    )
    observe(members.view, ListSeen(listing.version, seen), now)


def take_member_report(
    members: Members,
    instance: ListedInstance,
    report: LoadReport,
    now: float,
) -> None:
    """Update the membership from an agent's load report."""
    seen = Reported(_listed(instance), draining=report.draining)
    observe(members.view, seen, now)


def take_drains(
    members: Members,
    drains: Iterable[Drain],
    now: float,
) -> None:
    """Update the membership from the drains in the configuration."""
    for drain in drains:
        subject = SUBJECTS.get(drain.subject)
        if subject is not None:
            seen = DrainSeen(subject, drain.name, drain.drained)
            observe(members.view, seen, now)


def note_refused(
    members: Members,
    instance: ListedInstance,
    now: float,
) -> None:
    """Record that a link to an agent closed or could not be opened."""
    refused = ConnectionRefused(instance.name, instance.incarnation)
    observe(members.view, refused, now)


def begin_work(members: Members, upstreams: Iterable[str]) -> None:
    """Count an attempt that begins at its upstreams."""
    members.open_work.update(upstreams)


def end_work(
    members: Members,
    upstreams: Iterable[str],
    now: float,
    *,
    completed: bool,
) -> None:
    """Count an attempt that ends; a completed one advances a slow start."""
    for upstream in upstreams:
        members.open_work[upstream] -= 1
        if members.open_work[upstream] <= 0:
            members.open_work.pop(upstream)
        name = members.view.by_upstream.get(upstream)
        if completed and name is not None:
            observe(members.view, WorkCompleted(name), now)


def unusable(
    members: Members,
    upstreams: Iterable[str],
    now: float,
) -> frozenset[str]:
    """Return those of the upstreams that must get no new work now."""
    return frozenset(
        upstream
        for upstream in upstreams
        if not _is_usable(members, upstream, now)
    )


def _is_usable(members: Members, upstream: str, now: float) -> bool:
    if not accepts_new_work(members.view, upstream, now):
        return False
    limit = work_limit(members.view, upstream).instance
    return limit is None or members.open_work[upstream] < limit


def _listed(instance: ListedInstance) -> Listed:
    return Listed(
        instance.name,
        instance.incarnation,
        instance.availability_zone,
        instance.leaving,
        instance.upstream,
    )
