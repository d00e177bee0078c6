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
from gypsumrelay_agent.building import Parts, build
from gypsumrelay_agent.holding import release_shares

if TYPE_CHECKING:
    from gypsumrelay_settings import AgentSettings

log = Logger('agent')

TICK_SECONDS: Final = 0.1
BEAT_TICKS: Final = 10
POLL_SECONDS: Final = 0.05


@attrs.define(eq=False)
class Running:
    """A running agent.

    Attributes:
        parts: Components of the process.
        admin_server: HTTP server for administration.
        stopped: Set when the agent shuts down; ends the timer thread.
    """

    parts: Parts
    admin_server: Any
    stopped: threading.Event = attrs.field(factory=threading.Event)


def run(settings: AgentSettings) -> None:
    """Run an agent until the process gets a signal, then shut it down."""
    set_up_logs(settings.telemetry, settings.instance.name)
    running = start(settings)
    log.info('Agent {} is ready.', settings.instance.name)
    wait_for_signal()
    stop(running)


def start(settings: AgentSettings) -> Running:
    """Start all components of an agent."""
    parts = build(settings)
    parts.follower.read_list()
    parts.follower.read_log()
    parts.follower.start()
    parts.listener.start()
    admin_server = start_admin(
        _admin_callbacks(parts),
        (settings.instance.host, settings.instance.admin_port),
    )
    running = Running(parts, admin_server)
    threading.Thread(target=_tick, args=(running,), daemon=True).start()
    return running


def stop(running: Running) -> None:
    """Drain the agent, release its shares and stop all components."""
    parts = running.parts
    settings = parts.settings
    log.info('Agent {} is draining.', settings.instance.name)
    parts.actor.tell(events.DrainBegan())
    deadline = monotonic() + settings.shutdown_seconds
    while not _is_drained(parts) and monotonic() < deadline:
        time.sleep(POLL_SECONDS)
    records = release_shares(parts.state.accounts)
    if records:
        parts.state.accounts.log_client.append(records)
    running.stopped.set()
    parts.snapshots.stopped.set()
    parts.follower.stop()
    parts.listener.close()
    parts.peers.close()
    running.admin_server.close()
    parts.actor.stop()


def _is_drained(parts: Parts) -> bool:
    state = parts.state
    return ledger.is_drained(state.ledger) and not state.runs


def _tick(running: Running) -> None:
    parts = running.parts
    ticks = 0
    while not running.stopped.wait(TICK_SECONDS):
        parts.actor.tell(events.Tick())
        ticks += 1
        if ticks % BEAT_TICKS == 0:
            parts.peers.beat()
            _consider_snapshot(parts)


def _consider_snapshot(parts: Parts) -> None:
    addresses = parts.state.accounts.addresses
    names = {member.name for member in list(addresses)}
    keeper = parts.peers.keeper
    with keeper.lock:
        parts.snapshots.consider(keeper.state, names, monotonic())


def _admin_callbacks(parts: Parts) -> AdminCallbacks:
    state = parts.state

    def status() -> dict[str, Any]:
        return attrs.asdict(parts.peers.identity) | {
            'offset': parts.peers.keeper.state.offset,
            'open_requests': len(state.runs),
            'draining': state.ledger.draining,
            'upstream': parts.settings.upstream.name,
            'concurrency_limit': state.ramp.limit,
            'shares_held': len(state.accounts.holder.shares),
        }

    def ready() -> bool:
        return not state.ledger.draining and not state.upstream_down

    def recorded(query: str) -> list[Any]:
        return events_to_json(parts.recorder.ring.snapshot())

    def drain() -> None:
        parts.actor.tell(events.DrainBegan())

    return AdminCallbacks(status, ready, recorded, drain)
