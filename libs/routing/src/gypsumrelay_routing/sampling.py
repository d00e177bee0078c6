"""A few candidates out of a pool: random ones and prefix holders."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final

from gypsumrelay_routing.names import NameSet
from gypsumrelay_routing.requests import PlacementRequest, PlacementSettings
from gypsumrelay_routing.views import Pool, View

Usable = Callable[[str], bool]

# Draws per wanted candidate before the pool is walked through instead.
_DRAWS_PER_CHOICE: Final = 4


def sample(
    pool: Pool,
    request: PlacementRequest,
    rng: Random,
    settings: PlacementSettings,
    usable: Usable,
) -> tuple[str, ...]:
    """Return random candidates and some that hold a prefix."""
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
    """Return up to `wanted` different usable names at random."""
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
    """Return the upstreams that seem to hold most of the prompt."""
    for digest in reversed(request.prefixes):
        holders = pool.holders.get(digest)
        if holders is not None:
            return holders
    return None


def usable_for(view: View, request: PlacementRequest, now: float) -> Usable:
    """Return the test that a request's candidates have to pass."""

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
