"""The relay process from start to graceful shutdown."""

from __future__ import annotations

import json
import logging
import random
import secrets
import signal
import threading
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

import attrs
from gypsumrelay_dispatch import Board
from gypsumrelay_errors import Failure
from gypsumrelay_telemetry import new_metrics, set_up_output
from gypsumrelay_wire import Endpoint, Identity, listen
from logbook import Logger

from gypsumrelay_relay import coordinator as events
from gypsumrelay_relay.callers import (
    apply_limits,
    serve_callers,
    serve_probes,
    split_address,
)
from gypsumrelay_relay.connections import Connections
from gypsumrelay_relay.context import Relay
from gypsumrelay_relay.coordination import Coordination, ask_for_records
from gypsumrelay_relay.coordinator import Coordinator
from gypsumrelay_relay.following import Following
from gypsumrelay_relay.heartbeats import Heartbeats, open_socket
from gypsumrelay_relay.knowledge import Knowledge
from gypsumrelay_relay.measures import Measures
from gypsumrelay_relay.membership import (
    COORDINATOR_CORES,
    COORDINATOR_MBPS,
    Member,
    Members,
    add_hosts,
    is_in_line,
)
from gypsumrelay_relay.topics import Snapshot, Store, Topic
from gypsumrelay_relay.watch import Watch

if TYPE_CHECKING:
    from gypsumrelay_dispatch import Upstream
    from gypsumrelay_settings import RelaySettings

    from gypsumrelay_relay.dialect import Dialect
    from gypsumrelay_relay.topics import OperatorOrders, RecordReader

log = Logger('relay')

INCARNATION_BYTES: Final = 4
# Seconds between two looks at the queue while requests wait in it.
TICK_SECONDS: Final = 0.05
# Seconds between two tries to register in the store.
REGISTER_SECONDS: Final = 0.5
# Instances that keep the newest list, so that one can take over at once.
IN_LINE: Final = 2
# Seconds between two heartbeats on a link.
LINK_BEAT_SECONDS: Final = 1.0
# Seconds for the last log lines at the end.
FLUSH_SECONDS: Final = 0.2


@attrs.frozen
class Surroundings:
    """What a platform's adapter provides.

    Attributes:
        store: The platform's store.
        reader: Reads the store's records.
        dialect: The protocol of callers and upstreams.
        load_settings: Reads the settings again.
    """

    store: Store
    reader: RecordReader
    dialect: Dialect
    load_settings: Callable[[], RelaySettings | None]


@attrs.define(eq=False)
class Process:
    """The running parts of a relay."""

    relay: Relay
    surroundings: Surroundings
    heartbeats: Heartbeats
    following: Following | None = None
    servers: list[Any] = attrs.field(factory=list)
    stopped: threading.Event = attrs.field(factory=threading.Event)


def run(settings: RelaySettings, surroundings: Surroundings) -> None:
    """Run a relay until a signal, then shut down gracefully."""
    # Answers that break off are logged by the relay itself.
    logging.getLogger('waitress').setLevel(logging.CRITICAL)
    stopping = threading.Event()
    reloading = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    signal.signal(signal.SIGHUP, lambda *_: reloading.set())
    process = build(settings, surroundings)
    start(process)
    log.info('Relay {} started.', settings.instance.name)
    while not stopping.wait(TICK_SECONDS):
        if reloading.is_set():
            reloading.clear()
            reload_settings(process)
    stop(process)


def build(settings: RelaySettings, surroundings: Surroundings) -> Process:
    """Join the parts of a relay."""
    instance = settings.instance
    output = set_up_output(settings.telemetry, instance.name)
    knowledge = Knowledge(surroundings.reader)
    incarnation = secrets.token_hex(INCARNATION_BYTES)
    members = Members(
        Member(
            instance.name,
            incarnation,
            instance.host,
            is_small=instance.processor_cores < COORDINATOR_CORES
            or instance.link_mbps < COORDINATOR_MBPS,
        ),
    )
    coordination = Coordination(
        instance.name,
        members,
        knowledge,
        instance.link_port,
        settings.shared_secret.encode(),
    )
    board = Board(settings.dispatch)
    coordination.actor = Coordinator.start(board, coordination.deliver)
    coordination.endpoint = Endpoint(
        Identity(instance.name, incarnation, 'relay'),
        coordination.secret,
        coordination.on_message,
        coordination.on_close,
    )
    relay = Relay(
        settings,
        surroundings.dialect,
        knowledge,
        coordination,
        Connections(),
        Watch(),
        output,
        Measures(new_metrics(settings.telemetry)),
        random.Random(incarnation),  # noqa: S311 - spreads load only
    )
    heartbeats = Heartbeats(
        members,
        instance.link_port,
        coordination.follow_leader,
        lambda: None,
        coordination.lock,
        open_socket(instance.host, instance.link_port),
    )
    return Process(relay, surroundings, heartbeats)


