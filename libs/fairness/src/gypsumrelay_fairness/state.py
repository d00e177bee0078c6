"""State of the competition of callers for scarce capacity."""

from __future__ import annotations

import attrs

from gypsumrelay_fairness.outcomes import Outcomes
from gypsumrelay_fairness.retries import Ledger
from gypsumrelay_fairness.shares import Shares


@attrs.define
class RetryCounts:
    """Counts of promised retry times, since the start.

    Attributes:
        promised: Retry times that were promised.
        returned: Rejected callers that returned at their time.
        kept: Those that got a placement then.
        rejected_again: Those that were rejected again.
        unclaimed: Promises whose callers did not return.
    """

    promised: int = 0
    returned: int = 0
    kept: int = 0
    rejected_again: int = 0
    unclaimed: int = 0


@attrs.define
class Fairness:
    """What is known of competing callers.

    Attributes:
        shares: Recent consumption of the client accounts.
        outcomes: How often the requests of each group are served.
        ledger: Promised retry times.
        counts: Counts of promised retry times.
    """

    shares: Shares = attrs.field(factory=Shares)
    outcomes: Outcomes = attrs.field(factory=Outcomes)
    ledger: Ledger = attrs.field(factory=Ledger)
    counts: RetryCounts = attrs.field(factory=RetryCounts)
