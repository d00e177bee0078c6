"""The relay process, from start to graceful shutdown."""

from __future__ import annotations

import logging
import threading
import time
from typing import TYPE_CHECKING, Any, Final

from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import note_listed
from gypsumrelay_wire import listen
from logbook import Logger

from gypsumrelay_relay.building import build
from gypsumrelay_relay.caller_server import (
    close_to_new_requests,
    count_busy_connections,
    serve_callers,
    serve_probes,
    split_address,
)
from gypsumrelay_relay.caller_timeouts import CallerTimeouts
from gypsumrelay_relay.capacity.watching import start_watch
from gypsumrelay_relay.coordination import messages
from gypsumrelay_relay.draining import plan_shutdown, reject_waiting
from gypsumrelay_relay.events import state as state_events
from gypsumrelay_relay.heartbeats import SUSPENSION_SECONDS
from gypsumrelay_relay.membership import (
    UNRANKED,
    add_hosts,
    must_give_up_rank,
    others_read_list,
    stated_leader,
)
from gypsumrelay_relay.periodic import send_link_heartbeats
from gypsumrelay_relay.phase_switching import PhaseSwitcher
from gypsumrelay_relay.probes import explain_page, is_ready, status_page
from gypsumrelay_relay.read_intervals import ReadIntervals, read_intervals
from gypsumrelay_relay.records_exchange import request_records
from gypsumrelay_relay.registration import (
    follow_restores,
    give_up_rank,
    register_again,
    register_and_discover,
    update_own_member,
)
from gypsumrelay_relay.startup import (
    Phase,
    Startup,
    follow_phases,
    handle_signals,
    import_in_background,
    resume_collection,
)
from gypsumrelay_relay.startup.parts import PlatformAdapter, Process
from gypsumrelay_relay.store_follower import StoreFollower

if TYPE_CHECKING:
    from gypsumrelay_settings import RelaySettings

    from gypsumrelay_relay.context import Relay
    from gypsumrelay_relay.topics import OperatorState

log = Logger('relay')

# Interval in seconds of the coordinator's ticks and of the checks in the main
# loop.
TICK_SECONDS: Final = 0.05
# Interval in seconds of the checks in the main loop until the first coordinator
# is known, and for how many seconds after the start at most: the relay may be
# chosen as soon as its list is read.
START_TICK_SECONDS: Final = 0.01
START_CHECKS_SECONDS: Final = 1.0
# Time in seconds for reading requests that had arrived when the listener
# closed.
LATE_READ_SECONDS: Final = 0.3
# Time limit in seconds for writing the last log lines.
FLUSH_SECONDS: Final = 0.2


def run(
    settings: RelaySettings,
    adapter: PlatformAdapter,
    startup: Startup | None = None,
) -> None:
    """Run a relay until SIGTERM or SIGINT, then shut down gracefully.

    Args:
        settings: The settings.
        adapter: The parts that the platform's adapter provides.
        startup: What the process did before the relay was imported.
    """
    startup = startup or Startup()
    # The relay itself logs aborted answers.
    logging.getLogger('waitress').setLevel(logging.CRITICAL)
    stopping = threading.Event()
    reloading = threading.Event()
    handle_signals(stopping, reloading, startup.stop_signals)
    process = build(settings, adapter)
    follow_phases(process, startup.phases)
    start(process, startup)
    resume_collection()
    process.checked_at = monotonic()
    state_events.report(log, state_events.Started(settings.instance.name))
    while not stopping.wait(_check_seconds(process)):
        update_staleness(process)
        if reloading.is_set():
            reloading.clear()
            reload_settings(process)
    stop(process, startup.stop_signals[0])


def _check_seconds(process: Process) -> float:
    """Return the time in seconds until the next check in the main loop."""
    coordination = process.relay.coordination
    if not coordination.members.own.is_new:
        return TICK_SECONDS
    coordination.changed.set()
    started_at = coordination.members.election.started_at
    is_late = monotonic() > started_at + START_CHECKS_SECONDS
    return TICK_SECONDS if is_late else START_TICK_SECONDS


def start(process: Process, startup: Startup) -> None:
    """Start all parts of a relay."""
    relay = process.relay
    instance = relay.settings.instance
    coordination = relay.coordination
    listener = listen(
        (instance.host, instance.link_port),
        coordination.endpoint,
        coordination.on_link,
    )
    listener.start()
    callers = serve_callers(relay, startup.callers)
    startup.phases.note(Phase.serving)
    process.servers = [
        callers,
        *serve_probes(
            relay,
            lambda: is_ready(process),
            lambda: status_page(relay),
            lambda query: explain_page(relay, query),
        ),
    ]
    if relay.settings.capacity.ready_by_load:
        process.capacity = start_watch(
            relay,
            callers,
            lambda loaded: update_own_member(process, is_loaded=loaded),
            process.stopped,
        )
    timeouts = CallerTimeouts(callers)
    timeouts.start()
    relay.operator_records.listeners.append(
        _configuration_listener(process, timeouts)
    )
    follow_restores(process)
    process.heartbeats.on_suspension = lambda: give_up_rank(process)
    with coordination.lock:
        hosts = [split_address(seed)[0] for seed in instance.seeds]
        add_hosts(coordination.members, hosts, monotonic())
    follower = _new_follower(process)
    process.follower = follower
    coordination.members.election.started_at = monotonic()
    coordination.announce = lambda: _announce(process)
    coordination.on_elected = lambda: follower.read_now(monotonic())
    process.heartbeats.on_change = lambda: _after_heartbeats(process, follower)
    process.phase_switcher = PhaseSwitcher(relay, process.adapter.store)
    for part in (
        coordination,
        process.heartbeats,
        relay.watcher,
        follower,
        process.stream_log,
        process.phase_switcher,
        process.rollout_keeper,
    ):
        part.start()
    import_in_background(relay.metrics_provider)
    for target in (register_and_discover, _tick, send_link_heartbeats):
        threading.Thread(target=target, args=(process,), daemon=True).start()


