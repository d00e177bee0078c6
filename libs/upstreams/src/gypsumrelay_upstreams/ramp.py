"""State and settings of the adaptive concurrency limit."""

from __future__ import annotations

import attrs


@attrs.frozen
class RampSettings:
    """Bounds and thresholds of the cold-start ramp.

    Attributes:
        slots: Maximum number of concurrent runs of a warm engine.
        cold_limit: Maximum number of concurrent runs of a cold engine.
        slow_factor: Multiple of the baseline above which a completion
            counts as slow. A full batch takes about twice the time of a
            single request, which must not count as slow.
        raise_factor: Multiple of the baseline up to which a completion
            raises the limit. Between the two factors, the limit does not
            change.
        consecutive_slow_limit: Consecutive slow completions that reset the
            limit, so that a single outlier has no effect.
        warm_reports: Consecutive reports without `cold` after which the
            engine counts as warm, since its reports are delayed.
        reports_cold: Whether the upstream reports when it is cold. If it
            does not, only completions raise the limit.
        baseline_step: Scale of the relative change of the baseline by one
            completion, 5 % by default. Steps down are up to three times as
            large as steps up, which makes the baseline converge to the lower
            quartile. An outlier changes it no more than other completions.
    """

    slots: int = 20
    cold_limit: int = 1
    slow_factor: float = 3
    raise_factor: float = 2.2
    consecutive_slow_limit: int = 3
    warm_reports: int = 2
    reports_cold: bool = True
    baseline_step: float = 0.05


@attrs.define
class ColdRamp:
    """State of the cold-start ramp.

    Attributes:
        settings: Bounds and thresholds.
        limit: Current concurrency limit.
        reset_at: Time of the last reset of the limit. Completions of requests
            that were started earlier are ignored.
        warm_count: Consecutive reports without `cold`.
        slow_count: Consecutive slow completions.
        baseline: Seconds per unit of work of a fast completion, 0 if
            unknown.
    """

    settings: RampSettings
    limit: int
    reset_at: float
    warm_count: int = 0
    slow_count: int = 0
    baseline: float = 0
