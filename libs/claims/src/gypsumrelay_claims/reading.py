"""Apply the records that a committer reads from the log."""

from __future__ import annotations

from gypsumrelay_configuration import (
    ClaimBatch,
    ClaimEntry,
    ClaimReference,
    ClaimsCompacted,
    ClaimsExpired,
    ClaimsReleased,
    CompactedClaim,
    Record,
)

from gypsumrelay_claims import table as tables
from gypsumrelay_claims.actions import (
    Action,
    ClaimKey,
    Granted,
    LogRead,
    ReadLog,
)
from gypsumrelay_claims.requests import taken_by
from gypsumrelay_claims.state import (
    Committer,
    Replay,
    add_pending,
    drop_waiting,
    reject,
    reject_overdue,
    release_orphan,
    release_orphans,
)
from gypsumrelay_claims.table import ClaimTable, key_of

CompactedClaims = dict[ClaimKey, tuple[int, CompactedClaim]]


def apply_read(
    committer: Committer,
    read: LogRead,
    now: float,
) -> list[Action]:
    """Apply the response to a read of the log.

    Requests past their deadlines are rejected first, so that a committer
    that was paused does not grant them.
    """
    actions = reject_overdue(committer, now)
    if read.oldest > committer.next_offset:
        _start_replay(committer, read.oldest)
    elif read.start > committer.next_offset:
        return [*actions, ReadLog()]
    committer.oldest = max(committer.oldest, read.oldest)
    for offset, record in read.entries:
        if offset >= committer.next_offset:
            actions.extend(_apply_or_buffer(committer, offset, record, now))
            committer.next_offset = offset + 1
    committer.next_offset = max(committer.next_offset, read.next_offset)
    if read.at_end and _is_current(committer, read):
        actions.extend(_on_log_end(committer, now))
    return actions


def _is_current(committer: Committer, read: LogRead) -> bool:
    """Return whether the end of the log that a read reached is recent.

    A delayed response may show an older end of the log, without the
    compactions of records that the log has dropped since.
    """
    if read.next_offset < committer.next_offset:
        return False
    return committer.replay is None or read.oldest >= committer.replay.start


def _start_replay(committer: Committer, oldest: int) -> None:
    """Start a replay, because the log dropped records before they were read."""
    committer.replay = Replay(oldest)
    committer.table = ClaimTable(committer.settings.claim_seconds)
    committer.maintenance.compacting.clear()
    committer.maintenance.expiring.clear()
    committer.maintenance.releasing.clear()
    committer.next_offset = oldest


def _on_log_end(committer: Committer, now: float) -> list[Action]:
    actions: list[Action] = []
    if committer.replay is not None:
        replay = committer.replay
        committer.replay = None
        actions.extend(_apply_replay(committer, replay, now))
    if committer.in_flight:
        committer.in_flight.read_to_end = True
    return actions


def _apply_replay(
    committer: Committer,
    replay: Replay,
    now: float,
) -> list[Action]:
    """Rebuild the table from compacted claims and the records after them.

    Every claim is compacted before the log drops its first record. The
    records of a key without a valid compaction are therefore complete.
    """
    compacted_claims = _find_compacted_claims(replay)
    for covers, compacted in compacted_claims.values():
        tables.restore(committer.table, covers, compacted, now)
    actions: list[Action] = []
    for offset, record in replay.records:
        actions.extend(_apply(committer, offset, record, now, compacted_claims))
    release_orphans(committer)
    return actions


def _find_compacted_claims(replay: Replay) -> CompactedClaims:
    """Return the newest compacted claim of each key.

    Compactions that cover less than the start of the replay are skipped,
    since records after them are missing.
    """
    compactions = [
        record
        for _, record in replay.records
        if isinstance(record, ClaimsCompacted)
        and record.covers >= replay.start - 1
    ]
    compacted_claims: CompactedClaims = {}
    for record in sorted(compactions, key=_covers):
        for compacted in record.claims:
            compacted_claims[key_of(compacted.claim)] = (
                record.covers,
                compacted,
            )
    return compacted_claims


