"""How fast the queue of a service moves."""

from __future__ import annotations

import math
from typing import Final

import attrs

# Seconds of waiting after which an observation counts for a third.
WINDOW_SECONDS: Final = 2.0
# Seconds of waiting below which nothing is known of the speed.
LEAST_SECONDS: Final = 0.3
# Seconds without a queue after which the speed is forgotten; upstreams may
# have come or gone.
IDLE_SECONDS: Final = 5.0
# Grants at least; a queue in which nothing has moved may do so next.
LEAST_GRANTS: Final = 1.0


@attrs.define
class Flow:
    """Grants of a service while others waited for it.

    Attributes:
        waited_seconds: Time with a queue, the newest in full.
        grants: Grants in that time, weighted likewise.
        seen_at: When the queue was last looked at.
        is_waiting: Whether there was a queue then.
        waited_at: When there last was one.
    """

    waited_seconds: float = 0
    grants: float = 0
    seen_at: float = 0
    is_waiting: bool = False
    waited_at: float = float('-inf')


def observe_queue(flow: Flow, now: float, *, is_waiting: bool) -> None:
    """Take note of time that passed, and whether requests wait now."""
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
    """Count a grant while requests wait."""
    if flow.is_waiting:
        flow.grants += 1


def seconds_per_grant(flow: Flow) -> float | None:
    """Return the time between two grants, or None where it is unknown."""
    if flow.waited_seconds < LEAST_SECONDS:
        return None
    return flow.waited_seconds / max(LEAST_GRANTS, flow.grants)
