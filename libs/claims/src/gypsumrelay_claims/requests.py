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
    Volatile,
    Waiting,
    abandon,
    drop_waiting,
    is_orphan,
    make_pending,
    refuse,
)
from gypsumrelay_claims.table import HoldingState


def submit(committer: Committer, claim: Claim, now: float) -> list[Action]:
    """Submit a claim; it is answered at once or by its deadline."""
    if claim.deadline <= now or claim.request_id in committer.abandoned:
        return [refuse(committer, claim, 'the claim came too late', now)]
    taken = taken_by(committer, claim) or _taken_volatile(
        committer,
        claim,
        now,
    )
    if taken:
        return [taken]
    if not claim.durable:
        return [_keep_volatile(committer, claim, now)]
    if claim.request_id in committer.waiting:
        return []
    if _is_full(committer):
        return [refuse(committer, claim, 'the committer is full', now)]
    committer.waiting[claim.request_id] = Waiting(claim)
    heapq.heappush(
        committer.by_deadline,
        (claim.deadline, claim.request_id),
    )
    make_pending(committer, claim.request_id, now)
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
    keep_until: float,
) -> None:
    """Limit a non-durable claim to the retention of its stored response.

    Durable claims are not changed; they outlive their requests.

    Args:
        committer: The committer.
        key: Key of the claim.
        request_id: Id of the completed request.
        keep_until: Time in seconds at which the claim expires. The time of
            completion releases it at once.
    """
    volatile = committer.volatile.get(key)
    if volatile and volatile.claim.request_id == request_id:
        committer.volatile[key] = attrs.evolve(
            volatile,
            expires_at=keep_until,
        )
        heapq.heappush(committer.volatile_ends, (keep_until, key))


def taken_by(committer: Committer, claim: Claim) -> Taken | None:
    """Return the holder of a claim's key, or None if the claim may get it.

    A claim whose request was abandoned here is about to be released, so that
    a request with the same body may replace it.
    """
    holding = committer.table.holdings.get(claim.key)
    if holding is None or holding.state is HoldingState.expired:
        return None
    taken = _taken(claim, holding.entry)
    if not taken.same_body:
        return taken
    if holding.state is HoldingState.released:
        return None
    return None if is_orphan(committer, holding) else taken


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


def _keep_volatile(committer: Committer, claim: Claim, now: float) -> Granted:
    expires_at = now + committer.settings.claim_seconds
    committer.volatile.pop(claim.key, None)
    committer.volatile[claim.key] = Volatile(claim, expires_at)
    heapq.heappush(committer.volatile_ends, (expires_at, claim.key))
    if len(committer.volatile) > committer.settings.max_volatile:
        committer.volatile.pop(next(iter(committer.volatile)))
    return Granted(claim.request_id)


def _is_full(committer: Committer) -> bool:
    waiting = len(committer.waiting)
    known = len(committer.table.holdings)
    settings = committer.settings
    return (
        waiting >= settings.max_waiting
        or waiting + known >= settings.max_claims
    )
