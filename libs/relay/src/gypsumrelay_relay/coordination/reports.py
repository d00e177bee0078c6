"""What a relay reports to the coordinator of its own requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import UNMEASURED, StreamPace

from gypsumrelay_relay.coordination import messages

if TYPE_CHECKING:
    from gypsumrelay_dispatch import Ending, PlacementRequest

    from gypsumrelay_relay.coordination.client import Coordination
    from gypsumrelay_relay.placement import Placement


def report_prefill(
    coordination: Coordination, placement: Placement, ending: Ending
) -> None:
    """Report to the coordinator that a prefill ended or failed."""
    key = placement.request.key
    with coordination.lock:
        coordination.measured.record_prefill(placement, ending, monotonic())
        coordination.tell(messages.PrefillEnded(key, ending))


def report_end(
    coordination: Coordination,
    request: PlacementRequest,
    ending: Ending,
    *,
    began: bool = False,
    pace: StreamPace = UNMEASURED,
    transfer_ms: int = -1,
) -> None:
    """Report that a placement is free, or that its request is cancelled.

    Args:
        coordination: This relay's connection to the coordinator.
        request: The placement request.
        ending: How the attempt ended.
        began: Whether the upstream had sent an event of the answer.
        pace: Events after the first ones, and the time they took.
        transfer_ms: Time in milliseconds from the end of the prefill to
            the first event; -1 if unknown.
    """
    with coordination.lock:
        coordination.pending.pop(request.key, None)
        placement = coordination.active.pop(request.key, None)
        if placement is not None:
            now = monotonic()
            coordination.uses.rollouts.record_end(placement, ending)
            coordination.known_crashes.record_end(
                placement, ending, now, began=began
            )
            coordination.measured.record_end(placement, ending, pace, now)
        coordination.tell(
            messages.PlacementEnded(
                request.key,
                ending,
                began,
                pace.events,
                pace.stream_ms,
                transfer_ms,
            )
        )


def report_rate_limit(
    coordination: Coordination,
    upstream: str,
    per_second: float | None,
    key: tuple[str, int],
) -> None:
    """Report the rate limit that the answer to an attempt states.

    Args:
        coordination: This relay's connection to the coordinator.
        upstream: Name of the upstream that answered.
        per_second: The limit in requests per second; None if the answer
            states none.
        key: Request id and number of the attempt.
    """
    with coordination.lock:
        limits = coordination.stated_limits
        if not limits.record_answer(upstream, per_second, monotonic()):
            return
        if per_second is None:
            coordination.tell(messages.RateLimitEndReported(upstream, key))
        else:
            coordination.tell(
                messages.RateLimitReported(upstream, per_second, is_new=True)
            )


def report_stream(
    coordination: Coordination, digest: bytes, version: str
) -> None:
    """Report that an upstream of a software version began a stream.

    Args:
        coordination: This relay's connection to the coordinator.
        digest: Digest of the start of the stream.
        version: The version.
    """
    with coordination.lock:
        coordination.tell(
            coordination.streams.record(digest, version, monotonic())
        )