def update_staleness(process: Process) -> None:
    """Report it to the other relays if the list turns stale or fresh."""
    follower = process.follower
    own = process.relay.coordination.members.own
    if follower is None:
        return
    now = monotonic()
    if now - process.checked_at > SUSPENSION_SECONDS:
        follower.read_after_suspension(now)
    process.checked_at = now
    is_stale = follower.is_stale(own.is_stale, now)
    if is_stale:
        # Another relay that can read the list becomes the coordinator; if there
        # is none, this one goes on with its stale list.
        follower.allow_use(now)
    if is_stale == own.is_stale:
        return
    state_events.report(
        log, state_events.ListAgeChanged('old' if is_stale else 'fresh')
    )
    coordination = process.relay.coordination
    with coordination.lock:
        members = coordination.members
        leader = coordination.leader or stated_leader(members, now)
        gives_up = must_give_up_rank(members, leader)
    if is_stale or not gives_up:
        update_own_member(process, is_stale=is_stale)
        return
    # A fresh list with the old rank would make this relay the coordinator
    # again.
    give_up_rank(process)
    update_own_member(process, is_stale=False)


def stop(process: Process, started_at: float) -> None:
    """Shut down gracefully: accept no new requests and finish open ones.

    Args:
        process: The running parts of the relay.
        started_at: Instant at which the shutdown was requested.
    """
    relay = process.relay
    shutdown = plan_shutdown(relay.settings.shutdown, started_at)
    relay.shutdown = shutdown
    relay.draining.set()
    update_own_member(process, leaving=True)
    state_events.report(log, state_events.Draining(relay.watcher.count()))
    time.sleep(max(0, shutdown.accepts_until - monotonic()))
    callers = process.servers[0]
    close_to_new_requests(callers).wait(max(0, shutdown.ends_at - monotonic()))
    _finish_requests(relay, callers)
    state_events.report(log, state_events.Stopped(relay.watcher.count()))
    process.stopped.set()
    process.heartbeats.stop()
    relay.output.flush(monotonic() + FLUSH_SECONDS)


def _finish_requests(relay: Relay, callers: Any) -> None:
    """Wait until all requests are answered or the shutdown ends."""
    settled_at = monotonic() + LATE_READ_SECONDS
    while monotonic() < relay.shutdown.ends_at:
        reject_waiting(relay.coordination, relay.shutdown, monotonic())
        is_busy = relay.watcher.count() or count_busy_connections(callers)
        if not is_busy and monotonic() >= settled_at:
            return
        time.sleep(TICK_SECONDS)


def reload_settings(process: Process) -> None:
    """Apply the settings that may change while the process runs."""
    settings = process.adapter.load_settings()
    if settings is None:
        state_events.report(log, state_events.SettingsRejected())
        return
    relay = process.relay
    actor = relay.coordination.actor
    relay.settings = settings
    relay.coordination.settings = settings.dispatch
    actor.tell(messages.SettingsChanged(settings.dispatch))
    state_events.report(log, state_events.SettingsReloaded())


def _new_follower(process: Process) -> StoreFollower:
    relay = process.relay
    coordination = relay.coordination

    def on_update(
        update: messages.UpstreamsChanged
        | messages.ListRead
        | messages.ListMissed,
    ) -> None:
        coordination.actor.tell(update)
        if isinstance(update, messages.UpstreamsChanged):
            addresses = {one.address for one in update.upstreams}
            relay.connections.close_unlisted(addresses)
            names = {one.name for one in update.upstreams}
            now = monotonic()
            coordination.stated_limits.forget_unlisted(names, now)
            with coordination.lock:
                note_listed(coordination.departures, update.upstreams, now)

    def intervals() -> ReadIntervals:
        with coordination.lock:
            members = coordination.members
            return read_intervals(members, relay.settings.store, monotonic())

    def others_read() -> bool:
        with coordination.lock:
            return others_read_list(coordination.members, monotonic())

    return StoreFollower(
        process.adapter.store,
        process.adapter.reader,
        relay.operator_records,
        on_update,
        intervals,
        others_read,
    )


def _announce(process: Process) -> None:
    """State the coordinator; register again if the rank was given up."""
    members = process.relay.coordination.members
    process.heartbeats.send_round(monotonic())
    if members.election.is_registered and members.own.seniority == UNRANKED:
        register_again(process)


def _after_heartbeats(process: Process, follower: StoreFollower) -> None:
    """Check for a new coordinator, and for what has to be read."""
    coordination = process.relay.coordination
    coordination.changed.set()
    follower.read_early(monotonic())
    request_records(coordination, monotonic())


def _configuration_listener(process: Process, timeouts: CallerTimeouts) -> Any:
    def apply(state: OperatorState) -> None:
        process.relay.phases.note(Phase.configured)
        timeouts.apply(state.configuration.limits)
        process.relay.coordination.actor.tell(
            messages.ConfigurationChanged(state)
        )
        update_own_member(
            process,
            position=process.relay.operator_records.position,
            version=state.configuration.version,
        )

    return apply


def _tick(process: Process) -> None:
    actor = process.relay.coordination.actor
    while not process.stopped.wait(TICK_SECONDS):
        actor.tell(messages.Tick())
        process.relay.memory.check()
