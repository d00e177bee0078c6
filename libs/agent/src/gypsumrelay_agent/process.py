"""The agent process from start to graceful shutdown."""

from __future__ import annotations

import secrets
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any, Final

import attrs
import pykka
from gypsumrelay_instance import (
    AdminCallbacks,
    Keeper,
    PeerCallbacks,
    Peers,
    start_admin,
    wait_for_signal,
)
from gypsumrelay_platform import Callbacks, Follower, ListClient, LogClient
from gypsumrelay_telemetry import new_metrics, set_up_logs
from gypsumrelay_timeline import Recorder, Ring, Stamp, events_to_json
from gypsumrelay_upstreams import (
    Ledger,
    LedgerSettings,
    RampSettings,
    coldstart,
)
from gypsumrelay_upstreams import ledger as ledgers
from gypsumrelay_wire import (
    Identity,
    Link,
    Listener,
    LoadReport,
    Message,
    listen,
)
from logbook import Logger

from gypsumrelay_agent import events
from gypsumrelay_agent.actor import AgentActor
from gypsumrelay_agent.engine import EngineClient, new_pool
from gypsumrelay_agent.service import ServiceClient
from gypsumrelay_agent.state import SERVICE, AgentState
from gypsumrelay_agent.waitingqueue import FairWaitingQueue

if TYPE_CHECKING:
    from gypsumrelay_errors import Failure
    from gypsumrelay_settings import AgentSettings

log = Logger('agent')

TICK_SECONDS: Final = 0.1
BEAT_TICKS: Final = 10
MS_PER_SECOND: Final = 1000
INCARNATION_BYTES: Final = 4
# Cancellations and questions need threads beside the runs.
HEADROOM_THREADS: Final = 16
POLL_SECONDS: Final = 0.05


@attrs.define(eq=False)
class Parts:
    """The running parts of an agent process."""

    settings: AgentSettings
    identity: Identity
    keeper: Keeper
    recorder: Recorder
    actor: pykka.ActorRef[Any]
    state: AgentState
    peers: Peers
    follower: Follower
    listener: Listener
    admin_server: Any = None
    stopped: threading.Event = attrs.field(factory=threading.Event)


def run(settings: AgentSettings) -> None:
    """Run an agent until a signal, then shut down gracefully."""
    set_up_logs(settings.telemetry, settings.instance.name)
    parts = start(settings)
    log.info('Agent {} is ready.', settings.instance.name)
    wait_for_signal()
    stop(parts)


def start(settings: AgentSettings) -> Parts:
    """Start all parts of an agent."""
    parts = _build(settings)
    parts.follower.read_list()
    parts.follower.read_log()
    parts.follower.start()
    parts.listener.start()
    parts.admin_server = start_admin(
        _admin_callbacks(parts),
        (settings.instance.host, settings.instance.admin_port),
    )
    threading.Thread(target=_tick, args=(parts,), daemon=True).start()
    return parts


def stop(parts: Parts) -> None:
    """Take no new work, let running work end, then stop."""
    log.info('Agent {} drains.', parts.settings.instance.name)
    parts.actor.tell(events.DrainBegan())
    deadline = time.monotonic() + parts.settings.shutdown_seconds
    while time.monotonic() < deadline:
        if parts.state.load.draining and ledgers.is_drained(parts.state.ledger):
            break
        time.sleep(POLL_SECONDS)
    parts.stopped.set()
    parts.follower.stop()
    parts.listener.close()
    parts.peers.close()
    parts.admin_server.close()
    parts.actor.stop()


