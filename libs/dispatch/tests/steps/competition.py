"""Steps of competition.feature."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
from behave import given, then, when
from gypsumrelay_dispatch import Grant, Rejection, tick
from random_days import Result, run_day
from simulation import prompt_fields

LOWEST_SERVED = 0.25
LOWEST_SIZE = 0.5
CALLER = b'returning'
ACCOUNT = 'account'
STEP_SECONDS = 0.05


@given(
    '{days:d} random days of {mix} kinds with contracts of {contract:g} times '
    'the usual load'
)
def give_days(context: Any, days: int, mix: str, contract: float) -> None:
    context.days = {
        policy: [run_day(policy, seed, mix, contract) for seed in range(days)]
        for policy in ('strict', 'weighted')
    }


def _mean(results: list[Result], figure: Callable[[Result], float]) -> float:
    return sum(map(figure, results)) / len(results)


@then(
    'the weighted order earns at least {value:g} of the value, and at most '
    '{less:g} less than the strict one'
)
def check_value(context: Any, value: float, less: float) -> None:
    earned = {
        policy: _mean(results, lambda day: day.value)
        for policy, results in context.days.items()
    }
    assert earned['weighted'] >= value, earned
    assert earned['weighted'] >= earned['strict'] - less, earned


@then(
    'it rejects at most {part:g} of the callers twice that the strict one does'
)
def check_second_rejections(context: Any, part: float) -> None:
    twice = {
        policy: _mean(results, lambda day: day.second_rejections)
        for policy, results in context.days.items()
    }
    assert twice['weighted'] <= part * twice['strict'], twice


@then('no account and no kind is served less than a quarter as often as all')
def check_served(context: Any) -> None:
    for day in context.days['weighted']:
        lowest = min(day.worst_account, day.worst_hot_account, day.worst_kind)
        assert lowest >= LOWEST_SERVED, day


@then('the large requests are served at least half as often as their kind')
def check_sizes(context: Any) -> None:
    for day in context.days['weighted']:
        assert day.worst_size >= LOWEST_SIZE, day


@then(
    'accounts without excess load get at most {less:g} fewer answers in time '
    'than with the strict order'
)
def check_usual(context: Any, less: float) -> None:
    in_time = {
        policy: _mean(results, lambda day: day.usual_in_time)
        for policy, results in context.days.items()
    }
    assert in_time['weighted'] >= in_time['strict'] - less, in_time


@given('the {policy} queue policy')
def set_policy(context: Any, policy: str) -> None:
    scheduler = context.sim.scheduler
    scheduler.settings = attrs.evolve(scheduler.settings, queue_policy=policy)


@when(
    'callers arrive until one is rejected, and it returns at its time with '
    'new callers'
)
def reject_and_return(context: Any) -> None:
    sim = context.sim
    rejected = sim.submit(
        **prompt_fields(sim), digest=CALLER, wait_until=sim.now
    )
    sim.now += STEP_SECONDS
    sim.collect(tick(sim.scheduler, sim.now))
    rejection = sim.answers[rejected.key][0]
    assert isinstance(rejection, Rejection), rejection
    assert rejection.details.rejections == 1, rejection
    sim.now = rejection.failure.retry_at
    context.others = [sim.submit(**prompt_fields(sim))]
    sim.now += STEP_SECONDS
    context.late = sim.submit(
        **prompt_fields(sim),
        digest=CALLER,
        deadline=rejected.deadline,
        wait_until=sim.now + 1,
    )
    context.on_time = context.late
    context.others.append(sim.submit(**prompt_fields(sim)))


@then('the returning caller is placed first')
def check_placed_first(context: Any) -> None:
    sim = context.sim
    assert isinstance(sim.answers[context.late.key][0], Grant)
    assert not any(one.key in sim.answers for one in context.others)
    assert sim.scheduler.fairness.counts.kept == 1


@when('no capacity becomes free until it is rejected again')
def wait_for_rejection(context: Any) -> None:
    sim = context.sim
    while context.late.key not in sim.answers:
        sim.now += STEP_SECONDS
        sim.collect(tick(sim.scheduler, sim.now))


@then('its second rejection is counted and stated')
def check_counted(context: Any) -> None:
    sim = context.sim
    rejection = sim.answers[context.late.key][0]
    assert isinstance(rejection, Rejection), rejection
    assert rejection.details.rejections == 2, rejection
    assert sim.scheduler.fairness.counts.rejected_again == 1


@when('a prompt of rank {rank:d} is granted')
def grant_prompt(context: Any, rank: int) -> None:
    context.late = context.sim.submit(
        **prompt_fields(context.sim), priority=rank
    )


@then('its grant has urgency {urgency:d}')
def check_urgency(context: Any, urgency: int) -> None:
    grant = context.sim.answers[context.late.key][0]
    assert isinstance(grant, Grant), grant
    assert grant.urgency == urgency, grant
