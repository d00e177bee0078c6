"""State of the ledger: reservations, links and the engine's known runs."""

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
    """How far a reservation has come."""

    waiting = 'waiting'
    reserved = 'reserved'
    running = 'running'
    ended = 'ended'


class Purpose(enum.Enum):
    """What a reservation is for."""

    prefill = 'prefill'
    decode = 'decode'
    call = 'call'


@attrs.frozen
class LedgerSettings:
    """Sizes of the upstream and periods of the ledger.

    Attributes:
        slots: Requests that the engine runs at once.
        pieces: Blocks of KV cache memory.
        piece_tokens: Tokens in a block.
        shares_prefixes: Whether the engine keeps a common prefix once.
        reports_runs: Whether the upstream lists the runs it holds; a plain
            service does not and keeps no memory for a request.
        lease_seconds: Time without a heartbeat after which a link counts
            as lost; three heartbeats of one second.
        grace_seconds: Time that work with an idempotency key goes on
            without its entry.
        reserved_seconds: Longest time a place is kept for a request that
            is not started; a long prefill takes several seconds.
        settling_seconds: Longest time that a command to the engine is
            under way; the engine's report of a younger run proves nothing.
        memory_seconds: Time that the newest attempt of an ended request
            is remembered; longer than a message can be delayed.
        max_waiting: Reservations that may wait.
    """

    slots: int = 20
    pieces: int = 200
    piece_tokens: int = 2000
    shares_prefixes: bool = False
    reports_runs: bool = True
    lease_seconds: float = 3
    grace_seconds: float = 30
    reserved_seconds: float = 15
    settling_seconds: float = 2
    memory_seconds: float = 120
    max_waiting: int = 1000


@attrs.frozen
class ReserveRequest:
    """A request for a place.

    Attributes:
        keyed: Whether the request has an idempotency key.
        deadline: Instant after which the response is of no use.
        alone: Whether nothing else may run beside the request.
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
        """Return what the queue knows of the request."""
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
    """Memory blocks that a request takes."""

    private: int
    shared: frozenset[bytes] = frozenset()

    @property
    def pieces(self) -> int:
        """Return the blocks that the request takes on its own."""
        return self.private + len(self.shared)


@attrs.define
class Reservation:
    """One live reservation.

    Attributes:
        link: The link that its messages go to, or '' without an entry.
        deadline: Instant at which it is cancelled.
        detached_until: End of the grace period without an entry.
        landed: Whether the engine is known to have got the run.
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
class Freeing:
    """Memory of an ended run that the engine may still hold.

    Attributes:
        ended_at: Instant from which the memory is of no use.
        kept_until: The engine keeps the result until then; no cancel yet.
        landed: Whether the engine is known to have got the run.
    """

    footprint: Footprint
    ended_at: float
    alone: bool = False
    kept_until: float = -math.inf
    landed: bool = False


@attrs.frozen
class AttemptMark:
    """The newest attempt seen of a request."""

    attempt: int
    forget_at: float
    ended: bool = False


@attrs.frozen
class EngineReport:
    """What the engine says of itself.

    Attributes:
        held: Ids of the runs in the engine.
        held_pieces: Memory blocks of these runs.
        cold: Whether the engine calls itself cold.
        incarnation: Changes with each start of the engine.
        asked_at: Instant before the agent sent its question; the report
            tells nothing of what happened later.
    """

    held: frozenset[str]
    held_pieces: int
    cold: bool
    incarnation: str
    asked_at: float


@attrs.define
class Ledger:
    """All that an agent knows of the work at its upstream.

    Attributes:
        incarnation: The agent's own, a part of each run id.
        limit: Requests that may run at once now, set by the cold ramp.
        engine: Incarnation of the engine, or '' before its first report.
        asked_at: Instant at which the newest report was asked for.
        unowned: Runs in the engine that no reservation owns, with the
            instant at which they were first seen.
        unowned_pieces: Memory blocks of these runs.
        finished: Runs that ended since the newest report was asked for;
            the report may still list them.
        superseded: Whether a newer agent took over the upstream.
    """

    settings: LedgerSettings
    incarnation: str
    queue: WaitingQueue = attrs.field(factory=DeadlineQueue)
    limit: int = 0
    links: dict[str, float] = attrs.field(factory=dict)
    waiting: dict[Key, Reservation] = attrs.field(factory=dict)
    places: dict[Key, Reservation] = attrs.field(factory=dict)
    freeing: dict[str, Freeing] = attrs.field(factory=dict)
    attempts: dict[str, AttemptMark] = attrs.field(factory=dict)
    engine: str = ''
    asked_at: float = -math.inf
    unowned: dict[str, float] = attrs.field(factory=dict)
    unowned_pieces: int = 0
    finished: dict[str, float] = attrs.field(factory=dict)
    draining: bool = False
    superseded: bool = False

    @property
    def is_known(self) -> bool:
        """Return whether the upstream's present work is known."""
        return bool(self.engine) or not self.settings.reports_runs
