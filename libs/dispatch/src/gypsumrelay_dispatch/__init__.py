"""Scheduling by the coordinator: placement, admission control, queueing."""

from gypsumrelay_dispatch.crashes import (
    attribution_limits,
    content_of,
    is_completion,
)
from gypsumrelay_dispatch.fair_queueing import (
    fairness_figures,
    is_weighted,
)
from gypsumrelay_dispatch.forecast import (
    expected_output_tokens,
)
from gypsumrelay_dispatch.handover import (
    restore_charges,
    restore_completed,
    restore_crash,
    restore_placement,
    restore_quarantine,
    restore_rate_limit,
    restore_retries,
    restore_sends,
)
from gypsumrelay_dispatch.leaving import (
    Departures,
    is_leaving,
    note_listed,
    state_leaving,
)
from gypsumrelay_dispatch.loads import (
    ActivePlacement,
    Load,
)
from gypsumrelay_dispatch.models import (
    UNMEASURED,
    AccountLimits,
    Decision,
    Ending,
    Grant,
    Phase,
    PlacementRequest,
    Rejection,
    RejectionDetails,
    RolloutCounts,
    ServiceLimits,
    StreamPace,
    Upstream,
)
from gypsumrelay_dispatch.pauses import (
    Pause,
    Pauses,
    drop_ended,
    is_paused,
    start_pause,
)
from gypsumrelay_dispatch.performance_results import (
    limits_in_force,
    restore_performance,
    take_limit_changes,
)
from gypsumrelay_dispatch.queueing import (
    queue_deadline,
)
from gypsumrelay_dispatch.rate_limits import (
    UNLISTED_SECONDS,
)
from gypsumrelay_dispatch.rebalancing import (
    PhaseChange,
    plan_phase_change,
    record_phase_change,
)
from gypsumrelay_dispatch.results import (
    apply_pause,
    apply_rate_limit,
    complete_report,
    end_attempt,
    end_prefill,
    end_rate_limit,
    remove_instance,
)
from gypsumrelay_dispatch.resumptions import (
    end_read,
)
from gypsumrelay_dispatch.retry_budget import (
    retry_count,
)
from gypsumrelay_dispatch.scheduler_state import (
    SchedulerState,
    apply_configuration,
    apply_departure,
    apply_upstreams,
)
from gypsumrelay_dispatch.scheduling import (
    reject_failed,
    request_placement,
    tick,
)
from gypsumrelay_dispatch.stream_starts import (
    AMBIGUOUS,
    drop_oldest,
    merge_starts,
    record_starts,
    restore_starts,
    take_unsaved,
)
from gypsumrelay_dispatch.transfers import (
    TransferChange,
    refresh_slow,
)

__all__ = (
    'AMBIGUOUS',
    'UNLISTED_SECONDS',
    'UNMEASURED',
    'AccountLimits',
    'ActivePlacement',
    'Decision',
    'Departures',
    'Ending',
    'Grant',
    'Load',
    'Pause',
    'Pauses',
    'Phase',
    'PhaseChange',
    'PlacementRequest',
    'Rejection',
    'RejectionDetails',
    'RolloutCounts',
    'SchedulerState',
    'ServiceLimits',
    'StreamPace',
    'TransferChange',
    'Upstream',
    'apply_configuration',
    'apply_departure',
    'apply_pause',
    'apply_rate_limit',
    'apply_upstreams',
    'attribution_limits',
    'complete_report',
    'content_of',
    'drop_ended',
    'drop_oldest',
    'end_attempt',
    'end_prefill',
    'end_rate_limit',
    'end_read',
    'expected_output_tokens',
    'fairness_figures',
    'is_completion',
    'is_leaving',
    'is_paused',
    'is_weighted',
    'limits_in_force',
    'merge_starts',
    'note_listed',
    'plan_phase_change',
    'queue_deadline',
    'record_phase_change',
    'record_starts',
    'refresh_slow',
    'reject_failed',
    'remove_instance',
    'request_placement',
    'restore_charges',
    'restore_completed',
    'restore_crash',
    'restore_performance',
    'restore_placement',
    'restore_quarantine',
    'restore_rate_limit',
    'restore_retries',
    'restore_sends',
    'restore_starts',
    'retry_count',
    'start_pause',
    'state_leaving',
    'take_limit_changes',
    'take_unsaved',
    'tick',
)
