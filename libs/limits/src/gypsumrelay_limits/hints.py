"""Order in which a reservation asks the shares, by estimated tokens."""

from __future__ import annotations

import zlib
from typing import Final

from gypsumrelay_limits.drawing import Drawer, Hint, OpenDraw, reachable
from gypsumrelay_limits.shares import share_size

# Bounds the memory for estimates, at about 200 bytes each. A client account
# without an estimate costs at most one more message per share.
MAXIMUM_HINTS: Final = 4096


def note(
    drawer: Drawer,
    account: str,
    share: int,
    available: float,
    now: float,
) -> None:
    """Store an estimate of a share's available tokens."""
    drawer.hints.pop((account, share), None)
    drawer.hints[account, share] = Hint(available, now)
    if len(drawer.hints) > MAXIMUM_HINTS:
        drawer.hints.pop(next(iter(drawer.hints)))


def note_grant(
    drawer: Drawer,
    draw: OpenDraw,
    share: int,
    now: float,
) -> None:
    """Lower the estimate of a share's tokens by its grant."""
    account = draw.order.contract.client_account
    left = _expected(drawer, draw, share, now) - draw.parts[share]
    note(drawer, account, share, max(0, left), now)


def whole_order(drawer: Drawer, draw: OpenDraw, now: float) -> list[int]:
    """Return the shares that may grant the whole amount, best first.

    Shares with more estimated tokens come first, since a full share wastes
    its refill. Ties are broken by the reservation id, which spreads
    reservations evenly over the shares.
    """
    contract = draw.order.contract
    count = len(draw.order.holders)
    offset = zlib.crc32(draw.order.draw_id.encode())
    able = [
        number
        for number in reachable(draw)
        if draw.order.tokens <= share_size(contract, count, number).burst
    ]
    expected = {
        number: _level_step(drawer, draw, number, now) for number in able
    }
    return sorted(
        able,
        key=lambda number: (-expected[number], (number + offset) % count),
    )


def _expected(
    drawer: Drawer,
    draw: OpenDraw,
    share: int,
    now: float,
) -> float:
    contract = draw.order.contract
    size = share_size(contract, len(draw.order.holders), share)
    hint = drawer.hints.get((contract.client_account, share))
    if hint is None:
        return size.burst
    grown = hint.available + size.rate * (now - hint.seen_at)
    return min(size.burst, grown)


def _level_step(
    drawer: Drawer,
    draw: OpenDraw,
    share: int,
    now: float,
) -> int:
    """Return the estimated level in quarters of the burst.

    Smaller differences are noise.
    """
    count = len(draw.order.holders)
    burst = share_size(draw.order.contract, count, share).burst
    return int(4 * _expected(drawer, draw, share, now) / max(1, burst))
