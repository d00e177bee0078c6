"""Simulated pools of upstreams under random traffic, without a network."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from typing import Final

import attrs
from gypsumrelay_performance import (
    Candidate,
    LimitChange,
    Performance,
    adjust_limits,
    concurrency_limit,
    observe_service,
    service_seconds,
)

TICK_SECONDS: Final = 0.05
NOISE_SECONDS: Final = 0.6
# Latency objective of the simulated plain requests.
OBJECTIVE_SECONDS: Final = 0.15

Effect = Callable[[float, int], float]


def no_effect(now: float, running: int) -> float:
    """Return the factor of the time of an upstream without a fault."""
    return 1


@attrs.define
class SimulatedUpstream:
    """An upstream whose time depends on the load and on the instant.

    Attributes:
        speed: Speed relative to the others.
        slots: Stated slots.
        effect: Factor of the time of a request, by instant and concurrent
            requests.
        running: Concurrent requests.
        performance: What is measured of it.
    """

    speed: float
    slots: int
    effect: Effect = no_effect
    running: int = 0
    performance: Performance = attrs.field(factory=Performance)


@attrs.frozen(order=True)
class Run:
    """A request at an upstream, ordered by its end."""

    ends_at: float
    number: int
    started_at: float
    arrived_at: float
    running: int


@attrs.define
class Pool:
    """Upstreams of one service, the queue before them and what came of it.

    Attributes:
        upstreams: The upstreams.
        rng: Source of the traffic and of the varying times.
        base_seconds: Time of a request at an upstream of speed 1.
        spread: Standard deviation of the logarithm of the times.
        is_learning: Whether limits and choice follow measurements.
        now: The present instant.
        changes: Changes of limits, with their instants.
        served: Finished requests, by upstream.
        in_time: Requests that were finished within the objective.
        arrived: Requests that arrived.
    """

    upstreams: list[SimulatedUpstream]
    rng: random.Random
    base_seconds: float = 0.05
    spread: float = 0.25
    is_learning: bool = True
    now: float = 0
    changes: list[tuple[float, LimitChange]] = attrs.field(factory=list)
    served: Counter[int] = attrs.field(factory=Counter)
    in_time: int = 0
    arrived: int = 0
    queue: list[float] = attrs.field(factory=list)
    ends: list[Run] = attrs.field(factory=list)
    limits: list[tuple[float, list[int]]] = attrs.field(factory=list)

    def run(self, seconds: float, per_second: float) -> None:
        """Let traffic arrive at random for some seconds."""
        until = self.now + seconds
        next_tick = self.now
        arrival = self.now + self.rng.expovariate(per_second)
        while self.now < until:
            due = self.ends[0].ends_at if self.ends else until
            self.now = min(due, next_tick, arrival, until)
            if self.now == due and self.ends:
                self._finish()
            elif self.now == arrival:
                self.arrived += 1
                self.queue.append(arrival)
                arrival += self.rng.expovariate(per_second)
            else:
                next_tick += TICK_SECONDS
                self._tick()
            self._serve()

    def limit(self, number: int) -> int:
        """Return the limit of an upstream."""
        upstream = self.upstreams[number]
        if not self.is_learning:
            return upstream.slots
        return concurrency_limit(upstream.performance, upstream.slots)

    def limits_in(self, number: int, start: float, end: float) -> list[int]:
        """Return the limits that an upstream had in a period."""
        return [
            limits[number] for at, limits in self.limits if start <= at < end
        ]

    def _tick(self) -> None:
        named = {
            str(number): Candidate(upstream.performance, upstream.slots)
            for number, upstream in enumerate(self.upstreams)
        }
        self.changes.extend(
            (self.now, change) for change in adjust_limits(named, self.now)
        )
        counts = [self.limit(number) for number in range(len(self.upstreams))]
        self.limits.append((self.now, counts))

    def _serve(self) -> None:
        while self.queue:
            free = [
                number
                for number, upstream in enumerate(self.upstreams)
                if upstream.running < self.limit(number)
            ]
            if not free:
                return
            self._start(min(free, key=self._score), self.queue.pop(0))

    def _score(self, number: int) -> float:
        upstream = self.upstreams[number]
        utilization = (upstream.running + 1) / upstream.slots
        if not self.is_learning:
            return utilization
        expected = service_seconds(upstream.performance, upstream.running + 1)
        return expected * (1 + utilization)

    def _start(self, number: int, arrived_at: float) -> None:
        upstream = self.upstreams[number]
        upstream.running += 1
        seconds = (
            self.base_seconds
            / upstream.speed
            * upstream.effect(self.now, upstream.running)
            * self.rng.lognormvariate(0, self.spread)
        )
        run = Run(
            self.now + seconds,
            number,
            self.now,
            arrived_at,
            upstream.running,
        )
        heapq.heappush(self.ends, run)

    def _finish(self) -> None:
        run = heapq.heappop(self.ends)
        upstream = self.upstreams[run.number]
        mean = (run.running + upstream.running) / 2
        upstream.running -= 1
        seconds = self.now - run.started_at
        observe_service(upstream.performance, mean, seconds, self.now)
        self.served[run.number] += 1
        self.in_time += self.now - run.arrived_at <= OBJECTIVE_SECONDS


def new_pool(speeds: list[float], slots: int, seed: int = 1) -> Pool:
    """Return a pool of upstreams with the given speeds."""
    upstreams = [SimulatedUpstream(speed, slots) for speed in speeds]
    return Pool(upstreams, random.Random(seed))


def slower_above(running_limit: int, factor: float) -> Effect:
    """Return the effect of too many concurrent requests."""
    return lambda now, running: factor if running > running_limit else 1


def slower_between(start: float, end: float, factor: float) -> Effect:
    """Return the effect of a fault in a period."""
    return lambda now, running: factor if start <= now < end else 1


def short_noise(rng: random.Random, seconds: float) -> Effect:
    """Return the effect of 15 in 100 spans of 600 ms being 2.5 times slower."""
    spans = int(seconds / NOISE_SECONDS) + 2
    factors = [2.5 if rng.random() < 0.15 else 1 for _ in range(spans)]

    def effect(now: float, running: int) -> float:
        return factors[int(now / NOISE_SECONDS)]

    return effect
