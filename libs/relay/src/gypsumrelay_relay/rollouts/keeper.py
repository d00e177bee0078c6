"""Status of roll-outs in the store, while this relay coordinates."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Any, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure
from logbook import Logger

from gypsumrelay_relay.events.state import report
from gypsumrelay_relay.rollouts import messages
from gypsumrelay_relay.rollouts.events import StatusNotWritten, change_event
from gypsumrelay_relay.topics import Topic, TopicCopy, refresh

if TYPE_CHECKING:
    from gypsumrelay_rollouts import Status

    from gypsumrelay_relay.context import Relay
    from gypsumrelay_relay.topics import RecordReader, Store

log = Logger('rollouts')

# Interval in seconds between checks for changes and statuses to write.
CHECK_SECONDS: Final = 0.1
# Interval in seconds between reads while a roll-out runs, which show whether
# the store answers.
READ_SECONDS: Final = 1.0
# Delay in seconds before a failed read or write is repeated.
RETRY_SECONDS: Final = 0.3
MS_PER_SECOND: Final = 1000


@attrs.define(eq=False)
class RolloutKeeper:
    """Writes statuses while this relay coordinates, and reads them before.

    A status is written only where the topic ends as it was read, so that a
    former coordinator cannot replace the status of the present one.

    Attributes:
        relay: The shared parts of this relay.
        store: The store.
        reader: Parsers of the store's records.
        copy: The copy of the topic of statuses.
        is_leading: Whether this relay coordinated at the last check.
        read_due_at: Instant at which the statuses are read again.
        write_due_at: Instant from which a status may be written.
        failed: The last status that could not be written.
        stopped: Ends the thread.
    """

    relay: Relay
    store: Store
    reader: RecordReader
    copy: TopicCopy = attrs.field(factory=lambda: TopicCopy(Topic.status))
    is_leading: bool = False
    read_due_at: float = 0
    write_due_at: float = 0
    failed: Status | None = None
    stopped: threading.Event = attrs.field(factory=threading.Event)

    def start(self) -> None:
        """Start the thread, if roll-outs are in force."""
        if not self.relay.settings.rollouts.enabled:
            return
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        """Check until the process stops."""
        while not self.stopped.wait(CHECK_SECONDS):
            try:
                self.check(monotonic())
            except Exception:
                # An unexpected error must not end the writing of statuses.
                log.exception('Check of the roll-outs failed.')

    def check(self, now: float) -> None:
        """Log changes, and read and write statuses that are due."""
        is_leading = self._leads()
        if is_leading != self.is_leading:
            self.is_leading = is_leading
            self.copy = TopicCopy(Topic.status)
            self.read_due_at = 0
            self._tell(messages.LeadershipChanged(is_leading))
        if not is_leading:
            return
        if now >= self.read_due_at:
            self._read(now)
        actor = self.relay.coordination.actor
        work: Any = actor.ask(messages.TakeRolloutWork())
        self._report(work)
        if self.copy.position >= 0 and not work.is_running:
            self.read_due_at = float('inf')
        elif self.read_due_at == float('inf'):
            self.read_due_at = now
        if self.write_due_at <= now:
            for status, deadline in work.unwritten:
                self._write(status, deadline)

    def _leads(self) -> bool:
        coordination = self.relay.coordination
        with coordination.lock:
            is_own = coordination.leader == coordination.name
            return is_own and coordination.link is None

    def _read(self, now: float) -> None:
        is_first = self.copy.position < 0
        outcome = refresh(self.copy, self.store, 0)
        if isinstance(outcome, Failure):
            self.read_due_at = now + RETRY_SECONDS
            return
        self.read_due_at = now + READ_SECONDS
        if is_first or outcome:
            statuses = self.reader.statuses(self.copy.records)
            self._tell(messages.StatusesRead(statuses, time.time()))
        else:
            self._tell(messages.StoreAnswered())

    def _write(self, status: Status, deadline: float) -> None:
        """Write a status; one that fails is tried again after a read."""
        encode = self.reader.status_record
        if encode is None or not self._leads():
            return
        unix_seconds = time.time() + deadline - monotonic()
        dated = attrs.evolve(
            status, deadline_ms=int(max(0, unix_seconds) * MS_PER_SECOND)
        )
        key, record = encode(dated)
        outcome = self.store.append(
            Topic.status, key, record, self.copy.position
        )
        if not isinstance(outcome, Failure):
            self.failed = None
            self.copy.records[key] = record
            self.copy.position = outcome + 1
            self._tell(messages.StatusWritten(status))
            return
        self.read_due_at = 0
        self.write_due_at = monotonic() + RETRY_SECONDS
        if status != self.failed:
            self.failed = status
            report(
                log,
                StatusNotWritten(
                    status.service, status.state.value, outcome.sentence
                ),
            )

    def _report(self, work: messages.RolloutWork) -> None:
        metrics = self.relay.metrics
        for change in work.changes:
            metrics.rollout_changes.labels(change.stage.value).inc()
            report(log, change_event(change))
        for service, figures in work.figures.items():
            for name, figure in figures.items():
                metrics.rollouts.labels(service, name).set(figure)

    def _tell(self, message: Any) -> None:
        self.relay.coordination.actor.tell(message)
