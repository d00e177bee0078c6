"""Scheduling by the coordinator: placement, admission control, queueing."""

from gypsumrelay_dispatch.forecast import (
    expected_output,
)
from gypsumrelay_dispatch.loads import (
    ActivePlacement,
    Load,
)
from gypsumrelay_dispatch.models import (
    AccountRules,
    Decision,
    Ending,
    Grant,
    Phase,
    PlacementRequest,
    Rejection,
    RejectionDetails,
    ServiceRules,
    Upstream,
)
from gypsumrelay_dispatch.queueing import (
    latest_place,
)
from gypsumrelay_dispatch.rebalancing import (
    PhaseChange,
    note_change,
    plan,
)
from gypsumrelay_dispatch.retry_budget import (
    repeats_of,
)
from gypsumrelay_dispatch.scheduler_state import (
    SchedulerState,
    set_rules,
    set_upstreams,
)
from gypsumrelay_dispatch.scheduling import (
    ask,
    end,
    end_prefill,
    forget_entry,
    hold,
    hold_repeats,
    reject,
    take_introduction,
    tick,
)

__all__ = (
    'AccountRules',
    'ActivePlacement',
    'Decision',
    'Ending',
    'Grant',
    'Load',
    'Phase',
    'PhaseChange',
    'PlacementRequest',
    'Rejection',
    'RejectionDetails',
    'SchedulerState',
    'ServiceRules',
    'Upstream',
    'ask',
    'end',
    'end_prefill',
    'expected_output',
    'forget_entry',
    'hold',
    'hold_repeats',
    'latest_place',
    'note_change',
    'plan',
    'reject',
    'repeats_of',
    'set_rules',
    'set_upstreams',
    'take_introduction',
    'tick',
)
