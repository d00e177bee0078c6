"""Messages to the coordinator about the starts of streams."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

import attrs
from gypsumrelay_dispatch import end_read, record_starts, restore_starts

if TYPE_CHECKING:
    from gypsumrelay_dispatch import SchedulerState


@attrs.frozen
class StreamsReported:
    """Streams that upstreams of a software version began.

    Attributes:
        version: The version.
        digests: Digests of the starts of the streams.
    """

    version: str
    digests: tuple[bytes, ...]


@attrs.frozen
class SavedStartsRead:
    """The saved starts of streams were read.

    Attributes:
        starts: Versions by digest, as far as they are new.
        began_at: Instant at which the read began.
    """

    starts: Mapping[bytes, str]
    began_at: float


@attrs.frozen
class SavedStartsUnavailable:
    """The saved starts of streams cannot be read now."""


@attrs.frozen
class SavedStartsLost:
    """The store may have lost saved starts with a restore."""


@attrs.frozen
class StartKeeper:
    """Keeps the starts of streams outside this process.

    Attributes:
        save: Saves versions by digest.
        request_read: Requests that all saved ones are read and told.
    """

    save: Callable[[Mapping[bytes, str]], None]
    request_read: Callable[[], None]


def apply_streams_report(
    scheduler: SchedulerState, message: StreamsReported
) -> None:
    """Record the streams that a relay reports."""
    began = dict.fromkeys(message.digests, message.version)
    record_starts(scheduler.stream_starts, began)


def apply_saved_starts(
    scheduler: SchedulerState,
    message: SavedStartsRead | SavedStartsUnavailable | SavedStartsLost,
    now: float,
) -> None:
    """Apply the outcome of a read of the saved starts, or their loss."""
    starts = scheduler.stream_starts
    match message:
        case SavedStartsRead(saved, began_at):
            restore_starts(starts, saved, began_at)
        case SavedStartsUnavailable():
            end_read(scheduler, now)
        case SavedStartsLost():
            starts.unsaved.update(starts.versions)