def _covers(record: ClaimsCompacted) -> int:
    return record.covers


def _apply_or_buffer(
    committer: Committer,
    offset: int,
    record: Record,
    now: float,
) -> list[Action]:
    if isinstance(record, ClaimBatch):
        _confirm_append(committer, record)
    if committer.replay is None:
        return _apply(committer, offset, record, now, {})
    if isinstance(record, _CLAIM_RECORDS):
        committer.replay.records.append((offset, record))
    return []


def _confirm_append(committer: Committer, record: ClaimBatch) -> None:
    batch = committer.in_flight.batch if committer.in_flight else None
    if batch and batch.record_id == record.record_id:
        committer.in_flight = None


def _apply(
    committer: Committer,
    offset: int,
    record: Record,
    now: float,
    compacted_claims: CompactedClaims,
) -> list[Action]:
    table = committer.table
    if isinstance(record, ClaimBatch):
        return _apply_batch(committer, offset, record, now, compacted_claims)
    if isinstance(record, ClaimsReleased):
        for released in _not_compacted(record.claims, offset, compacted_claims):
            tables.apply_release(table, released)
            _remove_queued(committer.maintenance.releasing, released)
    if isinstance(record, ClaimsExpired):
        for ended in _not_compacted(record.claims, offset, compacted_claims):
            tables.apply_expiry(table, ended)
            _remove_queued(committer.maintenance.expiring, ended)
    if isinstance(record, ClaimsCompacted):
        _apply_compaction(committer, record)
    return []


def _apply_compaction(committer: Committer, record: ClaimsCompacted) -> None:
    for compacted in record.claims:
        if tables.apply_compaction(committer.table, record.covers, compacted):
            committer.maintenance.compacting.pop(key_of(compacted.claim), None)


def _apply_batch(
    committer: Committer,
    offset: int,
    record: ClaimBatch,
    now: float,
    compacted_claims: CompactedClaims,
) -> list[Action]:
    actions: list[Action] = []
    for entry in record.claims:
        if _is_compacted(compacted_claims, offset, key_of(entry)):
            continue
        is_holder = tables.apply_claim(
            committer.table,
            offset,
            entry,
            record.committer,
            now,
        )
        granted = is_holder and record.committer == committer.identity
        actions.extend(_answer(committer, entry, granted, now))
    return actions


def _answer(
    committer: Committer,
    entry: ClaimEntry,
    granted: bool,
    now: float,
) -> list[Action]:
    """Answer the request of a claim that was read from the log.

    A claim written by another committer is not granted here, since that
    committer may have rejected its request.
    """
    release_orphan(committer, key_of(entry))
    waiting = committer.waiting.get(entry.request_id)
    if waiting is None:
        return []
    if granted:
        drop_waiting(committer, entry.request_id)
        return [Granted(entry.request_id)]
    taken = taken_by(committer, waiting.claim)
    if taken:
        drop_waiting(committer, entry.request_id)
        return [taken]
    holder = committer.table.holders.get(key_of(entry))
    if holder and entry.request_id in holder.previous_ids:
        drop_waiting(committer, entry.request_id)
        return [reject(committer, waiting.claim, 'the claim is void', now)]
    add_pending(committer, entry.request_id, now)
    return []


def _is_compacted(
    compacted_claims: CompactedClaims,
    offset: int,
    key: ClaimKey,
) -> bool:
    """Return whether the compacted claim of a key covers an offset."""
    return key in compacted_claims and offset <= compacted_claims[key][0]


def _not_compacted(
    references: tuple[ClaimReference, ...],
    offset: int,
    compacted_claims: CompactedClaims,
) -> list[ClaimReference]:
    return [
        reference
        for reference in references
        if not _is_compacted(compacted_claims, offset, key_of(reference))
    ]


def _remove_queued(
    references: dict[ClaimKey, str],
    reference: ClaimReference,
) -> None:
    key = key_of(reference)
    if references.get(key) == reference.request_id:
        references.pop(key)


_CLAIM_RECORDS = (ClaimBatch, ClaimsReleased, ClaimsExpired, ClaimsCompacted)
