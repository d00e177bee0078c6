"""Reservations as the ledger sees them, from the messages of entries."""

from __future__ import annotations

from typing import Final

from gypsumrelay_upstreams import Key, Purpose, ReserveRequest
from gypsumrelay_wire import (
    Call,
    Cancel,
    Decode,
    Prefill,
    Reserve,
    to_deadline,
)

# A run ends by its entry's progress deadline or a lost link; this bounds
# what an entry that stays connected can forget.
LONGEST_RUN_SECONDS: Final = 600.0


def key_of(message: Reserve | Prefill | Decode | Call | Cancel) -> Key:
    """Return the attempt that a message belongs to."""
    return Key(message.request_id, message.attempt)


def reserve_request(message: Reserve, now: float) -> ReserveRequest:
    """Return the reservation that a model request asks for."""
    return ReserveRequest(
        key=key_of(message),
        client_account=message.client_account,
        deadline=to_deadline(message.remaining_ms, now),
        purpose=_purpose(message.purpose),
        prompt_tokens=message.prompt_tokens,
        max_tokens=message.max_tokens,
        prefixes=tuple(message.prefixes),
        cost=max(1, message.cost),
        weight=max(1, message.weight),
        priority=min(max(message.priority, 0), 9),
        keyed=bool(message.key_digest),
        alone=message.alone,
    )


def call_request(message: Call, now: float) -> ReserveRequest:
    """Return the reservation that a plain service request needs."""
    return ReserveRequest(
        key=key_of(message),
        client_account=message.client_account,
        deadline=to_deadline(message.remaining_ms, now),
        purpose=Purpose.call,
        alone=message.alone,
        cost=max(1, message.cost),
        keyed=bool(message.key_digest),
    )


def run_deadline(now: float) -> float:
    """Return when a started run ends at the latest."""
    return now + LONGEST_RUN_SECONDS


def _purpose(name: str) -> Purpose:
    return Purpose.prefill if name == Purpose.prefill.value else Purpose.decode
