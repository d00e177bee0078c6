"""Rate limits that upstreams state in their answers to this relay."""

from __future__ import annotations

import threading

import attrs
from logbook import Logger

from gypsumrelay_relay import state_events

log = Logger('limits')


@attrs.define(eq=False)
class StatedLimits:
    """The rate limits that upstreams state at present.

    Attributes:
        limits: Requests per second, by upstream.
        lock: Guards `limits`.
    """

    limits: dict[str, float] = attrs.field(factory=dict)
    lock: threading.Lock = attrs.field(factory=threading.Lock)


def record_statement(
    stated: StatedLimits, upstream: str, limit: float | None
) -> None:
    """Record what an answer states, and log a change.

    Args:
        stated: The recorded limits.
        upstream: Name of the upstream that answered.
        limit: The stated limit in requests per second; None without one.
    """
    with stated.lock:
        previous = stated.limits.get(upstream)
        if previous == limit:
            return
        if limit is None:
            stated.limits.pop(upstream)
        else:
            stated.limits[upstream] = limit
    if limit is None:
        state_events.report(
            log, state_events.RateLimitEnded(upstream, previous or 0)
        )
    else:
        state_events.report(
            log, state_events.RateLimitStated(upstream, limit, previous or 0)
        )
