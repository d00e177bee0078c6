"""Bound of the requests that a version on trial may get."""

from __future__ import annotations

from typing import Final

import attrs

# Part of the bound that one coordinator uses. Two of them can exist for a
# while, and each counts only what it grants.
BOUND_PART: Final = 0.5
# The same while the evidence is doubtful, so that it is settled sooner.
DOUBT_PART: Final = 0.75


@attrs.frozen
class Bounds:
    """Bounds of all roll-outs of a deployment.

    Attributes:
        share: Maximum share of a service's requests that a bad version gets.
        slack: Requests that it may get in addition.
        enabled: Whether roll-outs are in force.
        rollback_seconds: Time after its 50th bad answer from which a bad
            version gets no request.
    """

    share: float = 0.1
    slack: float = 0
    enabled: bool = False
    rollback_seconds: float = 5


@attrs.define
class Exposure:
    """Requests since the order.

    Attributes:
        requests: Requests of the service.
        sent: Sends to the new version; a request with a separate prefill has
            two.
        is_partial: Whether sends before a restart of all instances may be
            missing. These were within the slack and the share of the requests
            that are missing as well.
    """

    requests: int = 0
    sent: int = 0
    is_partial: bool = False


def allowance(
    exposure: Exposure, bounds: Bounds, *, in_doubt: bool = False
) -> float:
    """Return how many more sends the new version may get now."""
    part = DOUBT_PART if in_doubt else BOUND_PART
    return part * total_allowance(exposure, bounds) - exposure.sent


def total_allowance(
    exposure: Exposure, bounds: Bounds, coming: float = 0
) -> float:
    """Return the bound of all sends to the new version.

    Args:
        exposure: Requests since the order.
        bounds: Bounds of the roll-out.
        coming: Requests that are expected until the deadline.
    """
    slack = 0 if exposure.is_partial else bounds.slack
    return bounds.share * (exposure.requests + coming) + slack


def restore_exposure(exposure: Exposure, requests: int, sent: int) -> None:
    """Count what an instance knows of the time before this coordinator."""
    exposure.requests = max(exposure.requests, requests)
    exposure.sent = max(exposure.sent, sent)
