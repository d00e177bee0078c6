"""Used and free slots and memory blocks of an upstream."""

from __future__ import annotations

import math

from gypsumrelay_upstreams.reservations import (
    Footprint,
    Ledger,
    LedgerSettings,
    Phase,
    Purpose,
    Reservation,
    ReserveRequest,
)


def footprint_of(
    settings: LedgerSettings,
    request: ReserveRequest,
) -> Footprint:
    """Return the memory blocks that a request needs.

    Only blocks that are completely filled by the prompt can be shared.
    """
    tokens = request.prompt_tokens
    if request.purpose is not Purpose.prefill:
        tokens += request.max_tokens
    pieces = math.ceil(tokens / settings.piece_tokens)
    if not settings.shares_prefixes:
        return Footprint(pieces)
    full_blocks = request.prompt_tokens // settings.piece_tokens
    shared = frozenset(request.prefixes[:full_blocks])
    return Footprint(pieces - len(shared), shared)


def used_pieces(ledger: Ledger) -> int:
    """Return the number of used blocks; each shared block counts once."""
    footprints = _footprints(ledger)
    shared = frozenset[bytes]().union(*(used.shared for used in footprints))
    private = sum(used.private for used in footprints)
    return private + len(shared) + ledger.unowned_pieces


def free_pieces(ledger: Ledger) -> int:
    """Return the number of free blocks."""
    return max(0, ledger.settings.pieces - used_pieces(ledger))


def used_slots(ledger: Ledger) -> int:
    """Return the number of slots that are reserved, in use or being freed."""
    return len(ledger.places) + len(ledger.freeing) + len(ledger.unowned)


def runs_at_engine(ledger: Ledger) -> int:
    """Return the number of runs that the engine may hold."""
    running = sum(
        reservation.phase is Phase.running
        for reservation in ledger.places.values()
    )
    return running + len(ledger.freeing) + len(ledger.unowned)


def free_slots(ledger: Ledger) -> int:
    """Return the number of slots that can be granted now."""
    if ledger.draining or ledger.superseded or not ledger.is_synchronized:
        return 0
    return max(0, _limit(ledger) - used_slots(ledger))


def fits(ledger: Ledger, reservation: Reservation) -> bool:
    """Return whether a waiting reservation can be granted now."""
    if ledger.superseded or not ledger.is_synchronized:
        return False
    if used_slots(ledger) >= _limit(ledger) or _has_exclusive_request(ledger):
        return False
    if reservation.request.alone and used_slots(ledger):
        return False
    return added_pieces(ledger, reservation) <= free_pieces(ledger)


def may_start(ledger: Ledger) -> bool:
    """Return whether one more run stays within the limit.

    The limit may have been lowered since the reservation was granted.
    """
    return not ledger.superseded and runs_at_engine(ledger) < _limit(ledger)


def added_pieces(ledger: Ledger, reservation: Reservation) -> int:
    """Return the number of blocks that granting a reservation would add."""
    footprint = reservation.footprint
    shared_in_use = frozenset[bytes]().union(
        *(used.shared for used in _footprints(ledger)),
    )
    return footprint.private + len(footprint.shared - shared_in_use)


def _limit(ledger: Ledger) -> int:
    return min(ledger.limit, ledger.settings.slots)


def _footprints(ledger: Ledger) -> list[Footprint]:
    return [
        *(reservation.footprint for reservation in ledger.places.values()),
        *(freeing.footprint for freeing in ledger.freeing.values()),
    ]


def _has_exclusive_request(ledger: Ledger) -> bool:
    return any(
        reservation.request.alone for reservation in ledger.places.values()
    ) or any(freeing.alone for freeing in ledger.freeing.values())
