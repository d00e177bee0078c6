"""Steps of rate_limits.feature."""

from __future__ import annotations

import random
from collections import defaultdict
from typing import Any

import attrs
from behave import given, then, when
from gypsumrelay_dispatch import (
    Ending,
    Grant,
    Phase,
    PlacementRequest,
    Rejection,
    apply_rate_limit,
    apply_upstreams,
    end_attempt,
    end_rate_limit,
    restore_rate_limit,
    tick,
)
from gypsumrelay_errors import Outcome
from simulation import (
    Simulation,
    change_listed,
    model_simulation,
    plain_simulation,
    token_counts,
    upstream,
)

SLOTS = 20
TICK_SECONDS = 0.05
# The rule: requests in a window of 4 seconds, from 3 seconds after the first
# statement.
WINDOW_SECONDS = 4.0
STABLE_SECONDS = 3.0
ALLOWED_RATIO = 1.5
ALLOWED_EXTRA = 5


@given('{count:d} plain upstream')
def give_plain(context: Any, count: int) -> None:
    context.sim = plain_simulation(count, SLOTS)


@given('{count:d} plain upstream, of which {name} states a limit of {limit:g}')
@given('{count:d} plain upstreams, of which {name} states a limit of {limit:g}')
def give_limited(context: Any, count: int, name: str, limit: float) -> None:
    give_plain(context, count)
    context.sent_to = name
    state(context.sim, name, limit)


@given(
    'a prefill and {count:d} decode upstreams, of which {name} states a limit '
    'of {limit:g}',
)
def give_model(context: Any, count: int, name: str, limit: float) -> None:
    context.sim = model_simulation(1, count, 20_000)
    state(context.sim, name, limit)


@given('{name} is suspended for {seconds:g} seconds')
def give_suspended(context: Any, name: str, seconds: float) -> None:
    sim = context.sim
    sim.scheduler.loads[name].suspended_until = sim.now + seconds


@given('1 plain upstream with {count:d} running requests')
def give_running(context: Any, count: int) -> None:
    give_plain(context, 1)
    context.running = [context.sim.submit() for _ in range(count)]
    context.sim.now += 0.1


@when('{count:d} requests arrive in a second')
def submit_plain(context: Any, count: int) -> None:
    sim = context.sim
    for _ in range(count):
        sim.now += 1 / count
        finish(sim, sim.submit())


@when('{count:d} prompts arrive in {seconds:d} seconds')
def submit_prompts(context: Any, count: int, seconds: int) -> None:
    sim = context.sim
    for _ in range(count):
        sim.now += seconds / count
        finish(sim, sim.submit(**token_counts(500, 100)))


@when('{count:d} requests that can wait for {seconds:g} seconds arrive')
def submit_waiting(context: Any, count: int, seconds: float) -> None:
    sim = context.sim
    context.requests = [
        sim.submit(wait_until=sim.now + seconds) for _ in range(count)
    ]


@when('it states a limit of {limit:g} in the answer to the first one')
def state_in_answer(context: Any, limit: float) -> None:
    state(context.sim, 'plain-0', limit)


@when('the answer to the second one states none')
def end_by_earlier(context: Any) -> None:
    end_limit(context.sim, context.running[1])


@when('a request is placed and its answer states none')
def end_by_later(context: Any) -> None:
    sim = context.sim
    sim.now += 1
    end_limit(sim, sim.submit())


@when('requests arrive for {seconds:d} seconds')
def submit_long(context: Any, seconds: int) -> None:
    sim = context.sim
    for _ in range(seconds * 10):
        sim.now += 0.1
        finish(sim, sim.submit(wait_until=sim.now + 0.1))


@when('{name} replaces it at the same address')
def replace(context: Any, name: str) -> None:
    sim = context.sim
    old = sim.scheduler.loads['plain-0'].upstream
    apply_upstreams(sim.scheduler, [attrs.evolve(old, name=name)], sim.now)


@when('1 request is placed and the upstream restarts under its name')
def restart(context: Any) -> None:
    context.sim.submit()
    assert len(context.sim.grants()) == 1
    change_listed(context.sim, started_ms=2)


@when('the list is empty for {seconds:d} seconds')
def empty_list(context: Any, seconds: int) -> None:
    sim = context.sim
    for _ in range(seconds):
        apply_upstreams(sim.scheduler, [], sim.now)
        sim.now += 1
    pool = [upstream(0, Phase.plain, SLOTS)]
    apply_upstreams(sim.scheduler, pool, sim.now)


@when('instances report limits of {first:g}, {second:g} and {third:g}')
def report(context: Any, first: float, second: float, third: float) -> None:
    sim = context.sim
    for limit in (first, second, third):
        restore_rate_limit(sim.scheduler, 'plain-0', limit, sim.now)


@when('an answer states a limit of {limit:g}')
def state_limit(context: Any, limit: float) -> None:
    state(context.sim, 'plain-0', limit)


@then('none of them is rejected')
def check_none(context: Any) -> None:
    assert not context.sim.rejections()


@then('{name} got at most {most:d} of them')
def check_share(context: Any, name: str, most: int) -> None:
    got = [
        grant
        for grant in context.sim.grants()
        if name in {grant.upstream.name, grant.prefill and grant.prefill.name}
    ]
    assert 0 < len(got) <= most, len(got)


