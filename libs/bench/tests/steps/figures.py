"""Steps for the metrics of a benchmark run."""

from __future__ import annotations

import random
from fractions import Fraction
from typing import Any

import attrs
from behave import given, then
from gypsumrelay_bench.counting import (
    Contracted,
    Outcome,
    PerfectCounter,
    Run,
    admitted,
    is_good,
    is_lost,
    refused_with_room,
    wasted_tokens,
    worst_served,
)
from gypsumrelay_bench.scenario import split_statically
from gypsumrelay_bench.workload import Offered
from gypsumrelay_settings import RoutingSettings, SettingsFaults, load

CONTRACT = Contracted(100, 300, 1.5, 0.07)


def outcome(number: int = 0, **changes: Any) -> Outcome:
    served = Outcome(
        str(number), 'a', 0, 1, 10, accepted=True, whole=True, first_seconds=1
    )
    return attrs.evolve(served, **changes)


@given(
    'a perfect counter of {rate:d} tokens per second and a burst of {burst:d}'
)
def new_counter(context: Any, rate: int, burst: int) -> None:
    context.counter = PerfectCounter(rate, burst, burst)


@then('it admits {cost:d} tokens at second {at:g}')
def admits(context: Any, cost: int, at: float) -> None:
    assert context.counter.admit(cost, at)


@then('it rejects {cost:d} tokens at second {at:g}')
def refuses(context: Any, cost: int, at: float) -> None:
    assert not context.counter.admit(cost, at)


@then('{count:d} random offers are admitted as exact fractions admit them')
def random_offers(context: Any, count: int) -> None:
    rng = random.Random(5)
    offers = [
        outcome(number, at=rng.randrange(400) / 8, cost=rng.randrange(1, 300))
        for number in range(count)
    ]
    level, last = Fraction(300), Fraction(0)
    expected = set()
    for one in sorted(offers, key=lambda offer: offer.at):
        at = Fraction(one.at)
        level = min(Fraction(300), level + 100 * (at - last))
        last = at
        if one.cost <= level:
            level -= one.cost
            expected.add(one.request_id)
    assert admitted(offers, {'a': CONTRACT}) == expected
    assert 0 < len(expected) < count


@given('targets of {first:g} seconds and {gap:d} milliseconds')
def new_targets(context: Any, first: float, gap: int) -> None:
    context.contract = Contracted(1, 1, first, gap / 1000)


@then(
    'an answer with first token after {first:g} s, {slow:d} of 20 gaps at '
    '90 ms and end {whole:w} is {verdict:w}'
)
def judge(
    context: Any, first: float, slow: int, whole: str, verdict: str
) -> None:
    gaps = (0.09,) * slow + (0.05,) * (20 - slow)
    one = outcome(first_seconds=first, gaps=gaps, whole=whole == 'yes')
    assert is_good(one, context.contract) == (verdict == 'good')


@then(
    'a prefill of {prompt:d} with {cached:d} cached tokens wastes '
    '{wasted:d} when {whose}'
)
def waste(
    context: Any, prompt: int, cached: int, wasted: int, whose: str
) -> None:
    names = {'another attempt decoded': 'r.2'}
    tokens = 0 if 'no token' in whose else 3
    runs = [
        Run('r.1', 'prefill', prompt, cached, 0),
        Run(names.get(whose, 'r.1'), 'decode', prompt, 0, tokens),
    ]
    assert wasted_tokens(runs) == wasted


@given(
    'accounts that got {one:d} of 10 and {other:d} of 10 requests served well'
)
def served_accounts(context: Any, one: int, other: int) -> None:
    context.outcomes = [
        outcome(number, account=account, whole=number < good)
        for account, good in (('a', one), ('b', other))
        for number in range(10)
    ]


@then('the worst served is at {share:g} of the mean')
def worst(context: Any, share: float) -> None:
    contracts = {'a': CONTRACT, 'b': CONTRACT}
    found = worst_served(context.outcomes, contracts, {'a', 'b'})
    assert round(found, 3) == share, found


@given('{slots:d} slots of which {gone:d} are gone from second {at:d} on')
def slots(context: Any, slots: int, gone: int, at: int) -> None:
    context.slots = [(0, slots), (at, slots - gone)]


def counted(context: Any, at: float, busy: int, inside: set[str]) -> int:
    outcomes = [outcome(number, ended_at=100) for number in range(busy)]
    refused = outcome(
        99, at=at, ended_at=at, accepted=False, whole=False, code='overloaded'
    )
    found = refused_with_room([*outcomes, refused], inside, context.slots)
    return len(found)


@then('a rejection at second {at:d} beside {busy:d} open requests counts')
def counts(context: Any, at: int, busy: int) -> None:
    assert counted(context, at, busy, {'99'}) == 1


@then(
    'a rejection at second {at:d} beside {busy:d} open requests does not count'
)
def does_not_count(context: Any, at: int, busy: int) -> None:
    assert counted(context, at, busy, {'99'}) == 0


@then('a rejection at second 1 of a request over the rate does not count')
def over_rate(context: Any) -> None:
    assert counted(context, 1, 0, set()) == 0


@then('a truncated response is lost')
def broken(context: Any) -> None:
    assert is_lost(outcome(whole=False))


@then('a truncated response whose caller cancelled is not lost')
def given_up(context: Any) -> None:
    assert not is_lost(outcome(whole=False, cancel=True))


@then('a rejected request is not lost')
def refused(context: Any) -> None:
    assert not is_lost(outcome(whole=False, accepted=False))


@given('{entries:d} entries that share a burst of {burst:d} tokens statically')
def split(context: Any, entries: int, burst: int) -> None:
    context.entries = entries
    context.contracts = {'a': Contracted(0, burst, 1, 1)}


@then('requests of 400 tokens at entries 0, 0, 1 have rejections: {number:d}')
def split_refuses(context: Any, number: int) -> None:
    load = [
        Offered(str(place), 'a', place, entry, 'w ' * 390, 10)
        for place, entry in enumerate((0, 0, 1))
    ]
    refused = split_statically(load, context.contracts, context.entries)
    assert refused == {str(number)}


@then('the policy "{known}" is valid and "{unknown}" is not')
def policies(context: Any, known: str, unknown: str) -> None:
    assert load({'policy': known}, RoutingSettings) == RoutingSettings(known)
    found = load({'policy': unknown}, RoutingSettings)
    assert isinstance(found, SettingsFaults)
    assert [fault.path for fault in found.faults] == ['$.policy']
