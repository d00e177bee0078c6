"""Grant and settle tokens of the shares that one agent holds."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

import attrs
import gypsumrelay_buckets as buckets

from gypsumrelay_limits.messages import (
    Granted,
    Member,
    Reason,
    Refused,
    ReservationKey,
    ReservationSettings,
    Settlement,
    TokenRequest,
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
        requester: Agent that may settle the charge.
        tokens: Tokens granted.
        delete_at: Time in seconds at which the record is deleted.
        settled: Whether the charge is settled.
    """

    requester: Member
    tokens: int
    delete_at: float
    settled: bool = False


@attrs.define
class HeldShare:
    """One share with its charges.

    Attributes:
        epoch: Epoch of the assignment in the log, the share's fencing
            token.
        bucket: Token bucket of the share.
        charges: Charges by reservation id.
        collecting_id: Id of the reservation that has a partial grant and may
            still refund it; empty if there is none.
        collecting_until: Deadline of that reservation, in seconds.
    """

    epoch: int
    bucket: buckets.Bucket
    charges: dict[str, Charge] = attrs.field(factory=dict)
    collecting_id: str = ''
    collecting_until: float = 0


@attrs.define
class Holder:
    """All shares that one agent holds.

    Attributes:
        evidence: Settings of the evidence period.
        settings: Retention of reservations.
        shares: Held shares by client account and share number.
        evidence_expires_at: Time in seconds at which the evidence of ownership
            expires; no tokens are granted from then on.
        draining: Whether the agent is shutting down.
        keys_by_requester: Keys of open reservations by requesting agent.
        expiries: Heap of due times in seconds with the reservation id,
            client account and share number of each charge.
    """

    evidence: EvidenceSettings
    settings: ReservationSettings = attrs.field(factory=ReservationSettings)
    shares: dict[tuple[str, int], HeldShare] = attrs.field(factory=dict)
    evidence_expires_at: float = -math.inf
    draining: bool = False
    keys_by_requester: dict[Member, set[ReservationKey]] = attrs.field(
        factory=dict
    )
    expiries: list[tuple[float, str, str, int]] = attrs.field(factory=list)


