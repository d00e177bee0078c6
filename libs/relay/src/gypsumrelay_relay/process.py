"""The relay process, from start to graceful shutdown."""

from __future__ import annotations

import json
import logging
import signal
import threading
import time
from typing import TYPE_CHECKING, Any, Final

from gypsumrelay_clock import monotonic
from gypsumrelay_wire import listen
from logbook import Logger

from gypsumrelay_relay import beliefs
from gypsumrelay_relay import coordinator as events
from gypsumrelay_relay.building import Process, Surroundings, build
from gypsumrelay_relay.callers import (
    apply_limits,
    close_to_new_requests,
    count_busy,
    serve_callers,
    serve_probes,
    split_address,
)
from gypsumrelay_relay.coordination import ask_for_records
from gypsumrelay_relay.following import Following
from gypsumrelay_relay.heartbeats import PAUSE_SECONDS
from gypsumrelay_relay.membership import (
    add_hosts,
    yields,
)
from gypsumrelay_relay.ordering import Ordering
from gypsumrelay_relay.pacing import Pace, read_pace
from gypsumrelay_relay.registration import (
    change_own,
    give_up_rank,
    keep_registered,
)
from gypsumrelay_relay.routes import CallerLimits
from gypsumrelay_relay.slowness import SlowHeads

if TYPE_CHECKING:
    from gypsumrelay_settings import RelaySettings

    from gypsumrelay_relay.context import Relay
    from gypsumrelay_relay.topics import OperatorOrders

log = Logger('relay')

# Interval in seconds of the coordinator's ticks and of the checks in the main
# loop.
TICK_SECONDS: Final = 0.05
# Interval in seconds between heartbeats on a link.
LINK_BEAT_SECONDS: Final = 1.0
# Time in seconds for reading requests that had arrived when the listener
# closed.
SETTLE_SECONDS: Final = 0.3
# Time limit in seconds for writing the last log lines.
FLUSH_SECONDS: Final = 0.2


def run(settings: RelaySettings, surroundings: Surroundings) -> None:
    """Run a relay until SIGTERM or SIGINT, then shut down gracefully."""
    # The relay itself logs aborted answers.
    logging.getLogger('waitress').setLevel(logging.CRITICAL)
    stopping = threading.Event()
    reloading = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopping.set())
    signal.signal(signal.SIGINT, lambda *_: stopping.set())
    signal.signal(signal.SIGHUP, lambda *_: reloading.set())
    process = build(settings, surroundings)
    start(process)
    process.checked_at = monotonic()
    beliefs.report(log, beliefs.Started(settings.instance.name))
    while not stopping.wait(TICK_SECONDS):
        check_freshness(process)
        if reloading.is_set():
            reloading.clear()
            reload_settings(process)
    stop(process)


def start(process: Process) -> None:
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
    callers = serve_callers(relay)
    process.servers = [
        callers,
        *serve_probes(
            relay,
            lambda: _is_ready(relay),
            lambda: _status(relay),
        ),
    ]
    slow_heads = SlowHeads(callers, CallerLimits())
    slow_heads.start()
    relay.knowledge.listeners.append(_on_orders(process, slow_heads))
    process.heartbeats.on_pause = lambda: give_up_rank(process)
    with coordination.lock:
        hosts = [split_address(seed)[0] for seed in instance.seeds]
        add_hosts(coordination.members, hosts, monotonic())
    following = _following(process)
    process.following = following
    coordination.on_leader = lambda: following.read_now(monotonic())
    process.heartbeats.on_change = lambda: _after_heartbeats(process, following)
    coordination.start()
    process.heartbeats.start()
    relay.watch.start()
    following.start()
    process.ordering = Ordering(relay, process.surroundings.store)
    process.ordering.start()
    for target in (keep_registered, _tick, _beat_links):
        threading.Thread(target=target, args=(process,), daemon=True).start()


