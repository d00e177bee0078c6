"""The claims that the log's records decide, the same at every reader."""

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

# A late repetition of a released claim is recognized among this many; an
# older one only blocks its key, since nobody grants it.
MAX_VOID: Final = 8


class HoldingState(enum.Enum):
    """Whether a key is free for another request.

    An expired claim stays until a compaction covers the last claim that
    lost against it. Otherwise a reader of the rest of the log would take
    the one that lost for the first one.
    """

    held = 'held'
    released = 'released'
    expired = 'expired'


@attrs.define
class Holding:
    """The newest claim that was first for its key.

    Attributes:
        entry: The claim as recorded.
        writer: The committer that wrote it.
        anchor: Reading the log from this offset on gives the holding.
        expires_at: Until when the claim is remembered.
        state: Whether the key is free for another request.
        void: Earlier requests whose claims were released.
        contested_at: Offset of the last claim that lost against it.
    """

    entry: ClaimEntry
    writer: str
    anchor: int
    expires_at: float
    state: HoldingState = HoldingState.held
    void: tuple[str, ...] = ()
    contested_at: int = -1


@attrs.define
class ClaimTable:
    """Holdings by key, with the order in which they need attention.

    Attributes:
        claim_seconds: For how long a claim is remembered.
        holdings: The holding of each key.
        by_anchor: Heap of (offset, anchor, key); stale where the holding
            has another anchor.
        by_expiry: Heap of (instant, key).
    """

    claim_seconds: float
    holdings: dict[ClaimKey, Holding] = attrs.field(factory=dict)
    by_anchor: list[tuple[int, int, ClaimKey]] = attrs.field(factory=list)
    by_expiry: list[tuple[float, ClaimKey]] = attrs.field(factory=list)


def key_of(named: ClaimEntry | ClaimReference) -> ClaimKey:
    """Return the key that a part of a record is about."""
    return (named.client_account, named.key_digest)


def apply_claim(
    table: ClaimTable,
    offset: int,
    entry: ClaimEntry,
    writer: str,
    now: float,
) -> bool:
    """Apply a claim; return whether this record made it the holder."""
    key = key_of(entry)
    holding = table.holdings.get(key)
    if holding is None:
        expires_at = now + table.claim_seconds
        _insert(table, key, Holding(entry, writer, offset, expires_at))
        return True
    if not _may_follow(holding, entry):
        if entry.request_id != holding.entry.request_id:
            holding.contested_at = offset
        return False
    void = (*holding.void, holding.entry.request_id)
    holding.void = void[-MAX_VOID:]
    holding.entry = entry
    holding.writer = writer
    holding.state = HoldingState.held
    holding.expires_at = now + table.claim_seconds
    heapq.heappush(table.by_expiry, (holding.expires_at, key))
    return True


def apply_release(table: ClaimTable, reference: ClaimReference) -> None:
    """Free a key for the same body where the named request holds it."""
    holding = _named(table, reference)
    if holding and holding.state is HoldingState.held:
        holding.state = HoldingState.released


def apply_expiry(table: ClaimTable, reference: ClaimReference) -> None:
    """Free a key for any body where the named request was its newest."""
    holding = _named(table, reference)
    if holding and holding.state is not HoldingState.expired:
        holding.state = HoldingState.expired
        _drop_if_settled(table, key_of(reference), holding)


def apply_compaction(
    table: ClaimTable,
    covers: int,
    compacted: CompactedClaim,
) -> bool:
    """Note that the log is needed only from behind `covers` on.

    Returns:
        Whether that is news; a late compaction may cover less than a known
        one.
    """
    key = key_of(compacted.claim)
    holding = table.holdings.get(key)
    if holding is None or holding.anchor > covers:
        return False
    holding.anchor = covers + 1
    _push_anchor(table, key, holding)
    _drop_if_settled(table, key, holding)
    return True


def seed(
    table: ClaimTable,
    covers: int,
    compacted: CompactedClaim,
    now: float,
) -> None:
    """Take over the state that a compaction carries.

    An expired claim is dropped, since what lost against it is covered too.
    """
    state = HoldingState(compacted.state)
    if state is HoldingState.expired:
        return
    holding = Holding(
        compacted.claim,
        compacted.writer,
        covers + 1,
        now + compacted.remaining_seconds,
        state,
        compacted.void,
    )
    _insert(table, key_of(compacted.claim), holding)


def compacted_form(holding: Holding, now: float) -> CompactedClaim:
    """Return a holding as a compaction carries it."""
    return CompactedClaim(
        holding.entry,
        holding.writer,
        holding.state.value,
        holding.void,
        max(0, holding.expires_at - now),
    )


def _drop_if_settled(
    table: ClaimTable,
    key: ClaimKey,
    holding: Holding,
) -> None:
    """Drop an expired claim that no claim in the log lost against."""
    if holding.state is not HoldingState.expired:
        return
    if holding.contested_at < holding.anchor:
        table.holdings.pop(key)


def _may_follow(holding: Holding, entry: ClaimEntry) -> bool:
    known = (*holding.void, holding.entry.request_id)
    if entry.request_id in known:
        return False
    if holding.state is HoldingState.released:
        return entry.request_digest == holding.entry.request_digest
    return holding.state is HoldingState.expired


def _named(table: ClaimTable, reference: ClaimReference) -> Holding | None:
    holding = table.holdings.get(key_of(reference))
    if holding and holding.entry.request_id == reference.request_id:
        return holding
    return None


def _insert(table: ClaimTable, key: ClaimKey, holding: Holding) -> None:
    table.holdings[key] = holding
    _push_anchor(table, key, holding)
    heapq.heappush(table.by_expiry, (holding.expires_at, key))


def _push_anchor(table: ClaimTable, key: ClaimKey, holding: Holding) -> None:
    heapq.heappush(table.by_anchor, (holding.anchor, holding.anchor, key))
