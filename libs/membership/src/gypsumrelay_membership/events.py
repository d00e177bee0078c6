"""Events from which an observer derives the membership of instances."""

from __future__ import annotations

import enum

import attrs


@attrs.frozen
class InstanceDescription:
    """An instance, as described by the platform's list or its heartbeat.

    Attributes:
        name: Name of the instance.
        incarnation: Current incarnation, which changes with each restart.
        availability_zone: Availability zone of the instance.
        leaving: Whether the platform is about to stop the instance.
        upstream: Upstream that the instance serves; empty if it has none.
    """

    name: str
    incarnation: str
    availability_zone: str
    leaving: bool = False
    upstream: str = ''


@attrs.frozen
class ListReceived:
    """A read of the platform's list.

    Every read is an event, even if the version has not changed: a conflict
    between a report and the list may be resolved by elapsed time alone.

    Attributes:
        version: Version of the list.
        instances: All instances of that version.
    """

    version: int
    instances: tuple[InstanceDescription, ...]


@attrs.frozen
class HeartbeatReceived:
    """A heartbeat of an instance.

    Attributes:
        instance: The instance, as described by itself.
        draining: Whether the agent or its upstream is draining.
    """

    instance: InstanceDescription
    draining: bool = False


class Subject(enum.Enum):
    """Kind of a subject that operators can drain."""

    availability_zone = 'availability_zone'
    instance = 'instance'
    upstream = 'upstream'


@attrs.frozen
class DrainChanged:
    """The configuration of a subject's drain.

    Attributes:
        subject: Kind of the subject.
        name: Name of the subject.
        drained: Whether the subject is out of service.
    """

    subject: Subject
    name: str
    drained: bool


@attrs.frozen
class ConnectionRefused:
    """A refused connection, or a link that was broken or timed out."""

    name: str
    incarnation: str


@attrs.frozen
class LinkClosed:
    """The observer closed its link, so no more heartbeats are expected."""

    name: str


@attrs.frozen
class WorkCompleted:
    """A request that an instance has completed."""

    name: str


Event = (
    ListReceived
    | HeartbeatReceived
    | DrainChanged
    | ConnectionRefused
    | LinkClosed
    | WorkCompleted
)


@attrs.frozen
class MembershipSettings:
    """Time-outs of evidence, and limits of the ramp-up of new instances.

    Attributes:
        heartbeat_timeout_seconds: Seconds without a heartbeat after which an
            instance gets no new work: three heartbeat intervals of 1 s.
        list_lag_seconds: Upper bound of the list's lag in seconds.
        refusal_seconds: Seconds for which an instance gets no new work after
            it refused a connection, unless it sends a heartbeat before.
        ramp_start: Open requests allowed at the start of a ramp-up.
        instance_ramp_full: Open requests at which the ramp-up of an instance
            ends.
        zone_ramp_full: Open requests per instance of an availability zone at
            which the ramp-up of the zone ends.
    """

    heartbeat_timeout_seconds: float = 3
    list_lag_seconds: float = 3
    refusal_seconds: float = 3
    ramp_start: int = 1
    instance_ramp_full: int = 20
    zone_ramp_full: int = 20
