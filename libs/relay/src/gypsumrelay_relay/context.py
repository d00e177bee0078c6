"""The parts of a running relay that requests share."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import attrs

from gypsumrelay_relay.buffers import Memory, new_memory
from gypsumrelay_relay.draining import Shutdown
from gypsumrelay_relay.startup import (
    StartPhases,
    WaitLimit,
    new_wait_limit,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from gypsumrelay_settings import RelaySettings
    from gypsumrelay_telemetry import Output

    from gypsumrelay_relay.cancellation import RequestWatcher
    from gypsumrelay_relay.connections import Connections
    from gypsumrelay_relay.coordination.client import Coordination
    from gypsumrelay_relay.metrics import RelayMetrics
    from gypsumrelay_relay.operator_records import OperatorRecords
    from gypsumrelay_relay.protocol import HttpProtocol


@attrs.define(eq=False)
class Relay:
    """Shared parts of a relay, as requests need them.

    Attributes:
        metrics_provider: Returns the metrics; the first call imports their
            library (`startup.import_in_background`).
        shutdown: The instants of the shutdown.
        draining: Set when the shutdown starts.
        phases: The phases that the start of the process has reached.
        wait_limit: Requests that wait for the first configuration.
        memory: Memory for the bodies of requests and for unsent answers.
    """

    settings: RelaySettings
    protocol: HttpProtocol
    operator_records: OperatorRecords
    coordination: Coordination
    connections: Connections
    watcher: RequestWatcher
    output: Output
    metrics_provider: Callable[[], RelayMetrics]
    random: Random
    shutdown: Shutdown = attrs.field(factory=Shutdown)
    draining: threading.Event = attrs.field(factory=threading.Event)
    phases: StartPhases = attrs.field(factory=StartPhases)
    wait_limit: WaitLimit = attrs.field(
        default=attrs.Factory(
            lambda relay: new_wait_limit(relay.settings), takes_self=True
        )
    )
    memory: Memory = attrs.field(
        default=attrs.Factory(
            lambda relay: new_memory(relay.settings.capacity.memory_mb),
            takes_self=True,
        )
    )

    @property
    def metrics(self) -> RelayMetrics:
        """Return the counters and histograms."""
        return self.metrics_provider()
