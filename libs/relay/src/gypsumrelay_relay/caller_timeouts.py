"""Closes connections of callers that are idle or too slow."""

from __future__ import annotations

import threading
from collections import deque
from typing import Any, Final

import attrs
from gypsumrelay_clock import monotonic
from logbook import Logger

from gypsumrelay_relay.buffers.channel import UNREAD_SECONDS
from gypsumrelay_relay.caller_server import apply_size_limits, is_idle
from gypsumrelay_relay.routes import CallerLimits

log = Logger('slowness')

# Interval in seconds between checks of all connections.
CHECK_SECONDS: Final = 0.5
# Time in seconds for which a connection may be idle beyond the limit.
IDLE_MARGIN_SECONDS: Final = 2.0
# Time in seconds after a new configuration in which callers may still go by the
# one before.
KNOWN_SECONDS: Final = 3.0
# Number of former limits that are kept; a connection idle for longer than all
# of them goes by the newest ones.
MAX_FORMER: Final = 16
ANSWER: Final = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)


@attrs.define(eq=False)
class CallerTimeouts:
    """Enforces the time limits of callers on their server.

    Attributes:
        server: The HTTP server for callers.
        limits: Limits for callers in force; the default before the first
            configuration, which callers do not go by.
        is_configured: Whether the limits are those of a configuration.
        former: Earlier limits and the instants until which callers may have
            gone by them, the newest last.
        first_seen_at: Instant at which an incomplete head was first seen, by
            request.
        stopped: Ends the thread.
    """

    server: Any
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    is_configured: bool = False
    former: deque[tuple[float, CallerLimits]] = attrs.field(
        factory=lambda: deque(maxlen=MAX_FORMER)
    )
    first_seen_at: dict[Any, float] = attrs.field(factory=dict)
    stopped: threading.Event = attrs.field(factory=threading.Event)

    def apply(self, limits: CallerLimits) -> None:
        """Apply the limits of a new configuration."""
        if self.is_configured and limits != self.limits:
            self.former.append((monotonic() + KNOWN_SECONDS, self.limits))
        self.limits = limits
        self.is_configured = True
        apply_size_limits(self.server, limits)

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        """Trigger a check in the server's thread until the process stops."""
        while not self.stopped.wait(CHECK_SECONDS):
            self.server.trigger.pull_trigger(self.check)

    def check(self) -> None:
        """Check all connections once; runs in the server's thread."""
        now = monotonic()
        channels = list(self.server.active_channels.values())
        self._close_slow(channels, now)
        for channel in channels:
            if channel.connected and self._is_abandoned(channel, now):
                channel.handle_close()

    def limits_since(self, since: float) -> list[CallerLimits]:
        """Return all limits that callers may have gone by since an instant.

        A caller that was idle when a limit was lowered cannot know of it.
        """
        former = [
            limits for until, limits in list(self.former) if until >= since
        ]
        return [self.limits, *former]

    def _close_slow(self, channels: list[Any], now: float) -> None:
        # File descriptors are used again, so that heads are told apart by
        # their requests.
        unfinished = {
            channel.request: channel
            for channel in channels
            if _is_unfinished(channel)
        }
        for finished in self.first_seen_at.keys() - unfinished.keys():
            self.first_seen_at.pop(finished)
        for request, channel in unfinished.items():
            since = self.first_seen_at.setdefault(request, now)
            longest = max(
                one.header_seconds for one in self.limits_since(since)
            )
            if now - since > longest:
                log.info(
                    'Closed a connection: request head not received in time.'
                )
                channel.send(ANSWER)
                channel.handle_close()

    def _is_abandoned(self, channel: Any, now: float) -> bool:
        """Return whether a connection has made no progress for too long.

        A request that is being answered is never abandoned.
        """
        if channel.requests:
            return False
        known = self.limits_since(channel.active_at)
        seconds = max(one.idle_seconds for one in known) + IDLE_MARGIN_SECONDS
        if channel.total_outbufs_len:
            seconds = max(seconds, UNREAD_SECONDS)
        if now - channel.active_at <= seconds:
            return False
        return is_idle(channel) or not _is_waiting(channel)


def _is_waiting(channel: Any) -> bool:
    """Return whether a connection waits for its next request."""
    return channel.request is None and not channel.total_outbufs_len


def _is_unfinished(channel: Any) -> bool:
    """Return whether a connection waits for the rest of a head.

    While an earlier request on it is being answered, the answer comes first.
    """
    if channel.requests or channel.total_outbufs_len:
        return False
    request = channel.request
    return request is not None and not request.headers_finished
