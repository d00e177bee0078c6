"""Grant rate of a service's queue."""

from __future__ import annotations

import math
from typing import Final

import attrs

# Time constant in seconds: the weight of an observation falls to about a
# third after this time with a queue.
WINDOW_SECONDS: Final = 2.0
# Seconds with a queue below which the grant rate is unknown.
LEAST_SECONDS: Final = 0.3
# Seconds without a queue after which the grant rate is reset, since the set
# of upstreams may have changed.
IDLE_SECONDS: Final = 5.0
# Lower bound of the grants, for a queue that had no grant yet; keeps the time
# per grant finite.
LEAST_GRANTS: Final = 1.0


@attrs.define
class Flow:
    """Grants of a service while requests were queued.

    Attributes:
        waited_seconds: Time with a queue, decayed exponentially.
        grants: Grants in that time, decayed likewise.
        seen_at: Instant of the last observation.
        is_waiting: Whether requests were queued at that instant.
        waited_at: Last instant at which requests were queued.
    """

    waited_seconds: float = 0
    grants: float = 0
    seen_at: float = 0
    is_waiting: bool = False
    waited_at: float = float('-inf')


def observe_queue(flow: Flow, now: float, *, is_waiting: bool) -> None:
    """Account for the elapsed time and update whether requests are queued."""
    if flow.is_waiting:
        passed = now - flow.seen_at
        kept = math.exp(-passed / WINDOW_SECONDS)
        flow.waited_seconds = flow.waited_seconds * kept + passed
        flow.grants *= kept
        flow.waited_at = now
    elif now - flow.waited_at > IDLE_SECONDS:
        flow.waited_seconds = 0
        flow.grants = 0
    flow.seen_at = now
    flow.is_waiting = is_waiting


def count_grant(flow: Flow) -> None:
    """Count a grant if requests are queued."""
    if flow.is_waiting:
        flow.grants += 1


def seconds_per_grant(flow: Flow) -> float | None:
    """Return the mean seconds between two grants; None where unknown."""
    if flow.waited_seconds < LEAST_SECONDS:
        return None
    return flow.waited_seconds / max(LEAST_GRANTS, flow.grants)
