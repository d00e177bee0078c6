"""Threads that follow the store's topics."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_errors import Failure
from logbook import Logger

from gypsumrelay_relay import beliefs
from gypsumrelay_relay.coordinator import UpstreamsChanged
from gypsumrelay_relay.knowledge import Knowledge, learn
from gypsumrelay_relay.membership import becomes_stale
from gypsumrelay_relay.topics import (
    RecordReader,
    Store,
    Topic,
    TopicCopy,
    refresh,
)

if TYPE_CHECKING:
    from gypsumrelay_dispatch import Upstream
    from gypsumrelay_settings import StoreSettings

log = Logger('store')

# Seconds between two tries while the store does not answer.
RETRY_SECONDS: Final = 0.3
# Seconds after the store's return for which a missing entry may come back.
RETURN_SECONDS: Final = 2.5

OnUpstreams = Callable[[UpstreamsChanged], None]


@attrs.define(eq=False)
class Following:
    """Follows the operators' records and the list of upstreams.

    Attributes:
        store: The store.
        settings: How often it is read.
        reader: Reads records.
        knowledge: Takes the operators' records.
        on_upstreams: Takes the list of upstreams.
        is_in_line: Whether this instance has to have the newest list.
        unreadable: Records that were reported as unusable, by key.
        upstreams: The copy of the list of upstreams.
        due_at: When the next read of the list is due.
        hurry: Set to read the list at once.
    """

    store: Store
    settings: StoreSettings
    reader: RecordReader
    knowledge: Knowledge
    on_upstreams: OnUpstreams
    is_in_line: Callable[[], bool]
    unreadable: dict[str, bytes] = attrs.field(factory=dict)
    upstreams: TopicCopy = attrs.field(
        factory=lambda: TopicCopy(Topic.upstreams),
    )
    due_at: float = 0
    hurry: threading.Event = attrs.field(factory=threading.Event)
    stopped: threading.Event = attrs.field(factory=threading.Event)

    def start(self) -> None:
        """Start both threads."""
        for target in (self.follow_operator, self.follow_upstreams):
            threading.Thread(target=target, daemon=True).start()

    def follow_operator(self) -> None:
        """Take each change of the operators' records at once."""
        copy = TopicCopy(Topic.operator)
        while not self.stopped.is_set():
            changed = self._refresh(copy, self.settings.watch_seconds)
            if changed is None:
                self.stopped.wait(RETRY_SECONDS)
            elif changed:
                learn(self.knowledge, copy.position, copy.records, 'store')

    def follow_upstreams(self) -> None:
        """Read the list of upstreams again and again."""
        copy = self.upstreams
        while not self.stopped.is_set():
            changed = self._refresh(copy, 0)
            now = time.monotonic()
            lapsed = now - copy.returned_at < RETURN_SECONDS
            if changed or (changed is not None and lapsed):
                listed = self._read(copy.records)
                news = UpstreamsChanged(listed, copy.position, lapsed)
                self.on_upstreams(news)
            pause = self._pause(failed=changed is None)
            if changed is not None:
                self.due_at = now + pause
            self.hurry.wait(pause)
            self.hurry.clear()

    def _refresh(self, copy: TopicCopy, wait_seconds: float) -> bool | None:
        was_failing = copy.failing
        outcome = refresh(copy, self.store, wait_seconds)
        if isinstance(outcome, Failure):
            if not was_failing:
                lost = beliefs.StoreLost(copy.topic.value, outcome.sentence)
                beliefs.report(log, lost)
            return None
        if was_failing:
            beliefs.report(log, beliefs.StoreRegained(copy.topic.value))
        return outcome

    def _pause(self, *, failed: bool) -> float:
        if failed:
            return RETRY_SECONDS
        if self.is_in_line():
            return self.settings.list_poll_seconds
        return self.settings.idle_poll_seconds

    def is_stale(self, was_stale: bool, now: float) -> bool:
        """Return whether the list of upstreams is too old to decide from."""
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
            elif self.unreadable.get(key) != record:
                self.unreadable[key] = record
                log.warning('Entry {} left out: {}.', key, upstream.sentence)
        return tuple(upstreams)
