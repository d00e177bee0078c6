"""What this relay measured of upstreams, reported to a new coordinator."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_dispatch import Ending, StreamPace
from gypsumrelay_performance import Summary

from gypsumrelay_relay.performance.messages import MeasurementsReported

if TYPE_CHECKING:
    from gypsumrelay_relay.placement import Placement

MS_PER_SECOND: Final = 1000
# Upstreams that are remembered, those measured last.
MAX_UPSTREAMS: Final = 256
# Seconds after which measurements are no longer reported.
RETENTION_SECONDS: Final = 30.0
# Weight of a new measurement in the mean of the recent ones.
SMOOTHING: Final = 0.2
# Measurements that a report counts as at most.
MAX_SAMPLES: Final = 50
# Part by which the shortest prefill time fades with each prefill. A prefill
# that waited for another one takes longer, so that the shortest one shows the
# speed.
PREFILL_FADING: Final = 0.02


@attrs.define
class Measured:
    """Recent measurements of one upstream.

    Attributes:
        event_ms: Mean time between two events; 0 if unknown.
        service_seconds: Mean time of a plain request; 0 if unknown.
        prefill_ms: Shortest time of a prompt token; 0 if unknown.
        samples: Number of measurements.
        measured_at: Instant of the newest one.
    """

    event_ms: float = 0
    service_seconds: float = 0
    prefill_ms: float = 0
    samples: int = 0
    measured_at: float = 0


@attrs.define
class PerformanceHistory:
    """Measurements by upstream, the newest last."""

    measured: OrderedDict[str, Measured] = attrs.field(factory=OrderedDict)

    def record_end(
        self,
        placement: Placement,
        ending: Ending,
        pace: StreamPace,
        now: float,
    ) -> None:
        """Record the end of an attempt."""
        if ending is not Ending.answered:
            return
        if not placement.request.prompt_tokens:
            one = self._entry(placement.upstream, now)
            seconds = now - placement.granted_at
            one.service_seconds = _mean(one.service_seconds, seconds)
        elif pace.events:
            one = self._entry(placement.upstream, now)
            event_ms = pace.stream_ms / pace.events
            one.event_ms = _mean(one.event_ms, event_ms)

    def record_prefill(
        self, placement: Placement, ending: Ending, now: float
    ) -> None:
        """Record the end of a prefill."""
        tokens = placement.request.prompt_tokens
        if ending is not Ending.answered or not tokens:
            return
        one = self._entry(placement.prefill, now)
        own_ms = (now - placement.granted_at) * MS_PER_SECOND / tokens
        faded = one.prefill_ms * (1 + PREFILL_FADING) or own_ms
        one.prefill_ms = min(own_ms, faded)

    def reports(self, now: float) -> Iterator[MeasurementsReported]:
        """Yield the reports to a new coordinator."""
        for upstream, one in self.measured.items():
            if now - one.measured_at <= RETENTION_SECONDS:
                summary = Summary(
                    one.event_ms, one.service_seconds, one.prefill_ms
                )
                yield MeasurementsReported(upstream, summary, one.samples)

    def _entry(self, upstream: str, now: float) -> Measured:
        one = self.measured.setdefault(upstream, Measured())
        self.measured.move_to_end(upstream)
        while len(self.measured) > MAX_UPSTREAMS:
            self.measured.popitem(last=False)
        if now - one.measured_at > RETENTION_SECONDS:
            one.samples = 0
        one.samples = min(MAX_SAMPLES, one.samples + 1)
        one.measured_at = now
        return one


def _mean(mean: float, newest: float) -> float:
    return mean + SMOOTHING * (newest - mean) if mean else newest
