"""Handle the requests of entries: submit, release and complete claims."""

from __future__ import annotations

import heapq

import attrs
from gypsumrelay_configuration import ClaimEntry

from gypsumrelay_claims.actions import (
    Action,
    Claim,
    ClaimKey,
    Granted,
    Taken,
    entry_of,
)
from gypsumrelay_claims.state import (
    Committer,
    VolatileClaim,
    WaitingRequest,
    abandon,
    add_pending,
    drop_waiting,
    is_orphan,
    reject,
)
from gypsumrelay_claims.table import HolderState


def submit(committer: Committer, claim: Claim, now: float) -> list[Action]:
    """Submit a claim; it is answered at once or by its deadline."""
    if claim.deadline <= now or claim.request_id in committer.abandoned:
        return [reject(committer, claim, 'the claim came too late', now)]
    taken = taken_by(committer, claim) or _taken_volatile(
        committer,
        claim,
        now,
    )
    if taken:
        return [taken]
    if not claim.durable:
        return [_grant_volatile(committer, claim, now)]
    if claim.request_id in committer.waiting:
        return []
    if _is_full(committer):
        return [reject(committer, claim, 'the committer is full', now)]
    committer.waiting[claim.request_id] = WaitingRequest(claim)
    heapq.heappush(
        committer.by_deadline,
        (claim.deadline, claim.request_id),
    )
    add_pending(committer, claim.request_id, now)
    return []


def release(
    committer: Committer,
    key: ClaimKey,
    request_id: str,
    now: float,
) -> None:
    """Release the claim of a request that is never dispatched.

    Only the entry that submitted the claim may release it, and it must not
    dispatch the request even if a grant arrives later. The release is
    written to the log if the request holds the key.
    """
    volatile = committer.volatile.get(key)
    if volatile and volatile.claim.request_id == request_id:
        committer.volatile.pop(key)
        return
    drop_waiting(committer, request_id)
    abandon(committer, request_id, key, now, by_entry=True)


def complete(
    committer: Committer,
    key: ClaimKey,
    request_id: str,
    expires_at: float,
) -> None:
    """Limit a non-durable claim to the retention of its stored response.

    Durable claims are not changed; they outlive their requests.

    Args:
        committer: The committer.
        key: Key of the claim.
        request_id: Id of the completed request.
        expires_at: Time in seconds at which the claim expires. The time of
            completion releases it at once.
    """
    volatile = committer.volatile.get(key)
    if volatile and volatile.claim.request_id == request_id:
        committer.volatile[key] = attrs.evolve(
            volatile,
            expires_at=expires_at,
        )
        heapq.heappush(committer.volatile_expiries, (expires_at, key))


def taken_by(committer: Committer, claim: Claim) -> Taken | None:
    """Return the holder of a claim's key, or None if the claim may get it.

    A claim whose request was abandoned here is about to be released, so that
    a request with the same body may replace it.
    """
    holder = committer.table.holders.get(claim.key)
    if holder is None or holder.state is HolderState.expired:
        return None
    taken = _taken(claim, holder.entry)
    if not taken.same_body:
        return taken
    if holder.state is HolderState.released:
        return None
    return None if is_orphan(committer, holder) else taken


def _taken_volatile(
    committer: Committer,
    claim: Claim,
    now: float,
) -> Taken | None:
    volatile = committer.volatile.get(claim.key)
    if volatile is None or volatile.expires_at <= now:
        return None
    return _taken(claim, entry_of(volatile.claim))


def _taken(claim: Claim, holder: ClaimEntry) -> Taken:
    return Taken(
        claim.request_id,
        holder.request_id,
        holder.agent,
        claim.request_digest == holder.request_digest,
    )


def _grant_volatile(committer: Committer, claim: Claim, now: float) -> Granted:
    expires_at = now + committer.settings.claim_seconds
    committer.volatile.pop(claim.key, None)
    committer.volatile[claim.key] = VolatileClaim(claim, expires_at)
    heapq.heappush(committer.volatile_expiries, (expires_at, claim.key))
    if len(committer.volatile) > committer.settings.max_volatile:
        committer.volatile.pop(next(iter(committer.volatile)))
    return Granted(claim.request_id)


def _is_full(committer: Committer) -> bool:
    waiting = len(committer.waiting)
    recorded = len(committer.table.holders)
    settings = committer.settings
    return (
        waiting >= settings.max_waiting
        or waiting + recorded >= settings.max_claims
    )
