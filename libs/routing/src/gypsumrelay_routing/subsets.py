"""Subsetting of a pool by rendezvous hashing, balanced over zones."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from typing import Final

import attrs

_SCORE_BYTES: Final = 8


@attrs.frozen
class Member:
    """An upstream and its availability zone, from the instance list."""

    upstream: str
    availability_zone: str


def choose_subset(
    entry: str,
    members: Iterable[Member],
    size: int,
) -> tuple[str, ...]:
    """Return the upstreams of one pool that an entry connects to.

    Each availability zone contributes the same number of upstreams, as far
    as it has them. Where the size is not divisible by the number of zones,
    a hash of entry and zone decides which zones contribute one more, so
    that the subsets of all entries together prefer no zone. Adding or
    removing another member replaces at most one upstream of the subset.

    Args:
        entry: Name of the entry.
        members: The upstreams of the pool.
        size: Number of upstreams in the subset.
    """
    zones: dict[str, list[str]] = {}
    for member in members:
        zones.setdefault(member.availability_zone, []).append(member.upstream)
    ranked = [_rank(entry, zones[zone]) for zone in _rank(entry, zones)]
    ranking = sorted(
        (rank, zone_index, upstream)
        for zone_index, upstreams in enumerate(ranked)
        for rank, upstream in enumerate(upstreams)
    )
    return tuple(upstream for _, _, upstream in ranking[:size])


def _rank(entry: str, names: Iterable[str]) -> list[str]:
    return sorted(names, key=lambda name: _score(entry, name))


def _score(entry: str, name: str) -> bytes:
    text = f'{len(entry)}/{entry}{name}'.encode()
    return blake2b(text, digest_size=_SCORE_BYTES).digest()
