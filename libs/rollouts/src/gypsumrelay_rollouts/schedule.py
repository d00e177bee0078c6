"""When a roll-out is raised, drained and completed, within its bound.

Every send until the deadline counts, also those at full share: a version may
turn bad at any time. The sends that draining needs are therefore reserved, and
the canary gets what is left.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gypsumrelay_rollouts.exposure import Bounds, total_allowance
from gypsumrelay_rollouts.traffic import (
    forecast_sends,
    requests_per_second,
    sends_per_second,
)

if TYPE_CHECKING:
    from gypsumrelay_rollouts.rollout import Rollout

# Shares of the traffic between canary and draining. The rest stays with the
# old version, as a comparison.
SHARES: Final = (0.25, 0.5, 0.9)
# Bounds of the time at each share in seconds. Between them it is the longest
# request, since the evidence of a share comes with the ends of its requests.
STEP_SECONDS: Final = (1.0, 3.0)
# Time in seconds at full share before the roll-out may be completed. A request
# between two attempts at old upstreams asks again within less.
DRAIN_SECONDS: Final = 0.5
# Draining takes the longest request with this margin, and the time in seconds
# between a decision and the requests that it reaches.
DRAIN_FACTOR: Final = 1.1
SWITCH_SECONDS: Final = 0.3
# Bounds of the time in seconds between the completion and the deadline: for
# the write of the status, and for requests that take longer than the longest
# one before. It is as long as part of the bound allows at full share.
MARGIN_SECONDS: Final = (0.8, 2.0)
MARGIN_PART: Final = 0.4
MAX_LEAD_SHARE: Final = 0.5
# Part of the bound that the canary may use in any case, since nothing is
# raised without evidence.
MIN_CANARY_PART: Final = 0.2
# The same in sends, so that there are enough answers; half of that did not
# give ten answers of a model with 14 requests a second within 20 s.
MIN_CANARY_SENDS: Final = 24
# Part of its limit that the canary may use at once; the rest is spread over
# the time until the share is raised, so that a later fault shows, too.
FIRST_PART: Final = 0.5
# Standard deviations by which the requests while draining may exceed their
# forecast, and the same once an answer has failed: then more evidence matters
# more than a good version that cannot be drained.
MARGIN_DEVIATIONS: Final = 2.5
SUSPICIOUS_DEVIATIONS: Final = 0.5


def complete_at(rollout: Rollout, bounds: Bounds, now: float) -> float:
    """Return the instant from which the roll-out may be completed.

    Until then a version that turns bad can still be reverted.
    """
    shortest, longest = MARGIN_SECONDS
    rate = sends_per_second(rollout.traffic, now)
    margin = longest
    if rate:
        seconds = forecast_bound(rollout, bounds, now) / rate
        margin = MARGIN_PART * seconds - _drain_seconds(rollout)
    return rollout.deadline - min(longest, max(shortest, margin))


def drain_at(rollout: Rollout, bounds: Bounds, now: float) -> float:
    """Return the instant from which all requests go to the new version."""
    earliest = rollout.deadline - (
        MAX_LEAD_SHARE * rollout.order.duration_seconds
    )
    drained = complete_at(rollout, bounds, now)
    return max(earliest, drained - _drain_seconds(rollout))


def raise_at(rollout: Rollout, bounds: Bounds, now: float) -> float:
    """Return the instant from which the share is raised."""
    earliest = rollout.deadline - (
        MAX_LEAD_SHARE * rollout.order.duration_seconds
    )
    steps = len(SHARES) * step_seconds(rollout)
    return max(earliest, drain_at(rollout, bounds, now) - steps)


def step_seconds(rollout: Rollout) -> float:
    """Return the time in seconds at each share."""
    shortest, longest = STEP_SECONDS
    return min(longest, max(shortest, rollout.longest_seconds))


def forecast_bound(rollout: Rollout, bounds: Bounds, now: float) -> float:
    """Return the bound of all sends until the deadline."""
    left = max(0, rollout.deadline - now)
    coming = requests_per_second(rollout.traffic, now) * left
    return total_allowance(rollout.exposure, bounds, coming)


def raise_limit(rollout: Rollout, bounds: Bounds, now: float) -> float:
    """Return the sends until draining begins that leave enough for it."""
    begins_at = max(now, drain_at(rollout, bounds, now))
    seconds = max(0, rollout.deadline - begins_at)
    deviations = MARGIN_DEVIATIONS
    if rollout.is_failing:
        deviations = SUSPICIOUS_DEVIATIONS
    reserve = forecast_sends(rollout.traffic, seconds, deviations, now)
    return forecast_bound(rollout, bounds, now) - reserve


def canary_limit(rollout: Rollout, bounds: Bounds, now: float) -> float:
    """Return the sends that the canary may have had by now."""
    duration = rollout.order.duration_seconds
    left = max(0, drain_at(rollout, bounds, now) - now)
    elapsed = 1 - min(1, left / duration) if duration else 1
    part = MIN_CANARY_PART * forecast_bound(rollout, bounds, now)
    least = max(MIN_CANARY_SENDS, part)
    limit = max(least, raise_limit(rollout, bounds, now))
    if rollout.is_suspicious:
        return limit
    return limit * (FIRST_PART + (1 - FIRST_PART) * elapsed)


def _drain_seconds(rollout: Rollout) -> float:
    longest = DRAIN_FACTOR * rollout.longest_seconds + SWITCH_SECONDS
    return max(DRAIN_SECONDS, longest)
