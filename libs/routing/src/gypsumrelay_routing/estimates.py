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
from gypsumrelay_routing.views import Kind, UpstreamView, View

_MS_PER_SECOND: Final = 1000


@attrs.frozen
class Estimate:
    """Estimated wait, load and cached prefix of a request at an upstream.

    Attributes:
        name: Name of the upstream.
        known: Last report and commitments of the upstream.
        blocks: Cache blocks that the request needs at the upstream.
        wait: Seconds until a slot and the cache blocks are free.
        load: Cost of the upstream's utilization in seconds. It spreads
            requests over upstreams that all have free slots.
        cached_tokens: Prompt tokens that the upstream probably has cached.
    """

    name: str
    known: UpstreamView
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
    known = view.upstreams[name]
    blocks = blocks_needed(request, known.report.kind, settings)
    slots = usable_slots(known, settings, now)
    ahead = max(
        _ahead_for_slot(known, slots),
        _ahead_for_memory(known, blocks),
    )
    wait = ahead * service_seconds(known, settings) / slots
    if known.report.cold:
        wait += settings.cold_seconds
    return Estimate(
        name,
        known,
        blocks,
        wait,
        settings.load_seconds * _use(known, slots),
        cached_tokens(known, request, settings),
    )


def usable_slots(
    known: UpstreamView,
    settings: PlacementSettings,
    now: float,
) -> int:
    """Return the number of requests that an upstream may run concurrently.

    It is limited during a cold start and grows linearly afterwards.
    """
    slots = max(1, known.report.slots)
    if known.report.cold:
        return min(slots, settings.cold_limit)
    if known.warm_since is None:
        return slots
    ramped = (now - known.warm_since) / settings.ramp_seconds
    return max(settings.cold_limit, min(slots, int(slots * ramped)))


def service_seconds(known: UpstreamView, settings: PlacementSettings) -> float:
    """Return the mean time in seconds that a request occupies a slot."""
    if known.report.kind == Kind.service:
        return settings.service_seconds
    if known.report.kind == Kind.prefill:
        if settings.prefill_hold_seconds:
            return settings.prefill_hold_seconds
        return settings.mean_prompt_tokens / settings.prefill_tokens_per_second
    if settings.decode_hold_seconds:
        return settings.decode_hold_seconds
    return settings.mean_output_tokens * decode_seconds(known, settings)


def decode_seconds(known: UpstreamView, settings: PlacementSettings) -> float:
    """Return the time between two output tokens in seconds."""
    return (known.report.decode_ms or settings.decode_ms) / _MS_PER_SECOND


def cached_tokens(
    known: UpstreamView,
    request: PlacementRequest,
    settings: PlacementSettings,
) -> int:
    """Return the number of prompt tokens that an upstream probably caches.

    The longest reported prefix counts even if shorter ones are missing.
    Engines evict the end of a prefix first, so a missing shorter prefix
    means that a cache event was lost.
    """
    for number in range(len(request.prefixes), 0, -1):
        if request.prefixes[number - 1] in known.prefixes:
            # The engine has to compute at least the last prompt token to
            # get the first output token.
            return min(
                number * settings.block_tokens,
                max(0, request.prompt_tokens - 1),
            )
    return 0


def _ahead_for_slot(known: UpstreamView, slots: int) -> int:
    free = min(known.report.free_slots, slots)
    return max(0, known.report.waiting + known.committed_slots + 1 - free)


def _ahead_for_memory(known: UpstreamView, blocks: int) -> int:
    # Assumes that each finished request frees as many blocks as this one
    # needs.
    free = known.report.free_blocks - known.committed_blocks
    if not blocks or blocks <= free:
        return 0
    return math.ceil((blocks - free) / blocks)


def _use(known: UpstreamView, slots: int) -> float:
    free = min(known.report.free_slots, slots)
    busy = slots - free + known.report.waiting + known.committed_slots
    return busy / slots
