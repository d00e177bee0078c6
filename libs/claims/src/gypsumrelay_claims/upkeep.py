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
from gypsumrelay_claims.table import Holding, HoldingState, compacted_form


def collect_upkeep(committer: Committer, now: float) -> None:
    """Queue claims that are due for expiry or compaction."""
    if committer.replay is None:
        _collect_expiries(committer, now)
        _collect_compactions(committer)


def has_upkeep(committer: Committer) -> bool:
    """Return whether any maintenance is queued."""
    upkeep = committer.upkeep
    return bool(upkeep.releasing or upkeep.expiring or upkeep.compacting)


def release_record(committer: Committer) -> list[Record]:
    """Return the record that releases claims, if any are queued."""
    _drop_stale(committer, committer.upkeep.releasing)
    references = _references(committer, committer.upkeep.releasing)
    if not references:
        return []
    record_id = new_id(committer)
    return [ClaimsReleased(record_id, committer.identity, references)]


def upkeep_records(committer: Committer, now: float) -> list[Record]:
    """Return the records that expire and compact claims, if any are queued."""
    records: list[Record] = []
    _drop_stale(committer, committer.upkeep.expiring)
    references = _references(committer, committer.upkeep.expiring)
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
    deputy_seconds = committer.settings.deputy_seconds
    while table.by_expiry and table.by_expiry[0][0] <= now:
        due_at, key = heapq.heappop(table.by_expiry)
        holding = table.holdings.get(key)
        if holding is None or not _is_due(holding, now):
            continue
        overdue_at = holding.expires_at + deputy_seconds
        if owns(committer, key) or now >= overdue_at:
            committer.upkeep.expiring[key] = holding.entry.request_id
        else:
            heapq.heappush(table.by_expiry, (max(due_at, overdue_at), key))


def _is_due(holding: Holding, now: float) -> bool:
    if holding.state is HoldingState.expired:
        return False
    return holding.expires_at <= now


def _collect_compactions(committer: Committer) -> None:
    """Queue claims whose anchors come near the oldest record of the log.

    Claims are compacted when half of the records that the log retains are
    left as a margin. A committer that does not own the key takes over when
    half of that margin is used up. This delay is limited, since the log's
    retention is unknown before it drops records.
    """
    table = committer.table
    horizon = _horizon(committer)
    bound = committer.settings.compact_records // 2
    deputy_delay = max(1, min(bound, (horizon - committer.oldest) // 2))
    while table.by_anchor and table.by_anchor[0][0] < horizon:
        due, anchor, key = heapq.heappop(table.by_anchor)
        holding = table.holdings.get(key)
        if holding is None or holding.anchor != anchor:
            continue
        if due > anchor or owns(committer, key):
            committer.upkeep.compacting[key] = None
        else:
            late = (anchor + deputy_delay, anchor, key)
            heapq.heappush(table.by_anchor, late)


def _horizon(committer: Committer) -> int:
    by_count = committer.next_offset - committer.settings.compact_records
    if not committer.oldest:
        return by_count
    middle = (committer.oldest + committer.next_offset) // 2
    return max(by_count, middle)


def _drop_stale(
    committer: Committer,
    references: dict[ClaimKey, str],
) -> None:
    """Drop references to claims that expired or were replaced."""
    holdings = committer.table.holdings
    for key, request_id in list(references.items()):
        if not _concerns(holdings.get(key), request_id):
            references.pop(key)


def _concerns(holding: Holding | None, request_id: str) -> bool:
    if holding is None or holding.state is HoldingState.expired:
        return False
    return holding.entry.request_id == request_id


def _references(
    committer: Committer,
    queued: dict[ClaimKey, str],
) -> tuple[ClaimReference, ...]:
    first = islice(queued.items(), committer.settings.max_batch)
    return tuple(
        ClaimReference(*key, request_id=request_id) for key, request_id in first
    )


def _compaction(committer: Committer, now: float) -> ClaimsCompacted:
    queued = committer.upkeep.compacting
    holdings = committer.table.holdings
    stale = [key for key in queued if key not in holdings]
    for gone in stale:
        queued.pop(gone)
    first = list(islice(queued, committer.settings.max_batch))
    return ClaimsCompacted(
        new_id(committer),
        committer.identity,
        committer.next_offset - 1,
        tuple(compacted_form(holdings[known], now) for known in first),
    )
