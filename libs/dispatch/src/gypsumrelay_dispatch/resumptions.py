"""Requests that go on with a stream which an earlier request began."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_errors import StreamNotResumable

from gypsumrelay_dispatch.admission import (
    DEFAULT_RETRY_SECONDS,
    build_rejection,
)
from gypsumrelay_dispatch.scheduler_state import HeldRequest

if TYPE_CHECKING:
    from gypsumrelay_dispatch.models import PlacementRequest, Rejection
    from gypsumrelay_dispatch.scheduler_state import SchedulerState

# Time limit in seconds for reading the saved starts of streams.
READ_SECONDS: Final = 0.6


def bind_to_version(
    scheduler: SchedulerState, request: PlacementRequest
) -> PlacementRequest | None:
    """Return a request bound to the version that began its stream.

    Args:
        scheduler: The coordinator's state.
        request: The placement request.

    Returns:
        The request; unchanged if it begins a stream, None if the version that
        began its stream is not known.
    """
    if not request.resumes or request.version:
        return request
    version = scheduler.stream_starts.versions.get(request.resumes)
    return attrs.evolve(request, version=version) if version else None


def hold(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> None:
    """Keep a request until the saved starts of streams have been read."""
    scheduler.unbound[request.key] = HeldRequest(
        request, now, now + READ_SECONDS
    )


def release_bound(scheduler: SchedulerState) -> list[PlacementRequest]:
    """Remove and return the held requests whose version is known by now."""
    released = []
    for held in list(scheduler.unbound.values()):
        request = bind_to_version(scheduler, held.request)
        if request is not None:
            scheduler.unbound.pop(request.key)
            released.append(request)
    return released


def reject_unknown(scheduler: SchedulerState, now: float) -> list[Rejection]:
    """Reject the held requests whose version nobody knows.

    A stream whose start was saved, or is known to an instance that runs, is
    known once both have been read. While the saved starts cannot be read, the
    version may become known later.
    """
    if scheduler.placement_reports.is_incomplete(now):
        return []
    rejections = []
    for held in list(scheduler.unbound.values()):
        was_read = scheduler.stream_starts.read_until >= held.held_at
        if not was_read and now < held.until:
            continue
        scheduler.unbound.pop(held.request.key)
        failure = StreamNotResumable(
            'the version that began the stream is not known',
            retry_at=None if was_read else now + DEFAULT_RETRY_SECONDS,
        )
        rejections.append(build_rejection(scheduler, held.request, failure))
    return rejections


def end_read(scheduler: SchedulerState, now: float) -> None:
    """End the wait of the held requests, since the starts cannot be read."""
    for held in scheduler.unbound.values():
        held.until = min(held.until, now)
