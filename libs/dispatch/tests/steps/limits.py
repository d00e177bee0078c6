"""Steps of limits.feature."""

from __future__ import annotations

from typing import Any

import attrs
from behave import given, then, when
from gypsumrelay_dispatch import (
    Ending,
    Grant,
    apply_upstreams,
    end_attempt,
    request_placement,
)
from gypsumrelay_errors import Outcome, RateExceeded
from simulation import limit_account, new_request, plain_simulation

DIGEST = b'content'


@given('an account with {rate:d} tokens per second and a burst of {burst:d}')
def give_account(context: Any, rate: int, burst: int) -> None:
    context.sim = plain_simulation(1, 1000)
    limit_account(context.sim, rate, burst)


@given('an overdraft of {tokens:d} tokens')
def give_overdraft(context: Any, tokens: int) -> None:
    sim = plain_simulation(1, 1, overdraft_tokens=tokens)
    limit_account(sim, 1000, 2000)
    context.sim = sim


@given('an overdraft of {tokens:d} tokens for it')
def give_account_overdraft(context: Any, tokens: int) -> None:
    scheduler = context.sim.scheduler
    scheduler.settings = attrs.evolve(
        scheduler.settings, overdraft_tokens=tokens
    )


@when(
    'it sends {prompts:d} prompts of {large:d} tokens and {plain:d} requests '
    'of {small:d} tokens each second for {seconds:d} seconds',
)
def send_mix(
    context: Any,
    prompts: int,
    large: int,
    plain: int,
    small: int,
    seconds: int,
) -> None:
    sim = context.sim
    arrivals = sorted(
        (number / count, cost)
        for count, cost in ((prompts, large), (plain, small))
        for number in range(count * seconds)
    )
    started = sim.now
    for at, cost in arrivals:
        sim.now = started + at
        sim.submit(client_account='account', cost_tokens=cost)


@then('none of its requests of {tokens:d} tokens is rejected')
def check_cheap(context: Any, tokens: int) -> None:
    rejected = [one.request.cost_tokens for one in context.sim.rejections()]
    assert rejected
    assert tokens not in rejected


@then('at most {most:d} tokens of its prompts were admitted')
def check_prompts(context: Any, most: int) -> None:
    grants = context.sim.grants()
    costs = [one.request.cost_tokens for one in grants]
    assert sum(cost for cost in costs if cost > 200) <= most, sum(costs)


@when(
    'it sends {count:d} requests of {tokens:d} tokens within '
    '{seconds:d} seconds',
)
def send(context: Any, count: int, tokens: int, seconds: int) -> None:
    sim = context.sim
    context.tokens = tokens
    for _ in range(count):
        sim.now += seconds / count
        sim.submit(client_account='account', cost_tokens=tokens)


@then('at most {most:d} tokens were admitted')
def check_tokens(context: Any, most: int) -> None:
    assert len(context.sim.grants()) * context.tokens <= most


@then('each rejection states when the account may send again')
def check_times(context: Any) -> None:
    sim = context.sim
    assert sim.rejections()
    for rejection in sim.rejections():
        assert isinstance(rejection.failure, RateExceeded)
    sim.now = max(one.failure.retry_at for one in sim.rejections()) + 0.001
    request = sim.submit(client_account='account', cost_tokens=1)
    assert isinstance(sim.answers[request.key][0], Grant)


@then('none of them is rejected by the limit')
def check_none(context: Any) -> None:
    assert not context.sim.rejections()


@when(
    "the account overdraws and is queued before another account's request",
)
def overdraw(context: Any) -> None:
    sim = context.sim
    context.first = sim.submit(client_account='account', cost_tokens=5000)
    context.over = sim.submit(client_account='account', cost_tokens=5000)
    context.other = sim.submit(client_account='other', cost_tokens=5000)


@then("the other account's request is placed next")
def check_other(context: Any) -> None:
    sim = context.sim
    key = context.first.key
    sim.collect(end_attempt(sim.scheduler, key, Ending.answered, sim.now))
    assert context.other.key in sim.answers
    assert context.over.key not in sim.answers


