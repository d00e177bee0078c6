"""History of granted retries, which is reported to a new coordinator."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

import attrs
from gypsumrelay_dispatch import retry_count

if TYPE_CHECKING:
    from gypsumrelay_relay.placement import Placement


@attrs.frozen
class GrantedRetry:
    """Retries that a coordinator granted for one attempt.

    Attributes:
        granted_at: Instant of the grant.
        coordinator: Name of the coordinator that counts them.
        service: The service that they were granted to.
        count: Number of retries.
        total: Retries of all relays that the coordinator counted then.
    """

    granted_at: float
    coordinator: str
    service: str
    count: int
    total: int = 0


@attrs.frozen
class RetryReport:
    """Retries of a service that a new coordinator is told of.

    Attributes:
        service: The service.
        count: Retries that this relay was granted.
        total: Retries of all relays, as far as this relay knows.
    """

    service: str
    count: int
    total: int


@attrs.define
class RetryHistory:
    """Retries that were granted recently.

    Attributes:
        grants: The grants, the newest last.
    """

    grants: deque[GrantedRetry] = attrs.field(factory=deque)


def record_retry(
    history: RetryHistory,
    placement: Placement,
    coordinator: str,
    now: float,
) -> None:
    """Record the placement of a second or later attempt."""
    request = placement.request
    if request.attempt > 1:
        granted = GrantedRetry(
            now,
            coordinator,
            request.service,
            retry_count(request),
            placement.retries_used,
        )
        history.grants.append(granted)


def transfer_retries(
    history: RetryHistory,
    coordinator: str,
    window_seconds: float,
    now: float,
) -> list[RetryReport]:
    """Return the retries that other coordinators granted.

    The named coordinator counts them from now on. Grants from before the window
    are dropped.
    """
    start = now - window_seconds
    while history.grants and history.grants[0].granted_at < start:
        history.grants.popleft()
    counts: Counter[str] = Counter()
    totals: dict[str, int] = {}
    for granted in history.grants:
        if granted.coordinator != coordinator:
            service = granted.service
            counts[service] += granted.count
            totals[service] = max(totals.get(service, 0), granted.total)
    history.grants = deque(
        attrs.evolve(grant, coordinator=coordinator) for grant in history.grants
    )
    return [
        RetryReport(service, count, totals[service])
        for service, count in counts.items()
    ]
