"""Counters and histograms of a relay, for Prometheus and statsd."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gypsumrelay_telemetry import Metrics

    from gypsumrelay_relay.buffers import Memory

# Histogram buckets in seconds, from a fast plain answer to the longest stream.
BUCKETS: Final = (0.02, 0.05, 0.1, 0.2, 0.4, 0.9, 2, 4, 8, 14)


@attrs.define(eq=False)
class RelayMetrics:
    """Metrics of a relay; their label values are bounded in number."""

    statsd: Metrics
    registry: CollectorRegistry = attrs.field(factory=CollectorRegistry)
    answered: Histogram = attrs.field(init=False)
    first_event: Histogram = attrs.field(init=False)
    transfer: Histogram = attrs.field(init=False)
    refused: Counter = attrs.field(init=False)
    attempts: Counter = attrs.field(init=False)
    gauges: Gauge = attrs.field(init=False)
    limits: Gauge = attrs.field(init=False)
    rollouts: Gauge = attrs.field(init=False)
    rollout_changes: Counter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register the metrics."""
        self.answered = Histogram(
            'gypsumrelay_answer_seconds',
            'Time from a request to the end of its answer.',
            ['kind'],
            buckets=BUCKETS,
            registry=self.registry,
        )
        self.first_event = Histogram(
            'gypsumrelay_first_event_seconds',
            'Time from a request to the first event of its stream.',
            buckets=BUCKETS,
            registry=self.registry,
        )
        self.transfer = Histogram(
            'gypsumrelay_transfer_seconds',
            'Time from the end of a prefill to the first event of its stream.',
            buckets=BUCKETS,
            registry=self.registry,
        )
        self.refused = Counter(
            'gypsumrelay_refused',
            'Requests that were refused or failed, by code.',
            ['code'],
            registry=self.registry,
        )
        self.attempts = Counter(
            'gypsumrelay_attempts',
            'Sends to upstreams, by their end.',
            ['ending'],
            registry=self.registry,
        )
        self.rollouts = Gauge(
            'gypsumrelay_rollout',
            'Figures of the roll-out that this instance coordinates.',
            ['service', 'figure'],
            registry=self.registry,
        )
        self.rollout_changes = Counter(
            'gypsumrelay_rollout_changes',
            'Changes of roll-outs, by the stage that they led to.',
            ['stage'],
            registry=self.registry,
        )
        self.gauges = Gauge(
            'gypsumrelay_state',
            'Present figures of the instance.',
            ['figure'],
            registry=self.registry,
        )
        self.limits = Gauge(
            'gypsumrelay_upstream_limit',
            'Limit on the concurrent requests of an upstream, at the '
            'coordinator.',
            ['upstream'],
            registry=self.registry,
        )

    def show_limits(self, limits: Mapping[str, int]) -> None:
        """Set the limits of upstreams; those that have left get none."""
        self.limits.clear()
        for upstream, limit in limits.items():
            self.limits.labels(upstream).set(limit)

    def show_memory(self, memory: Memory) -> None:
        """Set what bodies and answers hold."""
        for kind, held in memory.budget.held.items():
            self.gauges.labels(f'{kind.value}_bytes').set(held)
        self.gauges.labels('rejected_bodies').set(memory.rejected)

    def observe_answer(self, kind: str, seconds: float) -> None:
        """Record the latency of a request that was answered in full."""
        self.answered.labels(kind).observe(seconds)
        self.statsd.count('relay.answered')

    def observe_first_event(self, seconds: float) -> None:
        """Record the time to the first event of a stream."""
        self.first_event.observe(seconds)

    def count_refused(self, code: str) -> None:
        """Count a rejected or failed request."""
        self.refused.labels(code).inc()
        self.statsd.count('relay.refused')

    def count_attempt(self, ending: str) -> None:
        """Count an attempt at an upstream."""
        self.attempts.labels(ending).inc()

    def page(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self.registry)
