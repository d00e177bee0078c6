"""Publication of records: append, then read the verdicts from the log."""

from __future__ import annotations

import json
import threading
from collections.abc import Callable, Sequence
from typing import Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_configuration import (
    RECORD_LIMIT_BYTES,
    Accepted,
    Record,
    Rejected,
    Skipped,
    SnapshotPart,
    State,
    Verdict,
    apply,
    is_ready,
    next_offset,
    note_oldest,
    record_to_json,
    skip_offset,
)
from gypsumrelay_errors import (
    BodyTooLarge,
    ConfigurationStale,
    Failure,
    Outcome,
    PlatformUnavailable,
)

from gypsumrelay_platform.logclient import Batch, LogClient

PUBLISH_SECONDS: Final = 10.0
POLL_SECONDS: Final = 0.1
# Minimum time after which an append without a response is repeated. It also
# requires that the log was read to its end since and lacks the record.
REPEAT_SECONDS: Final = 0.5
SNAPSHOT_PART_ATTEMPTS: Final = 4
# Limits a snapshot to twenty parts of 64 KB in a second, which leaves most of
# the log's capacity to other writers.
SNAPSHOT_PAUSE_SECONDS: Final = 0.05

_NO_PROGRESS: Final = PlatformUnavailable(
    'the log service repeats records that were not asked for',
    Outcome.unknown,
)

Observer = Callable[[int, Record, Verdict], None]


@attrs.frozen
class Unknown:
    """A record of which it is unknown whether it is or will be in the log."""

    record_id: str
    sentence: str


Outcomes = dict[str, Accepted | Rejected | Unknown]


def ignore_record(offset: int, record: Record, verdict: Verdict) -> None:
    """Ignore a record and its verdict."""


def apply_batch(
    state: State,
    batch: Batch,
    observe: Observer = ignore_record,
) -> None:
    """Apply a batch to the state and report the verdict of each record.

    Together with `next_offset`, it also handles a log that has dropped
    records which the reader had not read.

    Args:
        state: State to change.
        batch: Entries that were read at the state's next offset.
        observe: Called with the offset, record and verdict of each entry
            that is well-formed.
    """
    note_oldest(state, batch.oldest)
    for entry in batch.entries:
        if isinstance(entry.record, Failure):
            skip_offset(state, entry.offset)
        else:
            verdict = apply(state, entry.offset, entry.record)
            observe(entry.offset, entry.record, verdict)


def catch_up(
    client: LogClient,
    state: State,
    observe: Observer = ignore_record,
) -> PlatformUnavailable | ConfigurationStale | None:
    """Read the log to its end and apply its entries to the state.

    Returns:
        None, or the reason why the state is not current.
        `ConfigurationStale` means that the log has dropped records which the
        state lacks, and holds no complete snapshot.
    """
    while True:
        before = (state.offset, state.read_position.last_read)
        batch = client.read(next_offset(state))
        if isinstance(batch, PlatformUnavailable):
            return batch
        apply_batch(state, batch, observe)
        if batch.entries and before == (
            state.offset,
            state.read_position.last_read,
        ):
            return _NO_PROGRESS
        # After a snapshot in the last batch, the reader continues at the
        # offset after the one that the snapshot covers.
        if batch.at_end and next_offset(state) >= batch.next_offset:
            break
    if is_ready(state):
        return None
    return ConfigurationStale(
        'the log has dropped records and holds no complete snapshot',
    )


