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
    """Bounds and periods of a committer.

    Attributes:
        claim_seconds: For how long a claim is remembered.
        window_seconds: How long a claim waits for others to share its
            append; the log takes several hundred appends per second.
        max_batch: Claims or references in one record.
        max_waiting: Requests that wait for an answer at once.
        max_claims: Claims in memory; further requests are rejected, since
            dropping a live claim would let its work run twice.
        max_volatile: Non-durable claims in memory; the oldest is dropped.
        max_abandoned: Rejected requests whose claims may yet be recorded.
        retry_seconds: After how long a rejected request may come again.
        repeat_seconds: After how long an append of unknown result, or an
            upkeep record that did not show up, is written again.
        abandon_seconds: For how long a claim of a rejected request is
            released if it shows up.
        compact_records: A claim further than this behind the end of the
            log is repeated; well below the number of records it keeps.
        deputy_seconds: After how long a committer does the overdue upkeep
            of another one.
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
        claim: What it asked for.
        sent: Whether an append with its claim was ever handed out.
    """

    claim: Claim
    sent: bool = False


@attrs.define
class Sending:
    """The append under way; there is one at a time.

    Attributes:
        append_id: Identifies the append.
        batch: Its claims, if any; repeated unchanged.
        uncertain: Whether a result of this batch was ever unknown.
        awaiting: Whether the result is still to come.
        read_back: Whether the log was read to its end since.
        repeat_at: When to append it again.
    """

    append_id: str
    batch: ClaimBatch | None
    uncertain: bool = False
    awaiting: bool = True
    read_back: bool = False
    repeat_at: float = 0


@attrs.frozen
class Abandoned:
    """A request that was told it will not run.

    Attributes:
        key: The key that it claimed.
        forget_at: Until when its claim is looked for.
        by_entry: Whether its entry said so. Otherwise this committer did,
            which speaks only for claims that it wrote itself.
    """

    key: ClaimKey
    forget_at: float
    by_entry: bool


@attrs.frozen
class Volatile:
    """A claim that is kept in memory only."""

    claim: Claim
    expires_at: float


@attrs.define
class Upkeep:
    """References to write until the log shows them.

    Attributes:
        releasing: Request ids to release, by key.
        expiring: Request ids to expire, by key.
        compacting: Keys to repeat.
        due_at: From when upkeep alone is worth an append.
    """

    releasing: dict[ClaimKey, str] = attrs.field(factory=dict)
    expiring: dict[ClaimKey, str] = attrs.field(factory=dict)
    compacting: dict[ClaimKey, None] = attrs.field(factory=dict)
    due_at: float = 0


@attrs.define
class Replay:
    """What is read of the log before the committer knows all claims.

    Attributes:
        start: The oldest record when the replay began.
        records: The records since.
    """

    start: int = 0
    records: list[tuple[int, Record]] = attrs.field(factory=list)


def _new_table(committer: Any) -> ClaimTable:
    return ClaimTable(committer.settings.claim_seconds)


@attrs.define
class Committer:
    """State of one committer.

    Attributes:
        name: The agent's name.
        identity: Name and incarnation, unique for ever: only the committer
            that wrote a claim grants it.
        settings: Bounds and periods.
        committers: The deployment's committers, for the division of upkeep.
        table: The claims recorded so far.
        replay: Present until the log was read from its oldest record to
            its end; nothing is granted before.
        next_offset: The first offset not read yet.
        oldest: The oldest offset that the log keeps.
        waiting: Requests without an answer, by id.
        by_deadline: Heap of (deadline, request id); stale once answered.
        pending: Ids of the waiting requests for the next batch, in order.
        window_ends: When the next batch is due.
        sending: The append under way.
        abandoned: Rejected requests by id, oldest first.
        volatile: Non-durable claims by key, oldest first.
        volatile_ends: Heap of (instant, key); stale where the claim has
            another end.
        upkeep: References to write.
        records_made: Number of record ids given out.
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
    """Return an id that no other record or append has."""
    committer.records_made += 1
    return f'{committer.identity}/{committer.records_made}'


def owns(committer: Committer, key: ClaimKey) -> bool:
    """Return whether the upkeep of a key is this committer's."""
    return committer.name == committer_of(key, committer.committers)


def make_pending(committer: Committer, request_id: str, now: float) -> None:
    """Put a waiting request's claim into the next batch."""
    if not committer.pending:
        committer.window_ends = now + committer.settings.window_seconds
    committer.pending[request_id] = None


def drop_waiting(committer: Committer, request_id: str) -> Waiting | None:
    """Remove a request that needs no answer any more."""
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
    """Note that a request will never be dispatched."""
    forget_at = now + committer.settings.abandon_seconds
    committer.abandoned[request_id] = Abandoned(key, forget_at, by_entry)
    if len(committer.abandoned) > committer.settings.max_abandoned:
        committer.abandoned.pop(next(iter(committer.abandoned)))
    release_orphan(committer, key)


def is_orphan(committer: Committer, holding: Holding) -> bool:
    """Return whether the request that holds a key will never run."""
    abandoned = committer.abandoned.get(holding.entry.request_id)
    if abandoned is None or holding.state is not HoldingState.held:
        return False
    return abandoned.by_entry or holding.writer == committer.identity


def release_orphan(committer: Committer, key: ClaimKey) -> None:
    """Queue the release of a key whose request will never run."""
    holding = committer.table.holdings.get(key)
    if holding and is_orphan(committer, holding):
        committer.upkeep.releasing[key] = holding.entry.request_id


def release_orphans(committer: Committer) -> None:
    """Queue the release of every key whose request will never run."""
    for abandoned in committer.abandoned.values():
        release_orphan(committer, abandoned.key)


def refuse(
    committer: Committer,
    claim: Claim,
    sentence: str,
    now: float,
) -> Unavailable:
    """Return the rejection of a claim; its request never runs."""
    retry_at = now + committer.settings.retry_seconds
    failure = ClaimUnavailable(sentence, retry_at=retry_at)
    return Unavailable(claim.request_id, failure)


def answer_overdue(committer: Committer, now: float) -> list[Action]:
    """Reject every request whose deadline has come.

    Its claim may still be recorded, so the request is noted as abandoned
    and its claim released as soon as the log shows it.
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
    """Drop abandoned requests whose claims can no longer show up."""
    for request_id, abandoned in list(committer.abandoned.items()):
        if abandoned.forget_at > now:
            break
        committer.abandoned.pop(request_id)


def forget_volatile(committer: Committer, now: float) -> None:
    """Drop non-durable claims that have ended."""
    ends = committer.volatile_ends
    while ends and ends[0][0] <= now:
        _, key = heapq.heappop(ends)
        volatile = committer.volatile.get(key)
        if volatile and volatile.expires_at <= now:
            committer.volatile.pop(key)
