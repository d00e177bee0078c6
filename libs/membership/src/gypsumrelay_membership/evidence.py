"""What tells an observer that instances join, leave or fail."""

from __future__ import annotations

import enum

import attrs


@attrs.frozen
class Listed:
    """One instance of the platform's list.

    Attributes:
        name: Name of the instance.
        incarnation: Its current life.
        availability_zone: Where it runs.
        leaving: Whether the platform is taking it away.
        upstream: Upstream beside which it runs, empty for other roles.
    """

    name: str
    incarnation: str
    availability_zone: str
    leaving: bool = False
    upstream: str = ''


@attrs.frozen
class ListSeen:
    """A version of the platform's list.

    It is observed after each read, also where the version is the same: time
    alone may decide between a report and the list.
    """

    version: int
    instances: tuple[Listed, ...]


@attrs.frozen
class Reported:
    """A heartbeat with an instance's own report.

    The agent reports `draining` for itself or for its upstream.
    """

    instance: Listed
    draining: bool = False


class Subject(enum.Enum):
    """What operators take out of service."""

    availability_zone = 'availability_zone'
    instance = 'instance'
    upstream = 'upstream'


@attrs.frozen
class DrainSeen:
    """The configuration takes a subject out of service or back in."""

    subject: Subject
    name: str
    drained: bool


@attrs.frozen
class ConnectionRefused:
    """An instance refused a connection or its link broke or went silent."""

    name: str
    incarnation: str


@attrs.frozen
class LinkEnded:
    """The observer closed its link, so silence means nothing any more."""

    name: str


@attrs.frozen
class WorkCompleted:
    """A request was completed by an instance."""

    name: str


Event = (
    ListSeen
    | Reported
    | DrainSeen
    | ConnectionRefused
    | LinkEnded
    | WorkCompleted
)


@attrs.frozen
class MembershipSettings:
    """How long evidence counts, in seconds, and how ramps grow.

    Attributes:
        report_seconds: An instance whose reports stop gets no new work from
            then on. Three heartbeats of one second.
        list_lag_seconds: Bound of the list's lag.
        refusal_seconds: An instance that refused a connection gets no new
            work for this long, unless it reports again before.
        ramp_start: Open requests that a returning zone or instance gets.
        instance_ramp_full: Limit at which an instance's ramp ends.
        zone_ramp_full: Limit at which a zone's ramp ends, for each of its
            instances.
    """

    report_seconds: float = 3
    list_lag_seconds: float = 3
    refusal_seconds: float = 3
    ramp_start: int = 1
    instance_ramp_full: int = 20
    zone_ramp_full: int = 20
