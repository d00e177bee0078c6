"""Roll-outs of software versions: which version a request may use."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_rollouts import (
    Answer,
    Rollout,
    Situation,
    Stage,
    advance_all,
    count_grant,
    may_place,
    observe,
    running_rollout,
    wants_new,
)

from gypsumrelay_dispatch.loads import is_in_pool
from gypsumrelay_dispatch.models import (
    Ending,
    Phase,
    PlacementRequest,
    RolloutCounts,
)
from gypsumrelay_dispatch.scheduler_state import SchedulerState, is_usable

if TYPE_CHECKING:
    from gypsumrelay_dispatch.loads import ActivePlacement, Load
    from gypsumrelay_dispatch.models import Upstream

# Sends after which the canary turns to the next upstream of the new version.
SENDS_PER_CANARY: Final = 8
MS_PER_SECOND: Final = 1000
# Endings that count against the version of the upstream.
BAD_ENDINGS: Final = frozenset((Ending.failed, Ending.lost, Ending.crashed))
# Endings whose time counts against it if the request was slow by then.
GIVEN_UP_ENDINGS: Final = frozenset((Ending.cancelled,))


def narrow(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> list[PlacementRequest]:
    """Return the request for each version that it may use, in order.

    Each of them excludes all upstreams of other versions, so that prefill and
    decode are of one version.
    """
    rollouts = scheduler.rollouts
    current = rollouts.current.get(request.service)
    if current is None or current.is_final:
        return [request]
    if request.version:
        is_open = may_place(rollouts, request.service, request.version)
        return [request] if is_open else []
    rollout = running_rollout(rollouts, request.service)
    is_open = rollouts.is_leading and rollouts.is_status_known
    is_complete = not scheduler.placement_reports.is_incomplete(now)
    if rollout is None or not (is_open and is_complete):
        return _old_versions(scheduler, request, current, now)
    return _versions(scheduler, request, rollout, now)


def count_rollout_grant(
    scheduler: SchedulerState,
    request: PlacementRequest,
    upstreams: list[Upstream],
    now: float,
) -> RolloutCounts | None:
    """Count a grant; return the counts of the roll-out, if there is one.

    Args:
        scheduler: The coordinator's state.
        request: The granted request.
        upstreams: The upstreams that get a send.
        now: The present instant.
    """
    rollout = running_rollout(scheduler.rollouts, request.service)
    if rollout is None:
        return None
    version = rollout.order.version
    count_grant(
        rollout,
        to_new=sum(one.version == version for one in upstreams),
        sends=len(upstreams),
        is_first=request.attempt == 1,
        now=now,
    )
    exposure = rollout.exposure
    evidence = rollout.evidence
    return RolloutCounts(
        version,
        exposure.requests,
        exposure.sent,
        evidence.reported.plus(evidence.totals),
        exposure.is_partial,
    )


def observe_answer(
    scheduler: SchedulerState,
    placement: ActivePlacement,
    load: Load,
    ending: Ending,
    now: float,
) -> None:
    """Record the end of an attempt as evidence for a roll-out."""
    upstream = load.upstream
    rollout = running_rollout(scheduler.rollouts, upstream.service)
    if rollout is None or placement.is_restored:
        return
    is_new = upstream.version == rollout.order.version
    if ending is Ending.answered and not is_new:
        rollout.durations.append(now - placement.granted_at)
    units = max(1, placement.request.expected_tokens)
    _observe(rollout, placement, load, ending, units, now)


def observe_prefill_answer(
    scheduler: SchedulerState,
    placement: ActivePlacement,
    load: Load,
    ending: Ending,
    now: float,
) -> None:
    """Record the end of a prefill as evidence for a roll-out."""
    rollout = running_rollout(scheduler.rollouts, load.upstream.service)
    if rollout is None or placement.is_restored:
        return
    work_ms = placement.prefill_ahead_ms + placement.prefill_ms
    units = max(1, work_ms) / MS_PER_SECOND
    _observe(rollout, placement, load, ending, units, now)


def advance_rollouts(scheduler: SchedulerState, now: float) -> None:
    """Take the decisions on roll-outs that are due."""

    def situation(rollout: Rollout) -> Situation:
        return _situation(scheduler, rollout, now)

    if scheduler.placement_reports.is_incomplete(now):
        return
    services = scheduler.services.keys()
    advance_all(scheduler.rollouts, services, situation, now)


def is_on_trial(scheduler: SchedulerState, upstream: Upstream) -> bool:
    """Return whether an upstream is of a version that is not in force yet."""
    rollout = scheduler.rollouts.current.get(upstream.service)
    if rollout is None or rollout.is_final or rollout.is_trusted:
        return False
    return rollout.order.version == upstream.version


def _versions(
    scheduler: SchedulerState,
    request: PlacementRequest,
    rollout: Rollout,
    now: float,
) -> list[PlacementRequest]:
    version = rollout.order.version
    new = _only(scheduler, request, version)
    old = _old_versions(scheduler, request, rollout, now)
    if not old:
        return [new]
    running = _running(scheduler, request.service, version)
    sends = 2 if request.prompt_tokens else 1
    bounds = scheduler.rollouts.bounds
    is_wanted = wants_new(rollout, bounds, sends, running, now)
    if rollout.stage is Stage.draining:
        if not is_wanted:
            return old
        is_ready = _situation(scheduler, rollout, now).is_ready
        return [new] if is_ready else [new, *old]
    if rollout.stage is Stage.raising and not rollout.in_doubt:
        healthy = attrs.evolve(new, excluded=new.excluded | rollout.suspects)
        return [healthy, *old] if is_wanted else old
    # A request that has failed once does not fail again for the canary.
    if not is_wanted or request.attempt > 1:
        return old
    canary = _canary(scheduler, new, rollout, now)
    return old if canary is None else [canary, *old]


def _old_versions(
    scheduler: SchedulerState,
    request: PlacementRequest,
    rollout: Rollout,
    now: float,
) -> list[PlacementRequest]:
    """Return the request for each version in force, the least loaded first."""
    service = request.service
    versions = set(scheduler.rollouts.in_force.get(service, ()))
    if not rollout.is_trusted:
        versions.discard(rollout.order.version)
    if not scheduler.rollouts.in_force.get(service):
        return [request]

    def load_of(version: str) -> float:
        loads = _of_version(scheduler, service, version, now)
        return _running(scheduler, service, version) / max(1, len(loads))

    ordered = sorted(sorted(versions), key=load_of)
    return [_only(scheduler, request, version) for version in ordered]


def _canary(
    scheduler: SchedulerState,
    request: PlacementRequest,
    rollout: Rollout,
    now: float,
) -> PlacementRequest | None:
    """Return the request for one upstream of each phase of the new version.

    It runs there as much as at an upstream of the old version, so that faults
    which only come with load show at a small share of the traffic.
    """
    chosen = _canary_loads(scheduler, rollout, now)
    last = chosen.get(Phase.decode if request.prompt_tokens else Phase.plain)
    if last is None:
        return None
    usual = _usual_running(scheduler, last, rollout, now)
    is_suspended = any(load.suspended_until > now for load in chosen.values())
    if is_suspended or len(last.running) >= usual:
        return None
    names = {load.upstream.name for load in chosen.values()}
    return attrs.evolve(
        request, excluded=request.excluded | (_names(scheduler) - names)
    )


def _canary_loads(
    scheduler: SchedulerState, rollout: Rollout, now: float
) -> dict[Phase, Load]:
    """Return one upstream of the new version for each phase, in turn."""
    order = rollout.order
    loads = _of_version(scheduler, order.service, order.version, now)
    by_phase: dict[Phase, list[Load]] = defaultdict(list)
    for load in sorted(loads, key=lambda one: one.upstream.name):
        if load.upstream.name not in rollout.suspects:
            by_phase[load.upstream.phase].append(load)
    index = rollout.exposure.sent // SENDS_PER_CANARY
    return {
        phase: group[index % len(group)] for phase, group in by_phase.items()
    }


def _usual_running(
    scheduler: SchedulerState, canary: Load, rollout: Rollout, now: float
) -> int:
    """Return how much runs at an old upstream of the canary's phase."""
    upstream = canary.upstream
    version = rollout.order.version
    running = [
        len(load.running)
        for load in scheduler.loads.values()
        if is_in_pool(load, upstream.service, upstream.phase)
        and load.upstream.version != version
        and is_usable(scheduler, load, now)
    ]
    mean = sum(running) / max(1, len(running))
    return max(1, math.ceil(mean))


