"""Append claims and maintenance records to the log."""

from __future__ import annotations

from itertools import islice

from gypsumrelay_configuration import ClaimBatch, Record

from gypsumrelay_claims.actions import (
    Action,
    Append,
    AppendResult,
    ReadLog,
    entry_of,
)
from gypsumrelay_claims.maintenance import (
    collect_maintenance,
    has_maintenance,
    maintenance_records,
    release_record,
)
from gypsumrelay_claims.state import (
    Committer,
    PendingAppend,
    abandon,
    drop_waiting,
    expire_abandoned,
    expire_volatile,
    new_id,
    reject,
    reject_overdue,
)


def flush(committer: Committer, now: float) -> list[Action]:
    """Reject requests past their deadlines and append records that are due.

    Only one append is in flight at a time, so that a slow log leads to
    larger batches and not to more appends.
    """
    actions = reject_overdue(committer, now)
    if committer.in_flight:
        return actions + _repeat(committer, committer.in_flight, now)
    if committer.replay is not None:
        return actions
    claims_due = _claims_due(committer, now)
    maintenance_due = (
        has_maintenance(committer) and now >= committer.maintenance.due_at
    )
    if not claims_due and not maintenance_due:
        return actions
    records = release_record(committer)
    if maintenance_due:
        records.extend(maintenance_records(committer, now))
        committer.maintenance.due_at = (
            now + committer.settings.repeat_append_seconds
        )
    batch = _take_batch(committer) if claims_due else None
    if batch:
        records.append(batch)
    if not records:
        return actions
    return [*actions, _send(committer, batch, tuple(records))]


def on_append_result(
    committer: Committer,
    append_id: str,
    outcome: AppendResult,
    now: float,
) -> list[Action]:
    """Process the result of an append.

    Claims are granted only when they are read back from the log, never by
    the result of an append. A result of `not_recorded` rejects the batch
    only if no earlier append of it had an unknown result.
    """
    pending_append = committer.in_flight
    if pending_append is None or pending_append.append_id != append_id:
        return []
    if outcome is AppendResult.recorded or pending_append.batch is None:
        committer.in_flight = None
        return [ReadLog()]
    if (
        outcome is AppendResult.not_recorded
        and not pending_append.had_unknown_result
    ):
        committer.in_flight = None
        return _reject_batch(committer, pending_append.batch, now)
    pending_append.had_unknown_result = True
    pending_append.awaits_result = False
    pending_append.read_to_end = False
    pending_append.repeat_at = now + committer.settings.repeat_append_seconds
    return [ReadLog()]


def run_maintenance(committer: Committer, now: float) -> None:
    """Delete expired state and queue the maintenance of the log."""
    expire_abandoned(committer, now)
    collect_maintenance(committer, now)
    expire_volatile(committer, now)


def next_flush_at(committer: Committer) -> float | None:
    """Return the time in seconds of the next `flush` that has work to do.

    Returns None if no work is scheduled. Later submissions, reads and
    results of appends may make an earlier time due.
    """
    instants = [deadline for deadline, _ in committer.by_deadline[:1]]
    if committer.in_flight:
        if (
            committer.in_flight.read_to_end
            and not committer.in_flight.awaits_result
        ):
            instants.append(committer.in_flight.repeat_at)
    elif committer.replay is None:
        if committer.pending:
            instants.append(committer.window_ends_at)
        if has_maintenance(committer):
            instants.append(committer.maintenance.due_at)
    return min(instants, default=None)


def _claims_due(committer: Committer, now: float) -> bool:
    if len(committer.pending) >= committer.settings.max_batch:
        return True
    return bool(committer.pending) and now >= committer.window_ends_at


def _take_batch(committer: Committer) -> ClaimBatch:
    chosen = list(islice(committer.pending, committer.settings.max_batch))
    for request_id in chosen:
        committer.pending.pop(request_id)
        committer.waiting[request_id].sent = True
    claims = [entry_of(committer.waiting[sent].claim) for sent in chosen]
    return ClaimBatch(new_id(committer), committer.identity, tuple(claims))


def _send(
    committer: Committer,
    batch: ClaimBatch | None,
    records: tuple[Record, ...],
) -> Append:
    append_id = new_id(committer)
    committer.in_flight = PendingAppend(append_id, batch)
    return Append(append_id, records)


def _repeat(
    committer: Committer,
    pending_append: PendingAppend,
    now: float,
) -> list[Action]:
    """Append a batch of unknown result again, if it is not in the log.

    The record is the same and the first claim for a key wins, so that a
    first append that takes effect late does no harm. A batch is dropped if
    all its requests are answered.
    """
    if pending_append.awaits_result or pending_append.batch is None:
        return []
    if not _is_awaited(committer, pending_append.batch):
        committer.in_flight = None
        return []
    if not pending_append.read_to_end or now < pending_append.repeat_at:
        return []
    pending_append.append_id = new_id(committer)
    pending_append.awaits_result = True
    return [Append(pending_append.append_id, (pending_append.batch,))]


def _is_awaited(committer: Committer, batch: ClaimBatch) -> bool:
    return any(entry.request_id in committer.waiting for entry in batch.claims)


def _reject_batch(
    committer: Committer,
    batch: ClaimBatch,
    now: float,
) -> list[Action]:
    """Reject the requests of a batch that is certainly not in the log.

    The requests are stored as abandoned nevertheless: an earlier batch may
    have a claim of the same request that did not get the key and was
    submitted again.
    """
    actions: list[Action] = []
    for entry in batch.claims:
        waiting = drop_waiting(committer, entry.request_id)
        if waiting is None:
            continue
        abandon(committer, entry.request_id, waiting.claim.key, now)
        sentence = 'the log did not record the claim'
        actions.append(reject(committer, waiting.claim, sentence, now))
    return actions
