"""Gauges of promised retry times and of the shares of client accounts."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from gypsumrelay_dispatch import fairness_figures, is_weighted

if TYPE_CHECKING:
    from gypsumrelay_dispatch import SchedulerState
    from prometheus_client import Gauge

    Observe = Callable[[SchedulerState, float], None]

# Seconds between two updates of the gauges.
UPDATE_SECONDS: Final = 1.0


def fairness_gauges(gauges: Gauge) -> Observe:
    """Return a function that sets the gauges from the coordinator's state.

    Single accounts are shown on the status page only, since the number of label
    values is bounded.
    """
    updated_at = float('-inf')

    def update(scheduler: SchedulerState, now: float) -> None:
        nonlocal updated_at
        if now - updated_at < UPDATE_SECONDS or not is_weighted(scheduler):
            return
        updated_at = now
        figures = fairness_figures(scheduler, now)
        for name, count in figures['retry_times'].items():
            gauges.labels(f'retry_times_{name}').set(count)
        shares = figures['account_shares'].values()
        gauges.labels('accounts_over_rate').set(sum(one > 1 for one in shares))
        gauges.labels('highest_account_share').set(max(shares, default=0))

    return update
