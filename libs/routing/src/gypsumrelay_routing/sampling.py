"""Sampling of candidate upstreams: random ones and prefix holders."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final

from gypsumrelay_routing.names import NameSet
from gypsumrelay_routing.requests import PlacementRequest, PlacementSettings
from gypsumrelay_routing.views import Pool, View

Usable = Callable[[str], bool]

# Random picks per requested candidate before the pool is scanned instead.
_DRAWS_PER_CHOICE: Final = 4


def sample(
    pool: Pool,
    request: PlacementRequest,
    rng: Random,
    settings: PlacementSettings,
    usable: Usable,
) -> tuple[str, ...]:
    """Return random candidates and some that cache a prefix of the prompt."""
    found = dict.fromkeys(
        choose_some(pool.upstreams, settings.choices, rng, usable),
    )
    holders = longest_holders(pool, request)
    if holders is not None:
        wanted = settings.affinity_choices
        found.update(
            dict.fromkeys(choose_some(holders, wanted, rng, usable)),
        )
    return tuple(found)


def choose_some(
    names: NameSet,
    wanted: int,
    rng: Random,
    usable: Usable,
) -> tuple[str, ...]:
    """Return up to `wanted` distinct usable names, chosen at random."""
    if not names:
        return ()
    if wanted < len(names):
        found: dict[str, None] = {}
        for _ in range(wanted * _DRAWS_PER_CHOICE):
            name = names.choose(rng)
            if usable(name):
                found[name] = None
            if len(found) == wanted:
                return tuple(found)
    return _walk(names, wanted, rng, usable)


def longest_holders(pool: Pool, request: PlacementRequest) -> NameSet | None:
    """Return the upstreams that reported the longest prefix of the prompt.

    Returns:
        None if no upstream reported a prefix of the prompt.
    """
    for digest in reversed(request.prefixes):
        holders = pool.holders.get(digest)
        if holders is not None:
            return holders
    return None


def usable_for(view: View, request: PlacementRequest, now: float) -> Usable:
    """Return a predicate that is true for upstreams that a request may use."""

    def usable(name: str) -> bool:
        return name not in request.excluded and view.accepts_work(name, now)

    return usable


def _walk(
    names: NameSet,
    wanted: int,
    rng: Random,
    usable: Usable,
) -> tuple[str, ...]:
    start = int(rng.random() * len(names))
    found: list[str] = []
    for name in names.names[start:] + names.names[:start]:
        if usable(name):
            found.append(name)
        if len(found) == wanted:
            break
    return tuple(found)
