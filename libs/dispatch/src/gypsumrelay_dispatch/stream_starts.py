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
# Version of a stream whose request id began another one elsewhere.
AMBIGUOUS: Final = ''


@attrs.define
class StreamStarts:
    """Which version began each stream.

    A stream is known by a digest of its service, its client account and the id
    of the request that began it, so that a request which names a stream of
    another account or service names none.

    Attributes:
        versions: Version that began each stream, by digest, oldest first;
            `AMBIGUOUS` if there are several.
        unsaved: Those that have not been handed over to be saved.
        read_until: Instant before which all starts that had been saved are
            known.
    """

    versions: dict[bytes, str] = attrs.field(factory=dict)
    unsaved: dict[bytes, str] = attrs.field(factory=dict)
    read_until: float = float('-inf')


def record_starts(starts: StreamStarts, began: Mapping[bytes, str]) -> None:
    """Record starts that instances report."""
    news = merge_starts(starts.versions, began)
    starts.unsaved.update(news)
    drop_oldest(starts.versions)
    drop_oldest(starts.unsaved)


def restore_starts(
    starts: StreamStarts, saved: Mapping[bytes, str], read_until: float
) -> None:
    """Record saved starts.

    Args:
        starts: The starts.
        saved: Versions by digest.
        read_until: Instant at which the read of them began.
    """
    merge_starts(starts.versions, saved)
    starts.read_until = max(starts.read_until, read_until)
    drop_oldest(starts.versions)


def merge_starts(
    versions: dict[bytes, str], others: Mapping[bytes, str]
) -> dict[bytes, str]:
    """Add starts to others, and return those that changed.

    The version of a request id that was used again at another version is
    unknown, since its caller may mean either stream.
    """
    changed = {}
    for digest, version in others.items():
        known = versions.get(digest)
        merged = version if known in {None, version} else AMBIGUOUS
        if merged != known:
            versions[digest] = merged
            changed[digest] = merged
    return changed


def take_unsaved(starts: StreamStarts) -> dict[bytes, str]:
    """Return the starts that have to be saved, and forget that they have."""
    unsaved = starts.unsaved
    starts.unsaved = {}
    return unsaved


def drop_oldest(versions: dict[bytes, str]) -> None:
    """Forget the oldest starts beyond `MAX_STARTS`."""
    excess = len(versions) - MAX_STARTS
    if excess > 0:
        for digest in list(versions)[:excess]:
            versions.pop(digest)
