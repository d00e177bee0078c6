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
from gypsumrelay_claims.table import ClaimTable, Holding, HoldingState


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
        repeat_seconds: Seconds after which an append of unknown result, or a
            maintenance record that is not in the log, is written again.
        abandon_seconds: Seconds for which the claim of an abandoned request
            is released if it appears in the log.
        compact_records: Distance from the end of the log, in records, from
            which a claim is compacted. Must be well below the number of
            records that the log retains.
        deputy_seconds: Seconds after which a committer takes over the overdue
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
    repeat_seconds: float = 0.2
    abandon_seconds: float = 600
    compact_records: int = 200_000
    deputy_seconds: float = 60


@attrs.define
class Waiting:
    """A request that waits for its answer.

    Attributes:
        claim: Claim of the request.
        sent: Whether the claim was part of an append.
    """

    claim: Claim
    sent: bool = False


@attrs.define
class Sending:
    """The append in flight; a committer has at most one.

    Attributes:
        append_id: Id of the append.
        batch: Claims of the append, if any; repeated unchanged.
        uncertain: Whether any append of this batch had an unknown result.
        awaiting: Whether the result is outstanding.
        read_back: Whether the log was read to its end since the result.
        repeat_at: Time in seconds at which the batch is appended again.
    """

    append_id: str
    batch: ClaimBatch | None
    uncertain: bool = False
    awaiting: bool = True
    read_back: bool = False
    repeat_at: float = 0


@attrs.frozen
class Abandoned:
    """A request that will never run, although its claim may be recorded.

    Attributes:
        key: Key that the request claimed.
        forget_at: Time in seconds until which its claim is released if it
            appears in the log.
        by_entry: Whether the entry released the claim. Otherwise this
            committer rejected it, which applies only to claims that it wrote
            itself.
    """

    key: ClaimKey
    forget_at: float
    by_entry: bool


@attrs.frozen
class Volatile:
    """A non-durable claim, which is stored in memory only.

    Attributes:
        claim: The claim.
        expires_at: Time in seconds at which the claim expires.
    """

    claim: Claim
    expires_at: float


@attrs.define
class Upkeep:
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
        window_ends: Time in seconds at which the next batch is due.
        sending: The append in flight.
        abandoned: Abandoned requests by id, oldest first.
        volatile: Non-durable claims by key, oldest first.
        volatile_ends: Heap of (time in seconds, key). An entry is outdated
            if its claim expires at another time.
        upkeep: Queued maintenance of the log.
        records_made: Number of ids generated for records and appends.
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
    waiting: dict[str, Waiting] = attrs.field(factory=dict)
    by_deadline: list[tuple[float, str]] = attrs.field(factory=list)
    pending: dict[str, None] = attrs.field(factory=dict)
    window_ends: float = 0
    sending: Sending | None = None
    abandoned: dict[str, Abandoned] = attrs.field(factory=dict)
    volatile: dict[ClaimKey, Volatile] = attrs.field(factory=dict)
    volatile_ends: list[tuple[float, ClaimKey]] = attrs.field(factory=list)
    upkeep: Upkeep = attrs.field(factory=Upkeep)
    records_made: int = 0


def new_id(committer: Committer) -> str:
    """Return a unique id for a record or an append."""
    committer.records_made += 1
    return f'{committer.identity}/{committer.records_made}'


def owns(committer: Committer, key: ClaimKey) -> bool:
    """Return whether this committer maintains a key."""
    return committer.name == committer_of(key, committer.committers)


def make_pending(committer: Committer, request_id: str, now: float) -> None:
    """Add a waiting request to the next batch."""
    if not committer.pending:
        committer.window_ends = now + committer.settings.window_seconds
    committer.pending[request_id] = None


def drop_waiting(committer: Committer, request_id: str) -> Waiting | None:
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
    forget_at = now + committer.settings.abandon_seconds
    committer.abandoned[request_id] = Abandoned(key, forget_at, by_entry)
    if len(committer.abandoned) > committer.settings.max_abandoned:
        committer.abandoned.pop(next(iter(committer.abandoned)))
    release_orphan(committer, key)


def is_orphan(committer: Committer, holding: Holding) -> bool:
    """Return whether a claim is held by a request that will never run."""
    abandoned = committer.abandoned.get(holding.entry.request_id)
    if abandoned is None or holding.state is not HoldingState.held:
        return False
    return abandoned.by_entry or holding.writer == committer.identity


def release_orphan(committer: Committer, key: ClaimKey) -> None:
    """Queue the release of a key, if its request will never run."""
    holding = committer.table.holdings.get(key)
    if holding and is_orphan(committer, holding):
        committer.upkeep.releasing[key] = holding.entry.request_id


def release_orphans(committer: Committer) -> None:
    """Queue the release of all keys whose requests will never run."""
    for abandoned in committer.abandoned.values():
        release_orphan(committer, abandoned.key)


def refuse(
    committer: Committer,
    claim: Claim,
    sentence: str,
    now: float,
) -> Unavailable:
    """Return the rejection of a claim, whose request must not run."""
    retry_at = now + committer.settings.retry_seconds
    failure = ClaimUnavailable(sentence, retry_at=retry_at)
    return Unavailable(claim.request_id, failure)


def answer_overdue(committer: Committer, now: float) -> list[Action]:
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
        answers.append(refuse(committer, waiting.claim, sentence, now))
    return answers


def forget_abandoned(committer: Committer, now: float) -> None:
    """Delete abandoned requests whose claims can no longer be recorded."""
    for request_id, abandoned in list(committer.abandoned.items()):
        if abandoned.forget_at > now:
            break
        committer.abandoned.pop(request_id)


def forget_volatile(committer: Committer, now: float) -> None:
    """Delete expired non-durable claims."""
    ends = committer.volatile_ends
    while ends and ends[0][0] <= now:
        _, key = heapq.heappop(ends)
        volatile = committer.volatile.get(key)
        if volatile and volatile.expires_at <= now:
            committer.volatile.pop(key)
