"""Order of the records of upstreams over restores of the store.

After a restore, the store may state an older record of an upstream than this
relay has read: ready although the upstream is leaving, or listed although it is
gone. The start time and the sequence, which the upstream itself writes, tell
which record is newer. Within an epoch, the store states no older records.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Set as AbstractSet
from math import inf
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from gypsumrelay_dispatch import Upstream

# Time in seconds after which an older record counts, since the upstream has not
# written a newer one again; its clock may have been set back before a restart.
OLDER_SECONDS: Final = 30.0
# Time in seconds for which a removed upstream is remembered.
REMOVED_SECONDS: Final = 60.0
MAX_REMOVED: Final = 4096


@attrs.frozen
class ListReading:
    """When and under which conditions the list was read.

    Attributes:
        epoch: Epoch of the store.
        now: Instant of the read.
        may_be_incomplete: Whether the store was unavailable or restored
            shortly before, so that missing upstreams may register again.
        removed: Last records of the upstreams whose removal was read.
    """

    epoch: int
    now: float
    may_be_incomplete: bool
    removed: tuple[Upstream, ...] = ()


@attrs.define
class KnownUpstream:
    """What a relay knows of an upstream.

    Attributes:
        upstream: The newest record.
        epoch: Epoch in which the record, or its removal, was read.
        sequence: Sequence of its newest record; infinite after a removal if
            there may be later ones that were not read.
        removed_at: Instant of the read that showed the removal; infinite while
            the upstream is listed.
        older_since: Instant since which the store states an older record;
            infinite if it does not.
    """

    upstream: Upstream
    epoch: int
    sequence: float
    removed_at: float = inf
    older_since: float = inf

    @property
    def is_removed(self) -> bool:
        """Return whether the upstream is no longer listed."""
        return self.removed_at < inf


@attrs.define
class UpstreamHistory:
    """The newest record that was read of each upstream.

    Attributes:
        known: Listed and recently removed upstreams, by name.
        is_settled: Whether the same list gives the same upstreams later on.
    """

    known: dict[str, KnownUpstream] = attrs.field(factory=dict)
    is_settled: bool = True


def newest_upstreams(
    history: UpstreamHistory,
    listed: Iterable[Upstream],
    reading: ListReading,
) -> tuple[Upstream, ...]:
    """Return the newest known record of each upstream that is not removed.

    Args:
        history: What was read before; updated.
        listed: All upstreams that the store lists.
        reading: When and under which conditions they were read.
    """
    history.is_settled = not reading.may_be_incomplete
    by_name = {upstream.name: upstream for upstream in listed}
    _record_removed(history, by_name.keys(), reading)
    newest = []
    for name, upstream in by_name.items():
        known = history.known.get(name)
        if known is None or not _counts_as_older(known, upstream, reading):
            history.known[name] = KnownUpstream(
                upstream, reading.epoch, upstream.sequence
            )
            newest.append(upstream)
            continue
        history.is_settled = False
        if not known.is_removed:
            newest.append(known.upstream)
    return tuple(newest)


def _record_removed(
    history: UpstreamHistory,
    listed: AbstractSet[str],
    reading: ListReading,
) -> None:
    last = {upstream.name: upstream for upstream in reading.removed}
    for name, upstream in last.items():
        if name not in history.known and name not in listed:
            history.known[name] = KnownUpstream(
                upstream, reading.epoch, upstream.sequence, reading.now
            )
    for name in history.known.keys() - listed:
        known = history.known[name]
        known.older_since = inf
        if not known.is_removed and not reading.may_be_incomplete:
            known.removed_at = reading.now
            known.epoch = reading.epoch
            known.upstream = last.get(name, known.upstream)
            known.sequence = last[name].sequence if name in last else inf
        elif reading.now >= known.removed_at + REMOVED_SECONDS:
            history.known.pop(name)
    removed = [one for one in history.known.values() if one.is_removed]
    removed.sort(key=lambda one: one.removed_at)
    for surplus in removed[:-MAX_REMOVED]:
        history.known.pop(surplus.upstream.name)


def _counts_as_older(
    known: KnownUpstream, upstream: Upstream, reading: ListReading
) -> bool:
    """Return whether a record is to be ignored for a newer known one.

    Records since when the store has stated the older one.
    """
    if reading.epoch == known.epoch or not _is_older(known, upstream):
        return False
    known.older_since = min(known.older_since, reading.now)
    return reading.now < known.older_since + OLDER_SECONDS


def _is_older(known: KnownUpstream, upstream: Upstream) -> bool:
    order = (upstream.started_ms, upstream.sequence)
    known_order = (known.upstream.started_ms, known.sequence)
    # An upstream that has left, or is leaving, writes no further record.
    is_last = known.is_removed or (
        known.upstream.leaving and not upstream.leaving
    )
    return order < known_order or (order == known_order and is_last)
