"""A simulated service whose upstreams are of several versions."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from typing import Any, Final

import attrs
from gypsumrelay_dispatch import (
    Ending,
    Grant,
    Phase,
    SchedulerState,
    ServiceLimits,
    apply_configuration,
    apply_upstreams,
    complete_report,
    end_attempt,
    end_prefill,
    request_placement,
    tick,
)
from gypsumrelay_rollouts import (
    Bounds,
    Change,
    Order,
    Report,
    Rollouts,
    Stage,
    Status,
    apply_orders,
    apply_report,
    apply_statuses,
    mark_written,
    set_leading,
    unwritten_statuses,
)
from gypsumrelay_settings import DispatchSettings
from simulation import SERVICE, new_request, token_counts, upstream

OLD: Final = 'v1'
NEW: Final = 'v2'
THIRD: Final = 'v3'
BOUNDS: Final = Bounds(0.1, 50, enabled=True)
ROUTES: Final = ('usual', 'usual', 'usual', 'usual', 'rare')
SINGLE: Final = 'plain-102'
TICK: Final = 0.05
LIST_SECONDS: Final = 0.4
MEMORY: Final = 60_000
START: Final = 100.0
PLAIN_SECONDS: Final = 0.06
PREFILL_SECONDS: Final = 0.1
DECODE_SECONDS: Final = 1.5


@attrs.frozen
class Send:
    """A request that an upstream gets.

    Attributes:
        one: The upstream.
        route: Route of the request.
        at: Instant of the send.
        running: Requests that the upstream runs.
    """

    one: Any
    route: str = ''
    at: float = 0
    running: int = 0

    @property
    def is_new(self) -> bool:
        """Return whether the upstream is of the new version."""
        return bool(self.one.version == NEW)


def never_fails(send: Send) -> float:
    """Return the part of the answers that are failures."""
    return 0


def never_slow(send: Send) -> float:
    """Return the factor of the time that an answer takes."""
    return 1


@attrs.define
class World:
    """Upstreams of several versions, and what goes to them."""

    kind: str
    seed: int = 1
    pool: list[Any] = attrs.field(factory=list)
    scheduler: Any = None
    now: float = START
    orders: list[tuple[float, Order]] = attrs.field(factory=list)
    fails: Callable[[Send], float] = never_fails
    slows: Callable[[Send], float] = never_slow
    store_until: float = float('inf')
    dies_at: float = float('inf')
    is_reported: bool = True
    reads_statuses: bool = True
    events: list[Any] = attrs.field(factory=list)
    numbers: Any = attrs.field(factory=itertools.count)
    grants: list[tuple[float, Any]] = attrs.field(factory=list)
    bad: list[float] = attrs.field(factory=list)
    changes: list[tuple[float, Change]] = attrs.field(factory=list)
    store: dict[str, Status] = attrs.field(factory=dict)
    history: dict[str, Any] = attrs.field(factory=dict)
    running: Counter[str] = attrs.field(factory=Counter)
    requests: int = 0
    left_running: int = -1
    rejected: int = 0
    leave_at: float = float('inf')
    listed_at: float = START

    def version_of(self, name: str) -> str:
        """Return the version of an upstream."""
        return next(one.version for one in self.pool if one.name == name)


def new_scheduler(world: World) -> SchedulerState:
    scheduler = SchedulerState(
        DispatchSettings(), rollouts=Rollouts(bounds=BOUNDS)
    )
    scheduler.list_position = 1
    memory = MEMORY if world.kind == 'model' else 0
    limits = [ServiceLimits(SERVICE, memory_tokens=memory)]
    apply_configuration(scheduler, limits, [], world.now)
    return scheduler


def add_version(world: World, version: str, count: int, base: int) -> None:
    for number in range(count):
        phase = Phase.plain
        if world.kind == 'model':
            phase = Phase.prefill if number % 3 == 0 else Phase.decode
        slots = 64 if world.kind == 'model' else 8
        world.pool.append(
            attrs.evolve(
                upstream(base + number, phase, slots, version=version),
                availability_zone=f'zone-{number % 3}',
            )
        )


def begin_term(world: World) -> None:
    """Let a coordinator begin that knows only reports and statuses."""
    world.scheduler = new_scheduler(world)
    scheduler = world.scheduler
    for at, order in world.orders:
        if at <= world.now:
            # A relay that lives on knows since when an order holds.
            since = at if world.is_reported else world.now
            known = {order.service: order}
            apply_orders(scheduler.rollouts, known, since)
    if world.now == START:
        # The new upstreams were started beside the old ones.
        old = [one for one in world.pool if one.version == OLD]
        apply_upstreams(scheduler, old, world.now)
    apply_upstreams(scheduler, world.pool, world.now)
    set_leading(scheduler.rollouts, is_leading=True)
    if world.is_reported and world.history:
        report = Report(SERVICE, **world.history)
        apply_report(scheduler.rollouts, 'entry', report)
    live = frozenset(('entry',))
    complete_report(scheduler, 'entry', live, world.now)
    if world.reads_statuses:
        apply_statuses(scheduler.rollouts, world.store, 0)


def run(world: World, rate: float, seconds: float) -> None:
    source = random.Random(world.seed)
    begin_term(world)
    due = START
    next_request = START + source.expovariate(rate)
    while due < START + seconds:
        due += TICK
        while next_request < due:
            world.now = next_request
            arrive(world, source)
            next_request += source.expovariate(rate)
        happen(world, due)
        world.now = due
        step(world)
    happen(world, float('inf'))
    step(world)


def happen(world: World, until: float) -> None:
    """Let the answers come that are due."""
    while world.events and world.events[0][0] < until:
        at, _, event = heapq.heappop(world.events)
        world.now = at
        event()


def step(world: World) -> None:
    scheduler = world.scheduler
    if world.now >= world.dies_at:
        world.dies_at = float('inf')
        world.events.clear()
        world.running.clear()
        begin_term(world)
        scheduler = world.scheduler
    if world.now >= world.listed_at + LIST_SECONDS:
        world.listed_at = world.now
        has_left = world.now >= world.leave_at
        pool = [
            attrs.evolve(one, leaving=has_left and one.version == OLD)
            for one in world.pool
        ]
        apply_upstreams(scheduler, pool, world.now)
    rollouts = scheduler.rollouts
    known = {
        order.service: order for at, order in world.orders if at <= world.now
    }
    apply_orders(rollouts, known, world.now)
    if world.now < world.store_until:
        rollouts.store_seen_at = world.now
    deliver(world, tick(scheduler, world.now))
    for change in rollouts.changes:
        world.changes.append((world.now, change))
        if change.stage is Stage.completed:
            world.left_running = sum(
                count
                for name, count in world.running.items()
                if world.version_of(name) != change.order.version
            )
    rollouts.changes.clear()
    if world.now < world.store_until:
        for status, deadline in unwritten_statuses(rollouts):
            world.store[status.service] = attrs.evolve(
                status, deadline_ms=int(deadline * 1000)
            )
            mark_written(rollouts, status)


def arrive(world: World, source: random.Random) -> None:
    world.requests += 1
    counts = token_counts(3000, 500) if world.kind == 'model' else {}
    request = new_request(
        f'r{world.requests}',
        world.now,
        route=source.choice(ROUTES),
        **counts,
    )
    decisions = request_placement(world.scheduler, request, world.now)
    deliver(world, decisions)


def deliver(world: World, decisions: Any) -> None:
    for decision in decisions:
        if not isinstance(decision, Grant):
            world.rejected += 1
            continue
        world.grants.append((world.now, decision))
        if decision.rollout is not None:
            note(world, decision)
        if decision.prefill is None:
            serve(world, decision)
        else:
            prefill(world, decision)


def note(world: World, grant: Grant) -> None:
    found = grant.rollout
    if world.history.get('version') != found.version:
        world.history = {'version': found.version, 'answers': 0, 'bad': 0}
    world.history['requests'] = found.requests
    world.history['sent'] = found.sent
    world.history['totals'] = found.totals


def later(world: World, seconds: float, event: Any) -> None:
    entry = (world.now + seconds, next(world.numbers), event)
    heapq.heappush(world.events, entry)


def draw(world: World, key: str) -> random.Random:
    return random.Random(f'{world.seed} {key}')


def prefill(world: World, grant: Grant) -> None:
    source = draw(world, f'prefill {grant.request.key}')
    one = grant.prefill
    key = grant.request.key
    busy = world.running[one.name]
    world.running[one.name] += 1
    send = Send(one, grant.request.route, world.now, busy)
    seconds = PREFILL_SECONDS * world.slows(send)
    seconds *= source.uniform(0.8, 1.3) + busy

    def end() -> None:
        world.running[one.name] -= 1
        now = world.now
        ended = end_prefill(world.scheduler, key, Ending.answered, now)
        deliver(world, ended)
        serve(world, grant)

    later(world, seconds, end)


def serve(world: World, grant: Grant) -> None:
    source = draw(world, f'serve {grant.request.key}')
    one = grant.upstream
    running = world.running[one.name]
    world.running[one.name] += 1
    usual = DECODE_SECONDS if world.kind == 'model' else PLAIN_SECONDS
    send = Send(one, grant.request.route, world.now, running)
    slowness = world.slows(send)
    seconds = usual * source.uniform(0.6, 1.4) * slowness
    is_failed = source.random() < world.fails(send)
    is_bad = is_failed or slowness > 1

    def end() -> None:
        world.running[one.name] -= 1
        if is_bad and one.version == NEW:
            world.bad.append(world.now)
        if world.history.get('version') == one.version:
            world.history['answers'] += 1
            world.history['bad'] += is_failed
        ending = Ending.failed if is_failed else Ending.answered
        key = grant.request.key
        deliver(world, end_attempt(world.scheduler, key, ending, world.now))

    later(world, seconds, end)


def stages(world: World) -> list[str]:
    return [change.stage.value for _, change in world.changes]
