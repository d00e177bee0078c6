"""Steps of transfers.feature: a driven sequence of requests with transfers."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import attrs
from behave import given, then, when
from gypsumrelay_dispatch import (
    Ending,
    Grant,
    Phase,
    apply_upstreams,
    end_attempt,
    end_prefill,
    refresh_slow,
    tick,
)
from gypsumrelay_dispatch.transfer_costs import transfer_penalty
from gypsumrelay_dispatch.transfers import (
    TransferPath,
    Transfers,
    observe_transfer,
)
from simulation import Simulation, model_simulation, new_request, upstream

TOKENS = 3200
TRANSFER_MS = 24.0
PREFILL_SECONDS = 0.1
STREAM_SECONDS = 2.5
# Interval between requests, multiplied by the number of decode upstreams.
ARRIVAL_SECONDS = 0.72
TICK_SECONDS = 0.05

# Returns the factor of a transfer's time from its two upstreams.
Factor = Callable[[Any, Any], float]


@attrs.define
class Driven:
    """A coordinator with simulated upstreams and transfers."""

    sim: Simulation
    rng: random.Random
    interval: float
    events: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        factory=list
    )
    order: Any = attrs.field(factory=itertools.count)
    factor: Factor = lambda source, destination: 1
    late_share: float = 0
    tokens: int = TOKENS
    fails: Callable[[Any, Any], bool] = lambda source, destination: False
    placed: list[tuple[float, Any, Any]] = attrs.field(factory=list)
    submitted: int = 0
    changes: list[Any] = attrs.field(factory=list)

    def at(self, instant: float, action: Callable[[], None]) -> None:
        """Run an action at an instant."""
        heapq.heappush(self.events, (instant, next(self.order), action))

    def run(self, seconds: float) -> None:
        """Submit requests for some seconds and run what is due."""
        until = self.sim.now + seconds
        for number in range(int(seconds / self.interval)):
            self.at(self.sim.now + number * self.interval, self.submit)
        for number in range(int(seconds / TICK_SECONDS)):
            self.at(self.sim.now + number * TICK_SECONDS, self.tick)
        while self.events and self.events[0][0] <= until:
            instant, _, action = heapq.heappop(self.events)
            self.sim.now = instant
            action()
        self.sim.now = until

    def submit(self) -> None:
        """Submit a request."""
        self.submitted += 1
        known = set(self.sim.answers)
        self.sim.submit(
            prompt_tokens=self.tokens, output_tokens=1100, expected_tokens=300
        )
        self._start(known)

    def tick(self) -> None:
        """Tick the coordinator, and collect the log lines."""
        known = set(self.sim.answers)
        self.sim.collect(tick(self.sim.scheduler, self.sim.now))
        self._start(known)
        scheduler = self.sim.scheduler
        changed = refresh_slow(scheduler.transfers, self.sim.now)
        self.changes.extend((self.sim.now, change) for change in changed)

    def collect(self, decisions: Any) -> None:
        """Record answers and start what was granted."""
        known = set(self.sim.answers)
        self.sim.collect(decisions)
        self._start(known)

    def _start(self, known: set[tuple[str, int]]) -> None:
        for key in self.sim.answers.keys() - known:
            grant = self.sim.answers[key][0]
            if isinstance(grant, Grant):
                self._run_grant(grant)

    def _run_grant(self, grant: Grant) -> None:
        now = self.sim.now
        source, destination = grant.prefill, grant.upstream
        self.placed.append((now, source, destination))
        key = grant.request.key
        read_at = now + PREFILL_SECONDS
        scheduler = self.sim.scheduler
        if source is None:
            self.at(read_at + STREAM_SECONDS, lambda: self._end(key, -1))
            return
        self.at(
            read_at,
            lambda: self.collect(
                end_prefill(scheduler, key, Ending.answered, self.sim.now)
            ),
        )
        if self.fails(source, destination):
            self.at(read_at + 0.4, lambda: self._end(key, -1, Ending.unfetched))
            return
        transfer_ms = self._time(source, destination)
        self.at(
            read_at + STREAM_SECONDS + transfer_ms / 1000,
            lambda: self._end(key, int(transfer_ms)),
        )

    def _time(self, source: Any, destination: Any) -> float:
        is_remote = source.availability_zone != destination.availability_zone
        # A transfer takes twice as long between zones.
        transfer = TRANSFER_MS + TRANSFER_MS * is_remote
        transfer *= self.factor(source, destination)
        event = 50 + 30 * self.rng.random()
        if self.rng.random() < self.late_share:
            event *= 2.5
        return event + transfer

    def _end(
        self, key: Any, transfer_ms: int, ending: Ending = Ending.answered
    ) -> None:
        self.collect(
            end_attempt(
                self.sim.scheduler,
                key,
                ending,
                self.sim.now,
                transfer_ms=transfer_ms,
            )
        )


@given(
    '{prefill:d} prefill and {decode:d} decode upstreams in {zones:d} zones '
    'that {learn} transfers',
)
def give_pools(
    context: Any, prefill: int, decode: int, zones: int, learn: str
) -> None:
    sim = model_simulation(0, 0, 60_000)
    sim.scheduler.settings = attrs.evolve(
        sim.scheduler.settings, learn_transfers=learn == 'learn'
    )
    pool = [
        *(upstream(number, Phase.prefill, 64) for number in range(prefill)),
        *(upstream(number, Phase.decode, 64) for number in range(decode)),
    ]
    pool = [
        attrs.evolve(one, availability_zone=f'zone-{int(one.name[-1]) % zones}')
        for one in pool
    ]
    apply_upstreams(sim.scheduler, pool, sim.now)
    context.driven = Driven(sim, random.Random(7), ARRIVAL_SECONDS / decode)
    context.started_at = sim.now


def _fits(one: Any, wanted: str) -> bool:
    return not wanted or wanted in {one.name, one.availability_zone}


def _selects(cause: str) -> Callable[[Any, Any], bool]:
    """Return whether a transfer is affected by a cause in words."""
    words = iter(cause.split())
    names = dict(zip(words, words, strict=True))
    from_name = names.get('from', '')
    to_name = names.get('to', '')

    def affected(source: Any, destination: Any) -> bool:
        if source is None:
            return False
        return _fits(source, from_name) and _fits(destination, to_name)

    return affected


@when('transfers {cause} take {factor:g} times as long for {seconds:g} seconds')
def slow_down(context: Any, cause: str, factor: float, seconds: float) -> None:
    driven = context.driven
    context.affected = _selects(cause)
    driven.factor = lambda source, destination: (
        factor if context.affected(source, destination) else 1
    )
    context.since = driven.sim.now
    driven.run(seconds)


@when('transfers {cause} fail for {seconds:g} seconds')
def fail(context: Any, cause: str, seconds: float) -> None:
    context.affected = _selects(cause)
    context.driven.fails = context.affected
    context.since = context.driven.sim.now
    context.driven.run(seconds)


@when('all transfers take {factor:g} times as long for {seconds:g} seconds')
def slow_all(context: Any, factor: float, seconds: float) -> None:
    context.driven.run(10)
    context.driven.factor = lambda source, destination: factor
    context.driven.run(seconds)


@when('all transfers are normal for {seconds:g} seconds')
def normal(context: Any, seconds: float) -> None:
    context.driven.factor = lambda source, destination: 1
    context.driven.run(seconds)


@when('prompts have 100 tokens and first events are late at random')
def make_short(context: Any) -> None:
    context.driven.tokens = 100
    context.driven.late_share = 0.15
    context.driven.run(60)


@when('first events are late at random for {seconds:g} seconds')
def make_noise(context: Any, seconds: float) -> None:
    context.driven.late_share = 0.15
    context.driven.run(seconds)


def _affected(context: Any, since: float) -> tuple[int, int]:
    """Return the placements that are affected, and all, since an instant."""
    placed = [one for one in context.driven.placed if one[0] >= since]
    affected = [one for one in placed if context.affected(*one[1:])]
    return len(affected), len(placed)


@then(
    'at most {part:g} of the requests after {seconds:g} seconds waited for one'
)
def check_avoided(context: Any, part: float, seconds: float) -> None:
    affected, total = _affected(context, context.since + seconds)
    assert total > 200
    assert affected <= part * total, (affected, total)


@then('it was tried again at least {count:d} times after {seconds:g} seconds')
def check_tried(context: Any, count: int, seconds: float) -> None:
    affected, _ = _affected(context, context.since + seconds)
    assert affected >= count, affected


@then('it got at least {share:g} of its share of the first 20 seconds again')
def check_again(context: Any, share: float) -> None:
    driven = context.driven
    affected, total = _affected(context, driven.sim.now - 20)
    placed = [one for one in driven.placed if one[0] < context.started_at + 20]
    usual = sum(context.affected(*one[1:]) for one in placed)
    assert usual > 0
    assert affected / total >= share * usual / len(placed), (affected, usual)


@then('each prompt got a placement')
def check_placed(context: Any) -> None:
    driven = context.driven
    assert not driven.sim.rejections()
    assert driven.submitted
    assert driven.submitted == len(driven.placed)


@then('each decode upstream got at least {part:g} of its equal share')
def check_spread(context: Any, part: float) -> None:
    driven = context.driven
    counts = Counter(one[2].name for one in driven.placed)
    decode = [name for name in driven.sim.scheduler.loads if 'decode' in name]
    least = min(counts[name] for name in decode)
    assert least >= part * len(driven.placed) / len(decode), counts


@then('at most {count:d} change was logged in a minute')
def check_changes(context: Any, count: int) -> None:
    assert len(context.driven.changes) <= count, context.driven.changes


@then(
    'a transfer from {source} to {destination} is penalised by {least:g} to '
    '{most:g}',
)
def check_penalty(
    context: Any, source: str, destination: str, least: float, most: float
) -> None:
    sim = context.driven.sim
    loads = list(sim.scheduler.loads.values())

    def find(phase: Phase, zone: str) -> Any:
        return next(
            load
            for load in loads
            if load.upstream.phase is phase
            and load.upstream.availability_zone == zone
        )

    request = new_request('p', sim.now, prompt_tokens=TOKENS)
    penalty = transfer_penalty(
        sim.scheduler,
        request,
        find(Phase.prefill, source),
        find(Phase.decode, destination),
        sim.now,
    )
    assert least <= penalty <= most, penalty


@then('the log says that {cause} became slow and then normal')
def check_log(context: Any, cause: str) -> None:
    logged = [
        change.is_slow
        for _, change in context.driven.changes
        if ' '.join(change.subject) == cause
    ]
    assert logged == [True, False], context.driven.changes


@then('{count:d} upstreams that came and went leave at most {most:d} estimates')
def check_forgotten(context: Any, count: int, most: int) -> None:
    known = Transfers()
    for number in range(count):
        path = TransferPath('s', f'p{number}', 'a', f'd{number}', 'b')
        observe_transfer(known, path, TOKENS, 80, float(number))
    assert 0 < len(known.estimates) <= most, len(known.estimates)
