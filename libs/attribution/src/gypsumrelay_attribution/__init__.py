"""Attribution of upstream crashes to contents and parts of prompts."""

from gypsumrelay_attribution.admission import (
    Admission,
    admit,
    start_trial,
)
from gypsumrelay_attribution.causes import Cause
from gypsumrelay_attribution.history import (
    AttributionLimits,
    Content,
    Crash,
    CrashHistory,
    completions_of_suspects,
    merge_crash,
    record_completion,
    refresh_causes,
    restore_completion,
    restore_rejection,
    take_changed,
)
from gypsumrelay_attribution.losses import (
    Loss,
    PendingLosses,
    confirm_alive,
    confirm_crash,
    record_crash,
    record_loss,
)

__all__ = (
    'Admission',
    'AttributionLimits',
    'Cause',
    'Content',
    'Crash',
    'CrashHistory',
    'Loss',
    'PendingLosses',
    'admit',
    'completions_of_suspects',
    'confirm_alive',
    'confirm_crash',
    'merge_crash',
    'record_completion',
    'record_crash',
    'record_loss',
    'refresh_causes',
    'restore_completion',
    'restore_rejection',
    'start_trial',
    'take_changed',
)
