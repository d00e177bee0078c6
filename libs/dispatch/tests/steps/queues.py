"""Steps of placement.feature: queue order, waits and rejections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
from behave import given, then, when
from gypsumrelay_dispatch import (
    Ending,
    Grant,
    Rejection,
    end_attempt,
    end_prefill,
    request_placement,
    restore_placement,
    tick,
)
from gypsumrelay_errors import Outcome
from simulation import (
    Simulation,
    model_simulation,
    prompt_fields,
    token_counts,
)

# Seconds of simulated time between two ticks.
TICK_SECONDS = 0.05


@given('a request that runs')
def give_running(context: Any) -> None:
    sim = context.sim
    context.running = sim.submit(**prompt_fields(sim))
    assert sim.grants(), sim.all()


@when('a request arrives past its latency objective, then one on time')
def submit_late_and_on_time(context: Any) -> None:
    sim = context.sim
    prompt = prompt_fields(sim)
    context.late = sim.submit(**prompt, objective_at=sim.now - 0.1)
    context.on_time = sim.submit(**prompt)
    assert len(sim.answers) == 1, sim.all()


@when('the running request ends')
def end_running(context: Any) -> None:
    sim = context.sim
    key = context.running.key
    sim.now += 0.1
    sim.collect(end_attempt(sim.scheduler, key, Ending.answered, sim.now))


@when('a request waits for {seconds:g} seconds')
def wait_in_queue(context: Any, seconds: float) -> None:
    sim = context.sim
    context.late = sim.submit(**prompt_fields(sim), wait_until=sim.now + 2.7)
    sim.now += seconds
    sim.collect(tick(sim.scheduler, sim.now))
    assert context.late.key not in sim.answers


@when('it is sent to a new coordinator with the same placements')
def switch_coordinator(context: Any) -> None:
    old = context.sim
    new = model_simulation(1, 1, 4000)
    new.now = old.now
    for placement in old.scheduler.placements.values():
        restore_placement(new.scheduler, placement)
    new.collect(request_placement(new.scheduler, context.late, new.now))
    context.sim = new


@then('it is rejected {seconds:g} seconds later at the latest')
def check_refused_by(context: Any, seconds: float) -> None:
    sim = context.sim
    sim.now += seconds
    sim.collect(tick(sim.scheduler, sim.now))
    answer = sim.answers[context.late.key][0]
    assert not isinstance(answer, Grant)
    assert answer.failure.retry_at > sim.now - seconds


@when('a request arrives, then a stream that is resumed')
def submit_resumed(context: Any) -> None:
    sim = context.sim
    context.late = sim.submit(**prompt_fields(sim))
    sim.now += 0.1
    context.on_time = sim.submit(
        **prompt_fields(sim),
        attempt=2,
        objective_at=sim.now - 5,
        resumed=True,
    )
    assert len(sim.answers) == 1, sim.all()


@when(
    '{count:d} prompts of {tokens:d} tokens arrive every {interval:g} seconds '
    'for {seconds:d} seconds and one ends every {ends:g} seconds',
)
def simulate_queue(
    context: Any,
    count: int,
    tokens: int,
    interval: float,
    seconds: int,
    ends: float,
) -> None:
    def end_due(sim: Simulation, step: int) -> None:
        if _is_due(step, ends):
            _end_oldest(sim)

    burst = Burst(count, interval, token_counts(tokens, 1000))
    _simulate(context, burst, seconds, end_due)


@when(
    '{count:d} prompts of {tokens:d} tokens with {expected:d} expected arrive '
    'every {interval:g} seconds for {seconds:d} seconds',
)
def simulate_engines(
    context: Any,
    count: int,
    tokens: int,
    expected: int,
    interval: float,
    seconds: int,
) -> None:
    """Simulate a burst with engines of typical prefill and decode speed."""

    def end_decoded(sim: Simulation, step: int) -> None:
        _end_decoded(sim, expected)

    burst = Burst(count, interval, token_counts(tokens, expected))
    _simulate(context, burst, seconds, end_decoded)


@attrs.frozen
class Burst:
    """Requests that arrive together at a fixed interval in seconds."""

    count: int
    interval: float
    fields: dict[str, int]


def _simulate(
    context: Any,
    burst: Burst,
    seconds: int,
    end_some: Callable[[Simulation, int], None],
) -> None:
    """Simulate a queue; record arrival and answer of each request."""
    sim = context.sim
    context.arrived = {}
    context.answered = {}
    context.started = sim.now
    for step in range(round(seconds / TICK_SECONDS)):
        sim.now = context.started + step * TICK_SECONDS
        arriving = burst.count * _is_due(step, burst.interval)
        for _ in range(arriving):
            request = sim.submit(**burst.fields)
            context.arrived[request.key] = sim.now
        _end_prefills(sim)
        end_some(sim, step)
        sim.collect(tick(sim.scheduler, sim.now))
        for key in sim.answers.keys() - context.answered.keys():
            context.answered[key] = sim.now


def _end_decoded(sim: Simulation, expected: int) -> None:
    """End the requests that have generated their tokens at 6 ms each."""
    for key, placement in list(sim.scheduler.placements.items()):
        reading = 0.25 * (not placement.prefilled_by)
        ends_at = placement.started_at + reading + expected * 0.006
        if not placement.prefill and sim.now >= ends_at:
            sim.collect(
                end_attempt(sim.scheduler, key, Ending.answered, sim.now)
            )


@then('none is rejected or late, and decode upstreams prefill some prompts')
def check_direct_prefill(context: Any) -> None:
    sim = context.sim
    assert not sim.rejections(), sim.rejections()
    assert max(_waits(context, Grant)) <= 0.7
    assert any(grant.prefill is None for grant in sim.grants())


@then('the decode upstreams prefill none of the prompts')
def check_no_direct_prefill(context: Any) -> None:
    grants = context.sim.grants()
    assert grants
    assert all(one.prefill is not None for one in grants)


def _is_due(step: int, interval: float) -> bool:
    return step % round(interval / TICK_SECONDS) == 0


def _end_prefills(sim: Simulation) -> None:
    for key, placement in list(sim.scheduler.placements.items()):
        if placement.prefill and sim.now - placement.granted_at >= 0.1:
            ending = Ending.answered
            sim.collect(end_prefill(sim.scheduler, key, ending, sim.now))


def _end_oldest(sim: Simulation) -> None:
    decoding = [
        key
        for key, placement in sim.scheduler.placements.items()
        if not placement.prefill
    ]
    if decoding:
        key = decoding[0]
        sim.collect(end_attempt(sim.scheduler, key, Ending.answered, sim.now))


def _waits(context: Any, kind: type, since: float = 0) -> list[float]:
    """Return the seconds that requests waited for one kind of answer."""
    return [
        context.answered[key] - arrived
        for key, arrived in context.arrived.items()
        if isinstance(context.sim.answers.get(key, [None])[0], kind)
        and arrived - context.started >= since
    ]


@then('requests that are placed wait at most {seconds:g} seconds')
def check_place_waits(context: Any, seconds: float) -> None:
    assert max(_waits(context, Grant)) <= seconds


@then(
    'in the last {last:d} seconds rejections take at most {seconds:g} seconds '
    'on average',
)
def check_refusal_waits(context: Any, last: int, seconds: float) -> None:
    waits = _waits(context, Rejection, context.sim.now - context.started - last)
    assert len(waits) > 5, waits
    assert sum(waits) / len(waits) <= seconds, waits


@then('at least {count:d} requests were placed')
def check_served(context: Any, count: int) -> None:
    assert len(context.sim.grants()) >= count, context.sim.grants()


@then('no request is rejected')
def check_none_refused(context: Any) -> None:
    assert context.sim.grants()
    assert not context.sim.rejections(), context.sim.rejections()


@then('the one on time is placed')
@then('the resumed stream is placed')
def check_on_time(context: Any) -> None:
    assert context.on_time.key in context.sim.answers
    assert context.late.key not in context.sim.answers


@then('some are rejected within the same instant')
def check_refused(context: Any) -> None:
    assert context.sim.rejections()


@then('each rejection states that nothing ran and when to retry')
def check_refusals(context: Any) -> None:
    sim = context.sim
    for rejection in sim.rejections():
        assert rejection.failure.outcome is Outcome.not_run
        assert rejection.failure.retry_at > sim.now


@when(
    'a request arrives, then a prefilled one whose cache expires in '
    '{seconds:g} seconds',
)
def submit_prefilled(context: Any, seconds: float) -> None:
    sim = context.sim
    prompt = prompt_fields(sim)
    context.usual = sim.submit(**prompt)
    until = sim.now + seconds
    times = {'objective_at': until, 'wait_until': until}
    context.read = sim.submit(**prompt, **times, read=True)


@then('the prefilled one is placed')
def check_prefilled(context: Any) -> None:
    answers = context.sim.answers
    assert isinstance(answers[context.read.key][0], Grant)
    assert context.usual.key not in answers


@then('it is still counted {seconds:d} seconds later')
def check_counted(context: Any, seconds: int) -> None:
    sim = context.sim
    sim.now += seconds
    sim.collect(tick(sim.scheduler, sim.now))
    assert context.read.key in sim.scheduler.placements


@when('another prefilled one waits for {seconds:g} seconds')
def wait_prefilled(context: Any, seconds: float) -> None:
    sim = context.sim
    until = sim.now + 0.4
    times = {'objective_at': until, 'wait_until': until}
    context.last = sim.submit(**prompt_fields(sim), **times, read=True)
    sim.now += seconds
    sim.collect(tick(sim.scheduler, sim.now))


@then('it is rejected')
def check_it_refused(context: Any) -> None:
    answer = context.sim.answers[context.last.key][0]
    assert not isinstance(answer, Grant)
