"""Startup, periodic work and graceful shutdown of the entry process."""

from __future__ import annotations

import random
import threading
from typing import TYPE_CHECKING, Any, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_http import start_server
from gypsumrelay_instance import (
    AdminCallbacks,
    PeerCallbacks,
    listed_committers,
    new_peers,
    new_recorder,
    start_admin,
    wait_for_signal,
)
from gypsumrelay_platform import (
    Follower,
    FollowerCallbacks,
    ListClient,
    Listing,
    LogClient,
)
from gypsumrelay_routing import View
from gypsumrelay_telemetry import new_metrics, set_up_logs
from gypsumrelay_timeline import events_to_json
from gypsumrelay_wire import CrashReport, Link, LoadReport, Message
from logbook import Logger

from gypsumrelay_entry import events
from gypsumrelay_entry.actor import POLICIES, EntryActor, EntryState
from gypsumrelay_entry.callerapi import caller_application
from gypsumrelay_entry.context import Entry
from gypsumrelay_entry.crash_tracker import CrashTracker
from gypsumrelay_entry.httperrors import JsonErrorChannel
from gypsumrelay_entry.mailboxes import Mailboxes

if TYPE_CHECKING:
    import pykka
    from gypsumrelay_errors import Failure
    from gypsumrelay_settings import EntrySettings

log = Logger('entry')

MS_PER_SECOND: Final = 1000
HEARTBEAT_INTERVAL_SECONDS: Final = 1.0
# Interval at which connections with overdue bodies are looked up and closed.
CLEANUP_INTERVAL_SECONDS: Final = 1
BACKLOG: Final = 1024
SPARE_THREADS: Final = 4
# Keeps request and response bodies in memory, since the instances have no disk.
MEMORY_BUFFER_BYTES: Final = 268_435_456
# Backpressure: a response to a slow caller is paused above this size, so that
# it does not use up the memory of the process.
RESPONSE_BUFFER_BYTES: Final = 1_048_576


@attrs.define(eq=False)
class EntryProcess:
    """Running components of an entry process.

    Attributes:
        entry: Components that are shared by all requests.
        follower: Reader of the platform's log and instance list.
        caller_server: HTTP server of the caller API.
        admin_server: HTTP server of the admin API.
        stopped: Set when the process stops.
    """

    entry: Entry
    follower: Follower
    caller_server: Any
    admin_server: Any
    stopped: threading.Event = attrs.field(factory=threading.Event)


def run(settings: EntrySettings) -> None:
    """Run an entry until a signal arrives, then shut down gracefully."""
    set_up_logs(settings.telemetry, settings.instance.name)
    process = start(settings)
    log.info('Entry {} is ready.', settings.instance.name)
    wait_for_signal()
    stop(process)


def start(settings: EntrySettings) -> EntryProcess:
    """Start all components of an entry and return them."""
    entry = _build_entry(settings)
    follower = _follower(entry)
    follower.read_list()
    follower.read_log()
    follower.start()
    caller = settings.caller
    caller_server = start_server(
        caller_application(entry),
        (settings.instance.host, caller.port),
        JsonErrorChannel,
        threads=caller.max_open_requests + SPARE_THREADS,
        backlog=BACKLOG,
        connection_limit=caller.max_open_requests * 4,
        channel_timeout=int(caller.body_seconds) or 1,
        channel_request_lookahead=1,
        cleanup_interval=CLEANUP_INTERVAL_SECONDS,
        max_request_header_size=caller.max_header_bytes,
        max_request_body_size=caller.max_body_bytes,
        inbuf_overflow=MEMORY_BUFFER_BYTES,
        outbuf_overflow=MEMORY_BUFFER_BYTES,
        outbuf_high_watermark=RESPONSE_BUFFER_BYTES,
        send_bytes=1,
        ident=None,
    )
    process = EntryProcess(entry, follower, caller_server, None)
    process.admin_server = start_admin(
        _admin_callbacks(process),
        (settings.instance.host, settings.instance.admin_port),
    )
    threading.Thread(
        target=_heartbeat_loop, args=(process,), daemon=True
    ).start()
    return process


