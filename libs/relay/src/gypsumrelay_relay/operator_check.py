"""Periodic reads of the operator records, beside the one that waits."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure

from gypsumrelay_relay.operator_records import apply_records
from gypsumrelay_relay.topics import Topic, TopicCopy, refresh

if TYPE_CHECKING:
    from gypsumrelay_relay.operator_records import OperatorRecords
    from gypsumrelay_relay.read_intervals import ReadIntervals
    from gypsumrelay_relay.topics import Store

# Source of the records in the log.
SOURCE: Final = 'check'


@attrs.define(eq=False)
class OperatorCheck:
    """Reads at intervals whether the operator has written records.

    The read that waits for them learns nothing if its answer is lost, and
    takes until its time-out to notice.

    Attributes:
        store: The store.
        operator_records: The copy of the operator records.
        intervals: Returns the read intervals for this relay's current rank.
        stopped: Ends the thread.
        due_at: Instant at which the next read is due.
        requested: Set to read at once.
    """

    store: Store
    operator_records: OperatorRecords
    intervals: Callable[[], ReadIntervals]
    stopped: threading.Event
    due_at: float = 0
    requested: threading.Event = attrs.field(factory=threading.Event)

    def run(self) -> None:
        """Read until the relay stops."""
        pause = self._plan(monotonic())
        while not self.stopped.is_set():
            self.requested.wait(pause)
            self.requested.clear()
            pause = self.read()

    def read(self) -> float:
        """Read what is new once; return the seconds until the next read."""
        latest = self.operator_records.latest
        copy = TopicCopy(Topic.operator, latest.position, dict(latest.records))
        changed = refresh(copy, self.store, 0)
        if isinstance(changed, Failure):
            return self.intervals().retry_seconds
        if changed:
            apply_records(
                self.operator_records, copy.position, copy.records, SOURCE
            )
        return self._plan(monotonic())

    def read_early(self, now: float) -> None:
        """Read at once if the current rank requires an earlier read."""
        if self.due_at > now + self.intervals().check_seconds:
            self.read_now(now)

    def read_now(self, now: float) -> None:
        """Make the next read due now."""
        self.due_at = min(self.due_at, now)
        self.requested.set()

    def _plan(self, now: float) -> float:
        pause = self.intervals().check_seconds
        self.due_at = now + pause
        return pause
