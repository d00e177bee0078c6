"""Failures reported to callers and operators, one class for each code."""

from __future__ import annotations

import enum
from typing import ClassVar

import attrs


class Outcome(enum.Enum):
    """Whether a failed request ran at an upstream.

    Attributes:
        not_run: The request did not run.
        unknown: The request may have run.
        failed: The request ran, but failed.
    """

    not_run = 'not_run'
    unknown = 'unknown'
    failed = 'failed'


@attrs.frozen
class Failure:
    """Base class of all failures; returned as a value, never raised.

    Subclasses add no fields, and therefore inherit the methods that attrs
    generates.

    Attributes:
        code: Code of the failure in responses, messages and logs.
        http_status: Status of the HTTP response.
        sentence: Description of the failure for the reader of the response.
        outcome: Whether an upstream ran the request.
        retry_at: Instant in seconds on the local monotonic clock from which
            a retry may succeed; None if a retry is useless.
    """

    code: ClassVar[str] = 'failure'
    http_status: ClassVar[int] = 500

    sentence: str
    outcome: Outcome = Outcome.not_run
    retry_at: float | None = None


class KeyMissing(Failure):
    """The request has no API key, but the route requires one."""

    code: ClassVar[str] = 'key_missing'
    http_status: ClassVar[int] = 401


class KeyUnknown(Failure):
    """The API key of the request belongs to no contract."""

    code: ClassVar[str] = 'key_unknown'
    http_status: ClassVar[int] = 401


class KeyWithdrawn(Failure):
    """The API key was revoked, possibly while the request ran."""

    code: ClassVar[str] = 'key_withdrawn'
    http_status: ClassVar[int] = 401


class RouteUnknown(Failure):
    """No route matches the request's method and path."""

    code: ClassVar[str] = 'route_unknown'
    http_status: ClassVar[int] = 404


class RouteNotAllowed(Failure):
    """The contract does not include the route."""

    code: ClassVar[str] = 'route_not_allowed'
    http_status: ClassVar[int] = 403


class StreamNotResumable(Failure):
    """No upstream can go on with the stream that the caller resumes."""

    code: ClassVar[str] = 'stream_not_resumable'
    http_status: ClassVar[int] = 503


class ModelUnknown(Failure):
    """No upstream serves the model."""

    code: ClassVar[str] = 'model_unknown'
    http_status: ClassVar[int] = 404


class ModelNotAllowed(Failure):
    """The contract does not include the model."""

    code: ClassVar[str] = 'model_not_allowed'
    http_status: ClassVar[int] = 403


class BodyTooLarge(Failure):
    """The request body exceeds the size limit of the settings."""

    code: ClassVar[str] = 'body_too_large'
    http_status: ClassVar[int] = 413


class BuffersFull(Failure):
    """The instance has no memory for the request body now."""

    code: ClassVar[str] = 'buffers_full'
    http_status: ClassVar[int] = 503


class HeadersTooLarge(Failure):
    """The request headers exceed the size limit of the settings."""

    code: ClassVar[str] = 'headers_too_large'
    http_status: ClassVar[int] = 431


class BodyMalformed(Failure):
    """The request body is invalid for the route."""

    code: ClassVar[str] = 'body_malformed'
    http_status: ClassVar[int] = 400


class TokensOutOfRange(Failure):
    """The token counts exceed a limit of the model or the contract."""

    code: ClassVar[str] = 'tokens_out_of_range'
    http_status: ClassVar[int] = 400


class RateExceeded(Failure):
    """The client account has exceeded its token rate and burst."""

    code: ClassVar[str] = 'rate_exceeded'
    http_status: ClassVar[int] = 429


class Overloaded(Failure):
    """No upstream has capacity for the request in time."""

    code: ClassVar[str] = 'overloaded'
    http_status: ClassVar[int] = 503


class DeadlineUnreachable(Failure):
    """The request can no longer meet its latency objectives."""

    code: ClassVar[str] = 'deadline_unreachable'
    http_status: ClassVar[int] = 503


class NoUpstream(Failure):
    """No healthy upstream serves the model or the route."""

    code: ClassVar[str] = 'no_upstream'
    http_status: ClassVar[int] = 503


class UpstreamFailed(Failure):
    """The upstream failed and no retry is left."""

    code: ClassVar[str] = 'upstream_failed'
    http_status: ClassVar[int] = 502


class OutcomeUnknown(Failure):
    """An upstream may have run the request, but its response is lost."""

    code: ClassVar[str] = 'outcome_unknown'
    http_status: ClassVar[int] = 502


class RequestBlamed(Failure):
    """The same content crashed upstreams before and is not retried."""

    code: ClassVar[str] = 'request_blamed'
    http_status: ClassVar[int] = 422


class RequestQuarantined(Failure):
    """Several upstreams failed while they ran the same content."""

    code: ClassVar[str] = 'request_quarantined'
    http_status: ClassVar[int] = 503


class PartQuarantined(Failure):
    """Several upstreams failed while they started prompts with one part."""

    code: ClassVar[str] = 'part_quarantined'
    http_status: ClassVar[int] = 503


class DeadlinePassed(Failure):
    """The deadline of the caller or the time-out of the route has passed."""

    code: ClassVar[str] = 'deadline_passed'
    http_status: ClassVar[int] = 504


class ConfigurationMissing(Failure):
    """The instance has not received a configuration yet."""

    code: ClassVar[str] = 'configuration_missing'
    http_status: ClassVar[int] = 503


class ClaimUnavailable(Failure):
    """The claim for an idempotency key cannot be recorded at present."""

    code: ClassVar[str] = 'claim_unavailable'
    http_status: ClassVar[int] = 503


class IdempotencyKeyReused(Failure):
    """The idempotency key was used before with a different request body."""

    code: ClassVar[str] = 'idempotency_key_reused'
    http_status: ClassVar[int] = 422


class IdempotencyKeyRunning(Failure):
    """Another request with this idempotency key is still running."""

    code: ClassVar[str] = 'idempotency_key_running'
    http_status: ClassVar[int] = 409


class Draining(Failure):
    """The instance is draining and accepts no new requests."""

    code: ClassVar[str] = 'draining'
    http_status: ClassVar[int] = 503


class ConfigurationStale(Failure):
    """The instance cannot confirm that its configuration is up to date."""

    code: ClassVar[str] = 'configuration_stale'
    http_status: ClassVar[int] = 503


class PlatformUnavailable(Failure):
    """A platform service did not respond or responded with an error."""

    code: ClassVar[str] = 'platform_unavailable'
    http_status: ClassVar[int] = 503


class FrameMalformed(Failure):
    """A frame on a link is truncated, oversized or of an unknown format."""

    code: ClassVar[str] = 'frame_malformed'


class PeerUnauthenticated(Failure):
    """The peer of a link does not know the shared secret."""

    code: ClassVar[str] = 'peer_unauthenticated'


class LinkClosed(Failure):
    """The link to the peer was closed or has timed out."""

    code: ClassVar[str] = 'link_closed'
    http_status: ClassVar[int] = 502