def stop(process: EntryProcess) -> None:
    """Reject new requests, wait for the open ones, then stop the entry."""
    settings = process.entry.settings
    process.entry.open_requests.draining = True
    log.info('Entry {} is draining.', settings.instance.name)
    deadline = monotonic() + settings.shutdown_seconds
    all_ended = process.entry.open_requests.wait_until_none(deadline)
    if not all_ended:
        log.warning('Entry shutdown timed out while requests were open.')
    process.stopped.set()
    process.follower.stop()
    process.caller_server.close()
    process.admin_server.close()
    process.entry.peers.close()
    process.entry.actor.stop()


def _build_entry(settings: EntrySettings) -> Entry:
    recorder = new_recorder(settings.instance, settings.telemetry)
    peers = new_peers(
        settings.instance,
        settings.shared_secret,
        'entry',
        recorder,
    )
    replica = peers.replica
    mailboxes = Mailboxes()
    crash_tracker = CrashTracker()
    actor = EntryActor.start(_entry_state(settings))
    peers.callbacks = _peer_callbacks(mailboxes, crash_tracker, actor)

    def publish_drains() -> None:
        with replica.lock:
            drains = tuple(replica.state.drains.values())
        actor.tell(events.DrainsChanged(drains))

    replica.change_listeners.append(publish_drains)
    return Entry(
        settings,
        replica,
        peers,
        actor,
        new_metrics(settings.telemetry),
        recorder,
        mailboxes,
        crash_tracker=crash_tracker,
    )


def _entry_state(settings: EntrySettings) -> EntryState:
    return EntryState(
        settings.instance.name,
        View(settings.instance.availability_zone),
        # Each entry has its own seed, so that the entries do not all choose
        # the same upstreams (herding).
        random.Random(settings.instance.name),  # noqa: S311
        settings.routing.subset,
        policy=POLICIES[settings.routing.policy](),
    )


def _peer_callbacks(
    mailboxes: Mailboxes,
    crash_tracker: CrashTracker,
    actor: pykka.ActorRef[Any],
) -> PeerCallbacks:
    def on_message(link: Link, message: Message) -> None:
        if isinstance(message, LoadReport):
            actor.tell(events.LoadReported(message))
        elif isinstance(message, CrashReport):
            crash_tracker.record_crash(message)
        else:
            mailboxes.deliver(link, message)

    def on_close(link: Link, reason: Failure) -> None:
        mailboxes.notify_link_lost(link)
        actor.tell(events.LinkFailed(link.peer.name))

    return PeerCallbacks(on_message, on_close, lambda link: [])


def _follower(entry: Entry) -> Follower:
    platform = entry.settings.platform

    def on_listing(listing: Listing, requested_at: float) -> None:
        entry.actor.tell(events.ListingRead(listing))
        entry.directory.agents = {
            instance.name: instance
            for instance in listing.instances
            if instance.role == 'agent'
        }
        entry.directory.committers = listed_committers(
            listing,
            entry.settings.committers,
        )

    callbacks = FollowerCallbacks(
        on_batch=entry.replica.apply_batch,
        on_listing=on_listing,
        next_offset=entry.replica.next_offset,
        on_log_end=entry.replica.confirm,
        is_ready=entry.replica.is_ready,
    )
    return Follower(
        LogClient(platform.log_url),
        ListClient(platform.list_url),
        callbacks,
    )


def _heartbeat_loop(process: EntryProcess) -> None:
    while not process.stopped.wait(HEARTBEAT_INTERVAL_SECONDS):
        maintain_links(process.entry)


def maintain_links(entry: Entry) -> None:
    """Open missing links and send a heartbeat on every link."""
    addresses: Any = entry.actor.ask(events.PeerAddressesQuery())
    for address in addresses:
        entry.peers.connect(address)
    entry.peers.send_heartbeats()
    entry.metrics.gauge('entry.open', entry.open_requests.count)


def _admin_callbacks(process: EntryProcess) -> AdminCallbacks:
    entry = process.entry

    def status() -> dict[str, Any]:
        identity = entry.peers.identity
        return attrs.asdict(identity) | {
            'offset': entry.replica.state.offset,
            'open_requests': entry.open_requests.count,
            'draining': entry.open_requests.draining,
            'usable_upstreams': entry.actor.ask(events.UsableUpstreamsQuery()),
        }

    def ready() -> bool:
        return (
            not entry.open_requests.draining
            and entry.replica.state.configuration.version > 0
        )

    def drain() -> None:
        entry.open_requests.draining = True

    def recorded_events(query: str) -> list[Any]:
        return events_to_json(entry.recorder.ring.snapshot())

    return AdminCallbacks(status, ready, recorded_events, drain)
