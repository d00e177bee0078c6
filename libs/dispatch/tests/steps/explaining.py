"""Steps of explaining.feature."""

from __future__ import annotations

import random
from typing import Any

from behave import given, then, when
from gypsumrelay_dispatch import (
    Decision,
    Grant,
    Pause,
    Phase,
    Rejection,
    apply_pause,
    apply_rate_limit,
    request_placement,
)
from gypsumrelay_dispatch.explaining import Explanation, explain
from gypsumrelay_errors import RateExceeded
from hypothesis import HealthCheck, settings
from hypothesis import given as draw
from hypothesis import strategies as st
from random_traffic import random_event
from simulation import (
    Simulation,
    change_listed,
    limit_account,
    model_simulation,
    new_request,
    plain_simulation,
    token_counts,
)

EVENTS = 40


def random_simulation(rng: random.Random) -> Simulation:
    """Return a state after random traffic."""
    if rng.random() < 0.4:
        sim = plain_simulation(
            rng.randrange(1, 5),
            rng.randrange(1, 4),
            rng.choice((0, 2)),
            learn_performance=rng.random() < 0.5,
            queue_policy=rng.choice(('strict', 'weighted')),
        )
        for _ in range(rng.randrange(12)):
            sim.now += rng.random() * 0.1
            sim.submit(availability_zone=f'zone-{rng.randrange(3)}')
        return sim
    sim = model_simulation(rng.randrange(1, 4), 3, 20_000)
    for _ in range(rng.randrange(EVENTS)):
        sim.now += rng.random() * 0.2
        random_event(sim, rng)
    return sim


def random_request(sim: Simulation, rng: random.Random) -> Any:
    fields: dict[str, Any] = {'availability_zone': f'zone-{rng.randrange(3)}'}
    if not any(name.startswith('plain') for name in sim.scheduler.loads):
        fields |= token_counts(rng.randrange(1, 9000), rng.randrange(1, 2700))
    return new_request('explained', sim.now, **fields)


def key_facts(decision: Decision | None) -> Any:
    """Return what the explanation of a decision has to state."""
    if isinstance(decision, Grant):
        prefill = decision.prefill
        return (decision.upstream.name, prefill.name if prefill else '')
    if isinstance(decision, Rejection):
        return decision.failure
    return None


def own_decision(decisions: list[Decision]) -> Decision | None:
    own = [one for one in decisions if one.request.request_id == 'explained']
    return own[0] if own else None


