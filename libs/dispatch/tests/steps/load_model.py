"""A model of engines that read prompts one by one and stream answers."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from functools import partial
from typing import Any

import attrs
from gypsumrelay_dispatch import (
    Ending,
    Grant,
    Phase,
    apply_upstreams,
    end_attempt,
    end_prefill,
    plan_phase_change,
    record_phase_change,
    tick,
)
from simulation import Simulation, model_simulation

PREFILL_TOKENS_PER_MS = 33
DECODE_MS_PER_TOKEN = 3.27
# Seconds in which an upstream that changes its phase serves nothing.
CHANGE_SECONDS = 6.0
PLAN_SECONDS = 0.5
TICK_SECONDS = 0.05
OBJECTIVE_SECONDS = 0.9


@attrs.frozen
class Mix:
    """Requests of one kind: mean sizes and requests per second."""

    prompt: int
    output: int
    rate: float


@attrs.define
class Outcome:
    """A submitted request: when, and whether it was read in time."""

    at: float
    in_time: bool = False


@attrs.define
class LoadModel:
    """A coordinator with modelled engines and a driven load.

    Attributes:
        sim: The coordinator's state with its clock.
        rng: Source of the sizes and arrivals.
        spread: Standard deviation of the logarithm of the sizes.
        outcomes: All submitted requests, by key.
        changes: Instants and phases of the changes of upstreams.
    """

    sim: Simulation
    rng: random.Random
    spread: float = 0.5
    outcomes: dict[tuple[str, int], Outcome] = attrs.field(factory=dict)
    changes: list[tuple[float, Phase]] = attrs.field(factory=list)
    events: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        factory=list
    )
    order: Any = attrs.field(factory=itertools.count)
    free_at: dict[str, float] = attrs.field(factory=dict)

    def at(self, instant: float, action: Callable[[], None]) -> None:
        """Run an action at an instant."""
        heapq.heappush(self.events, (instant, next(self.order), action))

    def run(self, mix: Mix, seconds: float) -> None:
        """Submit requests of a kind for some seconds, and run what is due."""
        start = self.sim.now
        arrival = start + self.rng.expovariate(mix.rate)
        while arrival < start + seconds:
            self.at(arrival, partial(self.submit, mix))
            arrival += self.rng.expovariate(mix.rate)
        for number in range(int(seconds / TICK_SECONDS)):
            self.at(start + number * TICK_SECONDS, self.tick)
        for number in range(int(seconds / PLAN_SECONDS)):
            self.at(start + number * PLAN_SECONDS, self.plan)
        while self.events and self.events[0][0] <= start + seconds:
            instant, _, action = heapq.heappop(self.events)
            self.sim.now = instant
            action()
        self.sim.now = start + seconds

    def submit(self, mix: Mix) -> None:
        """Submit a request of a kind."""
        prompt = self._size(mix.prompt)
        output = self._size(mix.output)
        known = set(self.sim.answers)
        request = self.sim.submit(
            prompt_tokens=prompt,
            output_tokens=4 * output,
            expected_tokens=output,
            objective_at=self.sim.now + OBJECTIVE_SECONDS,
        )
        self.outcomes[request.key] = Outcome(self.sim.now)
        self._start(known)

    def tick(self) -> None:
        """Tick the coordinator."""
        self.collect(tick(self.sim.scheduler, self.sim.now))

    def plan(self) -> None:
        """Change the phase of an upstream if that is due."""
        scheduler = self.sim.scheduler
        change = plan_phase_change(scheduler, self.sim.now)
        if change is None:
            return
        self.changes.append((self.sim.now, change.phase))
        record_phase_change(scheduler, change, self.sim.now)

        def show() -> None:
            pool = [
                attrs.evolve(load.upstream, phase=change.phase)
                if name == change.upstream
                else load.upstream
                for name, load in scheduler.loads.items()
            ]
            apply_upstreams(scheduler, pool, self.sim.now)

        self.at(self.sim.now + CHANGE_SECONDS, show)

    def collect(self, decisions: Any) -> None:
        """Record answers and start what was granted."""
        known = set(self.sim.answers)
        self.sim.collect(decisions)
        self._start(known)

    def served_in_time(self, since: float, until: float) -> float:
        """Return the part of the requests of a span that was in time."""
        found = [
            one.in_time
            for one in self.outcomes.values()
            if since <= one.at < until
        ]
        return sum(found) / len(found)

    def count(self, phase: Phase) -> int:
        """Return the number of upstreams of a phase."""
        loads = self.sim.scheduler.loads.values()
        return sum(load.upstream.phase is phase for load in loads)

    def _size(self, mean: int) -> int:
        factor = self.rng.lognormvariate(-(self.spread**2) / 2, self.spread)
        return max(16, int(mean * factor))

    def _start(self, known: set[tuple[str, int]]) -> None:
        for key in self.sim.answers.keys() - known:
            grant = self.sim.answers[key][0]
            if isinstance(grant, Grant):
                self._run_grant(grant)

    def _run_grant(self, grant: Grant) -> None:
        request = grant.request
        reader = (grant.prefill or grant.upstream).name
        read_ms = request.prompt_tokens / PREFILL_TOKENS_PER_MS
        if grant.prefill is None:
            read_ms *= 2.5
        begin = max(self.sim.now, self.free_at.get(reader, 0))
        read_at = begin + read_ms / 1000
        self.free_at[reader] = read_at
        decode_ms = request.expected_tokens * DECODE_MS_PER_TOKEN
        self.at(read_at, lambda: self._end_prefill(request))
        self.at(
            read_at + decode_ms / 1000,
            lambda: self.collect(
                end_attempt(
                    self.sim.scheduler,
                    request.key,
                    Ending.answered,
                    self.sim.now,
                )
            ),
        )

    def _end_prefill(self, request: Any) -> None:
        outcome = self.outcomes[request.key]
        outcome.in_time = self.sim.now <= request.objective_at
        self.collect(
            end_prefill(
                self.sim.scheduler,
                request.key,
                Ending.answered,
                self.sim.now,
            )
        )


def load_model(
    prefill: int, decode: int, seed: int, **settings: Any
) -> LoadModel:
    """Return a model of engines with 31,000 tokens of memory."""
    sim = model_simulation(prefill, decode, 31_000)
    sim.scheduler.settings = attrs.evolve(sim.scheduler.settings, **settings)
    return LoadModel(sim, random.Random(seed))
