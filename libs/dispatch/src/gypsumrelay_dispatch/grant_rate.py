"""Grant rate of a service's queue."""

from __future__ import annotations

import math
from typing import Final

import attrs

# Time constant in seconds: the weight of an observation falls to about a
# third after this time with a queue.
DECAY_SECONDS: Final = 2.0
# Seconds with a queue below which the grant rate is unknown.
MIN_QUEUED_SECONDS: Final = 0.3
# Seconds without a queue after which the grant rate is reset, since the set
# of upstreams may have changed.
IDLE_SECONDS: Final = 5.0
# Lower bound of the grants, for a queue that had no grant yet; keeps the time
# per grant finite.
MIN_GRANTS: Final = 1.0


@attrs.define
class GrantRate:
    """Grants of a service while requests were queued.

    Attributes:
        queued_seconds: Time with a queue, decayed exponentially.
        grants: Grants in that time, decayed likewise.
        observed_at: Instant of the last observation.
        has_queue: Whether requests were queued at that instant.
        last_queued_at: Last instant at which requests were queued.
    """

    queued_seconds: float = 0
    grants: float = 0
    observed_at: float = 0
    has_queue: bool = False
    last_queued_at: float = float('-inf')


def observe_queue(
    grant_rate: GrantRate, now: float, *, has_queue: bool
) -> None:
    """Account for the elapsed time and update whether requests are queued."""
    if grant_rate.has_queue:
        elapsed = now - grant_rate.observed_at
        decay = math.exp(-elapsed / DECAY_SECONDS)
        grant_rate.queued_seconds = grant_rate.queued_seconds * decay + elapsed
        grant_rate.grants *= decay
        grant_rate.last_queued_at = now
    elif now - grant_rate.last_queued_at > IDLE_SECONDS:
        grant_rate.queued_seconds = 0
        grant_rate.grants = 0
    grant_rate.observed_at = now
    grant_rate.has_queue = has_queue


def count_grant(grant_rate: GrantRate) -> None:
    """Count a grant if requests are queued."""
    if grant_rate.has_queue:
        grant_rate.grants += 1


def seconds_per_grant(grant_rate: GrantRate) -> float | None:
    """Return the mean seconds between two grants; None where unknown."""
    if grant_rate.queued_seconds < MIN_QUEUED_SECONDS:
        return None
    return grant_rate.queued_seconds / max(MIN_GRANTS, grant_rate.grants)
