"""Grant and settle tokens of the shares that one agent holds."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

import attrs
import gypsumrelay_buckets as buckets

from gypsumrelay_limits.exchange import (
    Draw,
    DrawKey,
    DrawSettings,
    Granted,
    Member,
    Reason,
    Refused,
    Settlement,
)
from gypsumrelay_limits.shares import share_size

if TYPE_CHECKING:
    from gypsumrelay_configuration import Contract, Share
    from gypsumrelay_settings import EvidenceSettings


@attrs.frozen
class LogRead:
    """A read of the log to its end, with its start time in seconds."""

    started_at: float


@attrs.frozen
class ListRead:
    """A read of the platform's list of instances.

    Attributes:
        started_at: Start of the read in seconds.
        live: Whether the list has this incarnation of the agent.
    """

    started_at: float
    live: bool


Evidence = LogRead | ListRead


@attrs.define
class Charge:
    """Tokens charged for a reservation; recorded to charge it only once.

    Attributes:
        drawer: Agent that may settle the charge.
        tokens: Tokens granted.
        keep_until: Time in seconds at which the record is deleted.
        settled: Whether the charge is settled.
    """

    drawer: Member
    tokens: int
    keep_until: float
    settled: bool = False


@attrs.define
class HeldShare:
    """One share with its charges.

    Attributes:
        epoch: Epoch of the assignment in the log, the share's fencing
            token.
        bucket: Token bucket of the share.
        charges: Charges by reservation id.
        collecting: Id of the reservation that has a partial grant and may
            still refund it; empty if there is none.
        collecting_until: Deadline of that reservation, in seconds.
    """

    epoch: int
    bucket: buckets.Bucket
    charges: dict[str, Charge] = attrs.field(factory=dict)
    collecting: str = ''
    collecting_until: float = 0


@attrs.define
class Holder:
    """All shares that one agent holds.

    Attributes:
        evidence: Settings of the evidence period.
        settings: Retention of reservations.
        shares: Held shares by client account and share number.
        fresh_until: Time in seconds at which the evidence of ownership
            expires; no tokens are granted from then on.
        draining: Whether the agent is shutting down.
        drawn_by: Keys of open reservations by requesting agent.
        expiries: Heap of due times in seconds with the reservation id,
            client account and share number of each charge.
    """

    evidence: EvidenceSettings
    settings: DrawSettings = attrs.field(factory=DrawSettings)
    shares: dict[tuple[str, int], HeldShare] = attrs.field(factory=dict)
    fresh_until: float = -math.inf
    draining: bool = False
    drawn_by: dict[Member, set[DrawKey]] = attrs.field(factory=dict)
    expiries: list[tuple[float, str, str, int]] = attrs.field(factory=list)


def assign(
    holder: Holder,
    share: Share,
    size: buckets.ShareSize,
    now: float,
    *,
    released: bool,
) -> None:
    """Start to hold a share, with an empty bucket, as assigned in the log.

    If the previous holder did not release the share, it may have read the
    log to its end just before the assignment and may grant tokens for one
    more evidence period. The refill starts after that period, so that two
    holders never refill the share at the same time.
    """
    place = (share.client_account, share.number)
    held = holder.shares.get(place)
    if held is not None and held.epoch >= share.epoch:
        return
    _drop(holder, place)
    starts_at = now
    if not released:
        starts_at += holder.evidence.share_evidence_seconds
    bucket = buckets.Bucket(size, starts_at)
    holder.shares[place] = HeldShare(share.epoch, bucket)


def void(holder: Holder, share: Share) -> None:
    """Drop a share that the log reassigned or released at a newer epoch."""
    place = (share.client_account, share.number)
    held = holder.shares.get(place)
    if held is not None and held.epoch <= share.epoch:
        _drop(holder, place)


def resize(
    holder: Holder,
    contract: Contract,
    shares: int,
    now: float,
) -> None:
    """Apply a changed contract to the held shares of its client account."""
    for number in range(shares):
        held = holder.shares.get((contract.client_account, number))
        if held is not None:
            size = share_size(contract, shares, number)
            buckets.resize(held.bucket, size, now)


def renew_evidence(holder: Holder, evidence: Evidence, now: float) -> None:
    """Extend the evidence of ownership by a read of the log or the list.

    The evidence period starts when the read started, since the response may
    be outdated when it arrives.
    """
    if isinstance(evidence, ListRead) and not evidence.live:
        return
    started_at = min(evidence.started_at, now)
    until = started_at + holder.evidence.share_evidence_seconds
    holder.fresh_until = max(holder.fresh_until, until)


def stop_granting(holder: Holder) -> None:
    """Refuse all new token requests, before the shares are released."""
    holder.draining = True


def grant(holder: Holder, draw: Draw, now: float) -> Granted | Refused:
    """Charge a token request, or repeat the grant of its earlier charge."""
    held = holder.shares.get((draw.key.client_account, draw.key.share))
    if held is None:
        return _refuse(draw, Reason.no_share)
    buckets.refill(held.bucket, now)
    known = held.charges.get(draw.key.draw_id)
    if known is not None:
        return _answer_again(holder, held, known, draw)
    reason = _closed(holder, draw, now)
    if reason is not None:
        return _refuse(draw, reason)
    return _charge(holder, held, draw, now)


def settle(holder: Holder, settlement: Settlement, now: float) -> bool:
    """Settle a charge and refund its unused tokens.

    Settled charges are kept for a while, also if the settlement arrives
    before the token request, so that a late duplicate of the request is
    never charged. Only the agent that sent the last request may settle:
    after a retry at another agent, a settlement by the first agent must not
    refund tokens that the retry uses.

    Returns:
        Whether this settlement settled the charge.
    """
    key = settlement.key
    held = holder.shares.get((key.client_account, key.share))
    if held is None:
        return False
    buckets.refill(held.bucket, now)
    known = held.charges.get(key.draw_id)
    if known is None:
        keep_until = now + holder.settings.settled_seconds
        known = Charge(settlement.drawer, 0, keep_until)
        held.charges[key.draw_id] = known
        _remember(holder, known, key, now)
    if known.settled or known.drawer != settlement.drawer:
        return False
    unused = max(0, known.tokens - settlement.used)
    _end(holder, held, key, unused)
    known.settled = True
    known.keep_until = now + holder.settings.settled_seconds
    return True


def forget_drawer(holder: Holder, drawer: Member) -> int:
    """Count the open charges of an agent that is gone as spent.

    The charges stay available to a retry of their requests by another agent,
    which must not be charged a second time, but nothing is refunded.

    Returns:
        The number of charges.
    """
    keys = holder.drawn_by.pop(drawer, set())
    for key in keys:
        held = holder.shares[key.client_account, key.share]
        _end(holder, held, key, unused=0)
    return len(keys)


def expire(holder: Holder, now: float) -> None:
    """Delete charges whose retention has ended.

    The cost depends on the number of due charges, not of all charges.
    """
    while holder.expiries and holder.expiries[0][0] <= now:
        _, draw_id, account, share = heapq.heappop(holder.expiries)
        held = holder.shares.get((account, share))
        known = held.charges.get(draw_id) if held else None
        if held is None or known is None:
            continue
        key = DrawKey(draw_id, account, share)
        if known.keep_until > now:
            _remember(holder, known, key, now)
        else:
            _end(holder, held, key, unused=0)
            held.charges.pop(draw_id)


def _refuse(draw: Draw, reason: Reason) -> Refused:
    return Refused(draw.key, reason, minimum=draw.minimum)


def _closed(holder: Holder, draw: Draw, now: float) -> Reason | None:
    if draw.tokens <= 0:
        return Reason.no_draw
    if holder.draining:
        return Reason.draining
    if now >= holder.fresh_until:
        return Reason.stale
    return Reason.expired if draw.expires_at <= now else None


def _answer_again(
    holder: Holder,
    held: HeldShare,
    known: Charge,
    draw: Draw,
) -> Granted | Refused:
    if known.settled:
        return _refuse(draw, Reason.settled)
    if draw.drawer != known.drawer:
        _unindex(holder, known.drawer, draw.key)
        known.drawer = draw.drawer
        holder.drawn_by.setdefault(draw.drawer, set()).add(draw.key)
    if draw.tokens == known.tokens and held.collecting == draw.key.draw_id:
        held.collecting = ''
    return Granted(draw.key, known.tokens)


def _charge(
    holder: Holder,
    held: HeldShare,
    draw: Draw,
    now: float,
) -> Granted | Refused:
    available = buckets.drawable(held.bucket)
    granted = min(draw.tokens, available)
    least = draw.minimum or draw.tokens
    busy = bool(held.collecting) and now < held.collecting_until
    if granted < draw.tokens and (busy or granted < least):
        retry_at = buckets.full_at(held.bucket, draw.tokens, now)
        reason = Reason.busy if busy else Reason.lacking
        return Refused(
            draw.key,
            reason,
            available,
            retry_at,
            draw.minimum,
        )
    if granted < draw.tokens:
        held.collecting = draw.key.draw_id
        held.collecting_until = draw.expires_at
    buckets.take(held.bucket, draw.key.draw_id, granted)
    keep_until = now + holder.settings.unsettled_seconds
    known = Charge(draw.drawer, granted, keep_until)
    held.charges[draw.key.draw_id] = known
    holder.drawn_by.setdefault(draw.drawer, set()).add(draw.key)
    _remember(holder, known, draw.key, now)
    return Granted(draw.key, granted)


def _end(
    holder: Holder,
    held: HeldShare,
    key: DrawKey,
    unused: int,
) -> None:
    buckets.give_back(held.bucket, key.draw_id, unused)
    if held.collecting == key.draw_id:
        held.collecting = ''
    _unindex(holder, held.charges[key.draw_id].drawer, key)


def _remember(holder: Holder, known: Charge, key: DrawKey, now: float) -> None:
    """Add a charge to the heap of expiries, which has one entry for each.

    The entry becomes due whenever a settled charge could expire, so that a
    settlement needs no second entry.
    """
    at = min(known.keep_until, now + holder.settings.settled_seconds)
    entry = (at, key.draw_id, key.client_account, key.share)
    heapq.heappush(holder.expiries, entry)


def _unindex(holder: Holder, drawer: Member, key: DrawKey) -> None:
    keys = holder.drawn_by.get(drawer, set())
    keys.discard(key)
    if not keys:
        holder.drawn_by.pop(drawer, None)


def _drop(holder: Holder, place: tuple[str, int]) -> None:
    held = holder.shares.pop(place, None)
    if held is None:
        return
    for draw_id, known in held.charges.items():
        _unindex(holder, known.drawer, DrawKey(draw_id, *place))
