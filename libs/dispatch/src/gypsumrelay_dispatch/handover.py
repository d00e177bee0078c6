"""What a new coordinator is told of the decisions of earlier ones."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from gypsumrelay_attribution import (
    Crash,
    merge_crash,
    restore_completion,
    restore_rejection,
)

from gypsumrelay_dispatch import accounts, rate_limits, retry_budget
from gypsumrelay_dispatch.loads import ActivePlacement, drop_old_sends
from gypsumrelay_dispatch.scheduler_state import (
    SchedulerState,
    add_placement,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


def restore_placement(
    scheduler: SchedulerState, placement: ActivePlacement
) -> None:
    """Restore a placement that a previous coordinator granted."""
    placement.is_restored = True
    add_placement(scheduler, placement)


def restore_retries(
    scheduler: SchedulerState,
    service: str,
    own: int,
    total: int,
    now: float,
) -> None:
    """Count retries that a previous coordinator granted, as of now.

    Args:
        scheduler: The coordinator's state.
        service: Service that the retries were granted to.
        own: Retries that the reporting instance was granted.
        total: Retries of all instances, as far as that instance knows.
        now: The present instant.
    """
    expires_at = now + scheduler.settings.repeat_window_seconds
    retry_budget.restore_retries(
        scheduler.retry_budget(service), own, total, expires_at, now
    )


def restore_sends(
    scheduler: SchedulerState,
    upstream: str,
    sent_at: Iterable[float],
    now: float,
) -> None:
    """Count sends to an upstream that a previous coordinator granted."""
    load = scheduler.loads.get(upstream)
    if load is not None:
        load.send_times = deque(sorted((*load.send_times, *sent_at)))
        drop_old_sends(load, now)


def restore_charges(
    scheduler: SchedulerState,
    client_account: str,
    charges: Mapping[float, int],
    now: float,
) -> None:
    """Charge an account for what a previous coordinator admitted.

    Args:
        scheduler: The coordinator's state.
        client_account: The account.
        charges: Charged tokens, by instant.
        now: The present instant.
    """
    accounts.restore_charges(scheduler.accounts, client_account, charges, now)


def restore_quarantine(
    scheduler: SchedulerState, digest: bytes, since: float, now: float
) -> None:
    """Reject a content that a previous coordinator rejected for its crashes.

    Args:
        scheduler: The coordinator's state.
        digest: Digest of the content.
        since: Instant of its first rejection.
        now: The present instant.
    """
    expires_at = since + scheduler.settings.blame_seconds
    if expires_at > now:
        restore_rejection(scheduler.crash_history, digest, expires_at)


def restore_crash(scheduler: SchedulerState, crash: Crash) -> None:
    """Count a crash that an instance knows of."""
    merge_crash(scheduler.crash_history, crash)


def restore_completed(
    scheduler: SchedulerState, subject: bytes, started_at: float
) -> None:
    """Record the completion of a request with a content or part.

    Args:
        scheduler: The coordinator's state.
        subject: Digest of the content or part.
        started_at: Instant at which the completed run started.
    """
    restore_completion(scheduler.crash_history, subject, started_at)


def restore_rate_limit(
    scheduler: SchedulerState, upstream: str, per_second: float, now: float
) -> None:
    """Apply a rate limit that an instance learned before."""
    rate_limits.restore_limit(scheduler.rate_limits, upstream, per_second, now)