def publish(
    client: LogClient,
    state: State,
    records: Sequence[Record],
    deadline: float | None = None,
) -> Outcomes | Failure:
    """Append records and read the log until their verdicts are known.

    A repeated append is safe: every kind of record that the reducer handles
    takes effect at most once, because of its version, epoch, number or key
    id, which are never used again.

    Args:
        client: Client of the log service.
        state: State that was read to the end of the log.
        records: Records to append.
        deadline: Monotonic time in seconds, 10 s from now by default. Records
            that were not read from the log by then are `Unknown`.

    Returns:
        The verdict of each record by its id, or a failure if nothing was
        appended.
    """
    stamped = [attrs.evolve(record, as_of=state.offset) for record in records]
    for record in stamped:
        if len(json.dumps(record_to_json(record))) > RECORD_LIMIT_BYTES:
            return BodyTooLarge(f'a record exceeds {RECORD_LIMIT_BYTES} bytes')
    if deadline is None:
        deadline = monotonic() + PUBLISH_SECONDS
    publication = _Publication(
        client, state, {rec.record_id: rec for rec in stamped}
    )
    return publication.run(deadline)


@attrs.define
class _Publication:
    """One publication of a set of records.

    Attributes:
        client: Client of the log service.
        state: State that the verdicts are read with.
        pending: Records whose verdict is not known, by id.
        verdicts: Known verdicts by record id.
        caught_up: Whether the log was read to its end since the last append.
        appended: Whether the log has confirmed an append.
        repeat_at: Monotonic time in seconds from which an append without a
            response may be repeated; None before the first append.
        reason: Reason that is given for unknown records.
    """

    client: LogClient
    state: State
    pending: dict[str, Record]
    verdicts: Outcomes = attrs.field(factory=dict)
    caught_up: bool = True
    appended: bool = False
    repeat_at: float | None = None
    reason: str = 'the log did not show the record in time'

    def run(self, deadline: float) -> Outcomes | Failure:
        """Append and read until all verdicts are known or time is up."""
        while self.pending and monotonic() < deadline:
            unsent = self._append_if_due()
            if unsent is not None:
                return unsent
            self._read()
            if self.pending:
                threading.Event().wait(POLL_SECONDS)
        for record_id in self.pending:
            self.verdicts[record_id] = Unknown(record_id, self.reason)
        return self.verdicts

    def _append_if_due(self) -> Failure | None:
        now = monotonic()
        first = self.repeat_at is None
        if self.appended or not self.caught_up:
            return None
        if self.repeat_at is not None and now < self.repeat_at:
            return None
        found = self.client.append(list(self.pending.values()))
        self.repeat_at = now + REPEAT_SECONDS
        self.caught_up = False
        self.appended = isinstance(found, int)
        if isinstance(found, int):
            return None
        self.reason = found.sentence
        # The log has none of the records if the only append was not sent.
        unsent = first and found.outcome is Outcome.not_run
        return found if unsent else None

    def _read(self) -> None:
        failure = catch_up(self.client, self.state, self._observe)
        self.caught_up = failure is None
        if failure is not None:
            self.reason = failure.sentence

    def _observe(self, offset: int, record: Record, verdict: Verdict) -> None:
        # The first copy in the log decides. A second one would be rejected,
        # since the first has taken its version.
        if isinstance(verdict, Skipped):
            return
        if self.pending.pop(record.record_id, None) is not None:
            self.verdicts[record.record_id] = verdict


def write_snapshot(
    client: LogClient,
    parts: Sequence[SnapshotPart],
    stopped: threading.Event,
) -> PlatformUnavailable | None:
    """Append the parts of a snapshot in their order.

    A part whose append got no response is appended again, since readers
    ignore a second copy.

    Args:
        client: Client of the log service.
        parts: Parts of the snapshot.
        stopped: Stops the snapshot between two parts once it is set.

    Returns:
        None, or why the snapshot is unfinished.
    """
    for part in parts:
        failure = _append_part(client, part, stopped)
        if failure is not None:
            return failure
    return None


def _append_part(
    client: LogClient,
    part: SnapshotPart,
    stopped: threading.Event,
) -> PlatformUnavailable | None:
    failure: PlatformUnavailable | None = None
    for _ in range(SNAPSHOT_PART_ATTEMPTS):
        if stopped.wait(SNAPSHOT_PAUSE_SECONDS):
            return PlatformUnavailable('the process is shutting down')
        found = client.append([part])
        if isinstance(found, int):
            return None
        failure = found
    return failure
