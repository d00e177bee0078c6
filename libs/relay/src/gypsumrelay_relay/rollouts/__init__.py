"""Roll-outs: messages to the coordinator, reports and the status record."""

from .history import (
    RolloutHistory,
)
from .messages import (
    ROLLOUT_UPDATES,
    RolloutReported,
    TakeRolloutWork,
    apply_rollout_message,
    bounds_of,
    report_from_wire,
    report_to_wire,
    take_rollout_work,
)

__all__ = (
    'ROLLOUT_UPDATES',
    'RolloutHistory',
    'RolloutReported',
    'TakeRolloutWork',
    'apply_rollout_message',
    'bounds_of',
    'report_from_wire',
    'report_to_wire',
    'take_rollout_work',
)
