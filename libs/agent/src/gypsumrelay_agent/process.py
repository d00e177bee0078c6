"""Start and graceful shutdown of the agent process."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Any, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_instance import (
    AdminCallbacks,
    start_admin,
    wait_for_signal,
)
from gypsumrelay_telemetry import set_up_logs
from gypsumrelay_timeline import events_to_json
from gypsumrelay_upstreams import ledger
from logbook import Logger

from gypsumrelay_agent import events
from gypsumrelay_agent.components import Components, build
from gypsumrelay_agent.shares import release_shares

if TYPE_CHECKING:
    from gypsumrelay_settings import AgentSettings

log = Logger('agent')

TICK_INTERVAL_SECONDS: Final = 0.1
HEARTBEAT_TICKS: Final = 10
DRAIN_POLL_SECONDS: Final = 0.05


@attrs.define(eq=False)
class RunningAgent:
    """A running agent.

    Attributes:
        components: Components of the process.
        admin_server: HTTP server for administration.
        stopped: Set when the agent shuts down; ends the timer thread.
    """

    components: Components
    admin_server: Any
    stopped: threading.Event = attrs.field(factory=threading.Event)


def run(settings: AgentSettings) -> None:
    """Run an agent until the process gets a signal, then shut it down."""
    set_up_logs(settings.telemetry, settings.instance.name)
    running = start(settings)
    log.info('Agent {} is ready.', settings.instance.name)
    wait_for_signal()
    stop(running)


def start(settings: AgentSettings) -> RunningAgent:
    """Start all components of an agent."""
    components = build(settings)
    components.follower.read_list()
    components.follower.read_log()
    components.follower.start()
    components.listener.start()
    admin_server = start_admin(
        _admin_callbacks(components),
        (settings.instance.host, settings.instance.admin_port),
    )
    running = RunningAgent(components, admin_server)
    threading.Thread(target=_run_timer, args=(running,), daemon=True).start()
    return running


def stop(running: RunningAgent) -> None:
    """Drain the agent, release its shares and stop all components."""
    components = running.components
    settings = components.settings
    log.info('Agent {} is draining.', settings.instance.name)
    components.actor.tell(events.DrainStarted())
    deadline = monotonic() + settings.shutdown_seconds
    while not _is_drained(components) and monotonic() < deadline:
        time.sleep(DRAIN_POLL_SECONDS)
    records = release_shares(components.state.accounts)
    if records:
        components.state.accounts.log_client.append(records)
    running.stopped.set()
    components.snapshots.stopped.set()
    components.follower.stop()
    components.listener.close()
    components.peers.close()
    running.admin_server.close()
    components.actor.stop()


def _is_drained(components: Components) -> bool:
    state = components.state
    return ledger.is_drained(state.ledger) and not state.runs


def _run_timer(running: RunningAgent) -> None:
    components = running.components
    ticks = 0
    while not running.stopped.wait(TICK_INTERVAL_SECONDS):
        components.actor.tell(events.Tick())
        ticks += 1
        if ticks % HEARTBEAT_TICKS == 0:
            components.peers.send_heartbeats()
            _write_due_snapshot(components)


def _write_due_snapshot(components: Components) -> None:
    addresses = components.state.accounts.addresses
    names = {member.name for member in list(addresses)}
    replica = components.peers.replica
    with replica.lock:
        components.snapshots.write_if_due(replica.state, names, monotonic())


def _admin_callbacks(components: Components) -> AdminCallbacks:
    state = components.state

    def status() -> dict[str, Any]:
        return attrs.asdict(components.peers.identity) | {
            'offset': components.peers.replica.state.offset,
            'open_requests': len(state.runs),
            'draining': state.ledger.draining,
            'upstream': components.settings.upstream.name,
            'concurrency_limit': state.ramp.limit,
            'shares_held': len(state.accounts.holder.shares),
        }

    def ready() -> bool:
        return not state.ledger.draining and not state.upstream_down

    def recorded_events(query: str) -> list[Any]:
        return events_to_json(components.recorder.ring.snapshot())

    def drain() -> None:
        components.actor.tell(events.DrainStarted())

    return AdminCallbacks(status, ready, recorded_events, drain)
