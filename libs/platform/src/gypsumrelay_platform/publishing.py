"""Appends records and finds out what became of them."""

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
    skip,
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
# An append without an answer is repeated after this time, where the log has
# been read since and does not hold the record.
REPEAT_SECONDS: Final = 0.5
SNAPSHOT_PART_TRIES: Final = 4
# Twenty parts of 64 KB in a second leave most of the log to other writers.
SNAPSHOT_PAUSE_SECONDS: Final = 0.05

_NO_PROGRESS: Final = PlatformUnavailable(
    'the log service repeats records that were not asked for',
    Outcome.unknown,
)

Observer = Callable[[int, Record, Verdict], None]


@attrs.frozen
class Unknown:
    """A record that may or may not be in the log, now or later."""

    record_id: str
    sentence: str


Outcomes = dict[str, Accepted | Rejected | Unknown]


def ignore_record(offset: int, record: Record, verdict: Verdict) -> None:
    """Observe nothing."""


def apply_batch(
    state: State,
    batch: Batch,
    observe: Observer = ignore_record,
) -> None:
    """Apply a batch to the state and report each record's verdict.

    This and `next_offset` are how every reader follows the log, also where
    the log has dropped records that the reader had not read.
    """
    note_oldest(state, batch.oldest)
    for entry in batch.entries:
        if isinstance(entry.record, Failure):
            skip(state, entry.offset)
        else:
            verdict = apply(state, entry.offset, entry.record)
            observe(entry.offset, entry.record, verdict)


def catch_up(
    client: LogClient,
    state: State,
    observe: Observer = ignore_record,
) -> PlatformUnavailable | ConfigurationStale | None:
    """Read the log to its end.

    Returns:
        None; or why the state is not the newest. `ConfigurationStale` says
        that the log has dropped records and holds no complete snapshot.
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
        # A snapshot in the last batch sends the reader back.
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
    """Append records, and read the log until their verdicts are known.

    The state must be caught up. Records that were never seen in the log by
    the deadline (10 s from now by default) are unknown. Appending again is
    safe: every kind of record that the reducer knows takes effect at most
    once, by its version, epoch, number or key id, which never come back.

    Returns:
        The verdict of each record by its id; or a failure that says that
        nothing was appended.
    """
    stamped = [attrs.evolve(record, as_of=state.offset) for record in records]
    for record in stamped:
        if len(json.dumps(record_to_json(record))) > RECORD_LIMIT_BYTES:
            return BodyTooLarge(f'a record exceeds {RECORD_LIMIT_BYTES} bytes')
    if deadline is None:
        deadline = monotonic() + PUBLISH_SECONDS
    attempt = _Attempt(client, state, {rec.record_id: rec for rec in stamped})
    return attempt.run(deadline)


@attrs.define
class _Attempt:
    """One publishing attempt.

    Attributes:
        waiting: Records whose verdict is not known.
        absent: Whether the log was read to its end since the last append.
        answered: Whether the log has answered an append.
        repeat_at: From when an unanswered append may be repeated.
    """

    client: LogClient
    state: State
    waiting: dict[str, Record]
    verdicts: Outcomes = attrs.field(factory=dict)
    absent: bool = True
    answered: bool = False
    repeat_at: float | None = None
    fault: str = 'the log did not show the record in time'

    def run(self, deadline: float) -> Outcomes | Failure:
        """Append and read until all verdicts are known, or the deadline."""
        while self.waiting and monotonic() < deadline:
            refused = self._append_if_useful()
            if refused is not None:
                return refused
            self._read()
            if self.waiting:
                threading.Event().wait(POLL_SECONDS)
        for record_id in self.waiting:
            self.verdicts[record_id] = Unknown(record_id, self.fault)
        return self.verdicts

    def _append_if_useful(self) -> Failure | None:
        now = monotonic()
        first = self.repeat_at is None
        if self.answered or not self.absent:
            return None
        if self.repeat_at is not None and now < self.repeat_at:
            return None
        found = self.client.append(list(self.waiting.values()))
        self.repeat_at = now + REPEAT_SECONDS
        self.absent = False
        self.answered = isinstance(found, int)
        if isinstance(found, int):
            return None
        self.fault = found.sentence
        # Nothing reached the log, unless an earlier append did.
        refused = first and found.outcome is Outcome.not_run
        return found if refused else None

    def _read(self) -> None:
        stale = catch_up(self.client, self.state, self._observe)
        self.absent = stale is None
        if stale is not None:
            self.fault = stale.sentence

    def _observe(self, offset: int, record: Record, verdict: Verdict) -> None:
        # The first copy in the log decides; a second one finds the version
        # taken by the first.
        if isinstance(verdict, Skipped):
            return
        if self.waiting.pop(record.record_id, None) is not None:
            self.verdicts[record.record_id] = verdict


def write_snapshot(
    client: LogClient,
    parts: Sequence[SnapshotPart],
    stopped: threading.Event,
) -> PlatformUnavailable | None:
    """Append the parts of a snapshot in their order.

    A part whose append was not answered is appended again, since readers
    ignore the second copy.
    """
    for part in parts:
        fault = _append_part(client, part, stopped)
        if fault is not None:
            return fault
    return None


def _append_part(
    client: LogClient,
    part: SnapshotPart,
    stopped: threading.Event,
) -> PlatformUnavailable | None:
    fault: PlatformUnavailable | None = None
    for _ in range(SNAPSHOT_PART_TRIES):
        if stopped.wait(SNAPSHOT_PAUSE_SECONDS):
            return PlatformUnavailable('the process is shutting down')
        found = client.append([part])
        if isinstance(found, int):
            return None
        fault = found
    return fault
