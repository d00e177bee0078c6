"""Steps of limits.feature."""

from __future__ import annotations

from typing import Any

import attrs
from behave import given, then, when
from gypsumrelay_dispatch import Ending, Granted, ask, end, set_upstreams
from gypsumrelay_errors import Outcome, RateExceeded
from simulation import limit_account, new_need, plain_board

DIGEST = b'content'


@given('an account with {rate:d} tokens per second and a burst of {burst:d}')
def give_account(context: Any, rate: int, burst: int) -> None:
    context.played = plain_board(1, 1000)
    limit_account(context.played, rate, burst)


@given('an overdraft of {tokens:d} tokens')
def give_overdraft(context: Any, tokens: int) -> None:
    played = plain_board(1, 1, overdraft_tokens=tokens)
    limit_account(played, 1000, 2000)
    context.played = played


@given('an overdraft of {tokens:d} tokens for it')
def give_account_overdraft(context: Any, tokens: int) -> None:
    board = context.played.board
    board.settings = attrs.evolve(board.settings, overdraft_tokens=tokens)


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
    played = context.played
    arrivals = sorted(
        (number / count, cost)
        for count, cost in ((prompts, large), (plain, small))
        for number in range(count * seconds)
    )
    started = played.now
    for at, cost in arrivals:
        played.now = started + at
        played.ask(client_account='account', cost_tokens=cost)


@then('none of its requests of {tokens:d} tokens is rejected')
def check_cheap(context: Any, tokens: int) -> None:
    refused = [one.need.cost_tokens for one in context.played.refused()]
    assert refused
    assert tokens not in refused


@then('at most {most:d} tokens of its prompts were admitted')
def check_prompts(context: Any, most: int) -> None:
    granted = context.played.granted()
    costs = [one.need.cost_tokens for one in granted]
    assert sum(cost for cost in costs if cost > 200) <= most, sum(costs)


@when(
    'it sends {count:d} requests of {tokens:d} tokens within '
    '{seconds:d} seconds',
)
def send(context: Any, count: int, tokens: int, seconds: int) -> None:
    played = context.played
    context.tokens = tokens
    for _ in range(count):
        played.now += seconds / count
        played.ask(client_account='account', cost_tokens=tokens)


@then('at most {most:d} tokens were admitted')
def check_tokens(context: Any, most: int) -> None:
    assert len(context.played.granted()) * context.tokens <= most


@then('each rejection states when the account may send again')
def check_times(context: Any) -> None:
    played = context.played
    assert played.refused()
    for refused in played.refused():
        assert isinstance(refused.failure, RateExceeded)
    played.now = max(one.failure.retry_at for one in played.refused()) + 0.001
    need = played.ask(client_account='account', cost_tokens=1)
    assert isinstance(played.answers[need.key][0], Granted)


@then('none of them is rejected by the limit')
def check_none(context: Any) -> None:
    assert not context.played.refused()


@when(
    "the account overdraws and is queued before another account's request",
)
def overdraw(context: Any) -> None:
    played = context.played
    context.first = played.ask(client_account='account', cost_tokens=5000)
    context.over = played.ask(client_account='account', cost_tokens=5000)
    context.other = played.ask(client_account='other', cost_tokens=5000)


@then("the other account's request is placed next")
def check_other(context: Any) -> None:
    played = context.played
    key = context.first.key
    played.take(end(played.board, key, Ending.answered, played.now))
    assert context.other.key in played.answers
    assert context.over.key not in played.answers


@when('its request of {tokens:d} tokens is rejected for lack of capacity')
def refused_for_room(context: Any, tokens: int) -> None:
    played = context.played
    load = next(iter(played.board.loads.values()))
    load.upstream = attrs.evolve(load.upstream, slots=0)
    played.ask(
        client_account='account',
        cost_tokens=tokens,
        aim_at=played.now,
        deadline=played.now,
        wait_until=played.now,
    )
    assert played.refused()


@when('its request of {tokens:d} tokens runs and the rate becomes {rate:d}')
def change_rate(context: Any, tokens: int, rate: int) -> None:
    played = context.played
    played.ask(client_account='account', cost_tokens=tokens)
    limit_account(played, rate, 2000)


@then('its level is {tokens:d} tokens')
def check_level(context: Any, tokens: int) -> None:
    accounts = context.played.board.accounts
    assert accounts.buckets['account'].level == tokens


@given('a service with a retry ratio of {ratio:g} and a slack of {slack:d}')
def give_budget(context: Any, ratio: float, slack: int) -> None:
    context.played = plain_board(
        3,
        1000,
        repeat_ratio=ratio,
        repeat_slack=slack,
    )


@when('{count:d} requests within {seconds:d} seconds are all retried')
def ask_again(
    context: Any,
    count: int,
    seconds: int,
    *,
    reread: bool = False,
) -> None:
    played = context.played
    for number in range(count):
        played.now += seconds / count
        for attempt in (1, 2):
            need = new_need(
                f'r{number}',
                played.now,
                attempt=attempt,
                reread=reread and attempt > 1,
            )
            played.take(ask(played.board, need, played.now))


@when(
    '{count:d} requests within {seconds:d} seconds are retried with a new '
    'prefill',
)
def ask_reread(context: Any, count: int, seconds: int) -> None:
    ask_again(context, count, seconds, reread=True)


@then('at most {most:d} of the retries are placed')
def check_repeats(context: Any, most: int) -> None:
    repeats = [
        granted
        for granted in context.played.granted()
        if granted.need.attempt > 1
    ]
    assert 0 < len(repeats) <= most


@given('{count:d} plain upstreams that a request crashes one after the other')
def give_crashes(context: Any, count: int) -> None:
    context.played = plain_board(count, 4)
    context.losses = count - 1


@when('the same content arrives again')
def arrives_again(context: Any) -> None:
    played = context.played
    for number in range(context.losses):
        _run_once(played, f'crash-{number}', Ending.lost)
    context.last = played.ask(digest=DIGEST)


@then('it is rejected as not run')
def check_quarantined(context: Any) -> None:
    refused = context.played.answers[context.last.key][0]
    assert refused.failure.code == 'request_quarantined'
    assert refused.failure.outcome is Outcome.not_run


@when('the same content was completed before the last crash')
def ran_to_end(context: Any) -> None:
    played = context.played
    _run_once(played, 'lost-0', Ending.lost)
    _run_once(played, 'good', Ending.answered)
    _run_once(played, 'lost-1', Ending.lost)
    _run_once(played, 'lost-2', Ending.lost)
    context.last = played.ask(digest=DIGEST)


@when('the same content only had its answers lost')
def lost_answers(context: Any) -> None:
    played = context.played
    for number in range(context.losses):
        _run_once(played, f'lost-{number}', Ending.lost, goes_down=False)
        played.now += 0.1
    context.last = played.ask(digest=DIGEST)


@then('it is not rejected')
def check_not_refused(context: Any) -> None:
    assert isinstance(context.played.answers[context.last.key][0], Granted)


def _run_once(
    played: Any,
    request_id: str,
    ending: Ending,
    *,
    goes_down: bool = True,
) -> None:
    need = new_need(request_id, played.now, digest=DIGEST)
    played.take(ask(played.board, need, played.now))
    name = played.board.places[need.key].upstream
    played.take(end(played.board, need.key, ending, played.now))
    if ending is Ending.lost and goes_down:
        played.now += 3
        pool = [
            attrs.evolve(load.upstream, started_ms=int(played.now))
            if load.upstream.name == name
            else load.upstream
            for load in played.board.loads.values()
        ]
        set_upstreams(played.board, pool, played.now)
