"""Steps for the fit, the budget and the scaled costs."""

from __future__ import annotations

import math
import random
from collections import defaultdict
from typing import Any

from behave import given, then
from gypsumrelay_bench import (
    capacity_memory,
    capacity_scale,
    capacity_sketch,
    capacity_wire,
)
from gypsumrelay_bench.capacity_budget import Cost, Unit, judge, sum_costs
from gypsumrelay_bench.capacity_fit import fit_line, merge_named

VERDICTS = {None: 'no budget', True: 'pass', False: 'fail'}


def cost_of(role: str, unit: Unit, amount: float) -> Cost:
    """Return a cost with no text."""
    return Cost(role, 'sample', unit, amount, 'computed', '')


def slopes_of(value: float) -> Any:
    """Return slopes that are all the same."""
    return defaultdict(lambda: value)


def find(costs: tuple[Cost, ...], role: str, name: str, unit: Unit) -> float:
    """Return the amount of the one cost of a role with a name and unit."""
    found = [
        cost.amount
        for cost in costs
        if (cost.role, cost.name, cost.unit) == (role, name, unit)
    ]
    assert len(found) == 1, found
    return found[0]


@given('measured points of 3 bytes for each unit and 40 bytes at first')
def exact_points(context: Any) -> None:
    sizes = (10, 20, 50, 90)
    context.fit = fit_line(sizes, [40 + 3 * size for size in sizes])


@given('the measured points {points}')
def given_points(context: Any, points: str) -> None:
    pairs = [point.split(':') for point in points.split(', ')]
    sizes = [float(size) for size, _ in pairs]
    context.fit = fit_line(sizes, [float(value) for _, value in pairs])


@then(
    'the slope is {slope:g}, the intercept is {intercept:g}'
    ' and the residual is {residual:g}',
)
def check_fit(
    context: Any,
    slope: float,
    intercept: float,
    residual: float,
) -> None:
    fit = context.fit
    assert math.isclose(fit.slope, slope, rel_tol=1e-9), fit
    assert math.isclose(fit.intercept, intercept, abs_tol=1e-9), fit
    assert math.isclose(fit.residual, residual, abs_tol=1e-4), fit


@then('the line predicts {value:g} at size {size:g}')
def check_prediction(context: Any, value: float, size: float) -> None:
    assert math.isclose(context.fit.at_size(size), value)


def is_refused(sizes: tuple[int, ...], values: tuple[int, ...]) -> bool:
    """Return whether the fit refuses the points."""
    try:
        fit_line(sizes, values)
    except ValueError:
        return True
    return False


@then('a line through the sizes 5 and 5 is refused')
def check_one_size(context: Any) -> None:
    assert is_refused((5, 5), (1, 2))
    assert not is_refused((5, 6), (1, 2))


@then('a line through two sizes and one value is refused')
def check_lengths(context: Any) -> None:
    assert is_refused((5, 6), (1,))


@then('the bytes on the wire never stand for the bytes in memory')
def check_names(context: Any) -> None:
    sizes = capacity_wire.message_bytes()
    memory: dict[str, float] = dict.fromkeys(capacity_memory.BUILDERS, 1)
    assert len(merge_named(memory, sizes)) == len(memory) + len(sizes)
    try:
        merge_named(memory, {'claim': 2})
    except ValueError:
        return
    raise AssertionError('two figures of one name were merged')


@then('{amount:g} of {unit} is judged {verdict}')
def check_verdict(
    context: Any,
    amount: float,
    unit: str,
    verdict: str,
) -> None:
    judged = judge(cost_of('entry', Unit[unit], amount))
    assert VERDICTS[judged.passed] == verdict, judged


@given('three costs of 1100 bytes per second of one role')
def three_costs(context: Any) -> None:
    context.costs = [cost_of('entry', Unit.network, 1100) for _ in range(3)]


@then('each passes and their sum of 3300 fails')
def check_sum(context: Any) -> None:
    assert all(judge(cost).passed for cost in context.costs)
    sums = sum_costs(context.costs)
    assert [total.amount for total in sums] == [3300]
    assert judge(sums[0]).passed is False


@then('a cost of another role or unit is not in the sum')
def check_separate(context: Any) -> None:
    others = [
        cost_of('agent', Unit.network, 50),
        cost_of('entry', Unit.memory, 70),
        cost_of('entry', Unit.data, 90),
    ]
    sums = {
        (total.role, total.unit): total.amount
        for total in sum_costs([*context.costs, *others])
    }
    assert sums == {
        ('entry', Unit.network): 3300,
        ('agent', Unit.network): 50,
        ('entry', Unit.memory): 70,
    }, sums


@given('slopes of one for everything that is measured')
def slopes_of_one(context: Any) -> None:
    context.scale = capacity_scale.Scale()
    context.costs = capacity_scale.costs(context.scale, slopes_of(1))


@then('the entry has {links:d} links and an agent {agent:g} from entries')
def check_links(context: Any, links: int, agent: float) -> None:
    assert context.scale.links == links
    assert math.isclose(context.scale.agent_links, agent, abs_tol=0.01)


@then('the list poll of an entry is {amount:d} bytes per second')
def check_list_poll(context: Any, amount: int) -> None:
    found = find(context.costs, 'entry', 'list poll', Unit.network)
    assert found == amount, found


@then('the committer holds {amount:d} claims')
def check_claims(context: Any, amount: int) -> None:
    name = 'all claims of the deployment'
    assert find(context.costs, 'committer', name, Unit.memory) == amount


@then('the log gets {amount:d} appends of claim batches per second')
def check_appends(context: Any, amount: int) -> None:
    found = find(context.costs, 'log service', 'claim batches', Unit.appends)
    assert math.isclose(found, amount), found


@then("twice the slopes give twice the costs of the entry's links")
def check_proportion(context: Any) -> None:
    doubled = capacity_scale.costs(context.scale, slopes_of(2))
    for name in ('heartbeats', 'load reports'):
        once = find(context.costs, 'entry', name, Unit.network)
        assert once > 0
        assert find(doubled, 'entry', name, Unit.network) == 2 * once


@then(
    'the sketch of two caches of {size:d} blocks that share half'
    ' is within {percent:d} %',
)
def check_sketch(context: Any, size: int, percent: int) -> None:
    rng = random.Random(3)
    context.caches = capacity_sketch.draw_caches(rng, size, 0.5)
    one, other, truth = context.caches
    found = capacity_sketch.shared_by_sketch(one, other)
    assert abs(found / truth - 1) < percent / 100, (found, truth)


@then('whole digests give the shared weight of the same caches exactly')
def check_digests(context: Any) -> None:
    one, other, truth = context.caches
    found = capacity_sketch.shared_by_digests(8)(one, other)
    assert math.isclose(found, truth)
