"""Messages to the coordinator's actor."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_attribution import Crash

from gypsumrelay_relay.performance.messages import MeasurementsReported
from gypsumrelay_relay.stream_messages import StreamsReported

if TYPE_CHECKING:
    from gypsumrelay_dispatch import (
        ActivePlacement,
        Ending,
        PhaseChange,
        PlacementRequest,
        Upstream,
    )
    from gypsumrelay_settings import DispatchSettings

    from gypsumrelay_relay.topics import OperatorState


@attrs.frozen
class PlacementRequested:
    """A relay requests a placement."""

    request: PlacementRequest


@attrs.frozen
class PrefillEnded:
    """The prefill of an attempt ended."""

    key: tuple[str, int]
    ending: Ending


@attrs.frozen
class PlacementEnded:
    """A placement is no longer used or no longer requested.

    Attributes:
        key: Request id and number of the attempt.
        ending: How the attempt ended.
        began: Whether the upstream had sent an event of the answer.
        events: Events of the stream after the first ones; 0 if not measured.
        stream_ms: Time in milliseconds in which these events arrived.
        transfer_ms: Time in milliseconds from the end of the prefill to the
            first event; -1 if unknown.
    """

    key: tuple[str, int]
    ending: Ending
    began: bool = False
    events: int = 0
    stream_ms: int = 0
    transfer_ms: int = -1


@attrs.frozen
class PlacementReported:
    """A placement that an earlier coordinator granted and that is in use."""

    placement: ActivePlacement


@attrs.frozen
class RetriesReported:
    """Retries that an earlier coordinator granted to a service.

    Attributes:
        service: The service.
        count: Retries that the reporting relay was granted.
        total: Retries of all relays, as far as that relay knows.
    """

    service: str
    count: int
    total: int


@attrs.frozen
class SendsReported:
    """Sends to an upstream that an earlier coordinator granted."""

    upstream: str
    sent_at: tuple[float, ...]


@attrs.frozen
class ChargesReported:
    """Tokens that an earlier coordinator charged, by instant."""

    client_account: str
    charges: Mapping[float, int]


@attrs.frozen
class QuarantineReported:
    """A content that an earlier coordinator rejected for its crashes."""

    digest: bytes
    since: float


@attrs.frozen
class CrashReported:
    """A crash of an upstream that a relay knows of."""

    crash: Crash


@attrs.frozen
class CompletionsReported:
    """Contents and parts that upstreams completed.

    Attributes:
        started_at: Start of the newest completed run, by digest.
    """

    started_at: Mapping[bytes, float]


@attrs.frozen
class RateLimitReported:
    """An upstream states a rate limit.

    Attributes:
        upstream: Name of the upstream.
        per_second: Requests per second that it accepts from all relays.
        is_new: Whether an answer stated it just now; else a relay learned it
            under an earlier coordinator.
    """

    upstream: str
    per_second: float
    is_new: bool


@attrs.frozen
class RateLimitEndReported:
    """The answer to an attempt states no rate limit of its upstream."""

    upstream: str
    key: tuple[str, int]


@attrs.frozen
class LeavingReported:
    """An upstream states in an answer that it is leaving.

    Attributes:
        upstream: Name of the upstream.
        started_ms: Start of the incarnation that states it, Unix milliseconds;
            0 where unknown.
    """

    upstream: str
    started_ms: int


@attrs.frozen
class PauseReported:
    """An upstream asked a relay to send it nothing for a time.

    Attributes:
        entry: Name of the relay.
        upstream: Name of the upstream.
        started_ms: Start of the incarnation that asked for it, Unix
            milliseconds; 0 where unknown.
        until: Instant at which the pause ends.
    """

    entry: str
    upstream: str
    started_ms: int
    until: float


@attrs.frozen
class ReportCompleted:
    """A relay has reported all of its active placements.

    Attributes:
        entry: Name of the relay.
        live: Names of all live relays, as seen by this one.
    """

    entry: str
    live: frozenset[str]


@attrs.frozen
class RelayUnreachable:
    """A relay is unreachable; its placements are free."""

    entry: str


@attrs.frozen
class ConfigurationChanged:
    """The operator configuration changed."""

    state: OperatorState


@attrs.frozen
class UpstreamsChanged:
    """The list of upstreams changed.

    Attributes:
        upstreams: All listed upstreams.
        position: Position of the list in the store.
        store_recovered: Whether the store was unavailable shortly before.
    """

    upstreams: tuple[Upstream, ...]
    position: int
    store_recovered: bool


@attrs.frozen
class ListRead:
    """The list of upstreams was read, or the store is unavailable.

    Attributes:
        usable_until: Instant until which placements are granted from the list.
        versions_known: Whether the versions of the upstreams are those of the
            list.
    """

    usable_until: float
    versions_known: bool = True


@attrs.frozen
class ListMissed:
    """Changes of the list of upstreams may have been missed."""


@attrs.frozen
class SettingsChanged:
    """The coordinator's policy settings were reloaded."""

    settings: DispatchSettings


@attrs.frozen
class Tick:
    """A periodic tick, on which queued requests are checked."""


@attrs.frozen
class PlanPhaseChange:
    """Requests the next change of a phase, if one is due."""


@attrs.frozen
class PhaseChangeSent:
    """An upstream accepted a change of its phase, or may have."""

    change: PhaseChange


@attrs.frozen
class GetFigures:
    """Requests the figures of the state for the status page and metrics."""


@attrs.frozen
class ExplainPlacement:
    """Requests what would be decided on a placement request, and why."""

    request: PlacementRequest


@attrs.frozen
class GetLimits:
    """Requests the limits on concurrent requests, by upstream."""


# What relays report of earlier coordinators and of upstreams' answers.
REPORTS: Final = (
    PlacementReported,
    RetriesReported,
    SendsReported,
    ChargesReported,
    QuarantineReported,
    CrashReported,
    CompletionsReported,
    RateLimitReported,
    LeavingReported,
    PauseReported,
    StreamsReported,
    MeasurementsReported,
)
