"""Upstreams, placement requests and the answers of the coordinator."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_rollouts import Totals

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gypsumrelay_errors import Failure


class Phase(enum.Enum):
    """Serving phase of an upstream; `plain` for services without a model."""

    prefill = 'prefill'
    decode = 'decode'
    plain = 'plain'


class Ending(enum.Enum):
    """Result of an attempt at an upstream.

    `answered`: the answer was complete. `failed`: the upstream answered with
    an error of its own. `rejected`: the upstream stated that it did not run
    the request. `unfetched`: the upstream did not run the request because it
    could not fetch the prompt's KV cache. `misdirected`: another upstream
    uses the address, or the upstream serves the other phase. `lost`: the
    connection broke or timed out before the end of the answer. `crashed`: it
    broke, and the upstream refuses new ones. `unreached`: no connection was
    established. `cancelled`: the caller disconnected or
    the deadline passed. `returned`: the instance sent nothing, since it knew
    that the upstream wants no request.
    """

    answered = 'answered'
    failed = 'failed'
    rejected = 'rejected'
    unfetched = 'unfetched'
    misdirected = 'misdirected'
    lost = 'lost'
    crashed = 'crashed'
    unreached = 'unreached'
    cancelled = 'cancelled'
    returned = 'returned'


@attrs.frozen
class StreamPace:
    """Measured pace of a stream.

    Attributes:
        events: Events after the first ones, whose time includes the prefill
            and the transfer of the KV cache; 0 if not measured.
        stream_ms: Time in milliseconds in which these events arrived.
    """

    events: int = 0
    stream_ms: int = 0


UNMEASURED: Final = StreamPace()


@attrs.frozen
class Upstream:
    """One live upstream in the platform's list.

    Attributes:
        name: Identifier of the upstream.
        service: Service of the upstream.
        address: `host:port` of its HTTP interface.
        availability_zone: Availability zone that it runs in.
        phase: Serving phase.
        slots: Maximum number of concurrent requests.
        started_ms: Start of this incarnation, Unix milliseconds; 0 where
            unknown.
        leaving: Whether it is draining and accepts no new requests.
        cold_ms: Remaining warm-up time in milliseconds, as listed.
        sequence: Number that rises with the records which the upstream writes
            since its start; 0 where unknown.
        version: Version of its software; empty where unknown.
    """

    name: str
    service: str
    address: str
    availability_zone: str
    phase: Phase
    slots: int
    started_ms: int = 0
    leaving: bool = False
    cold_ms: int = 0
    sequence: int = 0
    version: str = ''


@attrs.frozen
class ServiceLimits:
    """Configured limits of a service.

    Attributes:
        name: The service.
        cold_per_second: Requests per second that a cold upstream can serve;
            0 for no limit.
        memory_tokens: KV cache capacity of one upstream in tokens; 0 for
            plain services.
    """

    name: str
    cold_per_second: float = 0
    memory_tokens: int = 0


@attrs.frozen
class AccountLimits:
    """Token rate and burst of a client account; a rate of 0 is no limit."""

    name: str
    tokens_per_second: float = 0
    burst_tokens: float = 0


@attrs.frozen
class PlacementRequest:
    """Placement request of one attempt.

    Instants are in seconds on the coordinator's clock.

    Attributes:
        request_id: Identifier of the caller's request.
        attempt: Number of the attempt, from 1.
        entry: Name of the instance that received the request.
        availability_zone: Availability zone of that instance.
        service: Service that the request is for.
        client_account: Account that is charged; empty on public routes.
        cost_tokens: Tokens charged to the account for the first attempt.
        priority: Priority class, 0 highest.
        objective_at: Instant of the latency objective.
        deadline: Instant at which the request times out.
        wait_until: Instant until which the request may be queued. The
            request carries it, so that a change of the coordinator does not
            restart the wait.
        prompt_tokens: Length of the prompt; 0 for plain services.
        output_tokens: Maximum number of generated tokens.
        expected_tokens: Expected number of generated tokens.
        read: Whether prefill is complete and only decode is left; the queue
            time is then bounded by the lifetime of the KV cache.
        reread: Whether the prompt is prefilled again, which counts as a
            retry in addition to that of the attempt.
        resumed: Whether the attempt resumes a stream whose first part the
            caller already has.
        excluded: Upstreams that must not get this request again.
        digest: Digest of the request's content; equal for equal contents.
        parts: Digests of the prompt's shared parts, in order.
        version: Software version that the upstreams must have, since it began
            the stream; empty for any.
        resumes: Digest of the start of the stream that the request goes on
            with; empty for a new stream.
        route: Name of the request's route.
    """

    request_id: str
    attempt: int
    entry: str
    availability_zone: str
    service: str
    client_account: str
    cost_tokens: int
    priority: int
    objective_at: float
    deadline: float
    wait_until: float
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_tokens: int = 0
    read: bool = False
    reread: bool = False
    resumed: bool = False
    excluded: frozenset[str] = frozenset()
    digest: bytes = b''
    parts: tuple[bytes, ...] = ()
    version: str = ''
    resumes: bytes = b''
    route: str = ''

    @property
    def key(self) -> tuple[str, int]:
        """Return the key of this attempt: request identifier and number."""
        return (self.request_id, self.attempt)


@attrs.frozen
class RolloutCounts:
    """Counts of a roll-out, as its coordinator knows them.

    Attributes:
        version: The version on trial.
        requests: Requests of the service since the order.
        sent: Sends to the version, with those of this grant.
        totals: What the coordinator has judged.
        is_partial: Whether counts before a restart of all instances are
            missing.
    """

    version: str
    requests: int
    sent: int
    totals: Totals = attrs.field(factory=Totals)
    is_partial: bool = False


@attrs.frozen
class Grant:
    """Grant of a placement request and its details.

    Attributes:
        request: The placement request.
        upstream: Upstream that runs the attempt.
        prefill: Prefill upstream; None without a separate prefill.
        waited_seconds: Time in the queue.
        load: Requests that the upstream was running before this one.
        list_position: Position of the list of upstreams.
        rate_limits: Rate limits in force at these upstreams in requests per
            second, by upstream.
        retries_used: Retries of the service that are counted in the window.
        urgency: Urgency that engines admit and preempt the request by, 0 to 9;
            -1 for none.
        rollout: Counts of the service's roll-out; None if none is running.
    """

    request: PlacementRequest
    upstream: Upstream
    prefill: Upstream | None
    waited_seconds: float
    load: int
    list_position: int
    rate_limits: Mapping[str, float] = attrs.field(factory=dict)
    retries_used: int = 0
    urgency: int = -1
    rollout: RolloutCounts | None = None


@attrs.frozen
class RejectionDetails:
    """Details of the rejection of a placement request.

    Attributes:
        waiting: Other queued requests for the service.
        grant_interval_seconds: Mean time between two grants while requests
            are queued; 0 where unknown.
        tokens_left: Tokens in the account's bucket; below 0 if overdrawn.
        list_position: Position of the list of upstreams.
        rejections: How often its caller is rejected, as far as known.
    """

    waiting: int
    grant_interval_seconds: float
    tokens_left: float
    list_position: int
    rejections: int = 1


@attrs.frozen
class Rejection:
    """Rejection of a placement request."""

    request: PlacementRequest
    failure: Failure
    details: RejectionDetails


Decision = Grant | Rejection
