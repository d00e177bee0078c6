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
from gypsumrelay_claims.state import (
    Committer,
    Sending,
    abandon,
    answer_overdue,
    drop_waiting,
    forget_abandoned,
    forget_volatile,
    new_id,
    refuse,
)
from gypsumrelay_claims.upkeep import (
    collect_upkeep,
    has_upkeep,
    release_record,
    upkeep_records,
)


def flush(committer: Committer, now: float) -> list[Action]:
    """Reject requests past their deadlines and append records that are due.

    Only one append is in flight at a time, so that a slow log leads to
    larger batches and not to more appends.
    """
    actions = answer_overdue(committer, now)
    if committer.sending:
        return actions + _repeat(committer, committer.sending, now)
    if committer.replay is not None:
        return actions
    claims_due = _claims_due(committer, now)
    upkeep_due = has_upkeep(committer) and now >= committer.upkeep.due_at
    if not claims_due and not upkeep_due:
        return actions
    records = release_record(committer)
    if upkeep_due:
        records.extend(upkeep_records(committer, now))
        committer.upkeep.due_at = now + committer.settings.repeat_seconds
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
    sending = committer.sending
    if sending is None or sending.append_id != append_id:
        return []
    if outcome is AppendResult.recorded or sending.batch is None:
        committer.sending = None
        return [ReadLog()]
    if outcome is AppendResult.not_recorded and not sending.uncertain:
        committer.sending = None
        return _reject_batch(committer, sending.batch, now)
    sending.uncertain = True
    sending.awaiting = False
    sending.read_back = False
    sending.repeat_at = now + committer.settings.repeat_seconds
    return [ReadLog()]


def expire(committer: Committer, now: float) -> None:
    """Delete expired state and queue the maintenance of the log."""
    forget_abandoned(committer, now)
    collect_upkeep(committer, now)
    forget_volatile(committer, now)


def next_due(committer: Committer) -> float | None:
    """Return the time in seconds of the next `flush` that has work to do.

    Returns None if no work is scheduled. Later submissions, reads and
    results of appends may make an earlier time due.
    """
    instants = [deadline for deadline, _ in committer.by_deadline[:1]]
    if committer.sending:
        if committer.sending.read_back and not committer.sending.awaiting:
            instants.append(committer.sending.repeat_at)
    elif committer.replay is None:
        if committer.pending:
            instants.append(committer.window_ends)
        if has_upkeep(committer):
            instants.append(committer.upkeep.due_at)
    return min(instants, default=None)


def _claims_due(committer: Committer, now: float) -> bool:
    if len(committer.pending) >= committer.settings.max_batch:
        return True
    return bool(committer.pending) and now >= committer.window_ends


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
    committer.sending = Sending(append_id, batch)
    return Append(append_id, records)


def _repeat(
    committer: Committer,
    sending: Sending,
    now: float,
) -> list[Action]:
    """Append a batch of unknown result again, if it is not in the log.

    The record is the same and the first claim for a key wins, so that a
    first append that takes effect late does no harm. A batch is dropped if
    all its requests are answered.
    """
    if sending.awaiting or sending.batch is None:
        return []
    if not _is_awaited(committer, sending.batch):
        committer.sending = None
        return []
    if not sending.read_back or now < sending.repeat_at:
        return []
    sending.append_id = new_id(committer)
    sending.awaiting = True
    return [Append(sending.append_id, (sending.batch,))]


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
        actions.append(refuse(committer, waiting.claim, sentence, now))
    return actions