def check_freshness(process: Process) -> None:
    """Report it to the other relays if the list turns stale or fresh."""
    following = process.following
    own = process.relay.coordination.members.own
    if following is None:
        return
    now = monotonic()
    if now - process.checked_at > PAUSE_SECONDS:
        following.start_over(now)
    process.checked_at = now
    is_stale = following.is_stale(own.is_stale, now)
    if is_stale:
        # Another relay that can read the list becomes the coordinator; if there
        # is none, this one goes on with its stale list.
        following.extend(now)
    if is_stale == own.is_stale:
        return
    beliefs.report(log, beliefs.ListAge('old' if is_stale else 'fresh'))
    coordination = process.relay.coordination
    with coordination.lock:
        gives_up = yields(coordination.members, coordination.leader)
    if is_stale or not gives_up:
        change_own(process, is_stale=is_stale)
        return
    # A fresh list with the old rank would make this relay the coordinator
    # again.
    give_up_rank(process)
    change_own(process, is_stale=False)


def stop(process: Process) -> None:
    """Shut down gracefully: accept no new requests and finish open ones."""
    relay = process.relay
    shutdown = relay.settings.shutdown
    started_at = monotonic()
    relay.draining.set()
    change_own(process, leaving=True)
    beliefs.report(log, beliefs.Draining(relay.watch.count()))
    time.sleep(shutdown.accept_seconds)
    callers = process.servers[0]
    deadline = started_at + shutdown.total_seconds
    close_to_new_requests(callers).wait(max(0, deadline - monotonic()))
    settled_at = min(deadline, monotonic() + SETTLE_SECONDS)
    while monotonic() < settled_at or (
        monotonic() < deadline and (relay.watch.count() or count_busy(callers))
    ):
        time.sleep(TICK_SECONDS)
    beliefs.report(log, beliefs.Stopped(relay.watch.count()))
    process.stopped.set()
    process.heartbeats.stop()
    relay.output.flush(monotonic() + FLUSH_SECONDS)


def reload_settings(process: Process) -> None:
    """Apply the settings that may change while the process runs."""
    settings = process.surroundings.load_settings()
    if settings is None:
        beliefs.report(log, beliefs.SettingsRejected())
        return
    relay = process.relay
    actor = relay.coordination.actor
    relay.settings = settings
    relay.coordination.settings = settings.dispatch
    actor.tell(events.SettingsChanged(settings.dispatch))
    beliefs.report(log, beliefs.SettingsRead())


def _following(process: Process) -> Following:
    relay = process.relay
    coordination = relay.coordination

    def on_news(news: events.UpstreamsChanged | events.ListChecked) -> None:
        coordination.actor.tell(news)
        if isinstance(news, events.UpstreamsChanged):
            listed = {one.address for one in news.upstreams}
            relay.connections.forget(listed)

    def pace() -> Pace:
        with coordination.lock:
            members = coordination.members
            return read_pace(members, relay.settings.store, monotonic())

    return Following(
        process.surroundings.store,
        process.surroundings.reader,
        relay.knowledge,
        on_news,
        pace,
    )


def _after_heartbeats(process: Process, following: Following) -> None:
    """Check for a new coordinator, and whether the list has to be read."""
    process.relay.coordination.changed.set()
    following.hasten(monotonic())


def _on_orders(process: Process, slow_heads: SlowHeads) -> Any:
    def take(orders: OperatorOrders) -> None:
        slow_heads.limits = orders.configuration.limits
        apply_limits(slow_heads.server, slow_heads.limits)
        process.relay.coordination.actor.tell(events.OrdersChanged(orders))
        change_own(process, position=process.relay.knowledge.position)

    return take


def _is_ready(relay: Relay) -> bool:
    return relay.knowledge.orders is not None and not relay.draining.is_set()


def _status(relay: Relay) -> bytes:
    coordination = relay.coordination
    figures: Any = coordination.actor.ask(events.CountUsed())
    figures |= {
        'coordinator': coordination.leader,
        'position': relay.knowledge.position,
        'open_requests': relay.watch.count(),
    }
    return json.dumps(figures).encode()


def _tick(process: Process) -> None:
    actor = process.relay.coordination.actor
    while not process.stopped.wait(TICK_SECONDS):
        actor.tell(events.Ticked())


def _beat_links(process: Process) -> None:
    coordination = process.relay.coordination
    while not process.stopped.wait(LINK_BEAT_SECONDS):
        coordination.beat()
        ask_for_records(coordination, monotonic())
        gauges = process.relay.metrics.gauges
        gauges.labels('open_requests').set(process.relay.watch.count())
