"""Which upstreams an entry keeps a link to: rendezvous hashing by zone."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from typing import Final

import attrs

_SCORE_BYTES: Final = 8


@attrs.frozen
class Member:
    """An upstream as the instance list names it."""

    upstream: str
    availability_zone: str


def subset(
    entry: str,
    members: Iterable[Member],
    size: int,
) -> tuple[str, ...]:
    """Return the entry's upstreams out of one pool.

    Each zone gives the same number, as far as it has them; where the size
    does not divide evenly, a hash of entry and zone decides, so that the
    entries together favour no zone. Another member's arrival or departure
    changes at most one place.
    """
    zones: dict[str, list[str]] = {}
    for member in members:
        zones.setdefault(member.availability_zone, []).append(member.upstream)
    ranked = [_rank(entry, zones[zone]) for zone in _rank(entry, zones)]
    places = sorted(
        (place, number, upstream)
        for number, upstreams in enumerate(ranked)
        for place, upstream in enumerate(upstreams)
    )
    return tuple(upstream for _, _, upstream in places[:size])


def _rank(entry: str, names: Iterable[str]) -> list[str]:
    return sorted(names, key=lambda name: _score(entry, name))


def _score(entry: str, name: str) -> bytes:
    text = f'{len(entry)}/{entry}{name}'.encode()
    return blake2b(text, digest_size=_SCORE_BYTES).digest()
