"""Software versions that began the recent streams.

What two versions write does not fit together, so that a caller may go on with a
stream only at the version that began it, over all instances and their ends.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

# Number of streams that are remembered; the oldest ones are forgotten first.
MAX_STARTS: Final = 32_768


@attrs.define
class StreamStarts:
    """Which version began each stream.

    A stream is known by a digest of its service, its client account and the id
    of the request that began it, so that a request which names a stream of
    another account or service names none.

    Attributes:
        versions: Version that began each stream, by digest, oldest first.
        unsaved: Those that have not been handed over to be saved.
        read_until: Instant before which all starts that had been saved are
            known.
    """

    versions: dict[bytes, str] = attrs.field(factory=dict)
    unsaved: dict[bytes, str] = attrs.field(factory=dict)
    read_until: float = float('-inf')


def record_starts(starts: StreamStarts, began: Mapping[bytes, str]) -> None:
    """Record starts that instances report."""
    news = {
        digest: version
        for digest, version in began.items()
        if digest not in starts.versions
    }
    starts.versions.update(news)
    starts.unsaved.update(news)
    _drop_oldest(starts.versions)
    _drop_oldest(starts.unsaved)


def restore_starts(
    starts: StreamStarts, saved: Mapping[bytes, str], read_until: float
) -> None:
    """Record saved starts.

    Args:
        starts: The starts.
        saved: Versions by digest.
        read_until: Instant at which the read of them began.
    """
    starts.versions.update(saved)
    starts.read_until = max(starts.read_until, read_until)
    _drop_oldest(starts.versions)


def take_unsaved(starts: StreamStarts) -> dict[bytes, str]:
    """Return the starts that have to be saved, and forget that they have."""
    unsaved = starts.unsaved
    starts.unsaved = {}
    return unsaved


def _drop_oldest(versions: dict[bytes, str]) -> None:
    excess = len(versions) - MAX_STARTS
    if excess > 0:
        for digest in list(versions)[:excess]:
            versions.pop(digest)