@when('its request of {tokens:d} tokens is rejected for lack of capacity')
def reject_for_capacity(context: Any, tokens: int) -> None:
    sim = context.sim
    load = next(iter(sim.scheduler.loads.values()))
    load.upstream = attrs.evolve(load.upstream, slots=0)
    sim.submit(
        client_account='account',
        cost_tokens=tokens,
        objective_at=sim.now,
        deadline=sim.now,
        wait_until=sim.now,
    )
    assert sim.rejections()


@when('its request of {tokens:d} tokens runs and the rate becomes {rate:d}')
def change_rate(context: Any, tokens: int, rate: int) -> None:
    sim = context.sim
    sim.submit(client_account='account', cost_tokens=tokens)
    limit_account(sim, rate, 2000)


@then('its level is {tokens:d} tokens')
def check_level(context: Any, tokens: int) -> None:
    accounts = context.sim.scheduler.accounts
    assert accounts.buckets['account'].level == tokens


@given('a service with a retry ratio of {ratio:g} and a slack of {slack:d}')
def give_budget(context: Any, ratio: float, slack: int) -> None:
    context.sim = plain_simulation(
        3,
        1000,
        repeat_ratio=ratio,
        repeat_slack=slack,
    )


@when('{count:d} requests within {seconds:d} seconds are all retried')
def retry_all(
    context: Any,
    count: int,
    seconds: int,
    *,
    reread: bool = False,
) -> None:
    sim = context.sim
    for number in range(count):
        sim.now += seconds / count
        for attempt in (1, 2):
            request = new_request(
                f'r{number}',
                sim.now,
                attempt=attempt,
                reread=reread and attempt > 1,
            )
            sim.collect(request_placement(sim.scheduler, request, sim.now))


@when(
    '{count:d} requests within {seconds:d} seconds are retried with a new '
    'prefill',
)
def retry_with_prefill(context: Any, count: int, seconds: int) -> None:
    retry_all(context, count, seconds, reread=True)


@then('at most {most:d} of the retries are placed')
def check_retries(context: Any, most: int) -> None:
    retries = [
        grant for grant in context.sim.grants() if grant.request.attempt > 1
    ]
    assert 0 < len(retries) <= most


@given('{count:d} plain upstreams that a request crashes one after the other')
def give_crashed_upstreams(context: Any, count: int) -> None:
    context.sim = plain_simulation(count, 4)
    context.crash_count = count - 1


@when('the same content arrives again')
def send_again(context: Any) -> None:
    sim = context.sim
    for number in range(context.crash_count):
        _run_content(sim, f'crash-{number}', Ending.lost)
    context.last = sim.submit(digest=DIGEST)


@then('it is rejected as not run')
def check_quarantined(context: Any) -> None:
    rejection = context.sim.answers[context.last.key][0]
    assert rejection.failure.code == 'request_quarantined'
    assert rejection.failure.outcome is Outcome.not_run


@when('the same content was completed before the last crash')
def complete_once(context: Any) -> None:
    sim = context.sim
    _run_content(sim, 'lost-0', Ending.lost)
    _run_content(sim, 'good', Ending.answered)
    _run_content(sim, 'lost-1', Ending.lost)
    _run_content(sim, 'lost-2', Ending.lost)
    context.last = sim.submit(digest=DIGEST)


@when('the same content only had its answers lost')
def lost_answers(context: Any) -> None:
    sim = context.sim
    for number in range(context.crash_count):
        _run_content(sim, f'lost-{number}', Ending.lost, crashes=False)
        sim.now += 0.1
    context.last = sim.submit(digest=DIGEST)


@then('it is not rejected')
def check_not_refused(context: Any) -> None:
    assert isinstance(context.sim.answers[context.last.key][0], Grant)


def _run_content(
    sim: Any,
    request_id: str,
    ending: Ending,
    *,
    crashes: bool = True,
) -> None:
    request = new_request(request_id, sim.now, digest=DIGEST)
    sim.collect(request_placement(sim.scheduler, request, sim.now))
    name = sim.scheduler.placements[request.key].upstream
    sim.collect(end_attempt(sim.scheduler, request.key, ending, sim.now))
    if ending is Ending.lost and crashes:
        sim.now += 3
        pool = [
            attrs.evolve(load.upstream, started_ms=int(sim.now))
            if load.upstream.name == name
            else load.upstream
            for load in sim.scheduler.loads.values()
        ]
        apply_upstreams(sim.scheduler, pool, sim.now)
