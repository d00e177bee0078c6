"""Threads that poll the log and the instance list of the platform."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import PlatformUnavailable
from logbook import Logger

from gypsumrelay_platform.listclient import ListClient, Listing
from gypsumrelay_platform.logclient import Batch, LogClient

log = Logger('platform')

POLL_SECONDS: Final = 0.5


def always_ready() -> bool:
    """Return true; for readers that keep no state and so miss no records."""
    return True


@attrs.frozen
class FollowerCallbacks:
    """Functions of the reader, called on the threads of the follower.

    Times are monotonic, in seconds.

    Attributes:
        on_batch: Called with each batch of entries.
        on_listing: Called with each instance list and the time before its
            request.
        next_offset: Returns the offset of the next record to read.
        on_log_end: Called when the log was read to its end, with the time
            before that read.
        is_ready: Returns whether the reader's state covers all records that
            the log has dropped. Until it does, the state is not current
            even when the log was read to its end.
    """

    on_batch: Callable[[Batch], None]
    on_listing: Callable[[Listing, float], None]
    next_offset: Callable[[], int]
    on_log_end: Callable[[float], None]
    is_ready: Callable[[], bool] = always_ready


@attrs.define(eq=False)
class Follower:
    """Reads the log and the instance list twice a second.

    Attributes:
        log_client: Client of the log service.
        list_client: Client of the instance list.
        callbacks: Functions of the reader.
        stopped: Set to stop both threads.
        log_read_at: Monotonic time in seconds before the last read that
            reached the end of the log.
        list_read_at: Monotonic time in seconds before the last read of the
            instance list.
        log_available: Whether the last read of the log succeeded.
    """

    log_client: LogClient
    list_client: ListClient
    callbacks: FollowerCallbacks
    stopped: threading.Event = attrs.field(factory=threading.Event)
    log_read_at: float = float('-inf')
    list_read_at: float = float('-inf')
    log_available: bool = True

    def start(self) -> None:
        """Start one thread each, so that a slow log doesn't delay the list."""
        for target in (self._follow_log, self._follow_list):
            threading.Thread(
                target=target,
                name=target.__name__,
                daemon=True,
            ).start()

    def stop(self) -> None:
        """Stop both threads after their current read."""
        self.stopped.set()

    def read_log(self) -> bool:
        """Read the log to its end and return whether this succeeded."""
        while not self.stopped.is_set():
            asked_at = monotonic()
            was_ready = self.callbacks.is_ready()
            batch = self.log_client.read(self.callbacks.next_offset())
            if isinstance(batch, PlatformUnavailable):
                self._log_availability(batch.sentence)
                return False
            self.callbacks.on_batch(batch)
            if batch.at_end and self._is_read_to_end(was_ready, asked_at):
                break
        self._log_availability('')
        return True

    def read_list(self) -> bool:
        """Read the instance list and return whether this succeeded."""
        asked_at = monotonic()
        listing = self.list_client.read()
        if isinstance(listing, PlatformUnavailable):
            return False
        self.callbacks.on_listing(listing, asked_at)
        self.list_read_at = asked_at
        return True

    def _follow_log(self) -> None:
        while not self.stopped.wait(POLL_SECONDS):
            self.read_log()

    def _follow_list(self) -> None:
        while not self.stopped.wait(POLL_SECONDS):
            self.read_list()

    def _is_read_to_end(self, was_ready: bool, asked_at: float) -> bool:
        """Return whether the reader has read all that it can read now."""
        if not self.callbacks.is_ready():
            return True
        if was_ready:
            self.log_read_at = asked_at
            self.callbacks.on_log_end(asked_at)
        # A reader that has just restored a snapshot continues at the offset
        # after the one that the snapshot covers.
        return was_ready

    def _log_availability(self, fault: str) -> None:
        available = not fault
        if available != self.log_available:
            state = 'answers again' if available else f'fails: {fault}'
            log.warning('The log service {}.', state)
        self.log_available = available
