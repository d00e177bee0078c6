"""Request placement, fair queueing, retry budgets and crash attribution.

An entry accepts the requests of callers and places them on upstreams. The
agent beside each upstream queues the requests and runs them.
"""

from gypsumrelay_routing.attribution import (
    CrashAttribution,
    CrashAttributionSettings,
    CrashRecord,
    Evidence,
    Verdict,
)
from gypsumrelay_routing.baselines import (
    Policy,
    least_outstanding,
    prefix_affinity,
    round_robin,
)
from gypsumrelay_routing.estimates import usable_slots
from gypsumrelay_routing.fairqueue import (
    FairQueue,
    FairQueueSettings,
    QueueSelection,
    Rejected,
)
from gypsumrelay_routing.placement import commit_placement, place_request
from gypsumrelay_routing.priorityclass import QueuedRequest
from gypsumrelay_routing.requests import (
    Placement,
    PlacementRequest,
    PlacementSettings,
)
from gypsumrelay_routing.retries import (
    AttemptState,
    RetryBudget,
    RetryBudgets,
    RetrySettings,
    backoff_seconds,
    hedge_at,
    may_hedge,
    may_retry,
)
from gypsumrelay_routing.subsets import Member, choose_subset
from gypsumrelay_routing.transfers import LinkBudget, LinkSettings, Transfer
from gypsumrelay_routing.views import (
    Pool,
    UpstreamKind,
    UpstreamReport,
    UpstreamView,
    View,
    ViewSettings,
)

__all__ = (
    'AttemptState',
    'CrashAttribution',
    'CrashAttributionSettings',
    'CrashRecord',
    'Evidence',
    'FairQueue',
    'FairQueueSettings',
    'LinkBudget',
    'LinkSettings',
    'Member',
    'Placement',
    'PlacementRequest',
    'PlacementSettings',
    'Policy',
    'Pool',
    'QueueSelection',
    'QueuedRequest',
    'Rejected',
    'RetryBudget',
    'RetryBudgets',
    'RetrySettings',
    'Transfer',
    'UpstreamKind',
    'UpstreamReport',
    'UpstreamView',
    'Verdict',
    'View',
    'ViewSettings',
    'backoff_seconds',
    'choose_subset',
    'commit_placement',
    'hedge_at',
    'least_outstanding',
    'may_hedge',
    'may_retry',
    'place_request',
    'prefix_affinity',
    'round_robin',
    'usable_slots',
)
