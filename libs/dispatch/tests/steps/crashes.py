"""Steps of crashes.feature."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from gypsumrelay_attribution import Crash
from gypsumrelay_dispatch import (
    Ending,
    Grant,
    PlacementRequest,
    SchedulerState,
    apply_upstreams,
    end_attempt,
    end_prefill,
    restore_completed,
    restore_crash,
    restore_quarantine,
    tick,
)
from gypsumrelay_errors import Outcome
from simulation import (
    Simulation,
    change_listed,
    limit_account,
    model_simulation,
    token_counts,
)

MEMORY_TOKENS = 20_000
DOWN_SECONDS = 2.0
# Digest of a prompt that is sent again and again.
REPEATED = b'repeated'


@given('{count:d} decode upstreams')
def give_decode(context: Any, count: int) -> None:
    context.sim = model_simulation(0, count, MEMORY_TOKENS)
    context.number = 0


@given('{prefill:d} prefill and {decode:d} decode upstreams')
def give_both(context: Any, prefill: int, decode: int) -> None:
    context.sim = model_simulation(prefill, decode, MEMORY_TOKENS)
    context.number = 0


@given('a prompt with the part "{part}" that waits for a placement')
def give_waiting(context: Any, part: str) -> None:
    limit_account(context.sim, 1000, 2000)
    context.waiting = submit(
        context,
        part,
        excluded=frozenset(context.sim.scheduler.loads),
        client_account='account',
        cost_tokens=500,
        deadline=context.sim.now + 60,
        wait_until=context.sim.now + 60,
    )
    assert context.waiting.key not in context.sim.answers


@when('{count:d} prompts with the part "{part}" crash an upstream each')
def crash_each(context: Any, count: int, part: str) -> None:
    for _ in range(count):
        request = submit(context, part)
        context.last = upstream_of(context, request)
        end(context, request, Ending.crashed)
        restart(context.sim, context.last)


@when(
    'the last crash is confirmed once more by the list and by a refused '
    'connection',
)
def confirm_again(context: Any) -> None:
    request = submit(context, 'sound', excluded=others(context, context.last))
    end(context, request, Ending.unreached)
    restart(context.sim, context.last)


@when(
    '{count:d} upstreams crash while each starts a prompt with the part '
    '"{part}", whose loss is reported last',
)
def crash_late(context: Any, count: int, part: str) -> None:
    for _ in range(count):
        request = submit(context, part)
        name = upstream_of(context, request)
        beside = submit(context, 'sound', excluded=others(context, name))
        end(context, beside, Ending.crashed, began=True)
        context.sim.now += 0.2
        end(context, request, Ending.lost)
        restart(context.sim, name)


@when(
    'an upstream falls silent while it starts {count:d} prompts with the part '
    '"{part}", which time out {seconds:g} seconds apart',
)
def time_out(context: Any, count: int, part: str, seconds: float) -> None:
    first = submit(context, part, read=True)
    name = upstream_of(context, first)
    excluded = others(context, name)
    requests = [
        submit(context, part, read=True, excluded=excluded)
        for _ in range(count - 1)
    ]
    for request in (first, *requests):
        assert upstream_of(context, request) == name
        context.sim.now += seconds
        end(context, request, Ending.lost)
        # A refused connection confirms each loss by itself.
        probe = submit(context, 'sound', read=True, excluded=excluded)
        end(context, probe, Ending.unreached)
    restart(context.sim, name)


@when('a prompt crashes {count:d} upstreams')
def crash_same(context: Any, count: int) -> None:
    for _ in range(count):
        request = submit(context, 'own', digest=REPEATED)
        name = upstream_of(context, request)
        context.crashed_at = context.sim.now
        end(context, request, Ending.crashed)
        restart(context.sim, name)


@when('they report that the prompt was rejected')
def report_rejected(context: Any) -> None:
    sim = context.sim
    restore_quarantine(sim.scheduler, REPEATED, sim.now - 0.5, sim.now)


@then(
    'the prompt is placed as a trial {seconds:g} seconds after its last crash',
)
def check_trial(context: Any, seconds: float) -> None:
    sim = context.sim
    request = submit(context, 'own', digest=REPEATED)
    failure = first_answer(context, request).failure
    assert failure.code == 'request_quarantined', failure
    sim.now = context.crashed_at + seconds
    request = submit(context, 'own', digest=REPEATED)
    assert isinstance(first_answer(context, request), Grant)


@when(
    '{count:d} upstreams that leave end while each starts a prompt with the '
    'part "{part}"',
)
def end_leaving(context: Any, count: int, part: str) -> None:
    for _ in range(count):
        request = submit(context, part)
        name = upstream_of(context, request)
        change_listed(context.sim, only=name, leaving=True)
        end(context, request, Ending.crashed)


@when(
    '{count:d} prompts with the part "{part}" lose their connections, and '
    'their upstreams answer others and crash later',
)
def lose_only(context: Any, count: int, part: str) -> None:
    for _ in range(count):
        request = submit(context, part)
        name = upstream_of(context, request)
        end(context, request, Ending.lost)
        context.sim.now += 1
        other = submit(context, 'sound', excluded=others(context, name))
        end(context, other, Ending.answered)
        restart(context.sim, name)


@when('{count:d} prompts with the part "{part}" crash a prefill upstream each')
def crash_prefill(context: Any, count: int, part: str) -> None:
    sim = context.sim
    for _ in range(count):
        request = submit(context, part)
        name = sim.scheduler.placements[request.key].prefill
        assert name
        end_prefill(sim.scheduler, request.key, Ending.crashed, sim.now)
        end(context, request, Ending.cancelled)
        restart(sim, name)


@when('{count:d} instances report these crashes to a new coordinator')
def hand_over(context: Any, count: int) -> None:
    sim = context.sim
    old = sim.scheduler
    sim.scheduler = SchedulerState(old.settings, old.services)
    pool = [load.upstream for load in old.loads.values()]
    apply_upstreams(sim.scheduler, pool, sim.now)
    for instance in range(count):
        for crash in old.crash_history.crashes:
            reported = Crash(
                crash.upstream,
                crash.at + 0.02 * instance,
                dict(crash.started),
                dict(crash.answered),
            )
            restore_crash(sim.scheduler, reported)


@when('one of them reports that upstreams completed the part "{part}" since')
def report_completed(context: Any, part: str) -> None:
    sim = context.sim
    for subject in (b'first', part.encode()):
        restore_completed(sim.scheduler, subject, sim.now - 0.1)


@then('the waiting prompt is rejected as not run, with a time to return')
def check_waiting(context: Any) -> None:
    sim = context.sim
    sim.collect(tick(sim.scheduler, sim.now))
    failure = first_answer(context, context.waiting).failure
    assert failure.code == 'part_quarantined', failure
    assert failure.outcome is Outcome.not_run
    assert failure.retry_at > sim.now


@then('its account is not charged for it')
def check_refunded(context: Any) -> None:
    scheduler = context.sim.scheduler
    bucket = scheduler.accounts.buckets['account']
    assert bucket.level == bucket.size.burst


@then('prompts with the part "{part}" are rejected')
def check_rejected(context: Any, part: str) -> None:
    request = submit(context, part)
    failure = first_answer(context, request).failure
    assert failure.code == 'part_quarantined', failure


@then('prompts with the part "{part}" are placed')
def check_placed(context: Any, part: str) -> None:
    request = submit(context, part)
    assert isinstance(first_answer(context, request), Grant)


def submit(context: Any, part: str, **fields: Any) -> PlacementRequest:
    """Submit a prompt that no other one is equal to."""
    context.number += 1
    defaults: dict[str, Any] = token_counts(1000, 300) | {
        'digest': b'content %d' % context.number,
        'parts': (b'first', part.encode()),
    }
    request: PlacementRequest = context.sim.submit(**(defaults | fields))
    return request


def first_answer(context: Any, request: PlacementRequest) -> Any:
    sim = context.sim
    return sim.answers[request.key][0]


def upstream_of(context: Any, request: PlacementRequest) -> str:
    placements = context.sim.scheduler.placements
    return str(placements[request.key].upstream)


def others(context: Any, name: str) -> frozenset[str]:
    """Return all upstreams but one, to place a request at that one."""
    return frozenset(context.sim.scheduler.loads) - {name}


def end(
    context: Any,
    request: PlacementRequest,
    ending: Ending,
    *,
    began: bool = False,
) -> None:
    sim = context.sim
    decisions = end_attempt(
        sim.scheduler, request.key, ending, sim.now, began=began
    )
    sim.collect(decisions)


def restart(sim: Simulation, name: str) -> None:
    """Let an upstream start again under its name."""
    sim.now += DOWN_SECONDS
    change_listed(sim, only=name, started_ms=int(sim.now * 1000))
