"""What excludes or ranks one upstream for an attempt.

The selection of upstreams and the explanation of a decision share these
functions. Each `..._reason` is empty if nothing excludes the upstream.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumrelay_dispatch.forecast import MemoryForecast, peak_tokens
from gypsumrelay_dispatch.loads import (
    Load,
    allows_send,
    placement_memory,
    plain_score,
)
from gypsumrelay_dispatch.pauses import admitted_at
from gypsumrelay_dispatch.rate_limits import allows_request
from gypsumrelay_dispatch.scheduler_state import (
    SchedulerState,
    unusable_reason,
)
from gypsumrelay_dispatch.transfer_costs import source_delay_ms
from gypsumrelay_dispatch.upstream_performance import (
    allowed_slots,
    decode_score,
    expected_service_seconds,
    idle_weight,
    pace_ms,
    prefill_finish_ms,
    prefill_score,
)

if TYPE_CHECKING:
    from gypsumrelay_dispatch.models import PlacementRequest


def ineligible_reason(
    scheduler: SchedulerState,
    request: PlacementRequest,
    load: Load,
    now: float,
) -> str:
    """Return why an upstream of a request's pool is no candidate at all."""
    upstream = load.upstream
    if request.version and request.version != upstream.version:
        return 'another version began the stream'
    if upstream.name in request.excluded:
        return 'excluded for this request'
    if load.is_changing(now):
        return 'changing its phase'
    return unusable_reason(scheduler, load, now)


def pause_end(
    scheduler: SchedulerState, request: PlacementRequest, load: Load
) -> float:
    """Return when a pause of the request's instance admits it."""
    upstream = load.upstream
    return admitted_at(
        scheduler.pauses, request.entry, upstream.name, upstream.started_ms
    )


def limit_reason(
    scheduler: SchedulerState,
    request: PlacementRequest,
    load: Load,
    now: float,
) -> str:
    """Return which limit allows no send to an upstream now.

    These are the cold limit of the service and the rate limit that the
    upstream states.
    """
    service = scheduler.services.get(request.service)
    per_second = service.cold_per_second if service else 0
    if not allows_send(load, per_second, now):
        return 'cold limit'
    if not allows_request(scheduler.rate_limits, load.upstream.name, now):
        return 'stated rate limit'
    return ''


def slots_reason(scheduler: SchedulerState, load: Load) -> str:
    """Return whether the upstream runs as many requests as it may."""
    is_free = len(load.running) < allowed_slots(scheduler, load)
    return '' if is_free else 'no free slot'


def memory_reason(
    scheduler: SchedulerState, load: Load, peak_memory: float
) -> str:
    """Return whether a forecast peak in tokens is over the memory limit."""
    service = scheduler.services[load.upstream.service]
    limit = service.memory_tokens * scheduler.settings.memory_share
    fits = peak_memory <= limit or not load.running
    return '' if fits else 'no memory'


def backlog_reason(
    scheduler: SchedulerState, request: PlacementRequest, load: Load
) -> str:
    """Return whether a prefill upstream has too much work."""
    estimate = prefill_estimate_ms(scheduler, request)
    limit = scheduler.settings.prefill_backlog_ms
    if not load.prefill_work_ms:
        return ''
    is_short = prefill_finish_ms(scheduler, load, estimate) <= limit
    return '' if is_short else 'prefill backlog'


def prefill_estimate_ms(
    scheduler: SchedulerState, request: PlacementRequest
) -> float:
    """Return the estimated prefill time of a prompt in milliseconds."""
    return request.prompt_tokens / scheduler.settings.prefill_tokens_per_ms


def plain_choice_score(
    scheduler: SchedulerState, request: PlacementRequest, load: Load
) -> float:
    """Return the score of a plain upstream; lowest is best."""
    seconds = expected_service_seconds(scheduler, load, load.latency)
    weight = idle_weight(scheduler)
    return plain_score(load, request.availability_zone, seconds, weight)


def prefill_choice_score(
    scheduler: SchedulerState,
    request: PlacementRequest,
    load: Load,
    now: float,
) -> float:
    """Return the score of a prefill upstream; lowest is best."""
    estimate = prefill_estimate_ms(scheduler, request)
    delay_ms = source_delay_ms(scheduler, request, load, now)
    return prefill_score(scheduler, load, estimate) + delay_ms


def decode_choice_score(
    scheduler: SchedulerState, load: Load, peak_memory: float, pool_ms: float
) -> float:
    """Return the score of a decode upstream without transfer; lowest is best.

    Args:
        scheduler: The coordinator's state.
        load: The upstream.
        peak_memory: Forecast peak of its memory with the request, in tokens.
        pool_ms: Pace of the candidates; see `candidates_pace_ms`.
    """
    memory = scheduler.services[load.upstream.service].memory_tokens
    return decode_score(scheduler, load, peak_memory / memory, pool_ms)


def forecast_peak(
    scheduler: SchedulerState, load: Load, request: PlacementRequest, now: float
) -> float:
    """Return the forecast peak memory in tokens with one more request."""
    upstream_ms = pace_ms(scheduler, load)
    forecasts = [
        placement_memory(placement, upstream_ms, now)
        for placement in load.running.values()
    ]
    forecasts.append(
        MemoryForecast(request.prompt_tokens, request.expected_tokens)
    )
    return peak_tokens(forecasts)
