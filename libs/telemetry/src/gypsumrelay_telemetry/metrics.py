"""Send metrics to a statsd collector over UDP, which never blocks."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    import statsd
    from gypsumrelay_settings import TelemetrySettings

PREFIX: Final = 'gypsumrelay'

# Name, type and unit of each metric, as listed in docs/operators/running.md.
METRICS: Final = (
    ('entry.accepted', 'counter', 'requests'),
    ('entry.answered', 'counter', 'requests'),
    ('entry.refused', 'counter', 'requests'),
    ('entry.failed', 'counter', 'requests'),
    ('entry.retries', 'counter', 'attempts'),
    ('entry.open', 'gauge', 'requests'),
    ('entry.first_token', 'timing', 'ms'),
    ('agent.reserved', 'counter', 'requests'),
    ('agent.refused', 'counter', 'requests'),
    ('agent.cancelled', 'counter', 'requests'),
    ('agent.running', 'gauge', 'requests'),
    ('agent.waiting', 'gauge', 'requests'),
    ('agent.held_pieces', 'gauge', 'pieces'),
    ('agent.upstream_down', 'counter', 'probes'),
    ('agent.draws_refused', 'counter', 'draws'),
)


@attrs.frozen
class Metrics:
    """Sends the metrics of one process.

    Attributes:
        client: Client of the collector; None to drop all metrics.
    """

    client: statsd.StatsClient | None

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter by an amount."""
        if self.client is not None:
            self.client.incr(name, amount)

    def gauge(self, name: str, reading: float) -> None:
        """Set a gauge."""
        if self.client is not None:
            self.client.gauge(name, reading)

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration in milliseconds."""
        if self.client is not None:
            self.client.timing(name, milliseconds)


def new_metrics(settings: TelemetrySettings) -> Metrics:
    """Return the metrics client that the settings configure."""
    if not settings.statsd_host:
        return Metrics(None)
    # Imported only here, since relays do not use it.
    library = importlib.import_module('statsd')
    return Metrics(
        library.StatsClient(
            settings.statsd_host,
            settings.statsd_port,
            prefix=PREFIX,
        ),
    )