def add_share(
    holder: Holder,
    share: Share,
    size: buckets.BucketSize,
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
    share_key = (share.client_account, share.number)
    held = holder.shares.get(share_key)
    if held is not None and held.epoch >= share.epoch:
        return
    _remove_share(holder, share_key)
    starts_at = now
    if not released:
        starts_at += holder.evidence.share_evidence_seconds
    bucket = buckets.Bucket(size, starts_at)
    holder.shares[share_key] = HeldShare(share.epoch, bucket)


def drop_share(holder: Holder, share: Share) -> None:
    """Drop a share that the log reassigned or released at a newer epoch."""
    share_key = (share.client_account, share.number)
    held = holder.shares.get(share_key)
    if held is not None and held.epoch <= share.epoch:
        _remove_share(holder, share_key)


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
    holder.evidence_expires_at = max(holder.evidence_expires_at, until)


def stop_granting(holder: Holder) -> None:
    """Refuse all new token requests, before the shares are released."""
    holder.draining = True


def grant(
    holder: Holder, request: TokenRequest, now: float
) -> Granted | Refused:
    """Charge a token request, or repeat the grant of its earlier charge."""
    held = holder.shares.get((request.key.client_account, request.key.share))
    if held is None:
        return _refuse(request, Reason.no_share)
    buckets.refill(held.bucket, now)
    charge = held.charges.get(request.key.draw_id)
    if charge is not None:
        return _repeat_grant(holder, held, charge, request)
    reason = _refusal_reason(holder, request, now)
    if reason is not None:
        return _refuse(request, reason)
    return _charge(holder, held, request, now)


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
    charge = held.charges.get(key.draw_id)
    if charge is None:
        delete_at = now + holder.settings.settled_retention_seconds
        charge = Charge(settlement.requester, 0, delete_at)
        held.charges[key.draw_id] = charge
        _schedule_expiry(holder, charge, key, now)
    if charge.settled or charge.requester != settlement.requester:
        return False
    unused = max(0, charge.tokens - settlement.used)
    _close_charge(holder, held, key, unused)
    charge.settled = True
    charge.delete_at = now + holder.settings.settled_retention_seconds
    return True


def close_charges(holder: Holder, requester: Member) -> int:
    """Count the open charges of an agent that is gone as spent.

    The charges stay available to a retry of their requests by another agent,
    which must not be charged a second time, but nothing is refunded.

    Returns:
        The number of charges.
    """
    keys = holder.keys_by_requester.pop(requester, set())
    for key in keys:
        held = holder.shares[key.client_account, key.share]
        _close_charge(holder, held, key, unused=0)
    return len(keys)


def delete_expired_charges(holder: Holder, now: float) -> None:
    """Delete charges whose retention has ended.

    The cost depends on the number of due charges, not of all charges.
    """
    while holder.expiries and holder.expiries[0][0] <= now:
        _, draw_id, account, share = heapq.heappop(holder.expiries)
        held = holder.shares.get((account, share))
        charge = held.charges.get(draw_id) if held else None
        if held is None or charge is None:
            continue
        key = ReservationKey(draw_id, account, share)
        if charge.delete_at > now:
            _schedule_expiry(holder, charge, key, now)
        else:
            _close_charge(holder, held, key, unused=0)
            held.charges.pop(draw_id)


def _refuse(request: TokenRequest, reason: Reason) -> Refused:
    return Refused(request.key, reason, minimum=request.minimum)


def _refusal_reason(
    holder: Holder, request: TokenRequest, now: float
) -> Reason | None:
    if request.tokens <= 0:
        return Reason.no_draw
    if holder.draining:
        return Reason.draining
    if now >= holder.evidence_expires_at:
        return Reason.stale
    return Reason.expired if request.expires_at <= now else None


def _repeat_grant(
    holder: Holder,
    held: HeldShare,
    charge: Charge,
    request: TokenRequest,
) -> Granted | Refused:
    if charge.settled:
        return _refuse(request, Reason.settled)
    if request.requester != charge.requester:
        _remove_key(holder, charge.requester, request.key)
        charge.requester = request.requester
        holder.keys_by_requester.setdefault(request.requester, set()).add(
            request.key,
        )
    if (
        request.tokens == charge.tokens
        and held.collecting_id == request.key.draw_id
    ):
        held.collecting_id = ''
    return Granted(request.key, charge.tokens)


def _charge(
    holder: Holder,
    held: HeldShare,
    request: TokenRequest,
    now: float,
) -> Granted | Refused:
    available = buckets.available_tokens(held.bucket)
    granted = min(request.tokens, available)
    minimum = request.minimum or request.tokens
    busy = bool(held.collecting_id) and now < held.collecting_until
    if granted < request.tokens and (busy or granted < minimum):
        retry_at = buckets.available_at(held.bucket, request.tokens, now)
        reason = Reason.busy if busy else Reason.lacking
        return Refused(
            request.key,
            reason,
            available,
            retry_at,
            request.minimum,
        )
    if granted < request.tokens:
        held.collecting_id = request.key.draw_id
        held.collecting_until = request.expires_at
    buckets.reserve(held.bucket, request.key.draw_id, granted)
    delete_at = now + holder.settings.unsettled_retention_seconds
    charge = Charge(request.requester, granted, delete_at)
    held.charges[request.key.draw_id] = charge
    holder.keys_by_requester.setdefault(request.requester, set()).add(
        request.key
    )
    _schedule_expiry(holder, charge, request.key, now)
    return Granted(request.key, granted)


def _close_charge(
    holder: Holder,
    held: HeldShare,
    key: ReservationKey,
    unused: int,
) -> None:
    buckets.refund(held.bucket, key.draw_id, unused)
    if held.collecting_id == key.draw_id:
        held.collecting_id = ''
    _remove_key(holder, held.charges[key.draw_id].requester, key)


def _schedule_expiry(
    holder: Holder,
    charge: Charge,
    key: ReservationKey,
    now: float,
) -> None:
    """Add a charge to the heap of expiries, which has one entry for each.

    The entry becomes due whenever a settled charge could expire, so that a
    settlement needs no second entry.
    """
    due_at = min(
        charge.delete_at,
        now + holder.settings.settled_retention_seconds,
    )
    entry = (due_at, key.draw_id, key.client_account, key.share)
    heapq.heappush(holder.expiries, entry)


def _remove_key(holder: Holder, requester: Member, key: ReservationKey) -> None:
    keys = holder.keys_by_requester.get(requester, set())
    keys.discard(key)
    if not keys:
        holder.keys_by_requester.pop(requester, None)


def _remove_share(holder: Holder, share_key: tuple[str, int]) -> None:
    held = holder.shares.pop(share_key, None)
    if held is None:
        return
    for draw_id, charge in held.charges.items():
        _remove_key(
            holder, charge.requester, ReservationKey(draw_id, *share_key)
        )
