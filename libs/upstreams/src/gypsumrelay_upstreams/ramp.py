"""State and settings of the concurrency limit."""

from __future__ import annotations

import attrs


@attrs.frozen
class RampSettings:
    """Bounds and thresholds of the ramp.

    Attributes:
        slots: Requests that a warm engine runs at once.
        cold_limit: Requests that a cold engine can handle.
        slow_factor: Multiple of the baseline at which a completion is
            slow. A full batch takes about twice the time of a single
            request, which must not count as slow.
        calm_factor: Multiple of the baseline up to which a completion
            raises the limit; between the two factors the limit stays.
        slow_in_row: Slow completions after which the limit falls, so that
            a single outlier changes nothing.
        warm_reports: Reports without `cold` after which the engine counts
            as warm, since its reports come with a lag.
        reports_cold: Whether the upstream says when it is cold; where it
            does not, completions alone raise the limit.
        baseline_step: Largest relative change of the baseline by one
            completion. One step of 5 % up per four down makes the baseline
            the lower quartile; outliers move it no further than others.
    """

    slots: int = 20
    cold_limit: int = 1
    slow_factor: float = 3
    calm_factor: float = 2.2
    slow_in_row: int = 3
    warm_reports: int = 2
    reports_cold: bool = True
    baseline_step: float = 0.05


@attrs.define
class ColdRamp:
    """State of the ramp.

    Attributes:
        limit: Requests that may run at once now.
        fell_at: Completions of requests started before this instant say
            nothing of the engine as it is now.
        warm_count: Reports in a row without `cold`.
        slow_count: Slow completions in a row.
        baseline: Time per unit of work of a fast completion, or 0 where
            none is known.
    """

    settings: RampSettings
    limit: int
    fell_at: float
    warm_count: int = 0
    slow_count: int = 0
    baseline: float = 0
