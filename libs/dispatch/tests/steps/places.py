"""Steps of places.feature."""

from __future__ import annotations

import random
from typing import Any

import attrs
from behave import given, then, when
from boards import Played, forecast, model_board, new_need, plain_board
from gypsumrelay_dispatch import (
    Ending,
    Granted,
    Place,
    Refused,
    ask,
    end,
    end_prefill,
    forget_entry,
    hold,
    set_upstreams,
    tick,
)
from gypsumrelay_errors import NoUpstream, Outcome

# Seconds between two looks at a queue that is played.
TICK = 0.05


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
    '{count:d} plain upstreams with {slots:d} slots that bear {rate:d} sends '
    'a second',
)
def give_cold(context: Any, count: int, slots: int, rate: int) -> None:
    context.played = plain_board(count, slots, rate)


@given('a request that runs')
def give_running(context: Any) -> None:
    played = context.played
    context.running = played.ask(**_prompt(played))
    assert played.granted(), played.all()


@when(
    '{count:d} prompts of {tokens:d} tokens with {expected:d} expected '
    'arrive at once',
)
def burst(context: Any, count: int, tokens: int, expected: int) -> None:
    for _ in range(count):
        context.played.ask(**_sizes(tokens, expected))


@when(
    '{count:d} prompts of {tokens:d} tokens with {expected:d} expected '
    'are read one by one',
)
def one_by_one(context: Any, count: int, tokens: int, expected: int) -> None:
    played = context.played
    for _ in range(count):
        need = played.ask(**_sizes(tokens, expected))
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


@then('each grant names a decode upstream with room for it')
def check_room(context: Any) -> None:
    played = context.played
    memory = played.board.services['service'].memory_tokens
    assert played.granted()
    for load in played.board.loads.values():
        assert forecast(played, load) <= memory


@when('the granted prompts are read until the queue is empty')
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


@when('a request arrives whose objective has passed, then one on time')
def late_and_on_time(context: Any) -> None:
    played = context.played
    prompt = _prompt(played)
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
    context.late = played.ask(**_prompt(played), wait_until=played.now + 2.7)
    played.now += seconds
    played.take(tick(played.board, played.now))
    assert context.late.key not in played.answers


@when('a new coordinator that holds the same places is asked for it')
def change_coordinator(context: Any) -> None:
    old = context.played
    new = model_board(1, 1, 4000)
    new.now = old.now
    for place in old.board.places.values():
        hold(new.board, place)
    new.take(ask(new.board, context.late, new.now))
    context.played = new


@then('it is refused {seconds:g} seconds later at the latest')
def check_refused_by(context: Any, seconds: float) -> None:
    played = context.played
    played.now += seconds
    played.take(tick(played.board, played.now))
    answer = played.answers[context.late.key][0]
    assert not isinstance(answer, Granted)
    assert answer.failure.retry_at > played.now - seconds


