"""Logs and metrics."""

from .logs import (
    set_up_logs,
)
from .metrics import (
    Metrics,
    new_metrics,
)
from .output import (
    Output,
    set_up_output,
)

__all__ = (
    'Metrics',
    'Output',
    'new_metrics',
    'set_up_logs',
    'set_up_output',
)
