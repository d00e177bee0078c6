"""Estimates of a request's wait and prefix reuse at an upstream."""

from __future__ import annotations

import math
from typing import Final

import attrs

from gypsumrelay_routing.requests import (
    PlacementRequest,
    PlacementSettings,
    blocks_needed,
)
from gypsumrelay_routing.views import UpstreamKind, UpstreamView, View

_MS_PER_SECOND: Final = 1000


@attrs.frozen
class Estimate:
    """Estimated wait, load and cached prefix of a request at an upstream.

    Attributes:
        name: Name of the upstream.
        upstream_view: Last report and commitments of the upstream.
        blocks: Cache blocks that the request needs at the upstream.
        wait: Seconds until a slot and the cache blocks are free.
        load: Cost of the upstream's utilization in seconds. It spreads
            requests over upstreams that all have free slots.
        cached_tokens: Prompt tokens that the upstream probably has cached.
    """

    name: str
    upstream_view: UpstreamView
    blocks: int
    wait: float
    load: float
    cached_tokens: int = 0


def estimate(
    view: View,
    name: str,
    request: PlacementRequest,
    settings: PlacementSettings,
    now: float,
) -> Estimate:
    """Return the estimate of a request at an upstream of the view."""
    upstream_view = view.upstreams[name]
    blocks = blocks_needed(request, upstream_view.report.kind, settings)
    slots = usable_slots(upstream_view, settings, now)
    requests_ahead = max(
        _ahead_for_a_slot(upstream_view, slots),
        _ahead_for_blocks(upstream_view, blocks),
    )
    wait = requests_ahead * service_seconds(upstream_view, settings) / slots
    if upstream_view.report.cold:
        wait += settings.cold_seconds
    return Estimate(
        name,
        upstream_view,
        blocks,
        wait,
        settings.load_seconds * _utilization(upstream_view, slots),
        cached_tokens(upstream_view, request, settings),
    )


def usable_slots(
    upstream_view: UpstreamView,
    settings: PlacementSettings,
    now: float,
) -> int:
    """Return the number of requests that an upstream may run concurrently.

    It is limited during a cold start and grows linearly afterwards.
    """
    slots = max(1, upstream_view.report.slots)
    if upstream_view.report.cold:
        return min(slots, settings.cold_limit)
    if upstream_view.warm_since is None:
        return slots
    ramped_fraction = (now - upstream_view.warm_since) / settings.ramp_seconds
    return max(settings.cold_limit, min(slots, int(slots * ramped_fraction)))


def service_seconds(
    upstream_view: UpstreamView, settings: PlacementSettings
) -> float:
    """Return the mean time in seconds that a request occupies a slot."""
    if upstream_view.report.kind == UpstreamKind.service:
        return settings.service_seconds
    if upstream_view.report.kind == UpstreamKind.prefill:
        if settings.prefill_hold_seconds:
            return settings.prefill_hold_seconds
        return settings.mean_prompt_tokens / settings.prefill_tokens_per_second
    if settings.decode_hold_seconds:
        return settings.decode_hold_seconds
    return settings.mean_output_tokens * decode_seconds(upstream_view, settings)


def decode_seconds(
    upstream_view: UpstreamView, settings: PlacementSettings
) -> float:
    """Return the time between two output tokens in seconds."""
    return (
        upstream_view.report.decode_ms or settings.decode_ms
    ) / _MS_PER_SECOND


def cached_tokens(
    upstream_view: UpstreamView,
    request: PlacementRequest,
    settings: PlacementSettings,
) -> int:
    """Return the number of prompt tokens that an upstream probably caches.

    The longest reported prefix counts even if shorter ones are missing.
    Engines evict the end of a prefix first, so a missing shorter prefix
    means that a cache event was lost.
    """
    for number in range(len(request.prefixes), 0, -1):
        if request.prefixes[number - 1] in upstream_view.prefixes:
            # The engine has to compute at least the last prompt token to
            # get the first output token.
            return min(
                number * settings.block_tokens,
                max(0, request.prompt_tokens - 1),
            )
    return 0


def _ahead_for_a_slot(upstream_view: UpstreamView, slots: int) -> int:
    free = min(upstream_view.report.free_slots, slots)
    return max(
        0,
        upstream_view.report.waiting + upstream_view.committed_slots + 1 - free,
    )


def _ahead_for_blocks(upstream_view: UpstreamView, blocks: int) -> int:
    # Assumes that each finished request frees as many blocks as this one
    # needs.
    free = upstream_view.report.free_blocks - upstream_view.committed_blocks
    if not blocks or blocks <= free:
        return 0
    return math.ceil((blocks - free) / blocks)


def _utilization(upstream_view: UpstreamView, slots: int) -> float:
    free = min(upstream_view.report.free_slots, slots)
    busy = (
        slots
        - free
        + upstream_view.report.waiting
        + upstream_view.committed_slots
    )
    return busy / slots
