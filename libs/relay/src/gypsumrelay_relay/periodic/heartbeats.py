"""Heartbeats on the links, and gauges that are updated with them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gypsumrelay_clock import monotonic

from gypsumrelay_relay.operator_records import end_holds
from gypsumrelay_relay.performance.gauges import update_limits
from gypsumrelay_relay.startup import report_start

if TYPE_CHECKING:
    from gypsumrelay_relay.startup.parts import Process

# Interval in seconds between heartbeats on a link. They bound the time until a
# silent link breaks, together with the time for an acknowledgement.
LINK_HEARTBEAT_SECONDS: Final = 0.5


def send_link_heartbeats(process: Process) -> None:
    """Send heartbeats on the links, and update the gauges, until the stop."""
    coordination = process.relay.coordination
    while not process.stopped.wait(LINK_HEARTBEAT_SECONDS):
        coordination.send_heartbeats()
        report_start(process)
        end_holds(coordination.operator_records, monotonic())
        update_limits(coordination, process.relay.metrics)
        gauges = process.relay.metrics.gauges
        gauges.labels('open_requests').set(process.relay.watcher.count())
        gauges.labels('limited_upstreams').set(
            len(coordination.stated_limits.limits)
        )
