"""Messages between relays, for the placement of requests at upstreams.

A placement reserves an upstream for one attempt of a request. The order of
fields is the wire format: new fields are added at the end with a default, and
tags are never reused.
"""

from __future__ import annotations

from typing import ClassVar, Final

import attrs

from gypsumrelay_wire.base import Message

# Maximum queue time in milliseconds of a request from a sender whose version
# does not set it; shorter than the time-out of any caller.
DEFAULT_WAIT_MS: Final = 2000


@attrs.frozen
class PlaceRequest(Message):
    """Requests a placement at an upstream of a service from the coordinator.

    Attributes:
        request_id: Identifier of the caller's request.
        attempt: Number of the attempt, from 1.
        availability_zone: Availability zone of the sender.
        service: Service that the request is for.
        client_account: Account that is charged; empty on public routes.
        cost_tokens: Tokens charged to the account for the first attempt.
        priority: Priority class, 0 highest.
        aim_ms: Remaining time to the latency objective.
        remaining_ms: Remaining time to the deadline.
        prompt_tokens: Length of the prompt; 0 for plain services.
        output_tokens: Maximum number of generated tokens.
        expected_tokens: Expected number of generated tokens.
        read: Whether prefill is complete and only decode is left.
        excluded: Upstreams that must not get this request again.
        digest: Digest of the request's content; equal for equal contents.
        wait_ms: Maximum time that the request may be queued.
        reread: Whether the prompt is prefilled again.
        resumed: Whether the attempt resumes a stream whose first part the
            caller already has.
        parts: Digests of the shared parts of the prompt, in order.
        version: Software version that the upstreams must have; empty for any.
        resumes: Digest of the start of the stream that the request goes on
            with; empty for a new stream.
        route: Name of the request's route; empty if unknown.
    """

    tag: ClassVar[int] = 40
    request_id: str
    attempt: int
    availability_zone: str
    service: str
    client_account: str
    cost_tokens: int
    priority: int
    aim_ms: int
    remaining_ms: int
    prompt_tokens: int
    output_tokens: int
    expected_tokens: int
    read: bool
    excluded: list[str]
    digest: bytes
    wait_ms: int = DEFAULT_WAIT_MS
    reread: bool = False
    resumed: bool = False
    parts: list[bytes] = attrs.field(factory=list)
    version: str = ''
    resumes: bytes = b''
    route: str = ''


@attrs.frozen
class PlaceGranted(Message):
    """Grants a placement.

    Attributes:
        request_id: Identifier of the caller's request.
        attempt: Number of the attempt.
        upstream: Upstream that runs the attempt.
        address: Address of this upstream.
        prefill: Prefill upstream; empty without a separate prefill.
        prefill_address: Address of the prefill upstream; empty without one.
        load: Requests that the upstream was running before this one.
        waited_ms: Time in the queue.
        list_position: Position of the list of upstreams; -1 if unknown.
        rate_limit: Rate limit of the upstream in requests per 1,000 seconds;
            -1 without one.
        prefill_rate_limit: Rate limit of the prefill upstream, likewise.
        repeats_used: Retries of the service that are counted in the window.
        started_ms: Start of the upstream, Unix milliseconds; 0 if unknown.
        prefill_started_ms: Start of the prefill upstream, likewise.
        version: Version of the upstream's software; empty if unknown.
        urgency: Urgency that the upstream admits and preempts the request by,
            0 to 9; -1 for none.
        rollout_version: Version to which the service is moved; empty if none.
        rollout_requests: Requests of the service since that order.
        rollout_sent: Sends to that version.
        rollout_slow: Slow answers of it.
        rollout_old_answers: Answers of the former versions.
        rollout_old_slow: Slow ones among them.
        rollout_old_failed: Failures among them.
        rollout_partial: Whether counts before a restart of all relays are
            missing.
    """

    tag: ClassVar[int] = 41
    request_id: str
    attempt: int
    upstream: str
    address: str
    prefill: str
    prefill_address: str
    load: int
    waited_ms: int
    list_position: int = -1
    rate_limit: int = -1
    prefill_rate_limit: int = -1
    repeats_used: int = 0
    started_ms: int = 0
    prefill_started_ms: int = 0
    version: str = ''
    urgency: int = -1
    rollout_version: str = ''
    rollout_requests: int = 0
    rollout_sent: int = 0
    rollout_slow: int = 0
    rollout_old_answers: int = 0
    rollout_old_slow: int = 0
    rollout_old_failed: int = 0
    rollout_partial: bool = False


@attrs.frozen
class PlaceRefused(Message):
    """Rejects a placement request, with the code and text of the failure."""

    tag: ClassVar[int] = 42
    request_id: str
    attempt: int
    code: str
    sentence: str
    retry_ms: int


@attrs.frozen
class PromptRead(Message):
    """Reports the outcome of the prefill of an attempt."""

    tag: ClassVar[int] = 43
    request_id: str
    attempt: int
    ending: str


@attrs.frozen
class PlaceEnded(Message):
    """Reports the end of a placement and the outcome of the attempt.

    Attributes:
        request_id: Identifier of the caller's request.
        attempt: Number of the attempt.
        ending: The outcome.
        began: Whether the upstream had sent an event of the answer.
        events: Events of the stream after the first ones; 0 if not measured.
        stream_ms: Time in milliseconds in which these events arrived.
        transfer_ms: Time in milliseconds from the end of the prefill to the
            first event; -1 if unknown.
    """

    tag: ClassVar[int] = 44
    request_id: str
    attempt: int
    ending: str
    began: bool = False
    events: int = 0
    stream_ms: int = 0
    transfer_ms: int = -1


