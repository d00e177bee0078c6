"""Log events of changes of a relay's state or of its view of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import attrs

if TYPE_CHECKING:
    from logbook import Logger


@attrs.frozen
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


@attrs.frozen
class Started(StateChange):
    """The relay started."""

    event: ClassVar[str] = 'started'
    template: ClassVar[str] = 'Relay {relay} started.'

    relay: str


@attrs.frozen
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


@attrs.frozen
class Stopped(StateChange):
    """The relay stops; requests that are still open are aborted.

    Attributes:
        open_requests: Number of open requests.
    """

    event: ClassVar[str] = 'stopped'
    template: ClassVar[str] = 'Stopped with {open_requests} open requests.'

    open_requests: int


@attrs.frozen
class SettingsReloaded(StateChange):
    """The settings were reloaded."""

    event: ClassVar[str] = 'settings_read'
    template: ClassVar[str] = 'Settings reloaded.'


@attrs.frozen
class SettingsRejected(StateChange):
    """The settings could not be reloaded because they are invalid."""

    event: ClassVar[str] = 'settings_rejected'
    severity: ClassVar[str] = 'WARNING'
    template: ClassVar[str] = (
        'Settings not reloaded: invalid; the previous ones stay in use.'
    )


@attrs.frozen
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


@attrs.frozen
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


@attrs.frozen
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


@attrs.frozen
class StoreAvailable(StateChange):
    """The store answers again.

    Attributes:
        topic: The topic that was read.
    """

    event: ClassVar[str] = 'store_regained'
    template: ClassVar[str] = 'Store available again for topic {topic}.'

    topic: str


@attrs.frozen
class StoreRestored(StateChange):
    """The store came back from a copy, which may be some seconds old.

    Attributes:
        epoch: The epoch that began.
    """

    event: ClassVar[str] = 'store_restored'
    severity: ClassVar[str] = 'WARNING'
    template: ClassVar[str] = 'Store restored from a copy; epoch {epoch}.'

    epoch: int


@attrs.frozen
class ListAgeChanged(StateChange):
    """The list of upstreams became stale, or fresh again.

    Attributes:
        age: `old` if it is too old to grant placements from, or `fresh`.
    """

    event: ClassVar[str] = 'list_age'
    template: ClassVar[str] = 'The list of upstreams is {age}.'

    age: str


@attrs.frozen
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


@attrs.frozen
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


@attrs.frozen
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


@attrs.frozen
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


@attrs.frozen
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


@attrs.frozen
class PlacementRejected(StateChange):
    """The coordinator rejected a placement request.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        relay: The relay that asked.
        service: The requested service.
        client_account: The client account that the request runs for.
        code: Code of the failure.
        reason: The failure in words.
        waiting: Queued requests for the service.
        pace_ms: Time in milliseconds between two grants while requests are
            queued; 0 if unknown.
        tokens_left: Tokens in the account's token bucket; below 0 if overdrawn.
        retry_ms: Time in milliseconds after which to retry.
        list_epoch: Epoch of the store that the list of upstreams is from.
        list_position: Offset of that list in the epoch.
    """

    event: ClassVar[str] = 'denied'
    template: ClassVar[str] = (
        'Placement rejected for request {request_id}: {reason}.'
    )

    request_id: str
    attempt: int
    relay: str
    service: str
    client_account: str
    code: str
    reason: str
    waiting: int
    pace_ms: int
    tokens_left: int
    retry_ms: int
    list_epoch: int
    list_position: int


@attrs.frozen
class PlacementReturned(StateChange):
    """The relay returned a placement without a send and requests another.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        upstream: The upstreams that must not be used, separated by commas.
    """

    event: ClassVar[str] = 'place_returned'
    template: ClassVar[str] = (
        'Placement of request {request_id} at {upstream} returned.'
    )

    request_id: str
    attempt: int
    upstream: str


@attrs.frozen
class UpstreamLeaving(StateChange):
    """An upstream's answer to this relay states that it is leaving.

    Attributes:
        upstream: Name of the upstream.
        started_ms: Start of the upstream, Unix milliseconds; 0 if unknown.
    """

    event: ClassVar[str] = 'upstream_leaving'
    template: ClassVar[str] = 'Upstream {upstream} states that it is leaving.'

    upstream: str
    started_ms: int


@attrs.frozen
class UpstreamPaused(StateChange):
    """An upstream turned a request away and asked this relay for a pause.

    Attributes:
        upstream: Name of the upstream.
        seconds: Time in seconds for which it wants no request.
    """

    event: ClassVar[str] = 'upstream_paused'
    template: ClassVar[str] = (
        'Upstream {upstream} wants no request for {seconds} s.'
    )

    upstream: str
    seconds: float


@attrs.frozen
class CrashConfirmed(StateChange):
    """The coordinator knows for certain that an upstream crashed.

    Attributes:
        upstream: Name of the upstream.
        lost: Number of requests whose connection was lost.
        unanswered: Digests of the contents of those without an event of an
            answer, separated by commas.
        parts: Digests of the shared parts of their prompts, likewise.
        delay_ms: Time in milliseconds since the first connection was lost.
    """

    event: ClassVar[str] = 'upstream_crashed'
    severity: ClassVar[str] = 'WARNING'
    template: ClassVar[str] = (
        'Upstream {upstream} crashed {delay_ms} ms ago; {lost} requests lost.'
    )

    upstream: str
    lost: int
    unanswered: str
    parts: str
    delay_ms: int


@attrs.frozen
class CauseFound(StateChange):
    """Crashes are attributed to a content or part, which is rejected now.

    Attributes:
        digest: Digest of the content or part.
        is_part: Whether it is a part of prompts.
        crashes: Number of crashes that it explains.
    """

    event: ClassVar[str] = 'cause_found'
    severity: ClassVar[str] = 'WARNING'
    template: ClassVar[str] = (
        'Requests with {digest} are rejected after {crashes} crashes.'
    )

    digest: str
    is_part: bool
    crashes: int


@attrs.frozen
class CauseCleared(StateChange):
    """Crashes are no longer attributed to a content or part."""

    event: ClassVar[str] = 'cause_cleared'
    template: ClassVar[str] = 'Requests with {digest} are admitted again.'

    digest: str


@attrs.frozen
class PhaseSwitchOrdered(StateChange):
    """An upstream was ordered to switch between prefill and decode.

    Attributes:
        upstream: Name of the upstream.
        phase: The phase to which it switches.
        prefill: Prefill upstreams before the switch.
        decode: Decode upstreams before the switch.
        wanted: Target number of prefill upstreams.
        token: Fencing token of the order.
        answer: Status code of the answer, or the error if there was none.
    """

    event: ClassVar[str] = 'phase_ordered'
    template: ClassVar[str] = (
        'Ordered upstream {upstream} to switch to {phase}, fencing token '
        '{token}: answer {answer}; {prefill} prefill and {decode} decode '
        'upstreams before, target {wanted} prefill.'
    )

    upstream: str
    phase: str
    prefill: int
    decode: int
    wanted: int
    token: int
    answer: str


@attrs.frozen
class RateLimitStated(StateChange):
    """An upstream's answer to this relay states a new or changed rate limit.

    Attributes:
        upstream: Name of the upstream.
        limit: Requests per second that it accepts from all relays together.
        previous: The limit that it stated before; 0 if it stated none.
    """

    event: ClassVar[str] = 'limit_stated'
    template: ClassVar[str] = (
        'Upstream {upstream} states a limit of {limit} requests per second; '
        'before: {previous}.'
    )

    upstream: str
    limit: float
    previous: float


@attrs.frozen
class RateLimitEnded(StateChange):
    """An upstream's answer to this relay states its rate limit no longer.

    Attributes:
        upstream: Name of the upstream.
        previous: The limit that it stated before, in requests per second.
    """

    event: ClassVar[str] = 'limit_ended'
    template: ClassVar[str] = (
        'Upstream {upstream} no longer states its limit of {previous} '
        'requests per second.'
    )

    upstream: str
    previous: float


def report(log: Logger, change: StateChange) -> None:
    """Log a state change as a sentence, with its fields."""
    fields = attrs.asdict(change)
    text = change.template.format_map(fields)
    extra = {'event': change.event, 'fields': fields}
    log.log(change.severity, text, extra=extra)