def _only(
    scheduler: SchedulerState, request: PlacementRequest, version: str
) -> PlacementRequest:
    others = {
        name
        for name, load in scheduler.loads.items()
        if load.upstream.version != version
    }
    return attrs.evolve(request, excluded=request.excluded | others)


def _names(scheduler: SchedulerState) -> frozenset[str]:
    return frozenset(scheduler.loads)


def _of_version(
    scheduler: SchedulerState, service: str, version: str, now: float
) -> list[Load]:
    return [
        load
        for load in scheduler.loads.values()
        if load.upstream.service == service
        and load.upstream.version == version
        and is_usable(scheduler, load, now)
    ]


def _running(scheduler: SchedulerState, service: str, version: str) -> int:
    return sum(
        len(load.running)
        for load in scheduler.loads.values()
        if load.upstream.service == service and load.upstream.version == version
    )


def _situation(
    scheduler: SchedulerState, rollout: Rollout, now: float
) -> Situation:
    service = rollout.order.service
    version = rollout.order.version
    new = _of_version(scheduler, service, version, now)
    phases = Counter(load.upstream.phase for load in new)
    old = [
        load
        for load in scheduler.loads.values()
        if load.upstream.service == service and load.upstream.version != version
    ]
    needed = {
        load.upstream.phase for load in old if is_usable(scheduler, load, now)
    }
    return Situation(
        _running_count(old) + _waiting_count(scheduler, rollout),
        bool(new) and needed <= phases.keys(),
        frozenset(
            load.upstream.name
            for load in new
            if phases[load.upstream.phase] > 1
        ),
        scheduler.rollouts.is_store_available(now),
    )


