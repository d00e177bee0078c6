"""Steps of placement.feature: queue order, waits and rejections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
from behave import given, then, when
from gypsumrelay_dispatch import (
    Ending,
    Granted,
    Refused,
    ask,
    end,
    end_prefill,
    hold,
    tick,
)
from gypsumrelay_errors import Outcome
from simulation import (
    Played,
    model_board,
    prompt_fields,
    sizes,
)

# Seconds of simulated time between two ticks.
TICK = 0.05


@given('a request that runs')
def give_running(context: Any) -> None:
    played = context.played
    context.running = played.ask(**prompt_fields(played))
    assert played.granted(), played.all()


@when('a request arrives past its latency objective, then one on time')
def late_and_on_time(context: Any) -> None:
    played = context.played
    prompt = prompt_fields(played)
    context.late = played.ask(**prompt, aim_at=played.now - 0.1)
    context.on_time = played.ask(**prompt)
    assert len(played.answers) == 1, played.all()


@when('the running request ends')
def end_running(context: Any) -> None:
    played = context.played
    key = context.running.key
    played.now += 0.1
    played.take(end(played.board, key, Ending.answered, played.now))


@when('a request waits for {seconds:g} seconds')
def wait_for_place(context: Any, seconds: float) -> None:
    played = context.played
    context.late = played.ask(
        **prompt_fields(played), wait_until=played.now + 2.7
    )
    played.now += seconds
    played.take(tick(played.board, played.now))
    assert context.late.key not in played.answers


@when('it is sent to a new coordinator with the same placements')
def change_coordinator(context: Any) -> None:
    old = context.played
    new = model_board(1, 1, 4000)
    new.now = old.now
    for place in old.board.places.values():
        hold(new.board, place)
    new.take(ask(new.board, context.late, new.now))
    context.played = new


@then('it is rejected {seconds:g} seconds later at the latest')
def check_refused_by(context: Any, seconds: float) -> None:
    played = context.played
    played.now += seconds
    played.take(tick(played.board, played.now))
    answer = played.answers[context.late.key][0]
    assert not isinstance(answer, Granted)
    assert answer.failure.retry_at > played.now - seconds


@when('a request arrives, then a stream that is resumed')
def ask_resumed(context: Any) -> None:
    played = context.played
    context.late = played.ask(**prompt_fields(played))
    played.now += 0.1
    context.on_time = played.ask(
        **prompt_fields(played),
        attempt=2,
        aim_at=played.now - 5,
        resumed=True,
    )
    assert len(played.answers) == 1, played.all()


@when(
    '{count:d} prompts of {tokens:d} tokens arrive every {pause:g} seconds '
    'for {seconds:d} seconds and one ends every {ends:g} seconds',
)
def play_queue(
    context: Any,
    count: int,
    tokens: int,
    pause: float,
    seconds: int,
    ends: float,
) -> None:
    def end_due(played: Played, step: int) -> None:
        if _is_due(step, ends):
            _end_oldest(played)

    burst = Burst(count, pause, sizes(tokens, 1000))
    _play(context, burst, seconds, end_due)


@when(
    '{count:d} prompts of {tokens:d} tokens with {expected:d} expected arrive '
    'every {pause:g} seconds for {seconds:d} seconds',
)
def play_engines(
    context: Any,
    count: int,
    tokens: int,
    expected: int,
    pause: float,
    seconds: int,
) -> None:
    """Simulate a burst with engines of typical prefill and decode speed."""

    def end_decoded(played: Played, step: int) -> None:
        _end_decoded(played, expected)

    burst = Burst(count, pause, sizes(tokens, expected))
    _play(context, burst, seconds, end_decoded)


@attrs.frozen
class Burst:
    """Requests that arrive together at a fixed interval in seconds."""

    count: int
    pause: float
    fields: dict[str, int]


def _play(
    context: Any,
    burst: Burst,
    seconds: int,
    end_some: Callable[[Played, int], None],
) -> None:
    """Simulate a queue; record arrival and answer of each request."""
    played = context.played
    context.arrived = {}
    context.answered = {}
    context.started = played.now
    for step in range(round(seconds / TICK)):
        played.now = context.started + step * TICK
        arriving = burst.count * _is_due(step, burst.pause)
        for _ in range(arriving):
            need = played.ask(**burst.fields)
            context.arrived[need.key] = played.now
        _end_prefills(played)
        end_some(played, step)
        played.take(tick(played.board, played.now))
        for key in played.answers.keys() - context.answered.keys():
            context.answered[key] = played.now


def _end_decoded(played: Played, expected: int) -> None:
    """End the requests that have generated their tokens at 6 ms each."""
    for key, place in list(played.board.places.items()):
        reading = 0.25 * (not place.read_by)
        ends_at = place.started_at + reading + expected * 0.006
        if not place.prefill and played.now >= ends_at:
            played.take(end(played.board, key, Ending.answered, played.now))


@then('none is rejected or late, and decode upstreams prefill some prompts')
def check_spare(context: Any) -> None:
    played = context.played
    assert not played.refused(), played.refused()
    assert max(_waits(context, Granted)) <= 0.7
    assert any(granted.prefill is None for granted in played.granted())


@then('the decode upstreams prefill none of the prompts')
def check_not_spare(context: Any) -> None:
    granted = context.played.granted()
    assert granted
    assert all(one.prefill is not None for one in granted)


def _is_due(step: int, pause: float) -> bool:
    return step % round(pause / TICK) == 0


def _end_prefills(played: Played) -> None:
    for key, place in list(played.board.places.items()):
        if place.prefill and played.now - place.granted_at >= 0.1:
            ending = Ending.answered
            played.take(end_prefill(played.board, key, ending, played.now))


def _end_oldest(played: Played) -> None:
    decoding = [
        key for key, place in played.board.places.items() if not place.prefill
    ]
    if decoding:
        key = decoding[0]
        played.take(end(played.board, key, Ending.answered, played.now))


def _waits(context: Any, kind: type, since: float = 0) -> list[float]:
    """Return the seconds that requests waited for one kind of answer."""
    return [
        context.answered[key] - arrived
        for key, arrived in context.arrived.items()
        if isinstance(context.played.answers.get(key, [None])[0], kind)
        and arrived - context.started >= since
    ]


@then('requests that are placed wait at most {seconds:g} seconds')
def check_place_waits(context: Any, seconds: float) -> None:
    assert max(_waits(context, Granted)) <= seconds


@then(
    'in the last {last:d} seconds rejections take at most {seconds:g} seconds '
    'on average',
)
def check_refusal_waits(context: Any, last: int, seconds: float) -> None:
    waits = _waits(
        context, Refused, context.played.now - context.started - last
    )
    assert len(waits) > 5, waits
    assert sum(waits) / len(waits) <= seconds, waits


@then('at least {count:d} requests were placed')
def check_served(context: Any, count: int) -> None:
    assert len(context.played.granted()) >= count, context.played.granted()


@then('no request is rejected')
def check_none_refused(context: Any) -> None:
    assert context.played.granted()
    assert not context.played.refused(), context.played.refused()


@then('the one on time is placed')
@then('the resumed stream is placed')
def check_on_time(context: Any) -> None:
    assert context.on_time.key in context.played.answers
    assert context.late.key not in context.played.answers


@then('some are rejected within the same instant')
def check_refused(context: Any) -> None:
    assert context.played.refused()


@then('each rejection states that nothing ran and when to retry')
def check_refusals(context: Any) -> None:
    played = context.played
    for refused in played.refused():
        assert refused.failure.outcome is Outcome.not_run
        assert refused.failure.retry_at > played.now


@when(
    'a request arrives, then a prefilled one whose cache expires in '
    '{seconds:g} seconds',
)
def ask_read(context: Any, seconds: float) -> None:
    played = context.played
    prompt = prompt_fields(played)
    context.usual = played.ask(**prompt)
    until = played.now + seconds
    times = {'aim_at': until, 'wait_until': until}
    context.read = played.ask(**prompt, **times, read=True)


@then('the prefilled one is placed')
def check_read(context: Any) -> None:
    answers = context.played.answers
    assert isinstance(answers[context.read.key][0], Granted)
    assert context.usual.key not in answers


@then('it is still counted {seconds:d} seconds later')
def check_counted(context: Any, seconds: int) -> None:
    played = context.played
    played.now += seconds
    played.take(tick(played.board, played.now))
    assert context.read.key in played.board.places


@when('another prefilled one waits for {seconds:g} seconds')
def wait_read(context: Any, seconds: float) -> None:
    played = context.played
    until = played.now + 0.4
    times = {'aim_at': until, 'wait_until': until}
    context.last = played.ask(**prompt_fields(played), **times, read=True)
    played.now += seconds
    played.take(tick(played.board, played.now))


@then('it is rejected')
def check_it_refused(context: Any) -> None:
    answer = context.played.answers[context.last.key][0]
    assert not isinstance(answer, Granted)
