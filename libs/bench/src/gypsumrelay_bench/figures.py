"""The figures of one run, and their spread over several."""

from __future__ import annotations

import math
import statistics
from collections import Counter
from typing import TYPE_CHECKING, Final

from gypsumrelay_bench.counting import (
    Outcome,
    admitted,
    in_rate_accounts,
    is_good,
    is_lost,
    quantile,
    refused_with_room,
    wasted_tokens,
    worst_served,
)

if TYPE_CHECKING:
    from gypsumrelay_bench.scenario import Plan, Result

Figures = dict[str, float]

TITLES: Final = {
    'goodput': 'goodput/s',
    'completed': 'completed/s',
    'first_p95': 'first token p95 s',
    'gap_p95': 'between tokens p95 ms',
    'wasted': 'wasted prefill tokens',
    'prefilled': 'prefilled tokens',
    'worst': 'worst in-rate / mean',
    'refused': 'in-rate refused',
    'refused_room': 'of these with capacity',
    'lost': 'lost',
    'lost_out': 'lost, zone out',
    'out_rate': 'completed/s, zone out',
    'late_p99': 'sent late p99 ms',
}


def figures(result: Result) -> Figures:
    """Return the figures of one run."""
    plan = result.plan
    outcomes = result.outcomes
    inside = admitted(outcomes, result.contracts)
    accounts = in_rate_accounts(outcomes, inside)
    own = {one.request_id for one in outcomes if one.account in accounts}
    kept = [one for one in outcomes if not one.cancel]
    served = [one for one in kept if one.whole]
    out = [one for one in outcomes if _was_open_in_outage(one, plan)]
    late = [one.late_seconds for one in outcomes]
    gaps = [gap for one in served for gap in one.gaps]
    good = sum(is_good(one, result.contracts[one.account]) for one in kept)
    arrived_out = [one for one in served if _arrived_in_outage(one, plan)]
    refused = [
        one
        for one in kept
        if one.code and not one.accepted and one.request_id in inside & own
    ]
    with_room = refused_with_room(kept, inside & own, result.slots)
    return {
        'goodput': good / plan.seconds,
        'completed': len(served) / plan.seconds,
        'first_p95': quantile([one.first_seconds for one in served], 0.95),
        'gap_p95': quantile(gaps, 0.95) * 1000,
        'wasted': wasted_tokens(result.runs),
        'prefilled': sum(
            run.prompt_tokens - run.cached_tokens
            for run in result.runs
            if run.kind == 'prefill'
        ),
        'worst': worst_served(kept, result.contracts, accounts),
        'refused': len(refused),
        'refused_room': len(with_room),
        'lost': sum(map(is_lost, outcomes)),
        'lost_out': sum(map(is_lost, out)),
        'out_rate': len(arrived_out) / (plan.zone_back_at - plan.zone_out_at),
        'late_p99': quantile(late, 0.99) * 1000,
    }


def codes(result: Result) -> Counter[str]:
    """Return how often each code of failure came."""
    return Counter(
        one.code for one in result.outcomes if one.code and not one.cancel
    )


def spread(numbers: list[float]) -> tuple[float, float, float]:
    """Return mean, smallest and largest."""
    if not numbers:
        return (math.nan, math.nan, math.nan)
    return (statistics.mean(numbers), min(numbers), max(numbers))


def _was_open_in_outage(one: Outcome, plan: Plan) -> bool:
    return one.at < plan.zone_back_at and one.ended_at >= plan.zone_out_at


def _arrived_in_outage(one: Outcome, plan: Plan) -> bool:
    return plan.zone_out_at <= one.at < plan.zone_back_at
