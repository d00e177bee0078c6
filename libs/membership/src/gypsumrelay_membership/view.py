"""One observer's view of the instances."""

from __future__ import annotations

import math

import attrs

from gypsumrelay_membership.evidence import Listed, MembershipSettings, Subject


@attrs.define
class Instance:
    """What is known about the current life of an instance.

    Attributes:
        listed: Name, incarnation, zone and labels, from list or report.
        in_list: Whether the newest list has this incarnation.
        leaving: Whether the list said that it leaves.
        draining: Whether its newest report said that it drains.
        report_until: Instant at which its newest report expires, or None
            where no report is expected.
        reported_at: Instant of its newest report.
        refused_until: Instant at which a refused connection expires.
    """

    listed: Listed
    in_list: bool = False
    leaving: bool = False
    draining: bool = False
    report_until: float | None = None
    reported_at: float = -math.inf
    refused_until: float = 0


@attrs.define
class View:
    """Instances, drains and ramps.

    Attributes:
        settings: How long evidence counts and how ramps grow.
        version: Newest version of the list.
        newest_list: Entries of that version by name.
        undecided: Names for which a list names another incarnation than a
            recent report, where it is not known which of them is newer.
        instances: Instances by name.
        by_upstream: Name of the instance beside each upstream.
        past: Incarnations that a newer one replaced, oldest first.
        was_listed: Incarnations of known names that a list had.
        departed: Names that left the list, oldest first.
        drained: Subjects that operators took out of service.
        zone_sizes: Number of instances in the list by zone.
        ramps: Limits of returning zones and instances.
    """

    settings: MembershipSettings = attrs.field(factory=MembershipSettings)
    version: int = -1
    newest_list: dict[str, Listed] = attrs.field(factory=dict)
    undecided: set[str] = attrs.field(factory=set)
    instances: dict[str, Instance] = attrs.field(factory=dict)
    by_upstream: dict[str, str] = attrs.field(factory=dict)
    past: dict[str, list[str]] = attrs.field(factory=dict)
    was_listed: dict[str, list[str]] = attrs.field(factory=dict)
    departed: dict[str, None] = attrs.field(factory=dict)
    drained: set[tuple[Subject, str]] = attrs.field(factory=set)
    zone_sizes: dict[str, int] = attrs.field(factory=dict)
    ramps: dict[tuple[Subject, str], int] = attrs.field(factory=dict)


@attrs.frozen
class WorkLimit:
    """Open requests allowed during a ramp, None where there is no ramp."""

    instance: int | None
    availability_zone: int | None


def accepts_new_work(view: View, upstream: str, now: float) -> bool:
    """Return whether new work may be sent to an upstream.

    Signs against it count as soon as they are observed, whichever source
    they come from; a source that says nothing does not overrule another.
    """
    instance = view.instances.get(view.by_upstream.get(upstream, ''))
    if instance is None or _is_drained(view, instance.listed):
        return False
    if instance.leaving or instance.draining or now < instance.refused_until:
        return False
    if instance.report_until is None:
        return instance.in_list
    return now < instance.report_until


def gone(view: View, name: str, incarnation: str) -> bool:
    """Return whether an incarnation was listed and is not any more."""
    if incarnation not in view.was_listed.get(name, ()):
        return False
    entry = view.newest_list.get(name)
    return entry is None or entry.incarnation != incarnation


def work_limit(view: View, upstream: str) -> WorkLimit:
    """Return how many requests may be open at an upstream and in its zone."""
    instance = view.instances.get(view.by_upstream.get(upstream, ''))
    if instance is None:
        return WorkLimit(0, 0)
    zone = instance.listed.availability_zone
    return WorkLimit(
        view.ramps.get((Subject.instance, instance.listed.name)),
        view.ramps.get((Subject.availability_zone, zone)),
    )


def _is_drained(view: View, listed: Listed) -> bool:
    return not view.drained.isdisjoint(
        {
            (Subject.availability_zone, listed.availability_zone),
            (Subject.instance, listed.name),
            (Subject.upstream, listed.upstream),
        },
    )
