"""Logs and metrics."""

from .logs import (
    set_up_logs,
)
from .metrics import (
    Metrics,
    new_metrics,
)

__all__ = (
    'Metrics',
    'new_metrics',
    'set_up_logs',
)
