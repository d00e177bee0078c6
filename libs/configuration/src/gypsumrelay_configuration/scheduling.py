"""Election of the process that writes the next snapshot, and its time."""

from __future__ import annotations

import hashlib
from collections.abc import Collection
from typing import Final

import attrs

from gypsumrelay_configuration.progress import Completed
from gypsumrelay_configuration.reducer import is_ready
from gypsumrelay_configuration.state import State

DIGEST_BITS: Final = 256
# A new snapshot is due once the newest one covers less than this fraction of
# the records in the log. The rest leaves time for another attempt if one
# fails.
MIN_MARGIN_RATIO: Final = 0.5


@attrs.frozen
class SnapshotPolicy:
    """When a snapshot is due and which process writes it.

    `records` and `period_seconds` must be below the log's retention.

    Attributes:
        records: Number of records after the newest snapshot from which the
            next one is due.
        period_seconds: Maximum age of the newest snapshot. It applies to an
            unchanged state as well, because the log also drops old
            snapshots.
        stagger_seconds: Difference in delay between neighbours in the
            rendezvous order of the live processes.
        spread_seconds: Maximum delay of a process that is not in the list
            of live processes; the delay is derived from its name.
        writer_timeout_seconds: Time without a new part after which an
            unfinished snapshot counts as abandoned.
    """

    records: int = 2_000_000
    period_seconds: float = 10_800
    stagger_seconds: float = 5
    spread_seconds: float = 600
    writer_timeout_seconds: float = 15


@attrs.define
class SnapshotSchedule:
    """The data of one process from which it decides to write a snapshot.

    All times are monotonic, in seconds.

    Attributes:
        name: Name of this process.
        policy: When a snapshot is due.
        renew_at: Time at which the next snapshot is due by age.
        completed: Newest complete snapshot at the last decision.
        wait_start: Time from which `delay` counts, or None while no
            snapshot is due. It is in the future while another process is
            assumed to be writing.
        delay: Seconds that this process leaves to the others to write.
        newest_part: Offset of the newest part of any unfinished snapshot at
            the last decision.
    """

    name: str
    policy: SnapshotPolicy
    renew_at: float
    completed: Completed | None = None
    wait_start: float | None = None
    delay: float = 0
    newest_part: int = -1


def new_snapshot_schedule(
    name: str, policy: SnapshotPolicy, now: float
) -> SnapshotSchedule:
    """Return the snapshot data of a process that has just started.

    Args:
        name: Name of the process.
        policy: When a snapshot is due.
        now: Monotonic time in seconds.
    """
    return SnapshotSchedule(name, policy, now + policy.period_seconds)


def is_writer_now(
    schedule: SnapshotSchedule,
    state: State,
    members: Collection[str],
    now: float,
) -> bool:
    """Return whether this process writes a snapshot of its state now.

    To be called at regular intervals. The first process in the rendezvous
    order writes at once; each following one writes after a further delay,
    unless it has read parts of another writer by then. After it has returned
    true, it returns false for at least `spread_seconds`, so that the other
    processes write first if this one fails.

    Args:
        schedule: Data of this process; updated by the call.
        state: Reduced state of this process.
        members: Names of the live processes, as far as they are known.
        now: Monotonic time in seconds.
    """
    _update_renewal(schedule, state, now)
    if not is_ready(state) or not _is_due(schedule, state, now):
        schedule.wait_start = None
        return False
    if schedule.wait_start is None:
        schedule.wait_start = now
        schedule.delay = _delay(schedule, state, members)
    _defer_to_writers(schedule, state, now)
    if now < schedule.wait_start + schedule.delay:
        return False
    schedule.wait_start = now + schedule.policy.spread_seconds
    return True


def _update_renewal(
    schedule: SnapshotSchedule, state: State, now: float
) -> None:
    if state.completed != schedule.completed:
        schedule.completed = state.completed
        schedule.renew_at = now + schedule.policy.period_seconds


def _defer_to_writers(
    schedule: SnapshotSchedule, state: State, now: float
) -> None:
    unfinished = state.snapshots.values()
    newest_part = max((found.last_offset for found in unfinished), default=-1)
    if newest_part > schedule.newest_part:
        schedule.newest_part = newest_part
        schedule.wait_start = now + schedule.policy.writer_timeout_seconds


def _is_due(schedule: SnapshotSchedule, state: State, now: float) -> bool:
    covers = schedule.completed.covers if schedule.completed else -1
    oldest = state.read_position.oldest
    margin = covers + 1 - oldest
    retained = state.offset + 1 - oldest
    by_margin = oldest > 0 and margin < retained * MIN_MARGIN_RATIO
    by_records = state.offset - covers >= schedule.policy.records
    return by_margin or by_records or now >= schedule.renew_at


def _delay(
    schedule: SnapshotSchedule,
    state: State,
    members: Collection[str],
) -> float:
    suffix = str(schedule.completed)
    own = _weight(schedule.name, suffix)
    if schedule.name not in members:
        return schedule.policy.spread_seconds * own / (1 << DIGEST_BITS)
    rank = sum(_weight(name, suffix) < own for name in members)
    return schedule.policy.stagger_seconds * rank


def _weight(name: str, suffix: str) -> int:
    digest = hashlib.sha256(f'{name}/{suffix}'.encode()).digest()
    return int.from_bytes(digest, 'big')
