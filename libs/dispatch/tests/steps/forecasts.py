"""Steps of forecast.feature."""

from __future__ import annotations

import random
from typing import Any

from behave import given, then
from gypsumrelay_dispatch import (
    Ending,
    end_attempt,
    end_prefill,
    expected_output_tokens,
)
from gypsumrelay_dispatch.forecast import (
    MemoryForecast,
    forecast_memory,
    peak_tokens,
)
from simulation import model_simulation


@then(
    'the peaks of {count:d} random sets of requests equal the simulated peaks'
)
def check_peaks(context: Any, count: int) -> None:
    rng = random.Random(5)
    for _ in range(count):
        requests = [
            MemoryForecast(rng.randrange(5000), rng.randrange(200))
            for _ in range(rng.randrange(1, 12))
        ]
        assert peak_tokens(requests) == _simulated(requests)


@given('a request that ends after {first:d} tokens and one after {second:d}')
def give_two(context: Any, first: int, second: int) -> None:
    context.requests = [
        MemoryForecast(3000, first),
        MemoryForecast(3000, second),
    ]


@then('their peak is below the sum of their final sizes')
def check_below(context: Any) -> None:
    final = sum(
        one.used_tokens + one.remaining_tokens for one in context.requests
    )
    assert peak_tokens(context.requests) < final


@given('a request that has generated twice what was expected')
def give_overtime(context: Any) -> None:
    context.overtime = forecast_memory(1000, 500, 2700, 1000)
    context.near_end = forecast_memory(1000, 500, 2700, 2600)


@then('it is forecast to grow by half of that, up to its maximum')
def check_overtime(context: Any) -> None:
    assert context.overtime == MemoryForecast(2000, 500)
    assert context.near_end == MemoryForecast(3600, 100)


@then(
    'a hint of {hint:d} of at most {most:d} gives more than {low:d} expected '
    'tokens',
)
def check_more(context: Any, hint: int, most: int, low: int) -> None:
    assert low < expected_output_tokens(hint, most) < most


@then(
    'a hint of {hint:d} of at most {most:d} gives fewer than {high:d} expected '
    'tokens',
)
def check_less(context: Any, hint: int, most: int, high: int) -> None:
    assert 0 < expected_output_tokens(hint, most) < high


@then('without a hint the default length is expected')
def check_usual(context: Any) -> None:
    assert expected_output_tokens(0, 1000) == 350


@given('a queue with a costly request and a steady stream of cheap ones')
def give_queue(context: Any) -> None:
    sim = model_simulation(1, 1, 9000)
    first = sim.submit(prompt_tokens=4000, output_tokens=100, expected_tokens=9)
    sim.now += 0.1
    ending = Ending.answered
    sim.collect(end_prefill(sim.scheduler, first.key, ending, sim.now))
    context.costly = sim.submit(
        prompt_tokens=6000,
        output_tokens=2700,
        expected_tokens=2000,
    )
    context.started = sim.now
    for _ in range(60):
        sim.now += 0.1
        sim.submit(prompt_tokens=4000, output_tokens=300, expected_tokens=200)
        for key, placement in list(sim.scheduler.placements.items()):
            if placement.prefill:
                sim.collect(end_prefill(sim.scheduler, key, ending, sim.now))
            else:
                sim.collect(end_attempt(sim.scheduler, key, ending, sim.now))
        if context.costly.key in sim.answers:
            break
    context.waited = sim.now - context.started
    context.answers = sim.answers


@then('the costly one is placed within {seconds:g} seconds')
def check_costly(context: Any, seconds: float) -> None:
    assert context.costly.key in context.answers
    assert context.waited <= seconds, context.waited


def _simulated(requests: list[MemoryForecast]) -> float:
    """Return the peak by a simulation that adds one token per step."""
    longest = max(int(one.remaining_tokens) for one in requests)
    return max(
        sum(
            one.used_tokens + step
            for one in requests
            if one.remaining_tokens >= step
        )
        for step in range(longest + 1)
    )
