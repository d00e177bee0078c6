"""Placement, admission, fairness and retries."""

from gypsumrelay_routing.bands import Waiting
from gypsumrelay_routing.baselines import (
    Policy,
    least_outstanding,
    prefix_affinity,
    round_robin,
)
from gypsumrelay_routing.fairqueue import (
    FairQueue,
    FairQueueSettings,
    Rejected,
    Turn,
)
from gypsumrelay_routing.placement import commit, place
from gypsumrelay_routing.requests import (
    Placement,
    PlacementRequest,
    PlacementSettings,
)
from gypsumrelay_routing.subsets import Member, subset
from gypsumrelay_routing.transfers import LinkBudget, LinkSettings, Transfer
from gypsumrelay_routing.views import (
    Kind,
    UpstreamReport,
    UpstreamView,
    View,
    ViewSettings,
)

__all__ = (
    'FairQueue',
    'FairQueueSettings',
    'Kind',
    'LinkBudget',
    'LinkSettings',
    'Member',
    'Placement',
    'PlacementRequest',
    'PlacementSettings',
    'Policy',
    'Rejected',
    'Transfer',
    'Turn',
    'UpstreamReport',
    'UpstreamView',
    'View',
    'ViewSettings',
    'Waiting',
    'commit',
    'least_outstanding',
    'place',
    'prefix_affinity',
    'round_robin',
    'subset',
)
