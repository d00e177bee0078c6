"""Rate limits that upstreams state, as far as this relay knows them."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import attrs
from gypsumrelay_dispatch import UNLISTED_SECONDS
from logbook import Logger

from gypsumrelay_relay.events import state as state_events
from gypsumrelay_relay.events import upstreams as upstream_events

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

log = Logger('limits')


@attrs.frozen
class StatedLimit:
    """Rate limit of one upstream.

    Attributes:
        per_second: Requests per second that it accepts from all relays.
        learned_at: Instant at which this relay last learned it.
    """

    per_second: float
    learned_at: float


@attrs.define(eq=False)
class StatedLimits:
    """The rate limits that a new coordinator is told.

    Attributes:
        limits: The limits, by upstream.
        lock: Guards `limits`.
    """

    limits: dict[str, StatedLimit] = attrs.field(factory=dict)
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def current(self) -> dict[str, float]:
        """Return the limits in requests per second, by upstream."""
        with self.lock:
            return {
                name: limit.per_second for name, limit in self.limits.items()
            }

    def record_answer(
        self, upstream: str, per_second: float | None, now: float
    ) -> bool:
        """Record what an answer states, and log a change.

        Args:
            upstream: Name of the upstream that answered.
            per_second: The stated limit; None without one.
            now: The present instant.

        Returns:
            Whether the coordinator has to be told: the answer states a limit,
            or no longer the one that was known.
        """
        with self.lock:
            known = self.limits.pop(upstream, None)
            if per_second is not None:
                self.limits[upstream] = StatedLimit(per_second, now)
        previous = known.per_second if known else None
        if previous != per_second:
            _log_change(upstream, previous, per_second)
        return per_second is not None or known is not None

    def learn(self, upstream: str, per_second: float, now: float) -> None:
        """Record a limit that the coordinator applies, unless one is known."""
        with self.lock:
            self.limits.setdefault(upstream, StatedLimit(per_second, now))

    def forget_unlisted(self, listed: AbstractSet[str], now: float) -> None:
        """Forget the limits of upstreams that have been unlisted for long."""
        with self.lock:
            self.limits = {
                name: limit
                for name, limit in self.limits.items()
                if name in listed or now < limit.learned_at + UNLISTED_SECONDS
            }


def _log_change(
    upstream: str, previous: float | None, per_second: float | None
) -> None:
    if per_second is None:
        change: state_events.StateChange = upstream_events.RateLimitEnded(
            upstream, previous or 0
        )
    else:
        change = upstream_events.RateLimitStated(
            upstream, per_second, previous or 0
        )
    state_events.report(log, change)
