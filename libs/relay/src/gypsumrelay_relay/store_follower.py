"""Threads that keep local copies of the store's topics up to date."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure
from logbook import Logger

from gypsumrelay_relay.coordination.messages import (
    ListMissed,
    ListRead,
    UpstreamsChanged,
)
from gypsumrelay_relay.events import state as state_events
from gypsumrelay_relay.membership import becomes_stale
from gypsumrelay_relay.operator_check import OperatorCheck
from gypsumrelay_relay.operator_records import OperatorRecords, apply_records
from gypsumrelay_relay.read_intervals import ReadIntervals
from gypsumrelay_relay.store_epoch import epoch_of
from gypsumrelay_relay.topics import (
    RecordReader,
    Store,
    Topic,
    TopicCopy,
    refresh,
)
from gypsumrelay_relay.upstream_list import (
    ListReading,
    UpstreamHistory,
    newest_upstreams,
)

if TYPE_CHECKING:
    from gypsumrelay_dispatch import Upstream

log = Logger('store')

MS_PER_SECOND: Final = 1000
# Time in seconds after the store becomes available again in which a missing
# upstream may be listed again.
RECOVERY_SECONDS: Final = 2.5
# Time in seconds after a read of the list of upstreams for which placements are
# granted from it; an upstream that is leaving must stop receiving work within
# two seconds.
LIST_USABLE_SECONDS: Final = 2.0
# Delays in seconds before the reads of a topic that was never read are
# repeated, the last one from then on. Until one succeeds, this relay can serve
# no request; the later ones keep a fleet from flooding a store that is away.
FIRST_RETRY_SECONDS: Final = (0.05, 0.1, 0.2, 0.3)
# Delay in seconds after an unexpected error before a topic is followed again.
RESTART_SECONDS: Final = 0.5
# Maximum number of unreadable records that are remembered.
MAX_UNREADABLE: Final = 1024

OnUpdate = Callable[[UpstreamsChanged | ListRead | ListMissed], None]


def reads_alone() -> bool:
    """Return False; the default without other relays."""
    return False


@attrs.define(eq=False)
class StoreFollower:
    """Follows the operator records and the list of upstreams in the store.

    Attributes:
        store: The store.
        reader: Parses records.
        operator_records: The copy of the operator records.
        on_update: Called with changes of the list of upstreams, and with the
            instant until which it may be used.
        intervals: Returns the read intervals for this relay's current rank.
        others_read: Returns whether other relays may read a newer list.
        unreadable: Hashes of the records that were logged as unreadable, by
            key.
        upstreams: The copy of the list of upstreams.
        history: The newest record that was read of each upstream.
        due_at: Instant at which the next read of the list is due.
        missed_until: Instant before which changes of the list may have been
            missed.
        current_at: Instant at which the last read of the list began that was
            answered.
        read_requested: Set to read the list at once.
        stopped: Ends all threads.
        operator_check: Reads the operator records at intervals.
    """

    store: Store
    reader: RecordReader
    operator_records: OperatorRecords
    on_update: OnUpdate
    intervals: Callable[[], ReadIntervals]
    others_read: Callable[[], bool] = reads_alone
    unreadable: dict[str, int] = attrs.field(factory=dict)
    upstreams: TopicCopy = attrs.field(
        factory=lambda: TopicCopy(Topic.upstreams),
    )
    history: UpstreamHistory = attrs.field(factory=UpstreamHistory)
    due_at: float = 0
    missed_until: float = float('-inf')
    current_at: float = 0
    read_requested: threading.Event = attrs.field(factory=threading.Event)
    stopped: threading.Event = attrs.field(factory=threading.Event)
    operator_check: OperatorCheck = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the periodic read of the operator records."""
        self.operator_check = OperatorCheck(
            self.store, self.operator_records, self.intervals, self.stopped
        )

    def start(self) -> None:
        """Start all threads."""
        for follow in (
            self.follow_operator,
            self.follow_upstreams,
            self.operator_check.run,
        ):
            threading.Thread(
                target=self._keep_following, args=(follow,), daemon=True
            ).start()

    def follow_operator(self) -> None:
        """Apply changes of the operator records as they arrive."""
        copy = TopicCopy(Topic.operator)
        while not self.stopped.is_set():
            changed = self._refresh(copy, self.intervals().watch_seconds)
            if changed is None:
                self.stopped.wait(self._retry_pause(copy))
            elif changed:
                apply_records(
                    self.operator_records, copy.position, copy.records, 'store'
                )

    def follow_upstreams(self) -> None:
        """Read the list of upstreams periodically."""
        while not self.stopped.is_set():
            self.read_requested.wait(self.read_list())
            self.read_requested.clear()

    def read_list(self) -> float:
        """Read the list once; return the seconds until the next read."""
        copy = self.upstreams
        began_at = monotonic()
        changed = self._refresh(copy, 0)
        now = monotonic()
        if changed is not None:
            self.current_at = began_at
        store_recovered = now - copy.returned_at < RECOVERY_SECONDS
        is_due = store_recovered or not self.history.is_settled
        if changed or (changed is not None and is_due):
            listed = self._read(copy.records)
            reading = ListReading(
                epoch_of(copy.position),
                now,
                store_recovered,
                self._read(copy.removed),
            )
            upstreams = newest_upstreams(self.history, listed, reading)
            self.on_update(
                UpstreamsChanged(upstreams, copy.position, store_recovered)
            )
        # While the store is unavailable, no relay can read a newer list, so
        # that the current one stays in use.
        self.allow_use(now)
        if changed is None:
            return self._retry_pause(copy)
        pause = self.intervals().list_seconds
        self.due_at = now + pause
        return pause

    def _keep_following(self, follow: Callable[[], None]) -> None:
        """Follow a topic again after an unexpected error.

        A relay that no longer follows the store would send requests to
        upstreams that are gone, with no failure to show for it.
        """
        while not self.stopped.is_set():
            try:
                follow()
            except Exception:
                log.exception('Following a topic of the store failed.')
                if follow == self.follow_upstreams:
                    # What was read may not have been applied.
                    self.upstreams.position = -1
                self.stopped.wait(RESTART_SECONDS)

    def _refresh(self, copy: TopicCopy, wait_seconds: float) -> bool | None:
        was_failing = copy.failing
        started_at = monotonic()
        outcome = refresh(copy, self.store, wait_seconds)
        if isinstance(outcome, Failure):
            if not was_failing:
                unavailable = state_events.StoreUnavailable(
                    copy.topic.value,
                    outcome.sentence,
                    int((copy.failed_at - started_at) * MS_PER_SECOND),
                )
                state_events.report(log, unavailable)
            return None
        if was_failing:
            state_events.report(
                log, state_events.StoreAvailable(copy.topic.value)
            )
        return outcome

    def _retry_pause(self, copy: TopicCopy) -> float:
        seconds = self.intervals().retry_seconds
        if copy.position < 0:
            failures = min(copy.first_failures, len(FIRST_RETRY_SECONDS) - 1)
            copy.first_failures += 1
            return min(FIRST_RETRY_SECONDS[failures], seconds)
        return seconds

    def read_early(self, now: float) -> None:
        """Read at once what its current rank requires earlier.

        The list is due from `now` on, so that a relay which cannot read it
        counts as stale soon after it became a candidate.
        """
        self.operator_check.read_early(now)
        if self.due_at > now + self.intervals().list_seconds:
            self._read_list_now(now)

    def read_after_suspension(self, now: float) -> None:
        """Read at once after the process was suspended.

        What was read may be as old as the suspension was long, although no
        read failed.
        """
        self.missed_until = now
        self.on_update(ListMissed())
        self.operator_check.read_now(now)
        self.due_at = now
        self.read_requested.set()

    def allow_use(self, now: float) -> None:
        """Allow placements from the current list for `LIST_USABLE_SECONDS`.

        Its versions count while no relay may have read a newer one.
        """
        is_missed = self.current_at < self.missed_until
        is_old = now - self.current_at > LIST_USABLE_SECONDS
        is_missed = is_missed or (is_old and self.others_read())
        self.on_update(ListRead(now + LIST_USABLE_SECONDS, not is_missed))

    def read_now(self, now: float) -> None:
        """Make the next reads due now, as this relay coordinates."""
        self.operator_check.read_now(now)
        self._read_list_now(now)

    def _read_list_now(self, now: float) -> None:
        self.due_at = min(self.due_at, now)
        self.read_requested.set()

    def is_stale(self, was_stale: bool, now: float) -> bool:
        """Return whether the list is too old to grant placements from."""
        copy = self.upstreams
        if copy.position < 0:
            return True
        return becomes_stale(was_stale, self.due_at, copy.failed_at, now)

    def _read(self, records: Mapping[str, bytes]) -> tuple[Upstream, ...]:
        upstreams = []
        for key, record in records.items():
            upstream = self.reader.upstream(key, record)
            if not isinstance(upstream, Failure):
                upstreams.append(upstream)
            elif self.unreadable.get(key) != hash(record):
                if len(self.unreadable) >= MAX_UNREADABLE:
                    self.unreadable.clear()
                self.unreadable[key] = hash(record)
                log.warning(
                    'Ignored the unreadable upstream record {}: {}.',
                    key,
                    upstream.sentence,
                )
        return tuple(upstreams)
