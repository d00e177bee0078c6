"""Log events of changes of a relay's state or of its view of the fleet.

The events are never compared; generating comparisons would take half of the
time of their definition at each start.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import attrs

if TYPE_CHECKING:
    from logbook import Logger


@attrs.frozen(eq=False)
class StateChange:
    """Base of all state changes.

    Attributes:
        event: Name of the event.
        severity: Log level.
        template: Template of the log line, filled in from the fields.
    """

    event: ClassVar[str] = ''
    severity: ClassVar[str] = 'INFO'
    template: ClassVar[str] = ''


@attrs.frozen(eq=False)
class Started(StateChange):
    """The relay started."""

    event: ClassVar[str] = 'started'
    template: ClassVar[str] = 'Relay {relay} started.'

    relay: str


@attrs.frozen(eq=False)
class StartTimed(StateChange):
    """The relay answered its first request, or none in the first 30 s.

    Times are milliseconds since the first step of the process, -1 for what has
    not happened.

    Attributes:
        processor_ms: Processor time in milliseconds until requests were read.
        listening_ms: Until callers could connect.
        imported_ms: Until the modules were imported.
        serving_ms: Until requests were read.
        configured_ms: Until the first configuration was in force.
        coordinated_ms: Until the coordinator was known.
        granted_ms: Until the first placement was granted.
        answered_ms: Until the first request was answered in full.
    """

    event: ClassVar[str] = 'start_timed'
    template: ClassVar[str] = (
        'Listening after {listening_ms} ms, serving after {serving_ms} ms,'
        ' configured after {configured_ms} ms, first answer after'
        ' {answered_ms} ms.'
    )

    processor_ms: int
    listening_ms: int
    imported_ms: int
    serving_ms: int
    configured_ms: int
    coordinated_ms: int
    granted_ms: int
    answered_ms: int


@attrs.frozen(eq=False)
class Draining(StateChange):
    """The relay accepts no new connections.

    Attributes:
        open_requests: Number of open requests.
    """

    event: ClassVar[str] = 'draining'
    template: ClassVar[str] = (
        'Shutdown started with {open_requests} open requests.'
    )

    open_requests: int


@attrs.frozen(eq=False)
class Stopped(StateChange):
    """The relay stops; requests that are still open are aborted.

    Attributes:
        open_requests: Number of open requests.
    """

    event: ClassVar[str] = 'stopped'
    template: ClassVar[str] = 'Stopped with {open_requests} open requests.'

    open_requests: int


@attrs.frozen(eq=False)
class SettingsReloaded(StateChange):
    """The settings were reloaded."""

    event: ClassVar[str] = 'settings_read'
    template: ClassVar[str] = 'Settings reloaded.'


@attrs.frozen(eq=False)
class SettingsRejected(StateChange):
    """The settings could not be reloaded because they are invalid."""

    event: ClassVar[str] = 'settings_rejected'
    severity: ClassVar[str] = 'WARNING'
    template: ClassVar[str] = (
        'Settings not reloaded: invalid; the previous ones stay in use.'
    )


@attrs.frozen(eq=False)
class Registered(StateChange):
    """The relay registered in the store, which gave it a seniority.

    Attributes:
        seniority: Position of the registration; the lowest coordinates.
    """

    event: ClassVar[str] = 'registered'
    template: ClassVar[str] = (
        'Registered in the store with seniority {seniority}.'
    )

    seniority: int


@attrs.frozen(eq=False)
class RegistrationRestored(StateChange):
    """The relay wrote its registration again, which a restore had lost.

    Attributes:
        seniority: The seniority that the relay keeps.
    """

    event: ClassVar[str] = 'registration_restored'
    template: ClassVar[str] = (
        'Wrote the registration again; the seniority stays {seniority}.'
    )

    seniority: int


@attrs.frozen(eq=False)
class StoreUnavailable(StateChange):
    """The store stopped answering.

    Attributes:
        topic: The topic that was read.
        reason: The error.
        elapsed_ms: Time in milliseconds that the read took.
    """

    event: ClassVar[str] = 'store_lost'
    severity: ClassVar[str] = 'WARNING'
    template: ClassVar[str] = (
        'Store unavailable for topic {topic} after {elapsed_ms} ms: {reason}.'
    )

    topic: str
    reason: str
    elapsed_ms: int


@attrs.frozen(eq=False)
class StoreAvailable(StateChange):
    """The store answers again.

    Attributes:
        topic: The topic that was read.
    """

    event: ClassVar[str] = 'store_regained'
    template: ClassVar[str] = 'Store available again for topic {topic}.'

    topic: str


@attrs.frozen(eq=False)
class StoreRestored(StateChange):
    """The store came back from a copy, which may be some seconds old.

    Attributes:
        epoch: The epoch that began.
    """

    event: ClassVar[str] = 'store_restored'
    severity: ClassVar[str] = 'WARNING'
    template: ClassVar[str] = 'Store restored from a copy; epoch {epoch}.'

    epoch: int


@attrs.frozen(eq=False)
class ListAgeChanged(StateChange):
    """The list of upstreams became stale, or fresh again.

    Attributes:
        age: `old` if it is too old to grant placements from, or `fresh`.
    """

    event: ClassVar[str] = 'list_age'
    template: ClassVar[str] = 'The list of upstreams is {age}.'

    age: str


@attrs.frozen(eq=False)
class ConfigurationApplied(StateChange):
    """A version of the configuration came into force at this relay.

    Attributes:
        configuration: The version.
        source: `store`, or the relay that it was copied from.
        epoch: Epoch of the store that the latest operator records are from.
        position: Offset of the latest operator records in that epoch.
        evacuated: Availability zones that get no work.
    """

    event: ClassVar[str] = 'configuration'
    template: ClassVar[str] = (
        'Configuration {configuration} in force, from {source} at offset '
        '{position} of epoch {epoch}; evacuated availability zones: '
        '{evacuated}.'
    )

    configuration: int
    source: str
    epoch: int
    position: int
    evacuated: str


@attrs.frozen(eq=False)
class ConfigurationKept(StateChange):
    """Later operator records contain an older version of the configuration.

    This is so after a restore of the store, until the operator has written the
    newer version again.

    Attributes:
        configuration: The version in force.
        found: The older version.
        epoch: Epoch of the store that the records are from.
        position: Offset of the records in that epoch.
    """

    event: ClassVar[str] = 'configuration_kept'
    severity: ClassVar[str] = 'WARNING'
    template: ClassVar[str] = (
        'Configuration {configuration} stays in force; configuration {found} '
        'at offset {position} of epoch {epoch} is older.'
    )

    configuration: int
    found: int
    epoch: int
    position: int


@attrs.frozen(eq=False)
class CoordinatorChanged(StateChange):
    """This relay switched to another coordinator.

    Attributes:
        coordinator: Name of the coordinator.
        seniority: Position of its registration.
        places: Active placements of this relay that are reported to it.
        requests: Pending placement requests that are sent to it again.
    """

    event: ClassVar[str] = 'coordinator'
    template: ClassVar[str] = (
        'Switched to coordinator {coordinator}, seniority {seniority}, with '
        '{places} active placements and {requests} pending requests.'
    )

    coordinator: str
    seniority: int
    places: int
    requests: int


@attrs.frozen(eq=False)
class PeerDiscovered(StateChange):
    """The first heartbeat of a relay arrived, or the first after its restart.

    Attributes:
        relay: Name of the relay.
        host: Its IP address.
        seniority: Position of its registration.
    """

    event: ClassVar[str] = 'peer_heard'
    template: ClassVar[str] = (
        'First heartbeat from {relay} at {host}, seniority {seniority}.'
    )

    relay: str
    host: str
    seniority: int


@attrs.frozen(eq=False)
class LinkClosed(StateChange):
    """The link with another relay is closed.

    Attributes:
        relay: Name of the other relay.
        reason: Why it is closed.
    """

    event: ClassVar[str] = 'link_closed'
    template: ClassVar[str] = 'Link to {relay} closed: {reason}.'

    relay: str
    reason: str


def report(log: Logger, change: StateChange) -> None:
    """Log a state change as a sentence, with its fields."""
    fields = attrs.asdict(change)
    text = change.template.format_map(fields)
    extra = {'event': change.event, 'fields': fields}
    log.log(change.severity, text, extra=extra)
