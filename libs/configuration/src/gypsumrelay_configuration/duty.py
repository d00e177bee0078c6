"""Decides which process writes a snapshot, and when."""

from __future__ import annotations

import hashlib
from collections.abc import Collection
from typing import Final

import attrs

from gypsumrelay_configuration.intake import Completed
from gypsumrelay_configuration.reducer import is_ready
from gypsumrelay_configuration.state import State

HASH_BITS: Final = 256
# A new snapshot is written when this share of the kept records lies before
# the newest one, so that one failed attempt leaves time for others.
MARGIN_SHARE: Final = 0.5


@attrs.frozen
class SnapshotPolicy:
    """When snapshots are due; below the log's retention in both measures.

    Attributes:
        records: After so many records since the newest snapshot.
        period_seconds: After this time, also where nothing has changed,
            since the log drops the old snapshot too.
        stagger_seconds: Each process waits so much longer than the one
            before it in the rendezvous order.
        spread_seconds: Without a list of processes, each waits for a part
            of this that follows from its name.
        writer_seconds: A started snapshot without a new part for so long is
            abandoned.
    """

    records: int = 2_000_000
    period_seconds: float = 10_800
    stagger_seconds: float = 5
    spread_seconds: float = 600
    writer_seconds: float = 15


@attrs.define
class SnapshotDuty:
    """What one process remembers for the decision.

    Attributes:
        completed: The newest complete snapshot at the last decision.
        renew_at: When the next snapshot is due by age.
        waiting_from: Since when a snapshot is due and nobody writes one; in
            the future while another process is believed to write.
        delay: How long this process then waits before it writes.
        progress: Newest part of unfinished snapshots at the last decision.
    """

    name: str
    policy: SnapshotPolicy
    renew_at: float
    completed: Completed | None = None
    waiting_from: float | None = None
    delay: float = 0
    progress: int = -1


def new_duty(name: str, policy: SnapshotPolicy, now: float) -> SnapshotDuty:
    """Return the duty of a process that has just started."""
    return SnapshotDuty(name, policy, now + policy.period_seconds)


def should_write(
    duty: SnapshotDuty,
    state: State,
    members: Collection[str],
    now: float,
) -> bool:
    """Return whether this process writes a snapshot of its state now.

    Called regularly with the names of the live processes, as far as they
    are known. The process first in the rendezvous order writes at once and
    the others one after the other, unless they see parts by someone else.
    After a true answer the next turn of the process comes only when the
    other processes have had theirs.
    """
    _observe_snapshots(duty, state, now)
    if not is_ready(state) or not _is_due(duty, state, now):
        duty.waiting_from = None
        return False
    if duty.waiting_from is None:
        duty.waiting_from = now
        duty.delay = _delay(duty, state, members)
    _observe_writers(duty, state, now)
    if now < duty.waiting_from + duty.delay:
        return False
    duty.waiting_from = now + duty.policy.spread_seconds
    return True


def _observe_snapshots(duty: SnapshotDuty, state: State, now: float) -> None:
    if state.completed != duty.completed:
        duty.completed = state.completed
        duty.renew_at = now + duty.policy.period_seconds


def _observe_writers(duty: SnapshotDuty, state: State, now: float) -> None:
    unfinished = state.snapshots.values()
    progress = max((found.last_offset for found in unfinished), default=-1)
    if progress > duty.progress:
        duty.progress = progress
        duty.waiting_from = now + duty.policy.writer_seconds


def _is_due(duty: SnapshotDuty, state: State, now: float) -> bool:
    covers = duty.completed.covers if duty.completed else -1
    oldest = state.intake.oldest
    margin = covers + 1 - oldest
    kept = state.offset + 1 - oldest
    by_margin = oldest > 0 and margin < kept * MARGIN_SHARE
    by_records = state.offset - covers >= duty.policy.records
    return by_margin or by_records or now >= duty.renew_at


def _delay(
    duty: SnapshotDuty,
    state: State,
    members: Collection[str],
) -> float:
    salt = str(duty.completed)
    own = _weight(duty.name, salt)
    if duty.name not in members:
        return duty.policy.spread_seconds * own / (1 << HASH_BITS)
    before = sum(_weight(name, salt) < own for name in members)
    return duty.policy.stagger_seconds * before


def _weight(name: str, salt: str) -> int:
    digest = hashlib.sha256(f'{name}/{salt}'.encode()).digest()
    return int.from_bytes(digest, 'big')