@then(
    'in {count:d} random states the explained decision is the one that follows'
)
def check_random(context: Any, count: int) -> None:
    context.kinds = set()

    @settings(
        max_examples=count,
        deadline=None,
        database=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @draw(st.integers(min_value=0, max_value=2**32))
    def check(seed: int) -> None:
        rng = random.Random(seed)
        sim = random_simulation(rng)
        request = random_request(sim, rng)
        before = repr(sim.scheduler)
        was_idle = not sim.scheduler.queue
        explanation = explain(sim.scheduler, request, sim.now)
        assert repr(sim.scheduler) == before, seed
        decided = own_decision(
            request_placement(sim.scheduler, request, sim.now)
        )
        explained = explanation.decision
        assert key_facts(explained) == key_facts(decided), seed
        context.kinds.add(type(decided).__name__)
        if was_idle and isinstance(decided, Grant):
            check_best(explanation, decided)

    check()
    assert context.kinds >= {'Grant', 'Rejection', 'NoneType'}, context.kinds


def check_best(explanation: Explanation, decided: Grant) -> None:
    """Check that nothing excludes the chosen upstreams, and their rank."""
    by_name = {one.name: one for one in explanation.candidates}
    assert not by_name[decided.upstream.name].reason, explanation
    ranked_phase = Phase.prefill if decided.prefill else Phase.plain
    chosen = decided.prefill or decided.upstream
    ranked = [
        one for one in explanation.candidates if one.phase is ranked_phase
    ]
    if ranked:
        assert by_name[chosen.name].score == ranked[0].score, explanation


@then('none of these explanations changed the state')
def check_unchanged(context: Any) -> None:
    # The states are compared before and after each explanation.
    assert context.kinds


def leave(sim: Simulation, name: str) -> None:
    change_listed(sim, only=name, leaving=True)


def evacuate(sim: Simulation, name: str) -> None:
    load = sim.scheduler.loads[name]
    zone = load.upstream.availability_zone
    sim.scheduler.evacuated = frozenset((zone,))


def fill(sim: Simulation, name: str) -> None:
    sim.submit(excluded=frozenset(sim.scheduler.loads) - {name})


def pause(sim: Simulation, name: str) -> None:
    apply_pause(sim.scheduler, 'entry', name, Pause(sim.now + 5, 1))


def suspend(sim: Simulation, name: str) -> None:
    sim.scheduler.loads[name].suspended_until = sim.now + 5


def limit_rate(sim: Simulation, name: str) -> None:
    apply_rate_limit(sim.scheduler, name, 0.1, sim.now)
    fill(sim, name)
    load = sim.scheduler.loads[name]
    load.running.clear()


CHANGES = {
    'leaving': leave,
    'in an evacuated zone': evacuate,
    'full': fill,
    'paused': pause,
    'suspended': suspend,
    'at its rate limit': limit_rate,
}


@given('the upstream "{name}" is {state}')
def change_upstream(context: Any, name: str, state: str) -> None:
    CHANGES[state](context.sim, name)


@when('a plain request is explained')
def explain_plain(context: Any) -> None:
    sim = context.sim
    context.request = new_request('explained', sim.now)
    context.explanation = explain(sim.scheduler, context.request, sim.now)


@then('"{name}" is excluded as "{reason}"')
def check_reason(context: Any, name: str, reason: str) -> None:
    found = {one.name: one for one in context.explanation.candidates}
    assert found[name].reason == reason, context.explanation
    assert found[name].score is None


@then('"{name}" is the best candidate and the explained choice')
def check_choice(context: Any, name: str) -> None:
    best = context.explanation.candidates[0]
    assert (best.name, best.reason) == (name, ''), context.explanation
    assert context.explanation.decision.upstream.name == name


@given(
    'the account may use {rate:d} tokens a second and {burst:d} at once',
)
def give_account(context: Any, rate: int, burst: int) -> None:
    limit_account(context.sim, rate, burst)


@when('a request over {tokens:d} tokens has used the account up')
def use_up(context: Any, tokens: int) -> None:
    context.sim.submit(client_account='account', cost_tokens=tokens)


@when('a request of the account is explained')
def explain_account(context: Any) -> None:
    sim = context.sim
    context.request = new_request(
        'explained', sim.now, client_account='account', cost_tokens=5
    )
    context.explanation = explain(sim.scheduler, context.request, sim.now)


@then('the explanation states no headroom and the rejection that follows')
def check_headroom(context: Any) -> None:
    sim, explanation = context.sim, context.explanation
    decided = own_decision(
        request_placement(sim.scheduler, context.request, sim.now)
    )
    assert isinstance(decided, Rejection)
    assert isinstance(decided.failure, RateExceeded)
    headroom = explanation.headroom
    assert headroom.is_limited
    assert headroom.tokens_left < 0
    assert headroom.admitted_at == decided.failure.retry_at
    assert explanation.decision.failure == decided.failure


@when('{count:d} plain requests are submitted')
def submit_plain(context: Any, count: int) -> None:
    for _ in range(count):
        context.sim.submit()


@then('{count:d} requests are ahead of it and it would be queued')
def check_ahead(context: Any, count: int) -> None:
    explanation = context.explanation
    assert explanation.estimate.ahead == count, explanation.estimate
    assert explanation.decision is None, explanation.decision
