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

# Maximum number of previous request ids stored per claim, by which a late
# duplicate of a released claim is recognised. An older duplicate only blocks
# its key, since it is never granted.
MAX_VOID: Final = 8


class HoldingState(enum.Enum):
    """State of a claim.

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
class Holding:
    """The claim that holds a key, or held it last.

    Attributes:
        entry: The claim as recorded in the log.
        writer: Identity of the committer that wrote it.
        anchor: Offset from which a replay of the log restores the claim.
        expires_at: Time in seconds at which the claim expires.
        state: Whether the key is free for another request.
        void: Ids of requests that held the key before.
        contested_at: Offset of the last claim that was rejected because of
            this one.
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
    """Claims by key, with the order of their compactions and expiries.

    Attributes:
        claim_seconds: Retention of a claim in seconds.
        holdings: Claims by key.
        by_anchor: Heap of (offset, anchor, key). An entry is outdated if the
            claim has another anchor.
        by_expiry: Heap of (time in seconds, key).
    """

    claim_seconds: float
    holdings: dict[ClaimKey, Holding] = attrs.field(factory=dict)
    by_anchor: list[tuple[int, int, ClaimKey]] = attrs.field(factory=list)
    by_expiry: list[tuple[float, ClaimKey]] = attrs.field(factory=list)


def key_of(named: ClaimEntry | ClaimReference) -> ClaimKey:
    """Return the key of a claim or of a reference to one."""
    return (named.client_account, named.key_digest)


def apply_claim(
    table: ClaimTable,
    offset: int,
    entry: ClaimEntry,
    writer: str,
    now: float,
) -> bool:
    """Apply a claim; return whether it now holds the key."""
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
    """Free a key for the same body, if the named request holds it."""
    holding = _named(table, reference)
    if holding and holding.state is HoldingState.held:
        holding.state = HoldingState.released


def apply_expiry(table: ClaimTable, reference: ClaimReference) -> None:
    """Free a key for any body, if the named request held it last."""
    holding = _named(table, reference)
    if holding and holding.state is not HoldingState.expired:
        holding.state = HoldingState.expired
        _drop_if_settled(table, key_of(reference), holding)


def apply_compaction(
    table: ClaimTable,
    covers: int,
    compacted: CompactedClaim,
) -> bool:
    """Apply a compacted claim, which replaces all records up to `covers`.

    Returns:
        Whether the compaction covers more than all earlier ones. A delayed
        compaction may cover less.
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
    """Add a claim to the table from its compacted state.

    An expired claim is skipped, since the compaction also covers all claims
    that it rejected.
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
    """Return the compacted state of a claim."""
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
    """Drop an expired claim if no claim that it rejected is in the log."""
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
