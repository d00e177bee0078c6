"""Adaptive concurrency limit of an upstream that may be cold.

A cold engine fails under full load, and reports that it is cold late or not
at all. The limit therefore grows by one per completion, and is reset after
several slow completions.
"""

from __future__ import annotations

import math
from typing import Final

from gypsumrelay_upstreams.ramp import ColdRamp, RampSettings

QUARTILE: Final = 0.25


def new_ramp(settings: RampSettings, now: float) -> ColdRamp:
    """Return the ramp of an agent that starts, at the cold limit."""
    return ColdRamp(settings, settings.cold_limit, now)


def restart(ramp: ColdRamp, now: float) -> None:
    """Reset the ramp after the engine restarted or loaded other weights."""
    ramp.baseline = 0
    ramp.warm_count = 0
    _reset_limit(ramp, now)


def is_cold(ramp: ColdRamp) -> bool:
    """Return whether the engine counts as cold by its reports."""
    if not ramp.settings.reports_cold:
        return False
    return ramp.warm_count < ramp.settings.warm_reports


def observe_report(
    ramp: ColdRamp,
    *,
    cold: bool,
    asked_at: float,
    now: float,
) -> None:
    """Process a report of the engine.

    A warm report is ignored if it was requested before the last reset.
    """
    if cold:
        if not is_cold(ramp) or ramp.limit > ramp.settings.cold_limit:
            _reset_limit(ramp, now)
        ramp.warm_count = 0
    elif asked_at >= ramp.reset_at:
        ramp.warm_count = min(
            ramp.warm_count + 1,
            ramp.settings.warm_reports,
        )


def observe_foreign_runs(ramp: ColdRamp, now: float) -> None:
    """Reset the limit because another agent uses the same upstream.

    The limit of the other agent is unknown. The ledger counts the runs of
    the other agent against this agent's limit.
    """
    _reset_limit(ramp, now)


def observe_completion(
    ramp: ColdRamp,
    seconds_per_unit: float,
    started_at: float,
    now: float,
) -> None:
    """Adapt the limit to the duration of a completed request.

    Args:
        ramp: The ramp.
        seconds_per_unit: Time per output token, or per uncached prompt
            token of a prefill.
        started_at: Time at which the request was sent to the engine.
        now: The current time.
    """
    if started_at < ramp.reset_at or not _is_valid(seconds_per_unit):
        return
    if not ramp.baseline:
        ramp.baseline = seconds_per_unit
    ratio = seconds_per_unit / ramp.baseline
    _move_baseline(ramp, seconds_per_unit)
    if ratio > ramp.settings.slow_factor:
        ramp.slow_count += 1
    else:
        ramp.slow_count = 0
    if ramp.slow_count >= ramp.settings.consecutive_slow_limit:
        _reset_limit(ramp, now)
    elif ratio <= ramp.settings.raise_factor and not is_cold(ramp):
        ramp.limit = min(ramp.limit + 1, ramp.settings.slots)


def _reset_limit(ramp: ColdRamp, now: float) -> None:
    ramp.limit = ramp.settings.cold_limit
    ramp.reset_at = now
    ramp.slow_count = 0


def _move_baseline(ramp: ColdRamp, seconds: float) -> None:
    """Move the estimate of the lower quartile by a limited step."""
    step = ramp.settings.baseline_step
    if seconds > ramp.baseline:
        ramp.baseline = min(seconds, ramp.baseline * (1 + step * QUARTILE))
    else:
        lower = ramp.baseline * (1 - step * (1 - QUARTILE))
        ramp.baseline = max(seconds, lower)


def _is_valid(seconds: float) -> bool:
    return math.isfinite(seconds) and seconds > 0
