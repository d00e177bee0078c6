"""View of all instances by one observer."""

from __future__ import annotations

import math

import attrs

from gypsumrelay_membership.events import (
    InstanceDescription,
    MembershipSettings,
    Subject,
)


@attrs.define
class Instance:
    """State of the current incarnation of an instance.

    Times are in seconds.

    Attributes:
        description: Description of the instance, from the list or a heartbeat.
        in_list: Whether the newest list has this incarnation.
        leaving: Whether the list marks it as leaving.
        draining: Whether its newest heartbeat marks it as draining.
        heartbeat_expires_at: Time at which its newest heartbeat expires, or
            None if no heartbeat is expected.
        heartbeat_at: Time of its newest heartbeat.
        refused_until: Time until which it gets no work because it refused a
            connection.
    """

    description: InstanceDescription
    in_list: bool = False
    leaving: bool = False
    draining: bool = False
    heartbeat_expires_at: float | None = None
    heartbeat_at: float = -math.inf
    refused_until: float = 0


@attrs.define
class MembershipView:
    """Instances, drains and ramp-ups.

    Attributes:
        settings: Time-outs of evidence and limits of ramp-ups.
        version: Newest version of the list.
        newest_list: Entries of that version by name.
        undecided: Names whose incarnation in the newest list differs from a
            recent heartbeat, where it is unknown which of them is newer.
        instances: Instances by name.
        by_upstream: Name of the instance that serves each upstream.
        past_incarnations: Replaced incarnations by name, oldest first.
        listed_incarnations: Incarnations by name that were in a list, oldest
            first.
        departed_names: Names that left the list, oldest first.
        drained: Subjects that operators have drained.
        zone_sizes: Number of listed instances by availability zone.
        ramps: Open requests allowed for zones and instances in ramp-up.
    """

    settings: MembershipSettings = attrs.field(factory=MembershipSettings)
    version: int = -1
    newest_list: dict[str, InstanceDescription] = attrs.field(factory=dict)
    undecided: set[str] = attrs.field(factory=set)
    instances: dict[str, Instance] = attrs.field(factory=dict)
    by_upstream: dict[str, str] = attrs.field(factory=dict)
    past_incarnations: dict[str, list[str]] = attrs.field(factory=dict)
    listed_incarnations: dict[str, list[str]] = attrs.field(factory=dict)
    departed_names: dict[str, None] = attrs.field(factory=dict)
    drained: set[tuple[Subject, str]] = attrs.field(factory=set)
    zone_sizes: dict[str, int] = attrs.field(factory=dict)
    ramps: dict[tuple[Subject, str], int] = attrs.field(factory=dict)


@attrs.frozen
class WorkLimit:
    """Open requests allowed during a ramp-up, or None without a limit."""

    instance: int | None
    availability_zone: int | None


def accepts_new_work(view: MembershipView, upstream: str, now: float) -> bool:
    """Return whether new work may be sent to an upstream.

    Evidence against an instance applies at once, whichever source it comes
    from. It is not overruled by another source without such evidence.
    """
    instance = view.instances.get(view.by_upstream.get(upstream, ''))
    if instance is None or _is_drained(view, instance.description):
        return False
    if instance.leaving or instance.draining or now < instance.refused_until:
        return False
    if instance.heartbeat_expires_at is None:
        return instance.in_list
    return now < instance.heartbeat_expires_at


def has_left(view: MembershipView, name: str, incarnation: str) -> bool:
    """Return whether an incarnation was in a list but is not in the newest."""
    if incarnation not in view.listed_incarnations.get(name, ()):
        return False
    entry = view.newest_list.get(name)
    return entry is None or entry.incarnation != incarnation


def work_limit(view: MembershipView, upstream: str) -> WorkLimit:
    """Return the limits of open requests of an upstream and of its zone."""
    instance = view.instances.get(view.by_upstream.get(upstream, ''))
    if instance is None:
        return WorkLimit(0, 0)
    zone = instance.description.availability_zone
    return WorkLimit(
        view.ramps.get((Subject.instance, instance.description.name)),
        view.ramps.get((Subject.availability_zone, zone)),
    )


def _is_drained(view: MembershipView, listed: InstanceDescription) -> bool:
    return not view.drained.isdisjoint(
        {
            (Subject.availability_zone, listed.availability_zone),
            (Subject.instance, listed.name),
            (Subject.upstream, listed.upstream),
        },
    )
