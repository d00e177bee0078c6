"""Construction of the components of an agent process."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from typing import TYPE_CHECKING, Any, Final

import attrs
import pykka
from gypsumrelay_clock import monotonic
from gypsumrelay_configuration import SnapshotPolicy, new_snapshot_schedule
from gypsumrelay_instance import (
    ConfigurationReplica,
    PeerCallbacks,
    Peers,
    new_peers,
    new_recorder,
)
from gypsumrelay_limits import Member
from gypsumrelay_platform import (
    Batch,
    Follower,
    FollowerCallbacks,
    ListClient,
    LogClient,
    SnapshotWriter,
)
from gypsumrelay_telemetry import new_metrics
from gypsumrelay_timeline import Recorder
from gypsumrelay_upstreams import (
    ColdRamp,
    CommandFence,
    FenceSettings,
    Ledger,
    LedgerSettings,
    RampSettings,
    coldstart,
)
from gypsumrelay_wire import (
    Identity,
    Link,
    Listener,
    LoadReport,
    Message,
    listen,
)

from gypsumrelay_agent import events
from gypsumrelay_agent.accounts import AccountDependencies, new_accounts
from gypsumrelay_agent.actor import AgentActor
from gypsumrelay_agent.connections import new_pool
from gypsumrelay_agent.engine import EngineClient
from gypsumrelay_agent.service import ServiceClient
from gypsumrelay_agent.state import SERVICE, AgentState
from gypsumrelay_agent.waiting_queue import FairWaitingQueue

if TYPE_CHECKING:
    from gypsumrelay_errors import Failure
    from gypsumrelay_settings import AgentSettings

# Threads for cancellations, probes and other calls, in addition to one thread
# for each run.
EXTRA_THREADS: Final = 16

PostEvent = Callable[[object], None]


@attrs.define(eq=False)
class Components:
    """Components of an agent process."""

    settings: AgentSettings
    recorder: Recorder
    actor: pykka.ActorRef[Any]
    state: AgentState
    peers: Peers
    follower: Follower
    listener: Listener
    snapshots: SnapshotWriter


def build(settings: AgentSettings) -> Components:
    """Build the components of an agent; only the actor is started."""
    recorder = new_recorder(settings.instance, settings.telemetry)
    peers = new_peers(
        settings.instance,
        settings.shared_secret,
        'agent',
        recorder,
    )
    log_client = LogClient(settings.platform.log_url)
    states: list[AgentState] = []

    def build_state(actor: pykka.ActorRef[Any]) -> AgentState:
        post_event = _event_poster(actor)
        states.append(
            _new_state(settings, recorder, peers, log_client, post_event)
        )
        return states[0]

    actor = AgentActor.start(build_state)
    post_event = _event_poster(actor)
    peers.replica.change_listeners.append(
        lambda: post_event(events.ConfigurationChanged()),
    )
    peers.callbacks = _peer_callbacks(post_event, states[0])

    def on_link_opened(link: Link) -> None:
        post_event(events.LinkOpened(link))
        peers.register(link)

    return Components(
        settings,
        recorder,
        actor,
        states[0],
        peers,
        _new_follower(settings, peers.replica, log_client, post_event),
        listen(
            (settings.instance.host, settings.link_port),
            peers.endpoint(),
            on_link_opened,
        ),
        SnapshotWriter(
            log_client,
            new_snapshot_schedule(
                settings.instance.name,
                SnapshotPolicy(),
                monotonic(),
            ),
        ),
    )


def _event_poster(actor: pykka.ActorRef[Any]) -> PostEvent:
    """Return a function that sends events to the actor.

    Events for a stopped actor are discarded.
    """

    def post_event(event: object) -> None:
        with suppress(pykka.ActorDeadError):
            actor.tell(event)

    return post_event


def _new_state(
    settings: AgentSettings,
    recorder: Recorder,
    peers: Peers,
    log_client: LogClient,
    post_event: PostEvent,
) -> AgentState:
    upstream = settings.upstream
    threads = upstream.slots + EXTRA_THREADS
    pool = new_pool(threads)
    ramp = _new_ramp(settings)
    executor = ThreadPoolExecutor(threads, 'upstream')
    accounts = new_accounts(
        Member(peers.identity.name, peers.identity.incarnation),
        settings.evidence,
        AccountDependencies(
            peers.replica, peers, log_client, executor, post_event
        ),
    )
    return AgentState(
        settings=settings,
        replica=peers.replica,
        metrics=new_metrics(settings.telemetry),
        recorder=recorder,
        ledger=_new_ledger(settings, peers.identity.incarnation, ramp.limit),
        ramp=ramp,
        executor=executor,
        accounts=accounts,
        fence=_new_fence(settings, peers.identity),
        engine=EngineClient(upstream.url, pool),
        service=ServiceClient(upstream.url, pool),
        post_event=post_event,
        load=LoadReport(
            upstream=upstream.name,
            kind=upstream.kind,
            serves=upstream.serves,
            free_slots=0,
            free_pieces=0,
            waiting=0,
            draining=False,
            cold=True,
            prefixes=[],
        ),
    )


def _new_fence(settings: AgentSettings, identity: Identity) -> CommandFence:
    return CommandFence(
        FenceSettings(
            identity.name,
            identity.incarnation,
            settings.upstream.checks_fencing,
        ),
    )


def _new_ramp(settings: AgentSettings) -> ColdRamp:
    upstream = settings.upstream
    ramp_settings = RampSettings(
        slots=upstream.slots,
        cold_limit=upstream.cold_limit,
        reports_cold=upstream.kind != SERVICE,
    )
    return coldstart.new_ramp(ramp_settings, monotonic())


def _new_ledger(
    settings: AgentSettings,
    incarnation: str,
    limit: int,
) -> Ledger:
    upstream = settings.upstream
    ledger_settings = LedgerSettings(
        slots=upstream.slots,
        pieces=upstream.pieces,
        piece_tokens=upstream.piece_tokens,
        reports_runs=upstream.kind != SERVICE,
        grace_seconds=settings.grace_seconds,
    )
    return Ledger(ledger_settings, incarnation, FairWaitingQueue(), limit)


def _peer_callbacks(post_event: PostEvent, state: AgentState) -> PeerCallbacks:
    def on_message(link: Link, message: Message) -> None:
        post_event(events.MessageReceived(link, message))

    def on_close(link: Link, reason: Failure) -> None:
        post_event(events.LinkClosed(link))

    def heartbeat_messages(link: Link) -> list[Message]:
        return [state.load] if link.peer.role == 'entry' else []

    return PeerCallbacks(on_message, on_close, heartbeat_messages)


def _new_follower(
    settings: AgentSettings,
    replica: ConfigurationReplica,
    log_client: LogClient,
    post_event: PostEvent,
) -> Follower:
    def on_log_end(asked_at: float) -> None:
        replica.confirm(asked_at)
        post_event(events.LogEndRead(asked_at))

    def on_batch(batch: Batch) -> None:
        replica.apply_batch(batch)
        post_event(events.LogRead(batch, by_committer=False))

    callbacks = FollowerCallbacks(
        on_batch=on_batch,
        on_listing=lambda listing, asked_at: post_event(
            events.ListingRead(listing, asked_at),
        ),
        next_offset=replica.next_offset,
        on_log_end=on_log_end,
        is_ready=replica.is_ready,
    )
    list_client = ListClient(settings.platform.list_url)
    return Follower(log_client, list_client, callbacks)
