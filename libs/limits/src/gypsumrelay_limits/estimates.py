"""Order in which a reservation asks the shares, by estimated tokens."""

from __future__ import annotations

import zlib
from typing import Final

from gypsumrelay_limits.reservations import (
    LevelEstimate,
    Requester,
    Reservation,
    reachable_shares,
)
from gypsumrelay_limits.shares import share_size

# Bounds the memory for estimates, at about 200 bytes each. A client account
# without an estimate costs at most one more message per share.
MAX_ESTIMATES: Final = 4096


def store_estimate(
    requester: Requester,
    account: str,
    share: int,
    available: float,
    now: float,
) -> None:
    """Store an estimate of a share's available tokens."""
    requester.estimates.pop((account, share), None)
    requester.estimates[account, share] = LevelEstimate(available, now)
    if len(requester.estimates) > MAX_ESTIMATES:
        requester.estimates.pop(next(iter(requester.estimates)))


def subtract_grant(
    requester: Requester,
    reservation: Reservation,
    share: int,
    now: float,
) -> None:
    """Lower the estimate of a share's tokens by its grant."""
    account = reservation.spec.contract.client_account
    left = (
        _estimate_tokens(requester, reservation, share, now)
        - reservation.grants[share]
    )
    store_estimate(requester, account, share, max(0, left), now)


def rank_shares(
    requester: Requester,
    reservation: Reservation,
    now: float,
) -> list[int]:
    """Return the shares that may grant the whole amount, best first.

    Shares with more estimated tokens come first, since a full share wastes
    its refill. Ties are broken by the reservation id, which spreads
    reservations evenly over the shares.
    """
    contract = reservation.spec.contract
    count = len(reservation.spec.holders)
    offset = zlib.crc32(reservation.spec.draw_id.encode())
    candidates = [
        number
        for number in reachable_shares(reservation)
        if reservation.spec.tokens <= share_size(contract, count, number).burst
    ]
    levels = {
        number: _level_quarter(requester, reservation, number, now)
        for number in candidates
    }
    return sorted(
        candidates,
        key=lambda number: (-levels[number], (number + offset) % count),
    )


def _estimate_tokens(
    requester: Requester,
    reservation: Reservation,
    share: int,
    now: float,
) -> float:
    contract = reservation.spec.contract
    size = share_size(contract, len(reservation.spec.holders), share)
    estimate = requester.estimates.get((contract.client_account, share))
    if estimate is None:
        return size.burst
    refilled = estimate.available + size.rate * (now - estimate.estimated_at)
    return min(size.burst, refilled)


def _level_quarter(
    requester: Requester,
    reservation: Reservation,
    share: int,
    now: float,
) -> int:
    """Return the estimated level in quarters of the burst.

    Smaller differences are noise.
    """
    count = len(reservation.spec.holders)
    burst = share_size(reservation.spec.contract, count, share).burst
    return int(
        4
        * _estimate_tokens(requester, reservation, share, now)
        / max(1, burst),
    )
