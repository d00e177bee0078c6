"""Grants of placements, and the use of limits that each counts as."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from gypsumrelay_dispatch import (
    fair_queueing,
    pauses,
    rate_limits,
    retry_budget,
    transfer_costs,
)
from gypsumrelay_dispatch.candidates import prefill_estimate_ms
from gypsumrelay_dispatch.crashes import note_placed
from gypsumrelay_dispatch.grant_rate import count_grant
from gypsumrelay_dispatch.loads import ActivePlacement, drop_old_sends
from gypsumrelay_dispatch.models import Grant, PlacementRequest
from gypsumrelay_dispatch.queueing import MS_PER_SECOND
from gypsumrelay_dispatch.rollouts import count_rollout_grant
from gypsumrelay_dispatch.scheduler_state import (
    QueuedRequest,
    SchedulerState,
    add_placement,
)
from gypsumrelay_dispatch.selection import Choice

if TYPE_CHECKING:
    from gypsumrelay_dispatch.models import Upstream

# Prefill time at a decode upstream relative to a prefill upstream, which does
# not decode at the same time.
DIRECT_PREFILL_SLOWDOWN: Final = 2.5


def grant_placement(
    scheduler: SchedulerState,
    waiting: QueuedRequest,
    choice: Choice,
    now: float,
) -> Grant:
    """Place a queued request at the selected upstreams."""
    request = waiting.request
    load = choice.upstream
    prefill = choice.prefill.upstream if choice.prefill else None
    used = len(load.running)
    _count_use(scheduler, request, choice, now)
    note_placed(scheduler, request, now)
    transfer_costs.note_placed(scheduler, choice.prefill, load, now)
    placement = _placement(request, choice, now)
    granted = list(filter(None, (load.upstream, prefill)))
    rollout = count_rollout_grant(scheduler, request, granted, now)
    add_placement(scheduler, placement)
    if is_direct_prefill(placement):
        prefill_work_ms = (
            prefill_estimate_ms(scheduler, request) * DIRECT_PREFILL_SLOWDOWN
        )
        load.direct_prefill_until = now + prefill_work_ms / MS_PER_SECOND
    return Grant(
        request,
        _with_known_version(scheduler, load.upstream),
        prefill,
        now - waiting.requested_at,
        used,
        scheduler.list_position,
        _limits_in_force(scheduler, load.upstream, prefill),
        len(scheduler.retry_budget(request.service).retries),
        fair_queueing.note_granted(scheduler, waiting, now),
        rollout,
    )


def _with_known_version(
    scheduler: SchedulerState, upstream: Upstream
) -> Upstream:
    """Return an upstream, without its version while that is not known.

    A stream that it begins would be bound to a wrong one.
    """
    if scheduler.versions_known:
        return upstream
    return attrs.evolve(upstream, version='')


def is_direct_prefill(placement: ActivePlacement) -> bool:
    """Return whether the decode upstream also runs the prefill."""
    request = placement.request
    was_prefilled = request.read or bool(
        placement.prefill or placement.prefilled_by
    )
    return bool(request.prompt_tokens) and not was_prefilled


def _placement(
    request: PlacementRequest, choice: Choice, now: float
) -> ActivePlacement:
    placement = ActivePlacement(
        request,
        choice.upstream.upstream.name,
        choice.prefill.upstream.name if choice.prefill else '',
        choice.prefill_ms,
        now,
    )
    placement.running_at_grant = len(choice.upstream.running) + 1
    if choice.prefill is None:
        placement.started_at = now
    else:
        ahead = choice.prefill.prefill_work_ms.values()
        placement.prefill_ahead_ms = sum(ahead)
    return placement


def _count_use(
    scheduler: SchedulerState,
    request: PlacementRequest,
    choice: Choice,
    now: float,
) -> None:
    """Count the sends of an attempt for the limits of its upstreams."""
    for load in filter(None, (choice.upstream, choice.prefill)):
        drop_old_sends(load, now)
        load.send_times.append(now)
        name = load.upstream.name
        rate_limits.count_request(scheduler.rate_limits, name, now)
        pauses.count_request(scheduler.pauses, request.entry, name, now)
    if request.attempt == 1:
        budget = scheduler.retry_budget(request.service)
        retry_budget.count_first_send(budget, now)
    count_grant(scheduler.grant_rate(request.service))


def _limits_in_force(
    scheduler: SchedulerState, *upstreams: Upstream | None
) -> dict[str, float]:
    """Return the rate limits of the given upstreams, by name."""
    names = [upstream.name for upstream in upstreams if upstream]
    return {
        name: scheduler.rate_limits[name].per_second
        for name in names
        if name in scheduler.rate_limits
    }
