"""Use of the observed transfer times when upstreams are selected."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gypsumrelay_dispatch import transfers
from gypsumrelay_dispatch.loads import MS_PER_SECOND, ActivePlacement, Load
from gypsumrelay_dispatch.models import Ending, PlacementRequest

if TYPE_CHECKING:
    from gypsumrelay_dispatch.models import Upstream
    from gypsumrelay_dispatch.scheduler_state import SchedulerState

# Score penalty of a decode upstream outside the prefill upstream's zone, as a
# part of engine memory: a KV cache transfer takes twice as long between
# zones.
CROSS_ZONE_PENALTY: Final = 0.3
# The same penalty where transfer times are learned but not known yet. With the
# one above, zones would exchange no transfers at moderate load, so that their
# times stayed unknown. A transfer of 1 GB takes 24 ms longer between zones,
# which is 0.03 of the time that is usually left.
UNKNOWN_PENALTY: Final = 0.1
# Minimum time in milliseconds until a latency objective with which a delay is
# compared; the objective of a request in the queue may have passed.
MIN_SLACK_MS: Final = 200.0


def transfer_penalty(
    scheduler: SchedulerState,
    request: PlacementRequest,
    prefill: Load,
    decode: Load,
    now: float,
) -> float:
    """Return the penalty of a decode upstream as a part of engine memory.

    A delay that takes all of the time to the latency objective after prefill
    counts as much as a full memory. Before the transfers between two zones are
    known, a fixed penalty is added.
    """
    path = _path(prefill.upstream, decode.upstream)
    is_remote = path.source_zone != path.destination_zone
    if not scheduler.settings.learn_transfers:
        return CROSS_ZONE_PENALTY * is_remote
    known = scheduler.transfers
    tokens = request.prompt_tokens
    delay_ms = transfers.path_delay_ms(known, path, tokens, now)
    penalty = delay_ms / _slack_ms(scheduler, request, now)
    is_known = transfers.knows_zones(known, path, now)
    return penalty if is_known else penalty + UNKNOWN_PENALTY * is_remote


def source_delay_ms(
    scheduler: SchedulerState,
    request: PlacementRequest,
    prefill: Load,
    now: float,
) -> float:
    """Return the delay of transfers from a prefill upstream."""
    if not scheduler.settings.learn_transfers:
        return 0
    return transfers.source_delay_ms(
        scheduler.transfers, prefill.upstream.name, request.prompt_tokens, now
    )


def note_placed(
    scheduler: SchedulerState, prefill: Load | None, decode: Load, now: float
) -> None:
    """Note a placement, which may try a slow link or upstream."""
    if prefill is not None and scheduler.settings.learn_transfers:
        path = _path(prefill.upstream, decode.upstream)
        transfers.note_trial(scheduler.transfers, path, now)


def observe_result(
    scheduler: SchedulerState,
    placement: ActivePlacement,
    ending: Ending,
    transfer_ms: int,
    now: float,
) -> None:
    """Update the transfer times from the result of an attempt.

    Args:
        scheduler: The coordinator's state.
        placement: The placement of the attempt.
        ending: How the attempt ended.
        transfer_ms: Time in milliseconds from the end of the prefill to the
            first event; -1 if unknown.
        now: The current instant.
    """
    prefill = scheduler.loads.get(placement.prefilled_by)
    decode = scheduler.loads.get(placement.upstream)
    if not scheduler.settings.learn_transfers or not (prefill and decode):
        return
    path = _path(prefill.upstream, decode.upstream)
    tokens = placement.request.prompt_tokens
    known = scheduler.transfers
    if ending is Ending.unfetched:
        transfers.observe_failure(known, path, tokens, now)
    elif transfer_ms >= 0:
        transfers.observe_transfer(known, path, tokens, transfer_ms, now)


def _path(source: Upstream, destination: Upstream) -> transfers.TransferPath:
    return transfers.TransferPath(
        source.service,
        source.name,
        source.availability_zone,
        destination.name,
        destination.availability_zone,
    )


def _slack_ms(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> float:
    """Return the time from the end of the prefill to the objective."""
    prefill_ms = (
        request.prompt_tokens / scheduler.settings.prefill_tokens_per_ms
    )
    remaining_ms = (request.objective_at - now) * MS_PER_SECOND
    return max(MIN_SLACK_MS, remaining_ms - prefill_ms)
