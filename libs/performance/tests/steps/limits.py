"""Steps of limits.feature."""

from __future__ import annotations

import random
from statistics import mean
from typing import Any

from behave import given, then, when
from gypsumrelay_performance import (
    Candidate,
    Performance,
    Summary,
    adjust_limits,
    concurrency_limit,
    decode_pace_ms,
    observe_decode,
    observe_prefill,
    observe_service,
    prefill_ms,
    restore_summary,
    service_seconds,
)
from pools import (
    Pool,
    new_pool,
    short_noise,
    slower_above,
    slower_between,
)

SLOTS = 6


@given(
    'plain upstreams of speeds {first:g}, {second:g} and {third:g} with 6 slots'
)
def give_pool(context: Any, first: float, second: float, third: float) -> None:
    speeds = [first, second, third]
    context.pools = [new_pool(speeds, SLOTS), new_pool(speeds, SLOTS)]
    context.pools[1].is_learning = False
    context.pool = context.pools[0]


@given('upstream 0 is {factor:g} times slower with more than {most:d} requests')
def give_overload(context: Any, factor: float, most: int) -> None:
    for pool in context.pools:
        pool.upstreams[0].effect = slower_above(most, factor)


@given('upstream 0 is {factor:g} times slower from second {start:g} to {end:g}')
def give_slow(context: Any, factor: float, start: float, end: float) -> None:
    for pool in context.pools:
        pool.upstreams[0].effect = slower_between(start, end, factor)


@given('upstream 0 is new and {factor:g} times slower until second {end:g}')
def give_cold(context: Any, factor: float, end: float) -> None:
    give_slow(context, factor, 0, end)


@given(
    'all upstreams are {factor:g} times slower from second {start:g} to {end:g}'
)
def give_all_slow(
    context: Any, factor: float, start: float, end: float
) -> None:
    for pool in context.pools:
        for upstream in pool.upstreams:
            upstream.effect = slower_between(start, end, factor)


@given('15 in 100 spans of 600 ms are 2.5 times slower at each')
def give_noise(context: Any) -> None:
    for pool in context.pools:
        for number, upstream in enumerate(pool.upstreams):
            upstream.effect = short_noise(random.Random(number), 120)


@when('{rate:g} requests a second arrive for {seconds:g} seconds')
def run_pools(context: Any, rate: float, seconds: float) -> None:
    for pool in context.pools:
        pool.run(seconds, rate)


@then('each limit is 6 for at least {percent:g} in 100 of the time')
def check_all(context: Any, percent: float) -> None:
    for number, _ in enumerate(context.pool.upstreams):
        _check_full(context.pool, number, 0, percent)


@then('each other limit is 6 for at least {percent:g} in 100 of the time')
def check_others(context: Any, percent: float) -> None:
    for number, _ in enumerate(context.pool.upstreams[1:], 1):
        _check_full(context.pool, number, 0, percent)


@then(
    'it is 6 from second {start:g} on for at least {percent:g} in 100 of the '
    'time'
)
def check_recovered(context: Any, start: float, percent: float) -> None:
    _check_full(context.pool, 0, start, percent)


@then(
    'the mean limit of upstream 0 from second {start:g} on is between {low:g} '
    'and {high:g}'
)
def check_mean(context: Any, start: float, low: float, high: float) -> None:
    measured = mean(context.pool.limits_in(0, start, context.pool.now))
    assert low <= measured <= high, measured


@then('the mean limit of each upstream is at least {low:g}')
def check_means(context: Any, low: float) -> None:
    pool = context.pool
    for number, _ in enumerate(pool.upstreams):
        measured = mean(pool.limits_in(number, 0, pool.now))
        assert measured >= low, (number, measured)


@then(
    'the limit of upstream 0 is at most {most:d} at some time before second '
    '{end:g}'
)
def check_fallen(context: Any, most: int, end: float) -> None:
    assert min(context.pool.limits_in(0, 20, end)) <= most, context.pool.changes


@then('at least {percent:g} in 100 requests are answered in time')
def check_in_time(context: Any, percent: float) -> None:
    assert _in_time(context.pool) >= percent, _in_time(context.pool)


@then('without learning at most {percent:g} in 100 are')
def check_without(context: Any, percent: float) -> None:
    without = _in_time(context.pools[1])
    assert without <= percent, without


@then(
    'as many requests are answered in time as without learning, less {less:g} '
    'in 100'
)
def check_no_worse(context: Any, less: float) -> None:
    shares = [_in_time(pool) for pool in context.pools]
    assert shares[0] >= shares[1] - less, shares


