"""Simple placement policies that measurements compare against."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from gypsumrelay_errors import Failure, NoUpstream

from gypsumrelay_routing.estimates import cached_tokens
from gypsumrelay_routing.requests import (
    Placement,
    PlacementRequest,
    PlacementSettings,
    blocks_needed,
)
from gypsumrelay_routing.sampling import (
    UpstreamFilter,
    longest_prefix_holders,
    sample_names,
    usable_filter,
)
from gypsumrelay_routing.views import Pool, UpstreamKind, View

Policy = Callable[
    [View, PlacementRequest, Random, PlacementSettings, float],
    Placement | Failure,
]
_Chooser = Callable[
    [View, Pool, PlacementRequest, Random, UpstreamFilter],
    str | None,
]


def round_robin() -> Policy:
    """Return a policy that uses the upstreams of each pool in turn."""
    next_positions: dict[tuple[str, ...], int] = {}

    def choose(
        view: View,
        pool: Pool,
        request: PlacementRequest,
        rng: Random,
        is_usable: UpstreamFilter,
    ) -> str | None:
        names = tuple(sorted(filter(is_usable, pool.upstreams.names)))
        if not names:
            return None
        position = next_positions.get(names[:1], 0)
        next_positions[names[:1]] = position + 1
        return names[position % len(names)]

    return _policy(choose)


def least_outstanding() -> Policy:
    """Return a policy that uses the upstream with the fewest requests."""

    def choose(
        view: View,
        pool: Pool,
        request: PlacementRequest,
        rng: Random,
        is_usable: UpstreamFilter,
    ) -> str | None:
        return min(
            filter(is_usable, pool.upstreams.names),
            key=lambda name: (outstanding_requests(view, name), name),
            default=None,
        )

    return _policy(choose)


def prefix_affinity() -> Policy:
    """Return a policy that uses an upstream with the longest cached prefix.

    If no usable upstream caches a prefix of the prompt, a random upstream
    is used.
    """

    def choose(
        view: View,
        pool: Pool,
        request: PlacementRequest,
        rng: Random,
        is_usable: UpstreamFilter,
    ) -> str | None:
        holders = longest_prefix_holders(pool, request)
        chosen: tuple[str, ...] = ()
        if holders is not None:
            chosen = sample_names(holders, 1, rng, is_usable)
        if not chosen:
            chosen = sample_names(pool.upstreams, 1, rng, is_usable)
        return chosen[0] if chosen else None

    return _policy(choose)


def outstanding_requests(view: View, name: str) -> int:
    """Return the number of requests that run or wait at an upstream."""
    upstream_view = view.upstreams[name]
    busy = upstream_view.report.slots - upstream_view.report.free_slots
    return busy + upstream_view.report.waiting + upstream_view.committed_slots


def _policy(choose: _Chooser) -> Policy:
    def place(
        view: View,
        request: PlacementRequest,
        rng: Random,
        settings: PlacementSettings,
        now: float,
    ) -> Placement | Failure:
        is_usable = usable_filter(view, request, now)
        kinds = (
            (UpstreamKind.service,)
            if request.service
            else (UpstreamKind.decode, UpstreamKind.prefill)
        )
        names = [
            choose(
                view, view.pool(kind, request.serves), request, rng, is_usable
            )
            for kind in kinds
        ]
        chosen = [name for name in names if name is not None]
        if len(chosen) < len(kinds):
            sentence = 'No live upstream serves the request.'
            return NoUpstream(
                sentence,
                retry_at=now + settings.min_retry_seconds,
            )
        return _placement(view, request, chosen, settings, now)

    return place


def _placement(
    view: View,
    request: PlacementRequest,
    chosen: list[str],
    settings: PlacementSettings,
    now: float,
) -> Placement:
    if request.service:
        return Placement(chosen[0], None, now)
    decode, prefill = chosen
    return Placement(
        decode,
        prefill,
        now,
        cached_tokens(view.upstreams[prefill], request, settings),
        blocks_needed(request, UpstreamKind.decode, settings),
        blocks_needed(request, UpstreamKind.prefill, settings),
        request.prompt_tokens * settings.kv_bytes_per_token,
    )