def _running_count(loads: list[Load]) -> int:
    running = {key for load in loads for key in load.running}
    running.update(key for load in loads for key in load.prefill_work_ms)
    return len(running)


def _waiting_count(scheduler: SchedulerState, rollout: Rollout) -> int:
    """Return the queued requests that are bound to another version."""
    service = rollout.order.service
    versions = (
        waiting.request.version
        for waiting in scheduler.queue
        if waiting.request.service == service
    )
    return sum(found not in {'', rollout.order.version} for found in versions)


def _observe(
    rollout: Rollout,
    placement: ActivePlacement,
    load: Load,
    ending: Ending,
    units: float,
    now: float,
) -> None:
    upstream = load.upstream
    is_given_up = ending in GIVEN_UP_ENDINGS
    is_bad = ending in BAD_ENDINGS
    if not is_bad and not is_given_up and ending is not Ending.answered:
        return
    is_prefill = upstream.name == placement.prefill
    began_at = placement.granted_at if is_prefill else placement.started_at
    answer = Answer(
        upstream.name,
        upstream.version == rollout.order.version,
        placement.request.route,
        upstream.phase.value,
        is_bad,
        (now - began_at) / units,
        ending is Ending.crashed,
        is_given_up,
    )
    observe(rollout.evidence, answer, now)
    observe(rollout.failures, attrs.evolve(answer, seconds=None), now)
