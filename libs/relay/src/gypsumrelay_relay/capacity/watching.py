"""Thread that measures the load of a relay and applies the decision."""

from __future__ import annotations

import resource
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import attrs
from gypsumrelay_clock import monotonic
from logbook import Logger

from gypsumrelay_relay.capacity.events import LoadChanged, ReadinessChanged
from gypsumrelay_relay.capacity.measurement import (
    InstanceCapacity,
    Reading,
    Usage,
    compute_usage,
)
from gypsumrelay_relay.capacity.readiness import (
    Change,
    Readiness,
    ZoneView,
    update,
    zone_view,
)
from gypsumrelay_relay.events.state import report
from gypsumrelay_relay.membership import alive

if TYPE_CHECKING:
    from gypsumrelay_settings import RelaySettings

    from gypsumrelay_relay.context import Relay

log = Logger('capacity')

# Interval in seconds between two measurements.
INTERVAL_SECONDS: Final = 0.25
PAGE_BYTES: Final = resource.getpagesize()
MEMORY_PAGE: Final = Path('/proc/self/statm')
MS_PER_SECOND: Final = 1000
# Decimal places of the shares in the log.
DIGITS: Final = 2


@attrs.define(eq=False)
class CapacityWatch:
    """Measures the load of a relay and decides on its readiness.

    Attributes:
        relay: The shared parts of the relay.
        read: Returns the figures of the process.
        announce: Tells the other relays whether this one is loaded.
        readiness: State of the decision.
        previous: The previous reading.
        usage: The last measured use of the instance.
    """

    relay: Relay
    read: Callable[[], Reading]
    announce: Callable[[bool], None]
    readiness: Readiness
    previous: Reading
    usage: Usage = attrs.field(factory=Usage)

    def run(self, stopped: threading.Event) -> None:
        """Measure until the process stops."""
        while not stopped.wait(INTERVAL_SECONDS):
            try:
                self.check()
            except Exception:
                # The answer is "ready" while there are no measurements.
                log.exception('Measurement of the load failed.')

    def check(self) -> None:
        """Measure once, apply the decision and report what changes."""
        current = self.read()
        capacity = instance_capacity(self.relay.settings)
        self.usage = compute_usage(self.usage, self.previous, current, capacity)
        self.previous = current
        zone = self._zone(current.at)
        for change in update(self.readiness, self.usage, zone, current.at):
            self._report(change, zone)
        self._set_gauges()

    def _zone(self, now: float) -> ZoneView:
        coordination = self.relay.coordination
        with coordination.lock:
            members = coordination.members
            # Addresses expire, so that relays that left for good do not count.
            known = [
                member
                for member in members.known.values()
                if member.host in members.hosts
            ]
            return zone_view(members.own, known, alive(members, now))

    def _report(self, change: Change, zone: ZoneView) -> None:
        resources = ','.join(self.readiness.loaded) or 'none'
        if change in {Change.loaded, Change.normal}:
            self.announce(change is Change.loaded)
            shares = attrs.astuple(self.usage)
            rounded = [round(share, DIGITS) for share in shares]
            report(log, LoadChanged(change.value, resources, *rounded))
            return
        budget_ms = int(self.readiness.budget_seconds * MS_PER_SECOND)
        report(
            log,
            ReadinessChanged(
                change.value, resources, zone.total, zone.not_ready, budget_ms
            ),
        )

    def _set_gauges(self) -> None:
        gauges = self.relay.metrics.gauges
        for name, share in attrs.asdict(self.usage).items():
            gauges.labels(f'{name}_share').set(share)
        gauges.labels('loaded').set(bool(self.readiness.loaded))
        gauges.labels('ready_by_load').set(self.readiness.is_ready)


def start_watch(
    relay: Relay,
    callers: Any,
    announce: Callable[[bool], None],
    stopped: threading.Event,
) -> CapacityWatch:
    """Start to measure the load of a relay.

    Args:
        relay: The shared parts of the relay.
        callers: The HTTP server for callers.
        announce: Tells the other relays whether this one is loaded.
        stopped: Ends the thread.
    """

    def read() -> Reading:
        return read_process(callers, relay.watcher.count())

    first = read()
    watch = CapacityWatch(relay, read, announce, Readiness(first.at), first)
    threading.Thread(
        target=watch.run, args=(stopped,), name='capacity', daemon=True
    ).start()
    return watch


def read_process(callers: Any, open_requests: int) -> Reading:
    """Return the figures of this process.

    Args:
        callers: The HTTP server for callers.
        open_requests: Open requests of callers.
    """
    waiting = [
        channel.total_outbufs_len
        for channel in list(callers.active_channels.values())
        if channel.total_outbufs_len
    ]
    return Reading(
        monotonic(),
        time.process_time(),
        open_requests,
        _resident_bytes(),
        sum(waiting),
        len(waiting),
    )


def instance_capacity(settings: RelaySettings) -> InstanceCapacity:
    """Return the capacity that the settings state."""
    return InstanceCapacity(
        settings.instance.processor_cores,
        settings.max_open_requests,
        settings.capacity.memory_mb,
        settings.instance.link_mbps,
    )


def _resident_bytes() -> int:
    """Return the resident memory; 0 where the system does not state it."""
    try:
        return int(MEMORY_PAGE.read_text().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0
