"""Load and health of each upstream."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_performance import Performance

from gypsumrelay_dispatch.forecast import MemoryForecast, forecast_memory
from gypsumrelay_dispatch.models import (
    Ending,
    Phase,
    PlacementRequest,
    Upstream,
)

if TYPE_CHECKING:
    from gypsumrelay_settings import DispatchSettings

# Weight of the newest observation in the moving averages.
SMOOTHING: Final = 0.1
# Initial latency in seconds, until the first answer of a plain request.
INITIAL_LATENCY_SECONDS: Final = 0.05
# Upper bound of the slowness of a prefill upstream; its inverse is the lower
# bound.
MAX_SLOWNESS: Final = 8.0
MS_PER_SECOND: Final = 1000
# Consecutive losses before suspension; a single lost answer says little about
# an upstream.
LOSSES_TO_SUSPEND: Final = 2
# Consecutive failed KV cache fetches before suspension; a single fetch may
# also fail for lack of memory.
FETCH_FAILURES_TO_SUSPEND: Final = 3
COLD_WINDOW_SECONDS: Final = 1.0
# Endings after which an upstream may be suspended.
FAILED_ENDINGS: Final = frozenset(
    (Ending.lost, Ending.crashed, Ending.unreached, Ending.misdirected)
)
# Endings that show nothing about the health of an upstream.
UNOBSERVED_ENDINGS: Final = frozenset(
    (Ending.cancelled, Ending.returned, Ending.unfetched)
)
# Endings that show by themselves that an upstream accepts no connections.
REFUSED_ENDINGS: Final = frozenset((Ending.crashed, Ending.unreached))


@attrs.define
class ActivePlacement:
    """Active placement of an attempt.

    Attributes:
        request: The placement request.
        upstream: Upstream that runs the attempt, after prefill if any.
        prefill: Upstream that runs the prefill; empty once it has ended.
        prefilled_by: Upstream that ran the prefill; empty until it has ended.
        prefill_ms: Estimated prefill time in milliseconds.
        granted_at: Instant of the grant.
        started_at: Estimated start of decode; infinite during prefill.
        is_restored: Whether an earlier coordinator granted it, so that the
            instant of the grant is unknown.
        running_at_grant: Requests at the upstream after the grant.
        prefill_ahead_ms: Estimated time of the prefills that ran before it, in
            milliseconds.
    """

    request: PlacementRequest
    upstream: str
    prefill: str
    prefill_ms: float
    granted_at: float
    started_at: float = float('inf')
    prefilled_by: str = ''
    is_restored: bool = False
    running_at_grant: int = 1
    prefill_ahead_ms: float = 0


@attrs.define
class Load:
    """Load and health of one upstream.

    Attributes:
        upstream: The upstream as last listed.
        running: Active placements, by attempt.
        prefill_work_ms: Estimated milliseconds of the active prefills, by
            attempt.
        direct_prefill_until: Estimated end of a direct prefill at this decode
            upstream.
        send_times: Instants of the sends within the window of the cold limit.
        latency: Moving average of the request time in seconds.
        success: Moving average of the success rate.
        slowness: Moving average of measured over estimated prefill time.
        consecutive_losses: Consecutive lost attempts.
        fetch_failures: Consecutive failed fetches of KV caches from this
            upstream.
        suspended_until: Instant until which the upstream gets requests only
            if there is no other one.
        changing_to: Phase that the upstream is changing to; None for none.
        changing_until: Instant at which the change times out.
        usable_until: Instant until which an upstream that is no longer
            listed may get requests; infinite for listed ones.
        performance: Measured performance and the limit on concurrent
            requests.
        prefill_ended_at: End of the newest prefill here.
    """

    upstream: Upstream
    running: dict[tuple[str, int], ActivePlacement] = attrs.field(factory=dict)
    prefill_work_ms: dict[tuple[str, int], float] = attrs.field(factory=dict)
    direct_prefill_until: float = 0
    send_times: deque[float] = attrs.field(factory=deque)
    latency: float = INITIAL_LATENCY_SECONDS
    success: float = 1
    slowness: float = 1
    consecutive_losses: int = 0
    fetch_failures: int = 0
    suspended_until: float = 0
    changing_to: Phase | None = None
    changing_until: float = 0
    usable_until: float = float('inf')
    performance: Performance = attrs.field(factory=Performance)
    prefill_ended_at: float = 0

    def is_changing(self, now: float) -> bool:
        """Return whether a change of phase is in progress."""
        return now < self.changing_until

    @property
    def backlog_ms(self) -> float:
        """Return the estimated time of the active prefills in milliseconds."""
        return sum(self.prefill_work_ms.values()) * self.slowness


def allows_send(load: Load, per_second: float, now: float) -> bool:
    """Return whether another send now stays within the cold limit.

    Upstreams turn cold without notice, so that the limit always applies.
    """
    if per_second <= 0:
        return True
    drop_old_sends(load, now)
    return len(load.send_times) < int(per_second)


def drop_old_sends(load: Load, now: float) -> None:
    """Drop the sends from before the window of the cold limit."""
    while load.send_times and load.send_times[0] <= now - COLD_WINDOW_SECONDS:
        load.send_times.popleft()


def observe_ending(
    load: Load,
    ending: Ending,
    seconds: float,
    settings: DispatchSettings,
    now: float,
) -> None:
    """Update latency, success rate and suspension from a result."""
    if ending in UNOBSERVED_ENDINGS:
        return
    if ending is Ending.answered:
        load.consecutive_losses = 0
        load.suspended_until = 0
        load.latency += SMOOTHING * (seconds - load.latency)
    load.success += SMOOTHING * ((ending is Ending.answered) - load.success)
    if ending in FAILED_ENDINGS:
        load.consecutive_losses += 1
        _suspend(load, ending, settings, now)


def observe_kv_fetch(
    load: Load,
    ending: Ending,
    settings: DispatchSettings,
    now: float,
) -> None:
    """Update an upstream's suspension from the result of a KV cache fetch."""
    if ending is Ending.answered:
        load.fetch_failures = 0
    if ending is Ending.unfetched:
        load.fetch_failures += 1
        if load.fetch_failures >= FETCH_FAILURES_TO_SUSPEND:
            load.suspended_until = now + settings.max_suspend_seconds


