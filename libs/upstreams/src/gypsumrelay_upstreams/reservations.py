"""State of the ledger: links, reservations and runs of the engine."""

from __future__ import annotations

import enum
import math

import attrs

from gypsumrelay_upstreams.queueing import (
    DeadlineQueue,
    Key,
    WaitingItem,
    WaitingQueue,
)


class Phase(enum.Enum):
    """State of a reservation."""

    waiting = 'waiting'
    reserved = 'reserved'
    running = 'running'
    ended = 'ended'


class Purpose(enum.Enum):
    """Kind of work that a reservation is for."""

    prefill = 'prefill'
    decode = 'decode'
    call = 'call'


@attrs.frozen
class LedgerSettings:
    """Capacity of the upstream and time limits of the ledger.

    Attributes:
        slots: Maximum number of concurrent runs of the engine.
        pieces: Number of KV cache blocks.
        piece_tokens: Tokens per KV cache block.
        shares_prefixes: Whether the engine stores a common prefix only
            once.
        reports_runs: Whether the upstream lists its runs. A plain service
            does not, and allocates no memory for a request.
        lease_seconds: Time without a heartbeat after which the lease of a
            link expires; three heartbeats of one second.
        grace_seconds: Time that a run with an idempotency key goes on
            after the link of its entry was lost.
        reserved_seconds: Time after which a granted reservation expires
            unless it is started; a long prefill takes several seconds.
        command_delay_seconds: Maximum delay of a command to the engine. A
            run that was started within this time before a report may be
            missing in the report.
        attempt_retention_seconds: Time for which the newest attempt of an
            ended request is stored; longer than the maximum delay of a
            message.
        max_waiting: Maximum number of waiting reservations.
    """

    slots: int = 20
    pieces: int = 200
    piece_tokens: int = 2000
    shares_prefixes: bool = False
    reports_runs: bool = True
    lease_seconds: float = 3
    grace_seconds: float = 30
    reserved_seconds: float = 15
    command_delay_seconds: float = 2
    attempt_retention_seconds: float = 120
    max_waiting: int = 1000


@attrs.frozen
class ReserveRequest:
    """A request for a reservation.

    Attributes:
        key: Request id and attempt.
        client_account: The client account that is charged.
        deadline: Time after which the response is useless.
        purpose: Kind of work.
        prompt_tokens: Length of the prompt in tokens.
        max_tokens: Maximum length of the output in tokens.
        prefixes: Digests of the prompt's prefixes, one per full block,
            shortest first.
        cost: Cost of the request in the fair queue.
        weight: Weight of the client account in the fair queue.
        priority: Priority in the queue.
        keyed: Whether the request has an idempotency key.
        alone: Whether no other request may run beside it.
    """

    key: Key
    client_account: str
    deadline: float
    purpose: Purpose = Purpose.decode
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefixes: tuple[bytes, ...] = ()
    cost: int = 1
    weight: int = 1
    priority: int = 0
    keyed: bool = False
    alone: bool = False

    def waiting_item(self) -> WaitingItem:
        """Return the request's item for the queue."""
        return WaitingItem(
            self.key,
            self.client_account,
            self.deadline,
            self.cost,
            self.weight,
            self.priority,
        )


@attrs.frozen
class Footprint:
    """Memory blocks that a request needs.

    Attributes:
        private: Number of blocks that only this request uses.
        shared: Digests of the blocks that requests with the same prefix
            share.
    """

    private: int
    shared: frozenset[bytes] = frozenset()

    @property
    def pieces(self) -> int:
        """Return the total number of blocks, private and shared."""
        return self.private + len(self.shared)


@attrs.define
class Reservation:
    """A reservation that is waiting, granted or running.

    Attributes:
        request: The request.
        link: Link that its messages are sent to, '' without an entry.
        deadline: Time at which it expires.
        footprint: Memory blocks that it needs.
        run_id: Id of its run at the engine.
        phase: State of the reservation.
        started_at: Time at which the run was sent to the engine.
        next_index: Index of the next token to deliver.
        detached_until: End of the grace period without an entry.
        landed: Whether the engine is known to have received the run.
        missing_since: Time at which the first report that lacked the run
            was requested, inf if the last report had it.
    """

    request: ReserveRequest
    link: str
    deadline: float
    footprint: Footprint
    run_id: str
    phase: Phase = Phase.waiting
    started_at: float = math.inf
    next_index: int = 0
    detached_until: float = math.inf
    landed: bool = False
    missing_since: float = math.inf


@attrs.define
class UnfreedRun:
    """An ended run whose memory the engine may not have freed yet.

    Attributes:
        footprint: Memory blocks of the run.
        ended_at: Time from which the memory is not needed any more.
        alone: Whether no other request may run beside it.
        kept_until: Time until which the engine retains a prefill result
            that must not be cancelled, -inf for none.
        landed: Whether the engine is known to have received the run.
    """

    footprint: Footprint
    ended_at: float
    alone: bool = False
    kept_until: float = -math.inf
    landed: bool = False


@attrs.frozen
class AttemptRecord:
    """The newest attempt of a request that a message named.

    Attributes:
        attempt: Number of the attempt.
        expires_at: Time at which the record expires.
        ended: Whether the attempt has ended.
    """

    attempt: int
    expires_at: float
    ended: bool = False


@attrs.frozen
class EngineReport:
    """State of the engine, as it reports it to the agent.

    Attributes:
        held: Ids of the runs in the engine.
        held_pieces: Number of memory blocks of these runs.
        cold: Whether the engine reports that it is cold.
        incarnation: Id that changes with each start of the engine.
        asked_at: Time before the agent sent its request. The report may
            not include later events.
    """

    held: frozenset[str]
    held_pieces: int
    cold: bool
    incarnation: str
    asked_at: float


@attrs.define
class Ledger:
    """State of an agent's reservations and of the runs at its upstream.

    Attributes:
        settings: Capacity of the upstream and time limits.
        incarnation: Incarnation of the agent, a part of each run id.
        queue: Queue of the waiting reservations.
        limit: Current concurrency limit, set by the cold-start ramp.
        links: Time at which the lease of each link expires.
        waiting: Waiting reservations.
        places: Granted and running reservations.
        freeing: Ended runs that the engine may still hold, by run id.
        attempts: Newest attempt of each request, by request id.
        engine: Incarnation of the engine, '' before its first report.
        asked_at: Time at which the newest report was requested.
        unowned: Runs in the engine without a reservation, with the time
            at which they were first reported.
        unowned_pieces: Upper bound of the memory blocks of these runs.
        finished: Runs that ended after the newest report was requested;
            the report may still list them.
        draining: Whether new reservations are refused.
        superseded: Whether a newer agent has taken over the upstream.
    """

    settings: LedgerSettings
    incarnation: str
    queue: WaitingQueue = attrs.field(factory=DeadlineQueue)
    limit: int = 0
    links: dict[str, float] = attrs.field(factory=dict)
    waiting: dict[Key, Reservation] = attrs.field(factory=dict)
    places: dict[Key, Reservation] = attrs.field(factory=dict)
    freeing: dict[str, UnfreedRun] = attrs.field(factory=dict)
    attempts: dict[str, AttemptRecord] = attrs.field(factory=dict)
    engine: str = ''
    asked_at: float = -math.inf
    unowned: dict[str, float] = attrs.field(factory=dict)
    unowned_pieces: int = 0
    finished: dict[str, float] = attrs.field(factory=dict)
    draining: bool = False
    superseded: bool = False

    @property
    def is_synchronized(self) -> bool:
        """Return whether the current runs of the upstream are known."""
        return bool(self.engine) or not self.settings.reports_runs
