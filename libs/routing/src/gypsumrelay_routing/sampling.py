"""Sampling of candidate upstreams: random ones and prefix holders."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final

from gypsumrelay_routing.nameset import NameSet
from gypsumrelay_routing.requests import PlacementRequest, PlacementSettings
from gypsumrelay_routing.views import Pool, View

UpstreamFilter = Callable[[str], bool]

# Random picks per requested candidate before the pool is scanned instead.
_PICKS_PER_CANDIDATE: Final = 4


def sample_candidates(
    pool: Pool,
    request: PlacementRequest,
    rng: Random,
    settings: PlacementSettings,
    is_usable: UpstreamFilter,
) -> tuple[str, ...]:
    """Return random candidates and some that cache a prefix of the prompt."""
    sampled = dict.fromkeys(
        sample_names(pool.upstreams, settings.choices, rng, is_usable),
    )
    holders = longest_prefix_holders(pool, request)
    if holders is not None:
        count = settings.affinity_choices
        sampled.update(
            dict.fromkeys(sample_names(holders, count, rng, is_usable)),
        )
    return tuple(sampled)


def sample_names(
    names: NameSet,
    count: int,
    rng: Random,
    is_usable: UpstreamFilter,
) -> tuple[str, ...]:
    """Return up to `count` distinct usable names, chosen at random."""
    if not names:
        return ()
    if count < len(names):
        sampled: dict[str, None] = {}
        for _ in range(count * _PICKS_PER_CANDIDATE):
            name = names.choose(rng)
            if is_usable(name):
                sampled[name] = None
            if len(sampled) == count:
                return tuple(sampled)
    return _scan(names, count, rng, is_usable)


def longest_prefix_holders(
    pool: Pool, request: PlacementRequest
) -> NameSet | None:
    """Return the upstreams that reported the longest prefix of the prompt.

    Returns:
        None if no upstream reported a prefix of the prompt.
    """
    for digest in reversed(request.prefixes):
        holders = pool.holders.get(digest)
        if holders is not None:
            return holders
    return None


def usable_filter(
    view: View, request: PlacementRequest, now: float
) -> UpstreamFilter:
    """Return a predicate that is true for upstreams that a request may use."""

    def is_usable(name: str) -> bool:
        return name not in request.excluded and view.accepts_work(name, now)

    return is_usable


def _scan(
    names: NameSet,
    count: int,
    rng: Random,
    is_usable: UpstreamFilter,
) -> tuple[str, ...]:
    start = int(rng.random() * len(names))
    sampled: list[str] = []
    for name in names.names[start:] + names.names[:start]:
        if is_usable(name):
            sampled.append(name)
        if len(sampled) == count:
            break
    return tuple(sampled)