def observe_prefill(load: Load, estimated_ms: float, seconds: float) -> None:
    """Update the slowness of an upstream from a measured prefill."""
    if estimated_ms <= 0:
        return
    ratio = seconds * MS_PER_SECOND / estimated_ms
    ratio = min(MAX_SLOWNESS, max(1 / MAX_SLOWNESS, ratio))
    load.slowness += SMOOTHING * (ratio - load.slowness)


def placement_memory(
    placement: ActivePlacement, pace_ms: float, now: float
) -> MemoryForecast:
    """Return the memory forecast of a placement."""
    request = placement.request
    elapsed_ms = max(0, now - placement.started_at) * MS_PER_SECOND
    return forecast_memory(
        request.prompt_tokens,
        request.expected_tokens,
        request.output_tokens,
        elapsed_ms / pace_ms,
    )


def plain_score(
    load: Load, availability_zone: str, seconds: float, idle_weight: float = 0
) -> float:
    """Return the score of an upstream for a plain request; lowest is best.

    Args:
        load: The upstream.
        availability_zone: Availability zone of the requesting instance.
        seconds: Expected time of the request.
        idle_weight: Weight of an idle upstream's time relative to the
            additional weight of a full one's.
    """
    utilization = (len(load.running) + 1) / max(1, load.upstream.slots)
    utilization += idle_weight
    is_remote = load.upstream.availability_zone != availability_zone
    success = max(SMOOTHING, load.success)
    return utilization * seconds / success * (1 + SMOOTHING * is_remote)


def is_in_pool(load: Load, service: str, phase: Phase) -> bool:
    """Return whether an upstream belongs to a service's pool of a phase."""
    upstream = load.upstream
    return upstream.service == service and upstream.phase is phase


def _suspend(
    load: Load,
    ending: Ending,
    settings: DispatchSettings,
    now: float,
) -> None:
    if ending is Ending.misdirected:
        # The upstream has left; its entry in the list expires soon.
        load.suspended_until = now + settings.max_suspend_seconds
        return
    threshold = 1 if ending in REFUSED_ENDINGS else LOSSES_TO_SUSPEND
    if load.consecutive_losses < threshold:
        return
    doublings = min(load.consecutive_losses - threshold, 10)
    backoff_seconds = settings.suspend_seconds * (1 << doublings)
    backoff_seconds = min(backoff_seconds, settings.max_suspend_seconds)
    load.suspended_until = now + backoff_seconds
