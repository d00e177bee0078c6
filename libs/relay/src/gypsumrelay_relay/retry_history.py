"""History of granted retries, which is reported to a new coordinator."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

import attrs
from gypsumrelay_dispatch import retry_count

if TYPE_CHECKING:
    from gypsumrelay_dispatch import PlacementRequest


@attrs.frozen
class GrantedRetry:
    """Retries that a coordinator granted for one attempt.

    Attributes:
        granted_at: Instant of the grant.
        coordinator: Name of the coordinator that counts them.
        service: The service that they were granted to.
        count: Number of retries.
    """

    granted_at: float
    coordinator: str
    service: str
    count: int


@attrs.define
class RetryHistory:
    """Retries that were granted recently.

    Attributes:
        grants: The grants, the newest last.
    """

    grants: deque[GrantedRetry] = attrs.field(factory=deque)


def record_retry(
    history: RetryHistory,
    request: PlacementRequest,
    coordinator: str,
    now: float,
) -> None:
    """Record the placement of a second or later attempt."""
    if request.attempt > 1:
        count = retry_count(request)
        history.grants.append(
            GrantedRetry(now, coordinator, request.service, count)
        )


def transfer_retries(
    history: RetryHistory,
    coordinator: str,
    window_seconds: float,
    now: float,
) -> Counter[str]:
    """Return the retries that other coordinators granted, by service.

    The named coordinator counts them from now on. Grants from before the window
    are dropped.
    """
    start = now - window_seconds
    while history.grants and history.grants[0].granted_at < start:
        history.grants.popleft()
    counts: Counter[str] = Counter()
    for granted in history.grants:
        if granted.coordinator != coordinator:
            counts[granted.service] += granted.count
    history.grants = deque(
        attrs.evolve(grant, coordinator=coordinator) for grant in history.grants
    )
    return counts
