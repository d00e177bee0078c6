"""Recent use of limits by this relay, reported to a new coordinator."""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_dispatch import retry_count

from gypsumrelay_relay.rollouts import RolloutHistory

if TYPE_CHECKING:
    from gypsumrelay_settings import DispatchSettings

    from gypsumrelay_relay.placement import Placement

# Seconds for which use is kept at least.
WINDOW_SECONDS: Final = 10.0
# Seconds for which sends are reported: the window of the cold limit.
SENDS_SECONDS: Final = 1.0
# Interval in seconds over which the tokens of an account are added up.
INTERVAL_SECONDS: Final = 0.2


@attrs.frozen
class Use:
    """Use of limits by one placement.

    Attributes:
        at: Instant of the grant.
        upstreams: Names of the upstreams that got a send.
        client_account: The account that was charged; empty for none.
        tokens: Tokens that it was charged.
        service: The service that the request was for.
        retries: Retries that the attempt counts as; 0 for a first one.
        total_retries: Retries of the service that the coordinator counted.
        counted_by: Coordinators that count this use, by name and incarnation.
    """

    at: float
    upstreams: tuple[str, ...]
    client_account: str
    tokens: int
    service: str
    retries: int
    total_retries: int
    counted_by: frozenset[str]


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
class UsageHistory:
    """Recent use of limits, the newest last, and of versions on trial."""

    uses: deque[Use] = attrs.field(factory=deque)
    rollouts: RolloutHistory = attrs.field(factory=RolloutHistory)


def record_use(
    history: UsageHistory, placement: Placement, coordinator: str, now: float
) -> None:
    """Record a placement that a coordinator granted."""
    request = placement.request
    is_first = request.attempt == 1
    use = Use(
        now,
        placement.upstreams,
        request.client_account if is_first else '',
        request.cost_tokens if is_first else 0,
        request.service,
        0 if is_first else retry_count(request),
        placement.retries_used,
        frozenset((coordinator,)),
    )
    history.uses.append(use)
    history.rollouts.record_grant(placement, coordinator)


def drop_old_uses(
    history: UsageHistory, settings: DispatchSettings, now: float
) -> None:
    """Drop the use from before the windows of all limits."""
    seconds = max(WINDOW_SECONDS, settings.repeat_window_seconds)
    while history.uses and history.uses[0].at < now - seconds:
        history.uses.popleft()


def transfer_uses(history: UsageHistory, coordinator: str) -> list[Use]:
    """Return the use that a coordinator does not count yet.

    It counts this use from now on.

    Args:
        history: The recent use.
        coordinator: Name and incarnation of the coordinator; one that was
            restarted counts nothing yet.
    """
    uncounted = [
        use for use in history.uses if coordinator not in use.counted_by
    ]
    history.uses = deque(
        attrs.evolve(use, counted_by=use.counted_by | {coordinator})
        for use in history.uses
    )
    return uncounted


def sends_by_upstream(
    uses: list[Use], now: float
) -> dict[str, tuple[float, ...]]:
    """Return the instants of the sends in the last second, by upstream."""
    sends: dict[str, list[float]] = defaultdict(list)
    for use in uses:
        if use.at > now - SENDS_SECONDS:
            for name in use.upstreams:
                sends[name].append(use.at)
    return {upstream: tuple(times) for upstream, times in sends.items()}


def tokens_by_account(uses: list[Use]) -> dict[str, dict[float, int]]:
    """Return the charged tokens by account and instant.

    The instant is the end of an interval, so that use counts as no older than
    it is.
    """
    tokens: dict[str, Counter[float]] = defaultdict(Counter)
    for use in uses:
        if use.client_account and use.tokens:
            interval = use.at // INTERVAL_SECONDS + 1
            end = interval * INTERVAL_SECONDS
            tokens[use.client_account][end] += use.tokens
    return {name: dict(charged) for name, charged in tokens.items()}


def retries_by_service(
    uses: list[Use], settings: DispatchSettings, now: float
) -> list[RetryReport]:
    """Return the retries within the window of the retry budget."""
    counts: Counter[str] = Counter()
    totals: dict[str, int] = {}
    for use in uses:
        if use.retries and use.at >= now - settings.repeat_window_seconds:
            counts[use.service] += use.retries
            highest = max(totals.get(use.service, 0), use.total_retries)
            totals[use.service] = highest
    return [
        RetryReport(service, count, totals[service])
        for service, count in counts.items()
    ]
