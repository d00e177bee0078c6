"""State of an agent, changed only by the agent's actor."""

from __future__ import annotations

import threading
from concurrent.futures import Executor
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_claims import StoredResponses
from gypsumrelay_clock import monotonic
from gypsumrelay_upstreams import (
    ColdRamp,
    CommandFence,
    Key,
    Ledger,
    PrefixHints,
    capacity,
    coldstart,
)
from gypsumrelay_wire import Call, Decode, Link, LoadReport, Prefill

from gypsumrelay_agent.accounts import Accounts
from gypsumrelay_agent.claims import Claims
from gypsumrelay_agent.engine import EngineClient
from gypsumrelay_agent.responses import Responses
from gypsumrelay_agent.runs import PostEvent, Run
from gypsumrelay_agent.service import ServiceClient

if TYPE_CHECKING:
    from gypsumrelay_instance import ConfigurationReplica
    from gypsumrelay_settings import AgentSettings
    from gypsumrelay_telemetry import Metrics
    from gypsumrelay_timeline import Recorder

    from gypsumrelay_agent.crashes import SuspectedCrash

SERVICE: Final = 'service'
MS_PER_SECOND: Final = 1000


def _new_claims(state: AgentState) -> Claims:
    accounts = state.accounts
    return Claims(
        accounts.member,
        state.settings.claim_seconds,
        accounts.log_client,
        state.executor,
        state.post_event,
    )


def _new_responses(state: AgentState) -> Responses:
    return Responses(
        StoredResponses(state.settings.stored_response_bytes),
        state.settings.stored_response_seconds,
    )


@attrs.define(eq=False)
class AgentState:
    """State of an agent, with the clients and threads that it uses.

    Attributes:
        settings: Settings of the agent.
        ledger: Reservations and runs at the upstream.
        ramp: Adaptive concurrency limit of the upstream.
        executor: Threads for runs and other blocking calls.
        post_event: Sends an event to the actor; may be called by any thread.
        load: Free capacity of the upstream; read by other threads.
        accounts: Shares and token reservations of client accounts.
        fence: Fencing token of the upstream.
        hints: Prefixes that are probably in the engine's cache.
        prefixes: Prefixes that are reported to entries, oldest first.
        token_append_at: Time in seconds from which the record of a fencing
            token may be appended again.
        runs: Runs at the upstream, by attempt.
        start_messages: Messages that start a run, by attempt, until it starts.
        deadlines: Deadlines of plain service requests in seconds, by attempt.
        links: Open links to peers, by link id.
        gauges_sent_at: Time in seconds at which the gauges were last sent.
        is_probing: Whether a probe of the upstream is in progress.
        upstream_down: Whether the last probe failed.
        suspected_crash: Crash of the upstream that no probe has confirmed yet.
        crashes: Number of crashes that this process has reported.
        crashed_at: Time in seconds at which the last confirmed crash was
            detected. Runs that started earlier were affected by that crash.
        digests: Digests of requests, by attempt, for crash attribution.
        charged: Attempts whose request was already charged for an earlier
            attempt. They run even if the holder of the share is gone.
        probe_started_at: Time in seconds at which the last probe started.
        claims: Claims that this agent records for entries.
        responses: Responses to requests with an idempotency key.
    """

    settings: AgentSettings
    replica: ConfigurationReplica
    metrics: Metrics
    recorder: Recorder
    ledger: Ledger
    ramp: ColdRamp
    executor: Executor
    engine: EngineClient
    service: ServiceClient
    post_event: PostEvent
    load: LoadReport
    accounts: Accounts
    fence: CommandFence
    hints: PrefixHints = attrs.field(factory=PrefixHints)
    prefixes: list[bytes] = attrs.field(factory=list)
    token_append_at: float = float('-inf')
    runs: dict[Key, Run] = attrs.field(factory=dict)
    start_messages: dict[Key, Prefill | Decode | Call] = attrs.field(
        factory=dict
    )
    deadlines: dict[Key, float] = attrs.field(factory=dict)
    links: dict[str, Link] = attrs.field(factory=dict)
    gauges_sent_at: float = float('-inf')
    is_probing: bool = False
    upstream_down: bool = False
    suspected_crash: SuspectedCrash | None = None
    crashes: int = 0
    crashed_at: float = float('-inf')
    digests: dict[Key, bytes] = attrs.field(factory=dict)
    charged: set[Key] = attrs.field(factory=set)
    probe_started_at: float = float('-inf')
    lock: threading.Lock = attrs.field(factory=threading.Lock)
    claims: Claims = attrs.field(
        default=attrs.Factory(_new_claims, takes_self=True),
    )
    responses: Responses = attrs.field(
        default=attrs.Factory(_new_responses, takes_self=True),
    )

    @property
    def is_service(self) -> bool:
        """Return whether the upstream is a plain service."""
        return self.settings.upstream.kind == SERVICE

    def record(self, name: str, key: Key, account: str = '') -> None:
        """Record an event of a request."""
        self.recorder.record(
            'agent',
            name,
            request_id=key.request_id,
            client_account=account,
            upstream=self.settings.upstream.name,
            detail={'attempt': key.attempt},
        )


def link_id(link: Link) -> str:
    """Return the id of a link, which is unique for each connection."""
    return f'{link.peer.name}.{link.peer.incarnation}.{id(link)}'


def current_load(state: AgentState) -> LoadReport:
    """Return the current load and free capacity of the upstream.

    The number of slots is bounded by the concurrency limit. Otherwise, an idle
    upstream with a low limit would seem busy, get no work, and never raise
    its limit.
    """
    upstream = state.settings.upstream
    return LoadReport(
        upstream=upstream.name,
        kind=upstream.kind,
        serves=upstream.serves,
        free_slots=capacity.free_slots(state.ledger),
        free_pieces=capacity.free_pieces(state.ledger),
        waiting=len(state.ledger.waiting),
        draining=state.ledger.draining,
        cold=coldstart.is_cold(state.ramp),
        prefixes=state.prefixes,
        slots=min(state.ramp.limit, upstream.slots),
        decode_ms=int(state.ramp.baseline * MS_PER_SECOND),
    )


def publish_load(state: AgentState) -> None:
    """Update the load, and send it to all entries if it affects routing.

    Entries route by free slots, so a change between none and some is sent
    immediately. Other changes are sent with the next heartbeat.
    """
    before = state.load
    state.load = current_load(state)
    if _affects_routing(before, state.load):
        for link in list(state.links.values()):
            if link.peer.role == 'entry':
                link.send(state.load)


def now_seconds() -> float:
    """Return the time in seconds of the local monotonic clock."""
    return monotonic()


def _affects_routing(before: LoadReport, after: LoadReport) -> bool:
    return (
        (before.free_slots > 0) != (after.free_slots > 0)
        or before.draining != after.draining
        or before.cold != after.cold
    )
