"""Gauges of promised retry times and of the shares of client accounts."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from gypsumrelay_dispatch import fairness_figures, is_weighted

if TYPE_CHECKING:
    from gypsumrelay_dispatch import SchedulerState

    from gypsumrelay_relay.metrics import RelayMetrics

    Observe = Callable[[SchedulerState, float], None]

# Seconds between two updates of the gauges.
UPDATE_SECONDS: Final = 1.0


def fairness_gauges(provider: Callable[[], RelayMetrics]) -> Observe:
    """Return a function that sets the gauges from the coordinator's state.

    Single accounts are shown on the status page only, since the number of label
    values is bounded.

    Args:
        provider: Returns the metrics of this relay.
    """
    updated_at = float('-inf')

    def update(scheduler: SchedulerState, now: float) -> None:
        nonlocal updated_at
        if now - updated_at < UPDATE_SECONDS or not is_weighted(scheduler):
            return
        updated_at = now
        figures = fairness_figures(scheduler, now)
        gauges = provider().gauges
        for name, count in figures['retry_times'].items():
            gauges.labels(f'retry_times_{name}').set(count)
        shares = figures['account_shares'].values()
        gauges.labels('accounts_over_rate').set(sum(one > 1 for one in shares))
        gauges.labels('highest_account_share').set(max(shares, default=0))

    return update
