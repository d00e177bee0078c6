"""State and settings of one committer."""

from __future__ import annotations

import heapq
from typing import Any

import attrs
from gypsumrelay_configuration import ClaimBatch, Record
from gypsumrelay_errors import ClaimUnavailable

from gypsumrelay_claims.actions import (
    Action,
    Claim,
    ClaimKey,
    Unavailable,
)
from gypsumrelay_claims.ownership import committer_of
from gypsumrelay_claims.table import ClaimTable, HolderState, KeyHolder


@attrs.frozen
class CommitterSettings:
    """Limits and time-outs of a committer.

    Attributes:
        claim_seconds: Retention of a claim in seconds.
        window_seconds: Batching window in seconds. A claim waits for others
            that share its append, since the log accepts only several hundred
            appends per second.
        max_batch: Maximum number of claims or references in one record.
        max_waiting: Maximum number of requests that wait for an answer.
        max_claims: Maximum number of claims in memory. Further requests are
            rejected, since evicting a claim could run its request twice.
        max_volatile: Maximum number of non-durable claims in memory; the
            oldest is evicted.
        max_abandoned: Maximum number of abandoned requests, whose claims may
            still be recorded.
        retry_seconds: Seconds after which a rejected request may be retried.
        repeat_append_seconds: Seconds after which an append of unknown
            result, or a maintenance record that is not in the log, is
            written again.
        abandoned_retention_seconds: Seconds for which the claim of an
            abandoned request is released if it appears in the log.
        compaction_distance: Distance from the end of the log, in records, from
            which a claim is compacted. Must be well below the number of
            records that the log retains.
        takeover_seconds: Seconds after which a committer takes over the overdue
            maintenance of another one.
    """

    claim_seconds: float
    window_seconds: float = 0.05
    max_batch: int = 500
    max_waiting: int = 10_000
    max_claims: int = 1_000_000
    max_volatile: int = 100_000
    max_abandoned: int = 100_000
    retry_seconds: float = 1
    repeat_append_seconds: float = 0.2
    abandoned_retention_seconds: float = 600
    compaction_distance: int = 200_000
    takeover_seconds: float = 60


@attrs.define
class WaitingRequest:
    """A request that waits for its answer.

    Attributes:
        claim: Claim of the request.
        sent: Whether the claim was part of an append.
    """

    claim: Claim
    sent: bool = False


@attrs.define
class PendingAppend:
    """The append in flight; a committer has at most one.

    Attributes:
        append_id: Id of the append.
        batch: Claims of the append, if any; repeated unchanged.
        had_unknown_result: Whether any append of this batch had an unknown
            result.
        awaits_result: Whether the result is outstanding.
        read_to_end: Whether the log was read to its end since the result.
        repeat_at: Time in seconds at which the batch is appended again.
    """

    append_id: str
    batch: ClaimBatch | None
    had_unknown_result: bool = False
    awaits_result: bool = True
    read_to_end: bool = False
    repeat_at: float = 0


@attrs.frozen
class AbandonedRequest:
    """A request that will never run, although its claim may be recorded.

    Attributes:
        key: Key that the request claimed.
        expires_at: Time in seconds until which its claim is released if it
            appears in the log.
        by_entry: Whether the entry released the claim. Otherwise this
            committer rejected it, which applies only to claims that it wrote
            itself.
    """

    key: ClaimKey
    expires_at: float
    by_entry: bool


@attrs.frozen
class VolatileClaim:
    """A non-durable claim, which is stored in memory only.

    Attributes:
        claim: The claim.
        expires_at: Time in seconds at which the claim expires.
    """

    claim: Claim
    expires_at: float


@attrs.define
class Maintenance:
    """Maintenance of the log that is queued until its records are read back.

    Attributes:
        releasing: Ids of requests whose claims are to be released, by key.
        expiring: Ids of requests whose claims are to be expired, by key.
        compacting: Keys whose claims are to be compacted.
        due_at: Time in seconds from which maintenance records are appended
            without waiting for claims.
    """

    releasing: dict[ClaimKey, str] = attrs.field(factory=dict)
    expiring: dict[ClaimKey, str] = attrs.field(factory=dict)
    compacting: dict[ClaimKey, None] = attrs.field(factory=dict)
    due_at: float = 0


@attrs.define
class Replay:
    """Records buffered until the log has been read to its end once.

    Attributes:
        start: Oldest offset of the log when the replay began.
        records: Offsets and records of claims since then.
    """

    start: int = 0
    records: list[tuple[int, Record]] = attrs.field(factory=list)


def _new_table(committer: Any) -> ClaimTable:
    return ClaimTable(committer.settings.claim_seconds)