@when('a request arrives, then a stream that has to go on')
def ask_resumed(context: Any) -> None:
    played = context.played
    context.late = played.ask(**_prompt(played))
    played.now += 0.1
    context.on_time = played.ask(
        **_prompt(played),
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
    played = context.played
    context.arrived = {}
    context.answered = {}
    context.started = played.now
    for step in range(round(seconds / TICK)):
        played.now = context.started + step * TICK
        for _ in range(count if _is_due(step, pause) else 0):
            need = played.ask(**_sizes(tokens, 1000))
            context.arrived[need.key] = played.now
        _end_prefills(played)
        if _is_due(step, ends):
            _end_oldest(played)
        played.take(tick(played.board, played.now))
        for key in played.answers.keys() - context.answered.keys():
            context.answered[key] = played.now


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
    """Return how long requests waited for one kind of answer."""
    return [
        context.answered[key] - arrived
        for key, arrived in context.arrived.items()
        if isinstance(context.played.answers.get(key, [None])[0], kind)
        and arrived - context.started >= since
    ]


@then('requests that get a place do so within {seconds:g} seconds')
def check_place_waits(context: Any, seconds: float) -> None:
    assert max(_waits(context, Granted)) <= seconds


@then(
    'in the last {last:d} seconds refusals come after {seconds:g} seconds at '
    'most in the mean',
)
def check_refusal_waits(context: Any, last: int, seconds: float) -> None:
    waits = _waits(
        context, Refused, context.played.now - context.started - last
    )
    assert len(waits) > 5, waits
    assert sum(waits) / len(waits) <= seconds, waits


@then('at least {count:d} requests were served')
def check_served(context: Any, count: int) -> None:
    assert len(context.played.granted()) >= count, context.played.granted()


@then('nobody is refused')
def check_none_refused(context: Any) -> None:
    assert context.played.granted()
    assert not context.played.refused(), context.played.refused()


@then('the one on time gets the place')
@then('the stream gets the place')
def check_on_time(context: Any) -> None:
    assert context.on_time.key in context.played.answers
    assert context.late.key not in context.played.answers


@then('some are refused within the same instant')
def check_refused(context: Any) -> None:
    assert context.played.refused()


@then('each refusal says that nothing ran and when to come back')
def check_refusals(context: Any) -> None:
    played = context.played
    for refused in played.refused():
        assert refused.failure.outcome is Outcome.not_run
        assert refused.failure.retry_at > played.now


@when('all upstreams leave and a plain request waits for its time')
def all_leave(context: Any) -> None:
    played = context.played
    _change(played, leaving=True)
    need = played.ask()
    played.now = need.deadline
    played.take(tick(played.board, played.now))


@then('it is refused as without upstream')
def check_without(context: Any) -> None:
    refused = context.played.refused()
    assert [type(one.failure) for one in refused] == [NoUpstream]


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


@when('{count:d} of them fails {part:d} of {whole:d} requests for a while')
def fail_some(context: Any, count: int, part: int, whole: int) -> None:
    played = context.played
    rng = random.Random(7)
    bad = {f'plain-{number}' for number in range(count)}
    context.sent = []
    running: list[tuple[float, Any]] = []
    for _ in range(600):
        played.now += 0.01
        need = played.ask()
        running.append((played.now + 0.045, need))
        while running and running[0][0] <= played.now:
            done = running.pop(0)[1]
            name = played.board.places[done.key].upstream
            context.sent.append(name)
            failed = name in bad and rng.random() < part / whole
            ending = Ending.failed if failed else Ending.answered
            played.take(end(played.board, done.key, ending, played.now))


@then('it got fewer than a quarter of the requests')
def check_quarter(context: Any) -> None:
    assert context.sent.count('plain-0') < len(context.sent) / 4


@when('one of them cannot be reached')
def unreached(context: Any) -> None:
    played = context.played
    need = played.ask()
    context.bad = played.board.places[need.key].upstream
    played.take(end(played.board, need.key, Ending.unreached, played.now))


@when('one of them answers that it is another one')
def misdirected(context: Any) -> None:
    played = context.played
    need = played.ask()
    context.bad = played.board.places[need.key].upstream
    ending = Ending.misdirected
    played.take(end(played.board, need.key, ending, played.now))


@then('after {seconds:d} seconds the next {count:d} requests go to the others')
def check_later(context: Any, seconds: int, count: int) -> None:
    played = context.played
    for key in list(played.board.places):
        played.take(end(played.board, key, Ending.answered, played.now))
    played.now += seconds
    check_others(context, count)


@when(
    'the prefill upstream leaves and {count:d} prompts of {tokens:d} tokens '
    'arrive',
)
def no_prefill(context: Any, count: int, tokens: int) -> None:
    _change(context.played, only='prefill-0', leaving=True)
    for _ in range(count):
        context.played.ask(**_sizes(tokens, 500))


@then('{count:d} of them run, {each} at each decode upstream')
def check_direct(context: Any, count: int, each: str) -> None:
    used = context.played.by_upstream()
    assert used.total() == count
    assert set(used.values()) == {('one', 'two').index(each) + 1}


@when('the queue is served {seconds:g} seconds later')
def pass_time(context: Any, seconds: float) -> None:
    played = context.played
    played.now += seconds
    played.take(tick(played.board, played.now))


@then('the next {count:d} requests go to the others')
def check_others(context: Any, count: int) -> None:
    played = context.played
    for _ in range(count):
        played.ask()
    assert played.by_upstream()[context.bad] == 0
    assert played.by_upstream().total() == count


@when('the others leave')
def others_leave(context: Any) -> None:
    _change(context.played, keep=context.bad, leaving=True)


@then('a request still goes to it')
def check_still(context: Any) -> None:
    need = context.played.ask()
    places = context.played.board.places
    assert places[need.key].upstream == context.bad


@when('zone {zone:d} is evacuated and upstream {number:d} is leaving')
def evacuate(context: Any, zone: int, number: int) -> None:
    played = context.played
    played.board.evacuated = frozenset((f'zone-{zone}',))
    _change(played, only=f'plain-{number}', leaving=True)


@then('{count:d} of {asked:d} requests run, all at upstream {number:d}')
def check_only(context: Any, count: int, asked: int, number: int) -> None:
    for _ in range(asked):
        context.played.ask()
    assert context.played.by_upstream() == {f'plain-{number}': count}


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


@when('upstream {number:d} vanishes from the list after the store was away')
def vanish(context: Any, number: int) -> None:
    played = context.played
    gone = f'plain-{number}'
    pool = [
        load.upstream
        for name, load in played.board.loads.items()
        if name != gone
    ]
    set_upstreams(played.board, pool, played.now, lapsed=True)
    context.gone = gone


@then('it is used for {seconds:g} seconds and then no more')
def check_grace(context: Any, seconds: float) -> None:
    played = context.played
    played.now += seconds - 0.1
    for _ in range(18):
        played.ask()
    assert played.by_upstream()[context.gone] == 6
    played.now += 0.2
    for key in list(played.board.places):
        played.take(end(played.board, key, Ending.answered, played.now))
    for _ in range(12):
        played.ask()
    assert played.by_upstream()[context.gone] == 0


@when('its upstream restarts under the same name')
def restart(context: Any) -> None:
    played = context.played
    context.name = played.board.places[context.running.key].upstream
    _change(played, only=context.name, started_ms=2)


@then('the new incarnation has no load')
def check_restarted(context: Any) -> None:
    played = context.played
    played.take(
        end(played.board, context.running.key, Ending.lost, played.now),
    )
    load = played.board.loads[context.name]
    assert not load.running


@when('another entry tells of a place in use and a request arrives')
def held(context: Any) -> None:
    played = context.played
    need = new_need('held', played.now, entry='other', **_prompt(played))
    hold(played.board, Place(need, 'decode-0', '', 0, played.now))
    context.held = need
    context.waiting = played.ask(**_prompt(played))
    assert not played.all()


@then('the request waits until that place is free')
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


@then('the request gets the place')
def check_gets(context: Any) -> None:
    answers = context.played.answers[context.waiting.key]
    assert isinstance(answers[0], Granted)


@when(
    'a request arrives, then one whose prompt is read and lapses in '
    '{seconds:g} seconds',
)
def ask_read(context: Any, seconds: float) -> None:
    played = context.played
    prompt = _prompt(played)
    context.usual = played.ask(**prompt)
    until = played.now + seconds
    times = {'aim_at': until, 'wait_until': until}
    context.read = played.ask(**prompt, **times, read=True)


@then('the one that is read gets the place')
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


@when('another one whose prompt is read waits for {seconds:g} seconds')
def wait_read(context: Any, seconds: float) -> None:
    played = context.played
    until = played.now + 0.4
    times = {'aim_at': until, 'wait_until': until}
    context.last = played.ask(**_prompt(played), **times, read=True)
    played.now += seconds
    played.take(tick(played.board, played.now))


@when('one of them comes back under another name while the store was away')
def come_back_renamed(context: Any) -> None:
    played = context.played
    pool = [load.upstream for load in played.board.loads.values()]
    context.renamed = pool[0].name
    pool[0] = attrs.evolve(pool[0], name='renamed', started_ms=2)
    set_upstreams(played.board, pool, played.now, lapsed=True)


@then('the next {count:d} requests go to the listed ones')
def check_listed(context: Any, count: int) -> None:
    played = context.played
    for _ in range(count):
        played.ask()
    used = played.by_upstream()
    assert used.total() == count
    assert context.renamed not in used, used


@then('it is refused')
def check_it_refused(context: Any) -> None:
    answer = context.played.answers[context.last.key][0]
    assert not isinstance(answer, Granted)


@when('a request asks twice under the same name and ends once')
def ask_twice(context: Any) -> None:
    played = context.played
    filler = played.ask(**_sizes(3000, 500))
    for _ in range(2):
        need = new_need('twice', played.now, **_sizes(2000, 500))
        played.take(ask(played.board, need, played.now))
        played.take(end(played.board, filler.key, Ending.answered, played.now))
    played.take(end(played.board, need.key, Ending.answered, played.now))


@then('nothing is left of it at any upstream')
def check_nothing_left(context: Any) -> None:
    for load in context.played.board.loads.values():
        assert not load.running
        assert not load.reading_ms


@when('its instance reports nothing for {seconds:d} seconds')
def report_nothing(context: Any, seconds: int) -> None:
    played = context.played
    played.now += seconds
    played.take(tick(played.board, played.now))


@then('a long prompt is read at once')
def check_long(context: Any) -> None:
    played = context.played
    need = played.ask(**_sizes(9000, 500))
    assert isinstance(played.answers[need.key][0], Granted)
    played.take(end(played.board, need.key, Ending.answered, played.now))


@then('{count:d} random days keep all bounds and answer each ask once')
def random_days(context: Any, count: int) -> None:
    for seed in range(count):
        _random_day(random.Random(seed))


def _random_day(rng: random.Random) -> None:
    played = model_board(2, 3, 20_000)
    service = played.board.services['service']
    played.board.services['service'] = attrs.evolve(service, cold_per_second=20)
    sent: dict[str, list[float]] = {}
    counted = 0
    for _ in range(120):
        played.now += rng.random() * 0.2
        _random_event(played, rng)
        for granted in played.granted()[counted:]:
            counted += 1
            sent.setdefault(granted.upstream.name, []).append(played.now)
        _check_bounds(played, sent)
    played.now += 100
    played.take(tick(played.board, played.now))
    assert not played.board.queue
    for key in list(played.board.places):
        played.take(end(played.board, key, Ending.answered, played.now))
    assert len(played.answers) == played.asked
    assert all(len(given) == 1 for given in played.answers.values())
    for load in played.board.loads.values():
        assert not load.running
        assert not load.reading_ms


def _random_event(played: Played, rng: random.Random) -> None:
    keys = list(played.board.places)
    choice = rng.random()
    ending = rng.choice(list(Ending))
    if choice < 0.45 or not keys:
        played.ask(
            **_sizes(rng.randrange(1, 9000), rng.randrange(1, 2700)),
            excluded=frozenset(rng.sample(['decode-0', 'prefill-1'], 1)),
        )
    elif choice < 0.65:
        key = rng.choice(keys)
        played.take(end_prefill(played.board, key, ending, played.now))
    elif choice < 0.9:
        key = rng.choice(keys)
        played.take(end(played.board, key, ending, played.now))
    else:
        _change(
            played,
            only=f'decode-{rng.randrange(3)}',
            leaving=rng.random() < 0.5,
        )
    played.take(tick(played.board, played.now))


def _check_bounds(played: Played, sent: dict[str, list[float]]) -> None:
    memory = played.board.services['service'].memory_tokens
    for load in played.board.loads.values():
        if played.now in sent.get(load.upstream.name, ()):
            alone = len(load.running) == 1
            assert alone or forecast(played, load) <= memory
        if len(load.reading_ms) > 1:
            limit = played.board.settings.prefill_backlog_ms
            assert sum(load.reading_ms.values()) <= limit * 8
    for times in sent.values():
        assert sum(one > played.now - 1 for one in times) <= 20


def _prompt(played: Played) -> dict[str, int]:
    if any(name.startswith('plain') for name in played.board.loads):
        return {}
    return _sizes(3000, 800)


def _sizes(prompt: int, expected: int) -> dict[str, int]:
    return {
        'prompt_tokens': prompt,
        'output_tokens': 2700,
        'expected_tokens': expected,
    }


def _change(
    played: Played,
    only: str = '',
    keep: str = '',
    **fields: Any,
) -> None:
    """Change listed upstreams."""
    pool = [
        attrs.evolve(load.upstream, **fields)
        if (not only or name == only) and name != keep
        else load.upstream
        for name, load in played.board.loads.items()
    ]
    set_upstreams(played.board, pool, played.now)