@then('the fast upstream serves at least {percent:g} in 100 requests')
def check_fast(context: Any, percent: float) -> None:
    served = context.pool.served
    assert served[2] * 100 >= percent * served.total(), served


@then('{count:d} random pools keep each limit between 1 and the stated slots')
def check_random(context: Any, count: int) -> None:
    for seed in range(count):
        rng = random.Random(seed)
        pool = {
            str(number): Candidate(Performance(), rng.randrange(1, 65))
            for number in range(rng.randrange(1, 5))
        }
        for step in range(120):
            now = step * 0.1
            for one in pool.values():
                running = rng.uniform(1, one.stated)
                seconds = rng.choice((0.01, 0.1, 1, 100))
                observe_service(one.performance, running, seconds, now)
            adjust_limits(pool, now)
            for one in pool.values():
                limit = concurrency_limit(one.performance, one.stated)
                assert 1 <= limit <= one.stated


@given('an upstream without measurements')
def give_unknown(context: Any) -> None:
    context.performance = Performance()


@then('its limit is the stated 6 and nothing is known of its times')
def check_unknown(context: Any) -> None:
    performance = context.performance
    adjust_limits({'one': Candidate(performance, SLOTS)}, 100)
    assert concurrency_limit(performance, SLOTS) == SLOTS
    assert not service_seconds(performance, 1)
    assert not decode_pace_ms(performance, 1)
    assert not prefill_ms(performance, 3200)


@given('prefills of 3,200 tokens at 33 tokens a millisecond')
def give_prefills(context: Any) -> None:
    context.performance = Performance()
    for number in range(30):
        observe_prefill(context.performance, 3200, 3200 / 33, number * 0.1)


@when('one of 30,000 tokens ends at the same speed')
def end_long(context: Any) -> None:
    observe_prefill(context.performance, 30_000, 30_000 / 33, 10)


@when('{count:d} prefills take twice as long')
def end_slow(context: Any, count: int) -> None:
    for number in range(count):
        observe_prefill(context.performance, 3200, 6400 / 33, 10 + number * 0.1)


@then('a prefill of 3,200 tokens takes {expected:g} milliseconds')
def check_prefill(context: Any, expected: float) -> None:
    measured = prefill_ms(context.performance, 3200)
    assert abs(measured - expected) <= 1, measured


@then('a prefill of 3,200 tokens takes {low:g} to {high:g} milliseconds')
def check_prefill_range(context: Any, low: float, high: float) -> None:
    measured = prefill_ms(context.performance, 3200)
    assert low <= measured <= high, measured


@given(
    '{rate:g} decode streams a second end, at {base:g} ms a token and {more:g} '
    'more for each other'
)
def give_streams(context: Any, rate: float, base: float, more: float) -> None:
    rng = random.Random(4)
    context.performance = Performance()
    pool = {'one': Candidate(context.performance, 64)}
    for step in range(1200):
        now = step / rate
        running = rng.randrange(1, 10)
        pace_ms = base + more * (running - 1)
        noise = rng.lognormvariate(0, 0.1)
        observe_decode(context.performance, running, pace_ms * noise, now)
        adjust_limits(pool, now)


@then(
    'the pace of one stream is about {low:g} ms and that of nine about '
    '{high:g} ms'
)
def check_paces(context: Any, low: float, high: float) -> None:
    one = decode_pace_ms(context.performance, 1)
    nine = decode_pace_ms(context.performance, 9)
    assert abs(one / low - 1) < 0.2, one
    assert abs(nine / high - 1) < 0.2, nine


@then('no limit below 9 is set')
def check_no_limit(context: Any) -> None:
    assert concurrency_limit(context.performance, 64) >= 9


@given(
    'an upstream of which other instances measured {first:g} and {second:g} '
    'seconds'
)
def give_reports(context: Any, first: float, second: float) -> None:
    context.performance = Performance()
    for seconds in (first, second):
        summary = Summary(service_seconds=seconds)
        restore_summary(context.performance, summary, 10)


@when('a request takes {seconds:g} seconds')
def end_request(context: Any, seconds: float) -> None:
    observe_service(context.performance, 1, seconds, 100)


@then('{seconds:g} seconds are expected')
def check_expected(context: Any, seconds: float) -> None:
    measured = service_seconds(context.performance, 1)
    assert abs(measured - seconds) < 0.001, measured


def _check_full(pool: Pool, number: int, start: float, percent: float) -> None:
    limits = pool.limits_in(number, start, pool.now)
    full = 100 * limits.count(SLOTS) / len(limits)
    assert full >= percent, (number, full, pool.changes)


def _in_time(pool: Pool) -> float:
    return 100 * pool.in_time / pool.arrived
