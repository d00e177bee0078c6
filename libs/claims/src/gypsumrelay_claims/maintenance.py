"""Maintenance of the log: release, expire and compact claims."""

from __future__ import annotations

import heapq
from itertools import islice

from gypsumrelay_configuration import (
    ClaimReference,
    ClaimsCompacted,
    ClaimsExpired,
    ClaimsReleased,
    Record,
)

from gypsumrelay_claims.actions import ClaimKey
from gypsumrelay_claims.state import Committer, new_id, owns
from gypsumrelay_claims.table import HolderState, KeyHolder, to_compacted


def collect_maintenance(committer: Committer, now: float) -> None:
    """Queue claims that are due for expiry or compaction."""
    if committer.replay is None:
        _collect_expiries(committer, now)
        _collect_compactions(committer)


def has_maintenance(committer: Committer) -> bool:
    """Return whether any maintenance is queued."""
    maintenance = committer.maintenance
    return bool(
        maintenance.releasing or maintenance.expiring or maintenance.compacting,
    )


def release_record(committer: Committer) -> list[Record]:
    """Return the record that releases claims, if any are queued."""
    _drop_stale(committer, committer.maintenance.releasing)
    references = _references(committer, committer.maintenance.releasing)
    if not references:
        return []
    record_id = new_id(committer)
    return [ClaimsReleased(record_id, committer.identity, references)]


def maintenance_records(committer: Committer, now: float) -> list[Record]:
    """Return the records that expire and compact claims, if any are queued."""
    records: list[Record] = []
    _drop_stale(committer, committer.maintenance.expiring)
    references = _references(committer, committer.maintenance.expiring)
    if references:
        record_id = new_id(committer)
        records.append(
            ClaimsExpired(record_id, committer.identity, references),
        )
    compaction = _compaction(committer, now)
    if compaction.claims:
        records.append(compaction)
    return records


def _collect_expiries(committer: Committer, now: float) -> None:
    table = committer.table
    takeover_seconds = committer.settings.takeover_seconds
    while table.by_expiry and table.by_expiry[0][0] <= now:
        due_at, key = heapq.heappop(table.by_expiry)
        holder = table.holders.get(key)
        if holder is None or not _is_due(holder, now):
            continue
        overdue_at = holder.expires_at + takeover_seconds
        if owns(committer, key) or now >= overdue_at:
            committer.maintenance.expiring[key] = holder.entry.request_id
        else:
            heapq.heappush(table.by_expiry, (max(due_at, overdue_at), key))


def _is_due(holder: KeyHolder, now: float) -> bool:
    if holder.state is HolderState.expired:
        return False
    return holder.expires_at <= now


def _collect_compactions(committer: Committer) -> None:
    """Queue claims whose replay offsets come near the log's oldest record.

    Claims are compacted when half of the records that the log retains are
    left as a margin. A committer that does not own the key takes over when
    half of that margin is used up. This delay is limited, since the log's
    retention is unknown before it drops records.
    """
    table = committer.table
    limit = _compaction_limit(committer)
    bound = committer.settings.compaction_distance // 2
    takeover_delay = max(1, min(bound, (limit - committer.oldest) // 2))
    while table.by_replay_offset and table.by_replay_offset[0][0] < limit:
        due, replay_offset, key = heapq.heappop(table.by_replay_offset)
        holder = table.holders.get(key)
        if holder is None or holder.replay_offset != replay_offset:
            continue
        if due > replay_offset or owns(committer, key):
            committer.maintenance.compacting[key] = None
        else:
            delayed = (replay_offset + takeover_delay, replay_offset, key)
            heapq.heappush(table.by_replay_offset, delayed)


def _compaction_limit(committer: Committer) -> int:
    by_count = committer.next_offset - committer.settings.compaction_distance
    if not committer.oldest:
        return by_count
    middle = (committer.oldest + committer.next_offset) // 2
    return max(by_count, middle)


def _drop_stale(
    committer: Committer,
    references: dict[ClaimKey, str],
) -> None:
    """Drop references to claims that expired or were replaced."""
    holders = committer.table.holders
    for key, request_id in list(references.items()):
        if not _is_held_by(holders.get(key), request_id):
            references.pop(key)


def _is_held_by(holder: KeyHolder | None, request_id: str) -> bool:
    if holder is None or holder.state is HolderState.expired:
        return False
    return holder.entry.request_id == request_id


def _references(
    committer: Committer,
    queued: dict[ClaimKey, str],
) -> tuple[ClaimReference, ...]:
    first = islice(queued.items(), committer.settings.max_batch)
    return tuple(
        ClaimReference(*key, request_id=request_id) for key, request_id in first
    )


def _compaction(committer: Committer, now: float) -> ClaimsCompacted:
    queued = committer.maintenance.compacting
    holders = committer.table.holders
    stale = [key for key in queued if key not in holders]
    for stale_key in stale:
        queued.pop(stale_key)
    first = list(islice(queued, committer.settings.max_batch))
    return ClaimsCompacted(
        new_id(committer),
        committer.identity,
        committer.next_offset - 1,
        tuple(to_compacted(holders[key], now) for key in first),
    )
