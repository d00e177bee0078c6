"""Measured performance of upstreams, and limits on their concurrent work."""

from gypsumrelay_performance.limits import (
    Candidate,
    LimitChange,
    active_curve,
    adjust_limits,
    concurrency_limit,
)
from gypsumrelay_performance.measurements import (
    Performance,
    Summary,
    decode_pace_ms,
    observe_decode,
    observe_prefill,
    observe_service,
    prefill_ms,
    restore_summary,
    service_seconds,
    summarize,
)

__all__ = (
    'Candidate',
    'LimitChange',
    'Performance',
    'Summary',
    'active_curve',
    'adjust_limits',
    'concurrency_limit',
    'decode_pace_ms',
    'observe_decode',
    'observe_prefill',
    'observe_service',
    'prefill_ms',
    'restore_summary',
    'service_seconds',
    'summarize',
)
