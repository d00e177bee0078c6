"""The readiness of a relay and its status page."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from gypsumrelay_clock import monotonic

from gypsumrelay_relay.capacity import allows_ready
from gypsumrelay_relay.coordination import messages
from gypsumrelay_relay.store_epoch import epoch_of, offset_of

if TYPE_CHECKING:
    from gypsumrelay_relay.context import Relay
    from gypsumrelay_relay.coordination.client import Coordination
    from gypsumrelay_relay.startup.parts import Process


def is_ready(process: Process) -> bool:
    """Return whether to answer readiness probes with "ready"."""
    relay = process.relay
    if relay.operator_records.state is None or relay.draining.is_set():
        return False
    watch = process.capacity
    if watch is None or not relay.settings.capacity.ready_by_load:
        return True
    return allows_ready(watch.readiness, monotonic())


def status_page(relay: Relay) -> bytes:
    """Return the present state of a relay as JSON."""
    coordination = relay.coordination
    position = relay.operator_records.position
    figures: Any = coordination.actor.ask(messages.GetFigures())
    figures |= {
        'coordinator': coordination.leader,
        'epoch': epoch_of(position),
        'position': offset_of(position),
        'open_requests': relay.watcher.count(),
        'stated_limits': coordination.stated_limits.current(),
    }
    with coordination.lock:
        figures['leaving_upstreams'] = sorted(coordination.departures)
        figures['paused_upstreams'] = _paused(coordination, monotonic())
    return json.dumps(figures).encode()


def _paused(coordination: Coordination, now: float) -> list[str]:
    paused = coordination.pauses.get(coordination.name, {})
    return sorted(name for name, pause in paused.items() if now < pause.until)
