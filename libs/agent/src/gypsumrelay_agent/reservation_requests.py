"""Conversion of messages from entries to reservations of the ledger."""

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

# Time limit of a run. Usually the entry's progress deadline or the loss of the
# link ends a run first. The limit covers an entry that stays connected but
# never cancels the run.
MAX_RUN_SECONDS: Final = 600.0


def attempt_key(message: Reserve | Prefill | Decode | Call | Cancel) -> Key:
    """Return the key of the attempt that a message belongs to."""
    return Key(message.request_id, message.attempt)


def reserve_request(message: Reserve, now: float) -> ReserveRequest:
    """Return the reservation request for a model request."""
    return ReserveRequest(
        key=attempt_key(message),
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
    """Return the reservation request for a plain service request."""
    return ReserveRequest(
        key=attempt_key(message),
        client_account=message.client_account,
        deadline=to_deadline(message.remaining_ms, now),
        purpose=Purpose.call,
        alone=message.alone,
        cost=max(1, message.cost),
        keyed=bool(message.key_digest),
    )


def run_deadline(now: float) -> float:
    """Return the deadline in seconds of a run that starts now."""
    return now + MAX_RUN_SECONDS


def _purpose(name: str) -> Purpose:
    return Purpose.prefill if name == Purpose.prefill.value else Purpose.decode
