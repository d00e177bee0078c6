"""Decisions of the coordinator: places at upstreams, limits, order."""

from gypsumrelay_dispatch.board import (
    Board,
    set_rules,
    set_upstreams,
)
from gypsumrelay_dispatch.coordinating import (
    ask,
    end,
    end_prefill,
    forget_entry,
    hold,
    tick,
)
from gypsumrelay_dispatch.forecast import (
    expected_output,
)
from gypsumrelay_dispatch.loads import (
    Load,
    Place,
)
from gypsumrelay_dispatch.models import (
    AccountRules,
    Action,
    Ending,
    Granted,
    Need,
    Phase,
    Refused,
    ServiceRules,
    Upstream,
)

__all__ = (
    'AccountRules',
    'Action',
    'Board',
    'Ending',
    'Granted',
    'Load',
    'Need',
    'Phase',
    'Place',
    'Refused',
    'ServiceRules',
    'Upstream',
    'ask',
    'end',
    'end_prefill',
    'expected_output',
    'forget_entry',
    'hold',
    'set_rules',
    'set_upstreams',
    'tick',
)