@attrs.define
class Committer:
    """State of one committer.

    Attributes:
        name: Name of the agent.
        identity: Name and incarnation, which are never reused. A claim is
            granted only by the committer that wrote it.
        settings: Limits and time-outs.
        committers: All committers of the deployment, among which the
            maintenance is divided.
        table: Claims recorded in the log.
        replay: Present until the log was read from its oldest record to its
            end. No claim is granted before.
        next_offset: First offset that is not read yet.
        oldest: Oldest offset that the log retains.
        waiting: Requests without an answer, by id.
        by_deadline: Heap of (deadline, request id). An entry is outdated
            once its request is answered.
        pending: Ids of the waiting requests for the next batch, in order.
        window_ends_at: Time in seconds at which the next batch is due.
        in_flight: The append in flight.
        abandoned: Abandoned requests by id, oldest first.
        volatile: Non-durable claims by key, oldest first.
        volatile_expiries: Heap of (time in seconds, key). An entry is outdated
            if its claim expires at another time.
        maintenance: Queued maintenance of the log.
        issued_ids: Number of ids generated for records and appends.
    """

    name: str
    identity: str
    settings: CommitterSettings
    committers: tuple[str, ...] = ()
    table: ClaimTable = attrs.field(
        default=attrs.Factory(_new_table, takes_self=True),
    )
    replay: Replay | None = attrs.field(factory=Replay)
    next_offset: int = 0
    oldest: int = 0
    waiting: dict[str, WaitingRequest] = attrs.field(factory=dict)
    by_deadline: list[tuple[float, str]] = attrs.field(factory=list)
    pending: dict[str, None] = attrs.field(factory=dict)
    window_ends_at: float = 0
    in_flight: PendingAppend | None = None
    abandoned: dict[str, AbandonedRequest] = attrs.field(factory=dict)
    volatile: dict[ClaimKey, VolatileClaim] = attrs.field(factory=dict)
    volatile_expiries: list[tuple[float, ClaimKey]] = attrs.field(factory=list)
    maintenance: Maintenance = attrs.field(factory=Maintenance)
    issued_ids: int = 0


def new_id(committer: Committer) -> str:
    """Return a unique id for a record or an append."""
    committer.issued_ids += 1
    return f'{committer.identity}/{committer.issued_ids}'


def owns(committer: Committer, key: ClaimKey) -> bool:
    """Return whether this committer maintains a key."""
    return committer.name == committer_of(key, committer.committers)


def add_pending(committer: Committer, request_id: str, now: float) -> None:
    """Add a waiting request to the next batch."""
    if not committer.pending:
        committer.window_ends_at = now + committer.settings.window_seconds
    committer.pending[request_id] = None


def drop_waiting(
    committer: Committer,
    request_id: str,
) -> WaitingRequest | None:
    """Remove a request that no longer needs an answer."""
    committer.pending.pop(request_id, None)
    return committer.waiting.pop(request_id, None)


def abandon(
    committer: Committer,
    request_id: str,
    key: ClaimKey,
    now: float,
    *,
    by_entry: bool = False,
) -> None:
    """Record that a request will never be dispatched; release its claim."""
    expires_at = now + committer.settings.abandoned_retention_seconds
    committer.abandoned[request_id] = AbandonedRequest(
        key,
        expires_at,
        by_entry,
    )
    if len(committer.abandoned) > committer.settings.max_abandoned:
        committer.abandoned.pop(next(iter(committer.abandoned)))
    release_orphan(committer, key)


def is_orphan(committer: Committer, holder: KeyHolder) -> bool:
    """Return whether a claim is held by a request that will never run."""
    abandoned = committer.abandoned.get(holder.entry.request_id)
    if abandoned is None or holder.state is not HolderState.held:
        return False
    return abandoned.by_entry or holder.writer == committer.identity


def release_orphan(committer: Committer, key: ClaimKey) -> None:
    """Queue the release of a key, if its request will never run."""
    holder = committer.table.holders.get(key)
    if holder and is_orphan(committer, holder):
        committer.maintenance.releasing[key] = holder.entry.request_id


def release_orphans(committer: Committer) -> None:
    """Queue the release of all keys whose requests will never run."""
    for abandoned in committer.abandoned.values():
        release_orphan(committer, abandoned.key)


def reject(
    committer: Committer,
    claim: Claim,
    sentence: str,
    now: float,
) -> Unavailable:
    """Return the rejection of a claim, whose request must not run."""
    retry_at = now + committer.settings.retry_seconds
    failure = ClaimUnavailable(sentence, retry_at=retry_at)
    return Unavailable(claim.request_id, failure)


def reject_overdue(committer: Committer, now: float) -> list[Action]:
    """Reject all requests whose deadlines have passed.

    The claim of a rejected request may still be recorded. The request is
    therefore stored as abandoned, and its claim is released when it appears
    in the log.
    """
    answers: list[Action] = []
    while committer.by_deadline and committer.by_deadline[0][0] <= now:
        _, request_id = heapq.heappop(committer.by_deadline)
        waiting = drop_waiting(committer, request_id)
        if waiting is None:
            continue
        if waiting.sent:
            abandon(committer, request_id, waiting.claim.key, now)
        sentence = 'the claim was not recorded in time'
        answers.append(reject(committer, waiting.claim, sentence, now))
    return answers


def expire_abandoned(committer: Committer, now: float) -> None:
    """Delete abandoned requests whose claims can no longer be recorded."""
    for request_id, abandoned in list(committer.abandoned.items()):
        if abandoned.expires_at > now:
            break
        committer.abandoned.pop(request_id)


def expire_volatile(committer: Committer, now: float) -> None:
    """Delete expired non-durable claims."""
    expiries = committer.volatile_expiries
    while expiries and expiries[0][0] <= now:
        _, key = heapq.heappop(expiries)
        volatile = committer.volatile.get(key)
        if volatile and volatile.expires_at <= now:
            committer.volatile.pop(key)
