"""Coordinator states for tests, with their answers."""

from __future__ import annotations

from collections import Counter
from typing import Any

import attrs
from gypsumrelay_dispatch import (
    AccountLimits,
    Decision,
    Grant,
    Load,
    Phase,
    PlacementRequest,
    Rejection,
    SchedulerState,
    ServiceLimits,
    Upstream,
    apply_configuration,
    apply_upstreams,
    request_placement,
)
from gypsumrelay_dispatch.forecast import peak_tokens
from gypsumrelay_dispatch.loads import placement_memory
from gypsumrelay_settings import DispatchSettings

SERVICE = 'service'


@attrs.define
class Simulation:
    """A coordinator's state with its clock and its answers."""

    scheduler: SchedulerState
    now: float = 100
    answers: dict[tuple[str, int], list[Decision]] = attrs.field(factory=dict)
    submitted: int = 0

    def collect(self, decisions: list[Decision]) -> None:
        """Record answers by the key of their placement request."""
        for decision in decisions:
            self.answers.setdefault(decision.request.key, []).append(decision)

    def submit(self, **fields: Any) -> PlacementRequest:
        """Send a new placement request and record the answers."""
        self.submitted += 1
        request = new_request(f'r{self.submitted}', self.now, **fields)
        self.collect(request_placement(self.scheduler, request, self.now))
        return request

    def grants(self) -> list[Grant]:
        """Return all grants."""
        return [one for one in self.all() if isinstance(one, Grant)]

    def rejections(self) -> list[Rejection]:
        """Return all rejections."""
        return [one for one in self.all() if isinstance(one, Rejection)]

    def all(self) -> list[Decision]:
        """Return all answers in the order of their first answer."""
        return [
            decision for given in self.answers.values() for decision in given
        ]

    def by_upstream(self) -> Counter[str]:
        """Return the number of active placements by upstream."""
        return Counter(
            placement.upstream
            for placement in self.scheduler.placements.values()
        )


def new_request(request_id: str, now: float, **fields: Any) -> PlacementRequest:
    """Return a placement request with default values."""
    defaults: dict[str, Any] = {
        'attempt': 1,
        'entry': 'entry',
        'availability_zone': 'zone-0',
        'service': SERVICE,
        'client_account': '',
        'cost_tokens': 0,
        'priority': 1,
        'objective_at': now + 0.9,
        'deadline': now + 14,
        'wait_until': now + 2.7,
    }
    return PlacementRequest(request_id=request_id, **(defaults | fields))


def upstream(number: int, phase: Phase, slots: int, **fields: Any) -> Upstream:
    """Return an upstream in a zone of its own number."""
    defaults: dict[str, Any] = {'started_ms': 1}
    return Upstream(
        name=f'{phase.value}-{number}',
        service=SERVICE,
        address=f'10.0.0.{number}:80',
        availability_zone=f'zone-{number}',
        phase=phase,
        slots=slots,
        **(defaults | fields),
    )


def plain_simulation(
    count: int,
    slots: int,
    cold_per_second: float = 0,
    **settings: Any,
) -> Simulation:
    """Return a state with plain upstreams."""
    sim = Simulation(SchedulerState(DispatchSettings(**settings)))
    apply_configuration(
        sim.scheduler,
        [ServiceLimits(SERVICE, cold_per_second)],
        [],
        sim.now,
    )
    pool = [upstream(number, Phase.plain, slots) for number in range(count)]
    apply_upstreams(sim.scheduler, pool, sim.now)
    return sim


def model_simulation(prefill: int, decode: int, memory: int) -> Simulation:
    """Return a state with the prefill and decode pools of a model."""
    sim = Simulation(SchedulerState(DispatchSettings()))
    apply_configuration(
        sim.scheduler,
        [ServiceLimits(SERVICE, memory_tokens=memory)],
        [],
        sim.now,
    )
    pool = [
        *(upstream(number, Phase.prefill, 64) for number in range(prefill)),
        *(upstream(number, Phase.decode, 64) for number in range(decode)),
    ]
    apply_upstreams(sim.scheduler, pool, sim.now)
    return sim


def forecast(sim: Simulation, load: Load) -> float:
    """Return the forecast peak memory of an upstream in tokens."""
    pace_ms = sim.scheduler.pace_ms
    return peak_tokens(
        placement_memory(placement, pace_ms, sim.now)
        for placement in load.running.values()
    )


def limit_account(sim: Simulation, rate: float, burst: float) -> None:
    """Set the limit of the account `account`."""
    limits = sim.scheduler.services.values()
    account = AccountLimits('account', rate, burst)
    apply_configuration(sim.scheduler, limits, [account], sim.now)


def prompt_fields(sim: Simulation) -> dict[str, int]:
    """Return the token counts of a default request to the state's service."""
    if any(name.startswith('plain') for name in sim.scheduler.loads):
        return {}
    return token_counts(3000, 800)


def token_counts(prompt: int, expected: int) -> dict[str, int]:
    """Return the token counts of a model request."""
    return {
        'prompt_tokens': prompt,
        'output_tokens': 2700,
        'expected_tokens': expected,
    }


def change_listed(
    sim: Simulation,
    only: str = '',
    keep: str = '',
    **fields: Any,
) -> None:
    """Change fields of all listed upstreams, or of those selected."""
    pool = [
        attrs.evolve(load.upstream, **fields)
        if (not only or name == only) and name != keep
        else load.upstream
        for name, load in sim.scheduler.loads.items()
    ]
    apply_upstreams(sim.scheduler, pool, sim.now)
