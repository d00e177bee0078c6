"""Table of claims, derived from the log and therefore equal at all readers."""

from __future__ import annotations

import enum
import heapq
from typing import Final

import attrs
from gypsumrelay_configuration import (
    ClaimEntry,
    ClaimReference,
    CompactedClaim,
)

from gypsumrelay_claims.actions import ClaimKey

# Maximum number of previous request ids stored per key, by which a late
# duplicate of a released claim is recognised. An older duplicate only blocks
# the key, since it is never granted.
MAX_PREVIOUS_IDS: Final = 8


class HolderState(enum.Enum):
    """State of the claim that holds a key.

    An expired claim stays in the table until a compaction covers the last
    claim that it rejected. Otherwise a reader that starts behind the expired
    claim would accept the rejected one as the first.

    Attributes:
        held: The key is taken.
        released: The key is free for a request with the same body.
        expired: The key is free for any request.
    """

    held = 'held'
    released = 'released'
    expired = 'expired'


@attrs.define
class KeyHolder:
    """The claim that holds a key, or held it last.

    Attributes:
        entry: The claim as recorded in the log.
        writer: Identity of the committer that wrote it.
        replay_offset: Offset from which a replay of the log restores the claim.
        expires_at: Time in seconds at which the claim expires.
        state: Whether the key is free for another request.
        previous_ids: Ids of requests that held the key before.
        last_conflict_offset: Offset of the last claim that was rejected
            because of this one.
    """

    entry: ClaimEntry
    writer: str
    replay_offset: int
    expires_at: float
    state: HolderState = HolderState.held
    previous_ids: tuple[str, ...] = ()
    last_conflict_offset: int = -1


@attrs.define
class ClaimTable:
    """Claims by key, with the order of their compactions and expiries.

    Attributes:
        claim_seconds: Retention of a claim in seconds.
        holders: Holder of each key.
        by_replay_offset: Heap of (due offset, replay offset, key). An entry
            is outdated if the holder has another replay offset.
        by_expiry: Heap of (time in seconds, key).
    """

    claim_seconds: float
    holders: dict[ClaimKey, KeyHolder] = attrs.field(factory=dict)
    by_replay_offset: list[tuple[int, int, ClaimKey]] = attrs.field(
        factory=list,
    )
    by_expiry: list[tuple[float, ClaimKey]] = attrs.field(factory=list)


def key_of(claim: ClaimEntry | ClaimReference) -> ClaimKey:
    """Return the key of a claim or of a reference to one."""
    return (claim.client_account, claim.key_digest)


def apply_claim(
    table: ClaimTable,
    offset: int,
    entry: ClaimEntry,
    writer: str,
    now: float,
) -> bool:
    """Apply a claim; return whether it now holds the key."""
    key = key_of(entry)
    holder = table.holders.get(key)
    if holder is None:
        expires_at = now + table.claim_seconds
        _insert(table, key, KeyHolder(entry, writer, offset, expires_at))
        return True
    if not _can_replace(holder, entry):
        if entry.request_id != holder.entry.request_id:
            holder.last_conflict_offset = offset
        return False
    previous_ids = (*holder.previous_ids, holder.entry.request_id)
    holder.previous_ids = previous_ids[-MAX_PREVIOUS_IDS:]
    holder.entry = entry
    holder.writer = writer
    holder.state = HolderState.held
    holder.expires_at = now + table.claim_seconds
    heapq.heappush(table.by_expiry, (holder.expires_at, key))
    return True


def apply_release(table: ClaimTable, reference: ClaimReference) -> None:
    """Free a key for the same body, if the named request holds it."""
    holder = _find_referenced(table, reference)
    if holder and holder.state is HolderState.held:
        holder.state = HolderState.released


def apply_expiry(table: ClaimTable, reference: ClaimReference) -> None:
    """Free a key for any body, if the named request held it last."""
    holder = _find_referenced(table, reference)
    if holder and holder.state is not HolderState.expired:
        holder.state = HolderState.expired
        _drop_if_uncontested(table, key_of(reference), holder)


def apply_compaction(
    table: ClaimTable,
    covers: int,
    compacted: CompactedClaim,
) -> bool:
    """Apply a compacted claim, which replaces all records up to `covers`.

    Returns:
        Whether the replay offset of the key advanced. A delayed compaction
        may cover less than an earlier one.
    """
    key = key_of(compacted.claim)
    holder = table.holders.get(key)
    if holder is None or holder.replay_offset > covers:
        return False
    holder.replay_offset = covers + 1
    _schedule_compaction(table, key, holder)
    _drop_if_uncontested(table, key, holder)
    return True


def restore(
    table: ClaimTable,
    covers: int,
    compacted: CompactedClaim,
    now: float,
) -> None:
    """Add a claim to the table from its compacted state.

    An expired claim is skipped, since the compaction also covers all claims
    that it rejected.
    """
    state = HolderState(compacted.state)
    if state is HolderState.expired:
        return
    holder = KeyHolder(
        compacted.claim,
        compacted.writer,
        covers + 1,
        now + compacted.remaining_seconds,
        state,
        compacted.void,
    )
    _insert(table, key_of(compacted.claim), holder)


def to_compacted(holder: KeyHolder, now: float) -> CompactedClaim:
    """Return the compacted state of a claim."""
    return CompactedClaim(
        holder.entry,
        holder.writer,
        holder.state.value,
        holder.previous_ids,
        max(0, holder.expires_at - now),
    )


def _drop_if_uncontested(
    table: ClaimTable,
    key: ClaimKey,
    holder: KeyHolder,
) -> None:
    """Drop an expired claim if no claim that it rejected is in the log."""
    if holder.state is not HolderState.expired:
        return
    if holder.last_conflict_offset < holder.replay_offset:
        table.holders.pop(key)


def _can_replace(holder: KeyHolder, entry: ClaimEntry) -> bool:
    request_ids = (*holder.previous_ids, holder.entry.request_id)
    if entry.request_id in request_ids:
        return False
    if holder.state is HolderState.released:
        return entry.request_digest == holder.entry.request_digest
    return holder.state is HolderState.expired


def _find_referenced(
    table: ClaimTable,
    reference: ClaimReference,
) -> KeyHolder | None:
    holder = table.holders.get(key_of(reference))
    if holder and holder.entry.request_id == reference.request_id:
        return holder
    return None


def _insert(table: ClaimTable, key: ClaimKey, holder: KeyHolder) -> None:
    table.holders[key] = holder
    _schedule_compaction(table, key, holder)
    heapq.heappush(table.by_expiry, (holder.expires_at, key))


def _schedule_compaction(
    table: ClaimTable,
    key: ClaimKey,
    holder: KeyHolder,
) -> None:
    heapq.heappush(
        table.by_replay_offset,
        (holder.replay_offset, holder.replay_offset, key),
    )
