"""Roll-outs of software versions: orders, evidence, exposure, decisions."""

from gypsumrelay_rollouts.decision import (
    advance,
    count_grant,
    is_due,
    wants_new,
)
from gypsumrelay_rollouts.evidence import (
    Answer,
    Comparison,
    Evidence,
    compare,
    find_bad,
    observe,
    summarize,
    suspects,
)
from gypsumrelay_rollouts.exposure import Bounds, Exposure, allowance
from gypsumrelay_rollouts.orders import Order, State, Status
from gypsumrelay_rollouts.progress import advance_all, apply_orders
from gypsumrelay_rollouts.rollout import (
    Change,
    Rollout,
    Situation,
    Stage,
    status_of,
)
from gypsumrelay_rollouts.schedule import complete_at, drain_at, raise_at
from gypsumrelay_rollouts.significance import find_doubt
from gypsumrelay_rollouts.state import (
    Report,
    Rollouts,
    apply_report,
    mark_written,
    may_place,
    may_use,
    running_rollout,
    set_leading,
    unwritten_statuses,
)
from gypsumrelay_rollouts.statuses import apply_statuses
from gypsumrelay_rollouts.totals import Totals
from gypsumrelay_rollouts.versions import apply_versions

__all__ = (
    'Answer',
    'Bounds',
    'Change',
    'Comparison',
    'Evidence',
    'Exposure',
    'Order',
    'Report',
    'Rollout',
    'Rollouts',
    'Situation',
    'Stage',
    'State',
    'Status',
    'Totals',
    'advance',
    'advance_all',
    'allowance',
    'apply_orders',
    'apply_report',
    'apply_statuses',
    'apply_versions',
    'compare',
    'complete_at',
    'count_grant',
    'drain_at',
    'find_bad',
    'find_doubt',
    'is_due',
    'mark_written',
    'may_place',
    'may_use',
    'observe',
    'raise_at',
    'running_rollout',
    'set_leading',
    'status_of',
    'summarize',
    'suspects',
    'unwritten_statuses',
    'wants_new',
)
