"""Steps of placement.feature: grants and ends of placements."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from gypsumrelay_dispatch import (
    Ending,
    Granted,
    Place,
    ask,
    end,
    end_prefill,
    forget_entry,
    hold,
    tick,
)
from simulation import (
    forecast,
    model_board,
    new_need,
    plain_board,
    prompt_fields,
    sizes,
)


@given(
    '{prefill:d} prefill and {decode:d} decode upstreams with {memory:d} '
    'tokens of memory',
)
def give_model(context: Any, prefill: int, decode: int, memory: int) -> None:
    context.played = model_board(prefill, decode, memory)


@given('{count:d} plain upstreams with {slots:d} slots')
def give_plain(context: Any, count: int, slots: int) -> None:
    context.played = plain_board(count, slots)


@given(
    '{count:d} plain upstreams with {slots:d} slots and a cold limit of '
    '{rate:d} per second',
)
def give_cold(context: Any, count: int, slots: int, rate: int) -> None:
    context.played = plain_board(count, slots, rate)


@when(
    '{count:d} prompts of {tokens:d} tokens with {expected:d} expected '
    'arrive at once',
)
def burst(context: Any, count: int, tokens: int, expected: int) -> None:
    for _ in range(count):
        context.played.ask(**sizes(tokens, expected))


@when(
    '{count:d} prompts of {tokens:d} tokens with {expected:d} expected '
    'are prefilled one by one',
)
def one_by_one(context: Any, count: int, tokens: int, expected: int) -> None:
    played = context.played
    for _ in range(count):
        need = played.ask(**sizes(tokens, expected))
        played.now += 0.1
        ending = Ending.answered
        played.take(end_prefill(played.board, need.key, ending, played.now))


@then('{count:d} of them run at the decode upstream')
def check_decode(context: Any, count: int) -> None:
    assert context.played.by_upstream() == {'decode-0': count}


@then('no prefill upstream has more than {limit:d} ms of work')
def check_backlog(context: Any, limit: int) -> None:
    for load in context.played.board.loads.values():
        assert load.backlog_ms <= limit


@then('each grant names a decode upstream with sufficient memory')
def check_room(context: Any) -> None:
    played = context.played
    memory = played.board.services['service'].memory_tokens
    assert played.granted()
    for load in played.board.loads.values():
        assert forecast(played, load) <= memory


@when('the granted prompts are processed until the queue is empty')
def drain_queue(context: Any) -> None:
    played = context.played
    for _ in range(200):
        if not played.board.places and not played.board.queue:
            return
        played.now += 0.05
        for key, place in list(played.board.places.items()):
            ending = Ending.answered
            if place.prefill:
                played.take(end_prefill(played.board, key, ending, played.now))
            else:
                played.take(end(played.board, key, ending, played.now))
    raise AssertionError('the queue never became empty')


@then('every request was answered exactly once')
def check_answers(context: Any) -> None:
    played = context.played
    assert len(played.answers) == played.asked
    assert all(len(given) == 1 for given in played.answers.values())


@when('{count:d} plain requests arrive at once')
def plain_burst(context: Any, count: int) -> None:
    for _ in range(count):
        context.played.ask()


@then('{count:d} of them run and each upstream has {each:d}')
def check_slots(context: Any, count: int, each: int) -> None:
    used = context.played.by_upstream()
    assert used.total() == count
    assert set(used.values()) == {each}


@when('one of them ends')
def one_ends(context: Any) -> None:
    played = context.played
    key = next(iter(played.board.places))
    played.now += 0.05
    played.take(end(played.board, key, Ending.answered, played.now))


@when('{count:d} plain requests arrive over {seconds:d} seconds')
def spread(context: Any, count: int, seconds: int) -> None:
    played = context.played
    context.sent_at = []
    for _ in range(count):
        played.now += seconds / count
        before = len(played.granted())
        played.ask()
        played.take(tick(played.board, played.now))
        new = len(played.granted()) - before
        context.sent_at.extend(played.now for _ in range(new))


@then('no second has more than {most:d} sends')
def check_seconds(context: Any, most: int) -> None:
    times = context.sent_at
    assert len(times) > most
    for start in times:
        assert sum(start <= one < start + 1 for one in times) <= most


@when('another entry reports an active placement and a request arrives')
def held(context: Any) -> None:
    played = context.played
    need = new_need('held', played.now, entry='other', **prompt_fields(played))
    hold(played.board, Place(need, 'decode-0', '', 0, played.now))
    context.held = need
    context.waiting = played.ask(**prompt_fields(played))
    assert not played.all()


@then('the request waits until that placement ends')
def check_waits(context: Any) -> None:
    played = context.played
    played.take(
        end(played.board, context.held.key, Ending.answered, played.now)
    )
    assert isinstance(played.answers[context.waiting.key][0], Granted)


@when('that entry is gone')
def entry_gone(context: Any) -> None:
    played = context.played
    played.take(forget_entry(played.board, 'other', played.now))


@then('the request is placed')
def check_gets(context: Any) -> None:
    answers = context.played.answers[context.waiting.key]
    assert isinstance(answers[0], Granted)


@when('an attempt is requested twice and ends once')
def ask_twice(context: Any) -> None:
    played = context.played
    filler = played.ask(**sizes(3000, 500))
    for _ in range(2):
        need = new_need('twice', played.now, **sizes(2000, 500))
        played.take(ask(played.board, need, played.now))
        played.take(end(played.board, filler.key, Ending.answered, played.now))
    played.take(end(played.board, need.key, Ending.answered, played.now))


@then('no upstream has any load left')
def check_nothing_left(context: Any) -> None:
    for load in context.played.board.loads.values():
        assert not load.running
        assert not load.reading_ms


@when('its instance reports nothing for {seconds:d} seconds')
def report_nothing(context: Any, seconds: int) -> None:
    played = context.played
    played.now += seconds
    played.take(tick(played.board, played.now))


@then('a long prompt is prefilled at once')
def check_long(context: Any) -> None:
    played = context.played
    need = played.ask(**sizes(9000, 500))
    assert isinstance(played.answers[need.key][0], Granted)
    played.take(end(played.board, need.key, Ending.answered, played.now))


@when(
    'a prompt of {tokens:d} tokens is prefilled there and its caller '
    'disconnects',
)
def leave_reading(context: Any, tokens: int) -> None:
    played = context.played
    need = played.ask(**sizes(tokens, 100))
    assert len(played.granted()) == 1, played.answers
    played.take(end(played.board, need.key, Ending.cancelled, played.now))


@then('the next prompt is placed at once')
def check_next(context: Any) -> None:
    played = context.played
    need = played.ask(**sizes(3000, 100))
    assert isinstance(played.answers.get(need.key, [None])[0], Granted)
