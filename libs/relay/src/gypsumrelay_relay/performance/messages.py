"""Message that reports the performance of an upstream, and its encoding."""

from __future__ import annotations

import attrs
import gypsumrelay_dispatch as dispatch
from gypsumrelay_dispatch import SchedulerState
from gypsumrelay_performance import Summary
from gypsumrelay_wire import PerformanceReported

MS_PER_SECOND = 1000
US_PER_MS = 1000
US_PER_SECOND = 1_000_000
NS_PER_MS = 1_000_000
# Longest time that a report can state, in microseconds: an hour.
MAX_US = 3_600_000_000


@attrs.frozen
class MeasurementsReported:
    """What a relay measured of an upstream under an earlier coordinator.

    Attributes:
        upstream: Name of the upstream.
        summary: The measurements; the decode time is that of an event.
        samples: Number of measurements.
    """

    upstream: str
    summary: Summary
    samples: int


def measurements_to_wire(
    message: MeasurementsReported,
) -> PerformanceReported:
    """Return the message for a link."""
    summary = message.summary
    return PerformanceReported(
        message.upstream,
        message.samples,
        _bounded(summary.decode_ms * US_PER_MS),
        _bounded(summary.service_seconds * US_PER_SECOND),
        _bounded(summary.prefill_ms * NS_PER_MS),
    )


def measurements_from_wire(
    message: PerformanceReported,
) -> MeasurementsReported:
    """Return the coordinator's message in a message from another relay."""
    summary = Summary(
        _bounded(message.event_us) / US_PER_MS,
        _bounded(message.service_us) / US_PER_SECOND,
        _bounded(message.prefill_ns) / NS_PER_MS,
    )
    return MeasurementsReported(
        message.upstream, summary, max(0, message.samples)
    )


def apply_measurements(
    scheduler: SchedulerState, message: MeasurementsReported
) -> None:
    """Learn from the measurements of a relay."""
    dispatch.restore_performance(
        scheduler, message.upstream, message.summary, message.samples
    )


def _bounded(number: float) -> int:
    return int(min(MAX_US, max(0, number)))