@then('the second one is rejected at once, as not run')
def check_rejected(context: Any) -> None:
    rejection = context.sim.answers[context.requests[1].key][0]
    assert isinstance(rejection, Rejection)
    assert rejection.failure.outcome is Outcome.not_run
    context.retry_at = rejection.failure.retry_at


@then('a request at its retry time is placed')
def check_retry(context: Any) -> None:
    sim = context.sim
    sim.now = context.retry_at
    assert isinstance(sim.answers[sim.submit().key][0], Grant)


@then('the second one is placed within {seconds:g} seconds')
def check_placed(context: Any, seconds: float) -> None:
    sim = context.sim
    until = sim.now + seconds
    while sim.now < until:
        sim.now += TICK_SECONDS
        sim.collect(tick(sim.scheduler, sim.now))
    assert len(sim.grants()) == 2


@then('the limit is in force')
def check_in_force(context: Any) -> None:
    assert 'plain-0' in context.sim.scheduler.rate_limits


@then('there is no limit')
def check_no_limit(context: Any) -> None:
    assert not context.sim.scheduler.rate_limits


@then('the limit is {limit:g}')
def check_limit(context: Any, limit: float) -> None:
    limits = context.sim.scheduler.rate_limits
    assert limits['plain-0'].per_second == limit


@then('{least:d} or {most:d} of them were placed')
def check_count(context: Any, least: int, most: int) -> None:
    assert least <= len(context.sim.grants()) <= most


@then('{count:d} requests are placed at once')
@then('{count:d} request is placed at once')
def check_at_once(context: Any, count: int) -> None:
    sim = context.sim
    before = len(sim.grants())
    for _ in range(count):
        sim.submit()
    assert len(sim.grants()) == before + count


@then('{count:d} random fleets keep the rule while coordinators change')
def check_fleets(context: Any, count: int) -> None:
    used = 0
    for seed in range(count):
        fleet = Fleet(random.Random(seed))
        fleet.run()
        used += fleet.check()
    assert used > count, used


@attrs.define
class Fleet:
    """Coordinators that take turns, and upstreams that state limits."""

    rng: random.Random
    sim: Simulation = attrs.field(factory=lambda: plain_simulation(3, SLOTS))
    limits: dict[str, float] = attrs.field(init=False)
    stated_at: dict[str, float] = attrs.field(factory=dict)
    known: dict[str, float] = attrs.field(factory=dict)
    answers: list[tuple[float, Grant]] = attrs.field(factory=list)
    sent: dict[str, list[float]] = attrs.field(
        factory=lambda: defaultdict(list)
    )

    def run(self) -> None:
        """Let requests arrive and coordinators change for some seconds."""
        rng = self.rng
        self.limits = {
            f'plain-{number}': rng.choice((0, 0.3, 2, 7.5, 40))
            for number in range(rng.randrange(1, 4))
        }
        per_second = rng.choice((10, 40, 120))
        until = self.sim.now + 14
        while self.sim.now < until:
            self.sim.now += rng.expovariate(per_second)
            self.answer()
            if rng.random() < 0.3 / per_second:
                self.change_coordinator()
            self.collect(self.sim.submit(wait_until=self.sim.now + 0.4))

    def collect(self, request: PlacementRequest) -> None:
        """Send the requests that were granted just now."""
        sim = self.sim
        sim.collect(tick(sim.scheduler, sim.now))
        for grant in sim.grants():
            due = sim.now + self.rng.uniform(0.01, 0.2)
            self.answers.append((due, grant))
            self.sent[grant.upstream.name].append(sim.now)
        sim.answers.clear()

    def answer(self) -> None:
        """Handle the answers that have arrived."""
        sim = self.sim
        due = [one for one in self.answers if one[0] <= sim.now]
        self.answers = [one for one in self.answers if one[0] > sim.now]
        for _, grant in due:
            name = grant.upstream.name
            if name in self.limits:
                self.stated_at.setdefault(name, sim.now)
                self.known[name] = self.limits[name]
                state(sim, name, self.limits[name])
            key = grant.request.key
            end_attempt(sim.scheduler, key, Ending.answered, sim.now)

    def change_coordinator(self) -> None:
        """Replace the coordinator by one that knows what it is told."""
        now = self.sim.now
        self.sim = plain_simulation(3, SLOTS)
        self.sim.now = now
        self.sim.submitted = self.rng.randrange(1 << 40)
        for name, limit in self.known.items():
            restore_rate_limit(self.sim.scheduler, name, limit, now)

    def check(self) -> int:
        """Check the rule; return how many requests it applied to."""
        used = 0
        for name, since in self.stated_at.items():
            times = [
                at for at in self.sent[name] if at >= since + STABLE_SECONDS
            ]
            used += len(times)
            allowed = ALLOWED_RATIO * self.limits[name] * WINDOW_SECONDS
            for start in times:
                got = sum(start <= at < start + WINDOW_SECONDS for at in times)
                assert got <= allowed + ALLOWED_EXTRA, (name, got, allowed)
        return used


def state(sim: Simulation, name: str, limit: float) -> None:
    apply_rate_limit(sim.scheduler, name, limit, sim.now)


def end_limit(sim: Simulation, request: PlacementRequest) -> None:
    assert request.key in sim.scheduler.placements
    end_rate_limit(sim.scheduler, 'plain-0', request.key, sim.now)


def finish(sim: Simulation, request: PlacementRequest) -> None:
    if request.key in sim.scheduler.placements:
        end_attempt(sim.scheduler, request.key, Ending.answered, sim.now)