def _build(settings: AgentSettings) -> Parts:
    instance = settings.instance
    identity = Identity(
        instance.name,
        instance.incarnation or secrets.token_hex(INCARNATION_BYTES),
        'agent',
        instance.availability_zone,
    )
    keeper = Keeper()
    recorder = Recorder(
        instance.name,
        Ring(settings.telemetry.events_kept),
        lambda: int(time.time() * MS_PER_SECOND),
    )
    built: list[AgentState] = []

    def build(actor: pykka.ActorRef[Any]) -> AgentState:
        built.append(_build_state(settings, identity, keeper, recorder, actor))
        return built[0]

    actor = AgentActor.start(build)
    peers = Peers(
        identity=identity,
        secret=settings.shared_secret.encode(),
        keeper=keeper,
        callbacks=_peer_callbacks(actor, built[0]),
        stamp=lambda: attrs.astuple(recorder.stamp()),
        merge_stamp=lambda wall_ms, counter: recorder.observe(
            Stamp(wall_ms, counter),
        ),
    )

    def adopt(link: Link) -> None:
        actor.tell(events.LinkOpened(link))
        peers.adopt(link)

    return Parts(
        settings,
        identity,
        keeper,
        recorder,
        actor,
        built[0],
        peers,
        _follower(settings, keeper, actor),
        listen((instance.host, settings.link_port), peers.endpoint(), adopt),
    )


def _build_state(
    settings: AgentSettings,
    identity: Identity,
    keeper: Keeper,
    recorder: Recorder,
    actor: pykka.ActorRef[Any],
) -> AgentState:
    upstream = settings.upstream
    now = time.monotonic()
    threads = upstream.slots + HEADROOM_THREADS
    pool = new_pool(threads)
    is_engine = upstream.kind != SERVICE
    ramp = coldstart.new_ramp(
        RampSettings(
            slots=upstream.slots,
            cold_limit=upstream.cold_limit,
            reports_cold=is_engine,
        ),
        now,
    )
    ledger = Ledger(
        LedgerSettings(
            slots=upstream.slots,
            pieces=upstream.pieces,
            piece_tokens=upstream.piece_tokens,
            reports_runs=is_engine,
            grace_seconds=settings.grace_seconds,
        ),
        identity.incarnation,
        FairWaitingQueue(),
        ramp.limit,
    )
    return AgentState(
        settings=settings,
        keeper=keeper,
        metrics=new_metrics(settings.telemetry),
        recorder=recorder,
        ledger=ledger,
        ramp=ramp,
        executor=ThreadPoolExecutor(threads, 'upstream'),
        engine=EngineClient(upstream.url, pool),
        service=ServiceClient(upstream.url, pool),
        tell=actor.tell,
        load=LoadReport(
            upstream.name,
            upstream.kind,
            upstream.serves,
            0,
            0,
            0,
            False,
            True,
            [],
        ),
    )


def _peer_callbacks(
    actor: pykka.ActorRef[Any],
    state: AgentState,
) -> PeerCallbacks:
    def on_message(link: Link, message: Message) -> None:
        actor.tell(events.Received(link, message))

    def on_close(link: Link, reason: Failure) -> None:
        if actor.is_alive():
            actor.tell(events.LinkLost(link))

    def greeting(link: Link) -> list[Message]:
        return [state.load] if link.peer.role == 'entry' else []

    return PeerCallbacks(on_message, on_close, greeting)


def _follower(
    settings: AgentSettings,
    keeper: Keeper,
    actor: pykka.ActorRef[Any],
) -> Follower:
    callbacks = Callbacks(
        on_batch=keeper.apply_batch,
        on_listing=lambda listing: actor.tell(events.ListingRead(listing)),
        next_offset=keeper.next_offset,
    )
    return Follower(
        LogClient(settings.platform.log_url),
        ListClient(settings.platform.list_url),
        callbacks,
    )


def _tick(parts: Parts) -> None:
    ticks = 0
    while not parts.stopped.wait(TICK_SECONDS):
        parts.actor.tell(events.Tick())
        ticks += 1
        if ticks % BEAT_TICKS == 0:
            parts.peers.beat()


def _admin_callbacks(parts: Parts) -> AdminCallbacks:
    def status() -> dict[str, Any]:
        return attrs.asdict(parts.identity) | {
            'offset': parts.keeper.state.offset,
            'open_requests': len(parts.state.runs),
            'draining': parts.state.ledger.draining,
            'upstream': parts.settings.upstream.name,
        }

    def ready() -> bool:
        return not parts.state.ledger.draining and not parts.state.upstream_down

    def recorded(query: str) -> list[Any]:
        return events_to_json(parts.recorder.ring.snapshot())

    def drain() -> None:
        parts.actor.tell(events.DrainBegan())

    return AdminCallbacks(status, ready, recorded, drain)