@attrs.frozen
class PlaceHeld(Message):
    """Reports an active placement to a new coordinator."""

    tag: ClassVar[int] = 45
    request_id: str
    attempt: int
    service: str
    prompt_tokens: int
    output_tokens: int
    expected_tokens: int
    upstream: str
    digest: bytes
    parts: list[bytes] = attrs.field(factory=list)


@attrs.frozen
class RecordsRequest(Message):
    """Requests the operator records of a peer that the sender misses.

    Attributes:
        position: Position of the sender's copy.
        version: Version of the sender's configuration; -1 if it has none, or
            is of an older version.
    """

    tag: ClassVar[int] = 46
    position: int
    version: int = -1


@attrs.frozen
class RecordsCopy(Message):
    """Transfers a copy of the operator records to a peer."""

    tag: ClassVar[int] = 47
    position: int
    records: bytes


@attrs.frozen
class RepeatsUsed(Message):
    """Reports retries that a previous coordinator granted to the new one.

    Attributes:
        service: Service that they were granted to.
        count: Retries that the sender was granted.
        total: Retries of all instances, as far as the sender knows.
    """

    tag: ClassVar[int] = 48
    service: str
    count: int
    total: int = 0


@attrs.frozen
class LimitStated(Message):
    """Reports the rate limit that an upstream states.

    Attributes:
        upstream: Name of the upstream.
        rate_limit: Requests per 1,000 seconds that it accepts.
        is_new: Whether an answer stated it just now; else the sender learned
            it under an earlier coordinator.
    """

    tag: ClassVar[int] = 49
    upstream: str
    rate_limit: int
    is_new: bool


@attrs.frozen
class LimitEnded(Message):
    """Reports that the answer to an attempt states no rate limit any more."""

    tag: ClassVar[int] = 50
    upstream: str
    request_id: str
    attempt: int


@attrs.frozen
class SendsUsed(Message):
    """Reports sends that a previous coordinator granted to the new one.

    Attributes:
        upstream: Name of the upstream that got them.
        ages_ms: Time in milliseconds since each send.
    """

    tag: ClassVar[int] = 51
    upstream: str
    ages_ms: list[int]


@attrs.frozen
class TokensUsed(Message):
    """Reports tokens that a previous coordinator charged to an account.

    Attributes:
        client_account: The account.
        ages_ms: Time in milliseconds since each charge.
        tokens: Tokens of each charge.
    """

    tag: ClassVar[int] = 52
    client_account: str
    ages_ms: list[int]
    tokens: list[int]


@attrs.frozen
class ContentQuarantined(Message):
    """Reports a content that a previous coordinator rejected for its crashes.

    Attributes:
        digest: Digest of the content.
        age_ms: Time in milliseconds since its first rejection.
    """

    tag: ClassVar[int] = 53
    digest: bytes
    age_ms: int


@attrs.frozen
class UpstreamCrashed(Message):
    """Reports a crash of an upstream and what it ran.

    The coordinator reports each crash to all instances, and these report it to
    a new coordinator.

    Attributes:
        upstream: Name of the upstream.
        age_ms: Time in milliseconds since the crash.
        digests: Digests of the contents that it ran.
        began: For each of them 1 if it had sent an event of the answer, else 0.
        part_counts: Number of parts of each of them.
        parts: Digests of the parts of all of them, in order.
    """

    tag: ClassVar[int] = 54
    upstream: str
    age_ms: int
    digests: list[bytes]
    began: list[int]
    part_counts: list[int]
    parts: list[bytes]


@attrs.frozen
class SubjectsCompleted(Message):
    """Reports contents and parts that upstreams completed after crashes.

    Attributes:
        subjects: Digests of the contents and parts.
        ages_ms: Time in milliseconds since the start of the newest completed
            run of each.
    """

    tag: ClassVar[int] = 55
    subjects: list[bytes]
    ages_ms: list[int]


@attrs.frozen
class UpstreamLeaving(Message):
    """Reports that an upstream states in an answer that it is leaving.

    Attributes:
        upstream: Name of the upstream.
        started_ms: Start of the incarnation that states it, Unix milliseconds;
            0 if unknown.
    """

    tag: ClassVar[int] = 56
    upstream: str
    started_ms: int


@attrs.frozen
class UpstreamPaused(Message):
    """Reports that an upstream asked the sender to send nothing for a time.

    Attributes:
        upstream: Name of the upstream.
        started_ms: Start of the incarnation that asked for it, Unix
            milliseconds; 0 if unknown.
        remaining_ms: Remaining time of the pause, rounded up.
    """

    tag: ClassVar[int] = 57
    upstream: str
    started_ms: int
    remaining_ms: int


@attrs.frozen
class StreamsBegan(Message):
    """Reports streams that upstreams of a software version began.

    Attributes:
        version: The version.
        digests: Digests of the starts of the streams.
    """

    tag: ClassVar[int] = 58
    version: str
    digests: list[bytes]


@attrs.frozen
class RolloutUsed(Message):
    """Reports a roll-out under earlier coordinators to the new one.

    Attributes:
        service: The service.
        version: The version on trial.
        requests: Requests of the service since the order, as far as the sender
            knows.
        sent: Sends to the version, likewise.
        answers: Answers of the version to the sender.
        bad: Failures among them.
        slow: Slow answers of the version to all relays, as the earlier
            coordinator had judged.
        old_answers: Answers of the former versions, likewise.
        old_slow: Slow ones among them.
        old_failed: Failures among them.
        partial: Whether counts before a restart of all relays are missing.
    """

    tag: ClassVar[int] = 66
    service: str
    version: str
    requests: int
    sent: int
    answers: int
    bad: int
    slow: int = 0
    old_answers: int = 0
    old_slow: int = 0
    old_failed: int = 0
    partial: bool = False
