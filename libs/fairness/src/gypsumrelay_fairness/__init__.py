"""Competition for scarce capacity: order, shares of accounts, retry times."""

from gypsumrelay_fairness.order import (
    OrderKey,
    OrderPolicy,
    Waiting,
    is_late,
    is_nearly_late,
    order_key,
    reserves_capacity,
)
from gypsumrelay_fairness.outcomes import (
    Group,
    GroupKind,
    Outcomes,
    groups_of,
    observe_cost,
    observe_outcome,
    starved_kinds,
)
from gypsumrelay_fairness.retries import (
    Ledger,
    Promise,
    Rejected,
    add_promise,
    claim_promise,
    claimed_promise,
    due_promises,
    expire,
    promise_retry,
)
from gypsumrelay_fairness.shares import (
    Shares,
    consume,
    current_shares,
    excess_level,
    share,
)
from gypsumrelay_fairness.state import Fairness, RetryCounts
from gypsumrelay_fairness.urgency import urgency

__all__ = (
    'Fairness',
    'Group',
    'GroupKind',
    'Ledger',
    'OrderKey',
    'OrderPolicy',
    'Outcomes',
    'Promise',
    'Rejected',
    'RetryCounts',
    'Shares',
    'Waiting',
    'add_promise',
    'claim_promise',
    'claimed_promise',
    'consume',
    'current_shares',
    'due_promises',
    'excess_level',
    'expire',
    'groups_of',
    'is_late',
    'is_nearly_late',
    'observe_cost',
    'observe_outcome',
    'order_key',
    'promise_retry',
    'reserves_capacity',
    'share',
    'starved_kinds',
    'urgency',
)
