"""Steps of placement.feature: grants and ends of placements."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from gypsumrelay_dispatch import (
    ActivePlacement,
    Ending,
    Grant,
    end_attempt,
    end_prefill,
    remove_instance,
    request_placement,
    restore_placement,
    tick,
)
from simulation import (
    forecast,
    model_simulation,
    new_request,
    plain_simulation,
    prompt_fields,
    token_counts,
)


@given(
    '{prefill:d} prefill and {decode:d} decode upstreams with {memory:d} '
    'tokens of memory',
)
def give_model(context: Any, prefill: int, decode: int, memory: int) -> None:
    context.sim = model_simulation(prefill, decode, memory)


@given('{count:d} plain upstreams with {slots:d} slots')
def give_plain(context: Any, count: int, slots: int) -> None:
    context.sim = plain_simulation(count, slots)


@given(
    '{count:d} plain upstreams with {slots:d} slots and a cold limit of '
    '{rate:d} per second',
)
def give_cold(context: Any, count: int, slots: int, rate: int) -> None:
    context.sim = plain_simulation(count, slots, rate)


@when(
    '{count:d} prompts of {tokens:d} tokens with {expected:d} expected '
    'arrive at once',
)
def burst(context: Any, count: int, tokens: int, expected: int) -> None:
    for _ in range(count):
        context.sim.submit(**token_counts(tokens, expected))


@when(
    '{count:d} prompts of {tokens:d} tokens with {expected:d} expected '
    'are prefilled one by one',
)
def prefill_one_by_one(
    context: Any, count: int, tokens: int, expected: int
) -> None:
    sim = context.sim
    for _ in range(count):
        request = sim.submit(**token_counts(tokens, expected))
        sim.now += 0.1
        ending = Ending.answered
        sim.collect(end_prefill(sim.scheduler, request.key, ending, sim.now))


@then('{count:d} of them run at the decode upstream')
def check_decode(context: Any, count: int) -> None:
    assert context.sim.by_upstream() == {'decode-0': count}


@then('no prefill upstream has more than {limit:d} ms of work')
def check_backlog(context: Any, limit: int) -> None:
    for load in context.sim.scheduler.loads.values():
        assert load.backlog_ms <= limit


@then('each grant names a decode upstream with sufficient memory')
def check_memory(context: Any) -> None:
    sim = context.sim
    memory = sim.scheduler.services['service'].memory_tokens
    assert sim.grants()
    for load in sim.scheduler.loads.values():
        assert forecast(sim, load) <= memory


@when('the granted prompts are processed until the queue is empty')
def process_queue(context: Any) -> None:
    sim = context.sim
    for _ in range(200):
        if not sim.scheduler.placements and not sim.scheduler.queue:
            return
        sim.now += 0.05
        for key, placement in list(sim.scheduler.placements.items()):
            ending = Ending.answered
            if placement.prefill:
                sim.collect(end_prefill(sim.scheduler, key, ending, sim.now))
            else:
                sim.collect(end_attempt(sim.scheduler, key, ending, sim.now))
    raise AssertionError('the queue never became empty')


@then('every request was answered exactly once')
def check_answers(context: Any) -> None:
    sim = context.sim
    assert len(sim.answers) == sim.submitted
    assert all(len(given) == 1 for given in sim.answers.values())


@when('{count:d} plain requests arrive at once')
def plain_burst(context: Any, count: int) -> None:
    for _ in range(count):
        context.sim.submit()


@then('{count:d} of them run and each upstream has {each:d}')
def check_slots(context: Any, count: int, each: int) -> None:
    used = context.sim.by_upstream()
    assert used.total() == count
    assert set(used.values()) == {each}


@when('one of them ends')
def one_ends(context: Any) -> None:
    sim = context.sim
    key = next(iter(sim.scheduler.placements))
    sim.now += 0.05
    sim.collect(end_attempt(sim.scheduler, key, Ending.answered, sim.now))


@when('{count:d} plain requests arrive over {seconds:d} seconds')
def spread(context: Any, count: int, seconds: int) -> None:
    sim = context.sim
    context.sent_at = []
    for _ in range(count):
        sim.now += seconds / count
        before = len(sim.grants())
        sim.submit()
        sim.collect(tick(sim.scheduler, sim.now))
        new = len(sim.grants()) - before
        context.sent_at.extend(sim.now for _ in range(new))


@then('no second has more than {most:d} sends')
def check_seconds(context: Any, most: int) -> None:
    times = context.sent_at
    assert len(times) > most
    for start in times:
        assert sum(start <= one < start + 1 for one in times) <= most


@when('another instance reports an active placement and a request arrives')
def report_placement(context: Any) -> None:
    sim = context.sim
    request = new_request('held', sim.now, entry='other', **prompt_fields(sim))
    restore_placement(
        sim.scheduler, ActivePlacement(request, 'decode-0', '', 0, sim.now)
    )
    context.held = request
    context.waiting = sim.submit(**prompt_fields(sim))
    assert not sim.all()


@then('the request waits until that placement ends')
def check_waits(context: Any) -> None:
    sim = context.sim
    sim.collect(
        end_attempt(sim.scheduler, context.held.key, Ending.answered, sim.now)
    )
    assert isinstance(sim.answers[context.waiting.key][0], Grant)


@when('that instance is gone')
def entry_gone(context: Any) -> None:
    sim = context.sim
    sim.collect(remove_instance(sim.scheduler, 'other', sim.now))


@then('the request is placed')
def check_is_placed(context: Any) -> None:
    answers = context.sim.answers[context.waiting.key]
    assert isinstance(answers[0], Grant)


@when('an attempt is requested twice and ends once')
def submit_twice(context: Any) -> None:
    sim = context.sim
    filler = sim.submit(**token_counts(3000, 500))
    for _ in range(2):
        request = new_request('twice', sim.now, **token_counts(2000, 500))
        sim.collect(request_placement(sim.scheduler, request, sim.now))
        sim.collect(
            end_attempt(sim.scheduler, filler.key, Ending.answered, sim.now)
        )
    sim.collect(
        end_attempt(sim.scheduler, request.key, Ending.answered, sim.now)
    )


@then('no upstream has any load left')
def check_nothing_left(context: Any) -> None:
    for load in context.sim.scheduler.loads.values():
        assert not load.running
        assert not load.prefill_work_ms


@when('its instance reports nothing for {seconds:d} seconds')
def report_nothing(context: Any, seconds: int) -> None:
    sim = context.sim
    sim.now += seconds
    sim.collect(tick(sim.scheduler, sim.now))


@then('a long prompt is prefilled at once')
def check_long(context: Any) -> None:
    sim = context.sim
    request = sim.submit(**token_counts(9000, 500))
    assert isinstance(sim.answers[request.key][0], Grant)
    sim.collect(
        end_attempt(sim.scheduler, request.key, Ending.answered, sim.now)
    )


@when(
    'a prompt of {tokens:d} tokens is prefilled there and its caller '
    'disconnects',
)
def disconnect_during_prefill(context: Any, tokens: int) -> None:
    sim = context.sim
    request = sim.submit(**token_counts(tokens, 100))
    assert len(sim.grants()) == 1, sim.answers
    sim.collect(
        end_attempt(sim.scheduler, request.key, Ending.cancelled, sim.now)
    )


@then('the next prompt is placed at once')
def check_next(context: Any) -> None:
    sim = context.sim
    request = sim.submit(**token_counts(3000, 100))
    assert isinstance(sim.answers.get(request.key, [None])[0], Grant)
