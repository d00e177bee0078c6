"""Simulated upstreams behind the coordinator's decisions, without a network.

Time advances in steps. Prefill upstreams work on one prompt after another,
decode upstreams on all streams at once, slower with more of them.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable
from typing import Final

import attrs
from gypsumrelay_dispatch import (
    AccountLimits,
    Ending,
    Grant,
    Phase,
    PlacementRequest,
    SchedulerState,
    ServiceLimits,
    StreamPace,
    apply_configuration,
    apply_upstreams,
    end_attempt,
    end_prefill,
    request_placement,
    tick,
)
from gypsumrelay_dispatch.upstream_performance import allowed_slots
from gypsumrelay_settings import DispatchSettings
from simulation import SERVICE, new_request, upstream

STEP_SECONDS: Final = 0.01
TICK_STEPS: Final = 5
TRANSFER_SECONDS: Final = 0.03
# Figures of a deployment whose engines differ in speed.
MEMORY_TOKENS: Final = 30_971
PREFILL_TOKENS_PER_MS: Final = 33
DECODE_MS: Final = 3.27
# Part by which a decode step is slower for each further stream.
CROWDING: Final = 0.05
EVENT_TOKENS: Final = 12
PROMPT_TOKENS: Final = 3200
OUTPUT_TOKENS: Final = 840
OBJECTIVE_SECONDS: Final = 0.9
PLAIN_OBJECTIVE_SECONDS: Final = 0.15
PLAIN_SECONDS: Final = 0.05
# Factor by which announced lengths are off.
HINT_ERROR: Final = 1.6

Effect = Callable[[float, int], float]


def no_effect(now: float, running: int) -> float:
    """Return the factor of the time of an upstream without a fault."""
    return 1


@attrs.define
class Work:
    """A request that was granted.

    Attributes:
        grant: The grant.
        arrived_at: Instant of the request.
        output: Tokens that it generates.
        done: Progress in tokens, or seconds of a plain request.
        ready_at: Instant from which it may be decoded.
        first_at: Instant of its first event; 0 before.
        events: Events after the first one.
        last_at: Instant of its newest event.
    """

    grant: Grant
    arrived_at: float
    output: float
    done: float = 0
    ready_at: float = math.inf
    first_at: float = 0
    events: int = 0
    last_at: float = 0


@attrs.define
class Fleet:
    """A coordinator's state with simulated upstreams and traffic.

    Attributes:
        scheduler: The coordinator's state.
        rng: Source of the traffic.
        speeds: Speed of each upstream.
        effects: Factor of the time of an upstream, by instant and concurrent
            work.
        served: Tokens, or plain requests, by upstream.
        in_time: Requests whose first event or answer was in time.
        arrived: Requests that arrived.
        most_tokens: Most tokens that each decode upstream held at once.
        limits: Limits of all upstreams, by instant.
    """

    scheduler: SchedulerState
    rng: random.Random
    speeds: dict[str, float]
    effects: dict[str, Effect] = attrs.field(factory=dict)
    now: float = 100
    open: dict[tuple[str, int], Work] = attrs.field(factory=dict)
    prefills: dict[str, list[Work]] = attrs.field(factory=dict)
    prefilled: dict[str, float] = attrs.field(factory=dict)
    arrivals: dict[tuple[str, int], tuple[float, float]] = attrs.field(
        factory=dict
    )
    served: Counter[str] = attrs.field(factory=Counter)
    in_time: int = 0
    arrived: int = 0
    most_tokens: dict[str, float] = attrs.field(factory=dict)
    limits: list[tuple[float, dict[str, int]]] = attrs.field(factory=list)

    def run(self, seconds: float, per_second: float, *, plain: bool) -> None:
        """Let traffic arrive at random for some seconds."""
        arrival = self.now + self.rng.expovariate(per_second)
        for step in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            while arrival <= self.now:
                self._arrive(is_plain=plain)
                arrival += self.rng.expovariate(per_second)
            if step % TICK_STEPS == 0:
                self._collect(tick(self.scheduler, self.now))
                self._note_limits()
            self._advance_prefills()
            self._advance_streams(is_plain=plain)

    def limits_of(self, name: str, start: float, end: float) -> list[int]:
        """Return the limits of an upstream in a period since the start."""
        return [
            limits[name]
            for at, limits in self.limits
            if start <= at - 100 < end
        ]

    def _arrive(self, *, is_plain: bool) -> None:
        self.arrived += 1
        if is_plain:
            request = self._plain_request()
            output = PLAIN_SECONDS * self.rng.lognormvariate(0, 0.25)
        else:
            output = OUTPUT_TOKENS * self.rng.lognormvariate(0, 0.3)
            request = self._prompt_request(output)
        self.arrivals[request.key] = (self.now, output)
        self._collect(request_placement(self.scheduler, request, self.now))

    def _plain_request(self) -> PlacementRequest:
        return new_request(
            f'r{self.arrived}',
            self.now,
            objective_at=self.now + PLAIN_OBJECTIVE_SECONDS,
            wait_until=self.now + 3 * PLAIN_OBJECTIVE_SECONDS,
        )

    def _prompt_request(self, output: float) -> PlacementRequest:
        hint = output * self.rng.lognormvariate(0, math.log(HINT_ERROR))
        prompt = PROMPT_TOKENS * self.rng.lognormvariate(0, 0.2)
        return new_request(
            f'r{self.arrived}',
            self.now,
            prompt_tokens=int(prompt),
            output_tokens=2700,
            expected_tokens=int(min(2700, hint)),
        )

    def _collect(self, decisions: list) -> None:
        for decision in decisions:
            if not isinstance(decision, Grant):
                continue
            arrived_at, output = self.arrivals.pop(decision.request.key)
            work = Work(decision, arrived_at, output)
            self.open[decision.request.key] = work
            if decision.prefill is None:
                # A decode upstream prefills 2.5 times slower.
                tokens = decision.request.prompt_tokens
                own_ms = 2.5 * tokens / PREFILL_TOKENS_PER_MS
                work.ready_at = self.now + own_ms / 1000
            else:
                name = decision.prefill.name
                self.prefills.setdefault(name, []).append(work)

    def _advance_prefills(self) -> None:
        for name, waiting in self.prefills.items():
            left = STEP_SECONDS / self._factor(name, 1)
            while waiting and left > 0:
                tokens = waiting[0].grant.request.prompt_tokens
                needed = tokens / PREFILL_TOKENS_PER_MS / 1000
                needed -= self.prefilled.get(name, 0)
                if needed > left:
                    self.prefilled[name] = self.prefilled.get(name, 0) + left
                    break
                left -= needed
                self.prefilled[name] = 0
                self._end_prefill(name, waiting.pop(0))

    def _end_prefill(self, name: str, work: Work) -> None:
        self.served[name] += work.grant.request.prompt_tokens
        work.ready_at = self.now + TRANSFER_SECONDS
        key = work.grant.request.key
        ending = Ending.answered
        self._collect(end_prefill(self.scheduler, key, ending, self.now))

    def _advance_streams(self, *, is_plain: bool) -> None:
        running: dict[str, list[Work]] = {}
        for work in self.open.values():
            if work.ready_at <= self.now:
                name = work.grant.upstream.name
                running.setdefault(name, []).append(work)
        for name, works in running.items():
            factor = self._factor(name, len(works))
            for work in works:
                if is_plain:
                    self._advance_plain(name, work, factor)
                else:
                    crowding = 1 + CROWDING * (len(works) - 1)
                    self._advance_stream(name, work, factor * crowding)
            held = sum(
                one.grant.request.prompt_tokens + one.done for one in works
            )
            most = self.most_tokens.get(name, 0)
            self.most_tokens[name] = max(most, 0 if is_plain else held)

    def _advance_plain(self, name: str, work: Work, factor: float) -> None:
        work.done += STEP_SECONDS / factor
        if work.done >= work.output:
            self.served[name] += 1
            late_at = work.arrived_at + PLAIN_OBJECTIVE_SECONDS
            self.in_time += self.now <= late_at
            self._end(work, StreamPace())

    def _advance_stream(self, name: str, work: Work, factor: float) -> None:
        work.done += STEP_SECONDS * 1000 / (DECODE_MS * factor)
        events = int(min(work.done, work.output) / EVENT_TOKENS)
        if events and not work.first_at:
            work.first_at = self.now
            self.in_time += self.now <= work.arrived_at + OBJECTIVE_SECONDS
        elif events > work.events + 1:
            work.events = events - 1
            work.last_at = self.now
        if work.done >= work.output:
            self.served[name] += int(work.output)
            stream_ms = (work.last_at - work.first_at) * 1000
            self._end(work, StreamPace(work.events, int(stream_ms)))

    def _end(self, work: Work, pace: StreamPace) -> None:
        key = work.grant.request.key
        self.open.pop(key)
        decisions = end_attempt(
            self.scheduler,
            key,
            Ending.answered,
            self.now,
            began=True,
            pace=pace,
        )
        self._collect(decisions)

    def _factor(self, name: str, running: int) -> float:
        effect = self.effects.get(name, no_effect)
        return effect(self.now - 100, running) / self.speeds[name]

    def _note_limits(self) -> None:
        counts = {
            name: allowed_slots(self.scheduler, load)
            for name, load in self.scheduler.loads.items()
        }
        self.limits.append((self.now, counts))


def plain_fleet(speeds: list[float], slots: int, *, learns: bool) -> Fleet:
    """Return a fleet of plain upstreams."""
    pool = [
        upstream(number, Phase.plain, slots) for number, _ in enumerate(speeds)
    ]
    named = {one.name: speed for one, speed in zip(pool, speeds, strict=True)}
    return _fleet(pool, named, ServiceLimits(SERVICE), learns=learns)


def model_fleet(
    prefill: list[float], decode: list[float], seed: int, *, learns: bool
) -> Fleet:
    """Return a fleet of prefill and decode upstreams of the given speeds."""
    pool = []
    speeds = {}
    for phase, given in ((Phase.prefill, prefill), (Phase.decode, decode)):
        for number, speed in enumerate(given):
            one = attrs.evolve(
                upstream(number, phase, 64), availability_zone='zone-0'
            )
            pool.append(one)
            speeds[one.name] = speed
    limits = ServiceLimits(SERVICE, memory_tokens=MEMORY_TOKENS)
    fleet = _fleet(pool, speeds, limits, learns=learns)
    fleet.rng = random.Random(seed)
    return fleet


def _fleet(
    pool: list, speeds: dict[str, float], limits: ServiceLimits, *, learns: bool
) -> Fleet:
    settings = DispatchSettings(learn_performance=learns)
    fleet = Fleet(SchedulerState(settings), random.Random(3), speeds)
    accounts: list[AccountLimits] = []
    apply_configuration(fleet.scheduler, [limits], accounts, fleet.now)
    apply_upstreams(fleet.scheduler, pool, fleet.now)
    return fleet