def start(process: Process) -> None:
    """Start all parts."""
    relay = process.relay
    instance = relay.settings.instance
    coordination = relay.coordination
    listener = listen(
        (instance.host, instance.link_port),
        coordination.endpoint,
        coordination.on_link,
    )
    listener.start()
    callers = serve_callers(relay)
    process.servers = [
        callers,
        *serve_probes(
            relay,
            lambda: _is_ready(relay),
            lambda: _status(relay),
        ),
    ]
    relay.knowledge.listeners.append(_on_orders(process, callers))
    process.heartbeats.on_pause = lambda: _register_anew(process)
    with coordination.lock:
        hosts = [split_address(seed)[0] for seed in instance.seeds]
        add_hosts(coordination.members, hosts, time.monotonic())
    process.heartbeats.start()
    relay.watch.start()
    process.following = _following(process)
    process.following.start()
    for target in (_keep_registered, _tick, _beat_links):
        threading.Thread(target=target, args=(process,), daemon=True).start()


def stop(process: Process) -> None:
    """Take no new work, let open requests end, then stop."""
    relay = process.relay
    shutdown = relay.settings.shutdown
    started_at = time.monotonic()
    relay.draining.set()
    _change_own(process, leaving=True)
    log.info('Draining with {} open requests.', relay.watch.count())
    time.sleep(shutdown.accept_seconds)
    deadline = started_at + shutdown.total_seconds
    while relay.watch.count() and time.monotonic() < deadline:
        time.sleep(TICK_SECONDS)
    log.info('Stopped with {} open requests.', relay.watch.count())
    process.stopped.set()
    process.heartbeats.stop()
    relay.output.flush(time.monotonic() + FLUSH_SECONDS)


def reload_settings(process: Process) -> None:
    """Take over the settings that can change while the process runs."""
    settings = process.surroundings.load_settings()
    if settings is None:
        log.warning('The settings are faulty; the old ones stay in force.')
        return
    relay = process.relay
    actor = relay.coordination.actor
    relay.settings = settings
    actor.tell(events.SettingsChanged(settings.dispatch))
    log.info('Settings read again.')


def _following(process: Process) -> Following:
    relay = process.relay
    coordination = relay.coordination

    def on_upstreams(upstreams: tuple[Upstream, ...], lapsed: bool) -> None:
        coordination.actor.tell(events.UpstreamsChanged(upstreams, lapsed))
        relay.connections.forget({one.address for one in upstreams})

    def in_line() -> bool:
        with coordination.lock:
            members = coordination.members
            return is_in_line(members, time.monotonic(), IN_LINE)

    return Following(
        process.surroundings.store,
        relay.settings.store,
        process.surroundings.reader,
        relay.knowledge,
        on_upstreams,
        in_line,
    )


def _on_orders(process: Process, callers: Any) -> Any:
    def take(orders: OperatorOrders) -> None:
        apply_limits(callers, orders.configuration.limits)
        process.relay.coordination.actor.tell(events.OrdersChanged(orders))
        _change_own(process, position=process.relay.knowledge.position)

    return take


def _change_own(process: Process, **changes: Any) -> None:
    coordination = process.relay.coordination
    with coordination.lock:
        members = coordination.members
        members.own = attrs.evolve(members.own, **changes)
    process.heartbeats.send_round(time.monotonic())


def _is_ready(relay: Relay) -> bool:
    return relay.knowledge.orders is not None and not relay.draining.is_set()


def _status(relay: Relay) -> bytes:
    coordination = relay.coordination
    figures = coordination.actor.ask(events.CountUsed())
    figures |= {
        'coordinator': coordination.leader,
        'position': relay.knowledge.position,
        'open_requests': relay.watch.count(),
    }
    return json.dumps(figures).encode()


def _register_anew(process: Process) -> None:
    """Give up the rank after a pause; the next in line has taken over."""
    threading.Thread(target=_register, args=(process,), daemon=True).start()


def _keep_registered(process: Process) -> None:
    """Register in the store and learn who else has."""
    while not process.stopped.is_set():
        if _register(process):
            break
        process.stopped.wait(REGISTER_SECONDS)
    snapshot = process.surroundings.store.snapshot(Topic.members)
    if isinstance(snapshot, Snapshot):
        coordination = process.relay.coordination
        hosts = [record.decode('latin-1') for record in snapshot.records.values()]
        with coordination.lock:
            add_hosts(coordination.members, hosts, time.monotonic())


def _register(process: Process) -> bool:
    own = process.relay.coordination.members.own
    position = process.surroundings.store.append(
        Topic.members,
        own.name,
        own.host.encode(),
    )
    if isinstance(position, Failure):
        log.warning('Not registered: {}.', position.sentence)
        return False
    _change_own(process, seniority=position)
    log.info('Registered with seniority {}.', position)
    return True


def _tick(process: Process) -> None:
    actor = process.relay.coordination.actor
    while not process.stopped.wait(TICK_SECONDS):
        actor.tell(events.Ticked())


def _beat_links(process: Process) -> None:
    coordination = process.relay.coordination
    while not process.stopped.wait(LINK_BEAT_SECONDS):
        coordination.beat()
        ask_for_records(coordination, time.monotonic())
        gauges = process.relay.metrics.gauges
        gauges.labels('open_requests').set(process.relay.watch.count())
