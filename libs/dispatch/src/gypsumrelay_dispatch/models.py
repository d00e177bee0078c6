"""Upstreams, requests for places, and what the coordinator answers."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gypsumrelay_errors import Failure


class Phase(enum.Enum):
    """Which part of a request an upstream runs."""

    prefill = 'prefill'
    decode = 'decode'
    plain = 'plain'


class Ending(enum.Enum):
    """How the use of a place ended.

    `answered`: a whole answer came. `failed`: the upstream answered with a
    failure of its own. `rejected`: it stated that it did not run the
    request. `unfetched`: it did so because the prompt's KV cache could not
    be fetched. `misdirected`: another upstream has the address, or it works
    in the other phase. `lost`: it broke off or fell silent. `unreached`: no
    connection. `cancelled`: the caller left or the deadline passed.
    """

    answered = 'answered'
    failed = 'failed'
    rejected = 'rejected'
    unfetched = 'unfetched'
    misdirected = 'misdirected'
    lost = 'lost'
    unreached = 'unreached'
    cancelled = 'cancelled'


@attrs.frozen
class Upstream:
    """One live upstream as the platform lists it.

    Attributes:
        name: Identifier of this upstream.
        service: Service that it belongs to.
        address: `host:port` of its HTTP interface.
        availability_zone: Where it runs.
        phase: Which part of a request it runs.
        slots: Requests that it runs at once.
        started_ms: Start of this incarnation, Unix milliseconds; 0 where
            unknown.
        leaving: Whether it finishes its work and takes no more.
        cold_ms: Time for which it stays cold, as listed.
    """

    name: str
    service: str
    address: str
    availability_zone: str
    phase: Phase
    slots: int
    started_ms: int = 0
    leaving: bool = False
    cold_ms: int = 0


@attrs.frozen
class ServiceRules:
    """What the configuration says of a service.

    Attributes:
        name: The service.
        cold_per_second: Requests per second that a cold upstream bears; 0
            where cold upstreams need no care.
        memory_tokens: Engine memory of one upstream; 0 for plain services.
    """

    name: str
    cold_per_second: float = 0
    memory_tokens: int = 0


@attrs.frozen
class AccountRules:
    """Rate and burst of a client account; a rate of 0 means no limit."""

    name: str
    tokens_per_second: float = 0
    burst_tokens: float = 0


@attrs.frozen
class Need:
    """One attempt's request for a place.

    Attributes:
        request_id: The caller's request.
        attempt: Number of this attempt, from 1.
        entry: Name of the instance that asks.
        availability_zone: Where that instance runs.
        service: Service that has to run the request.
        client_account: Account that is charged; empty on public routes.
        cost_tokens: What the account is charged for the first attempt.
        priority: Rank, 0 first.
        aim_at: Instant until which an answer is on time.
        deadline: Instant after which an answer is of no use.
        wait_until: Instant until which it may wait for a place. It belongs
            to the request, so that a new coordinator starts no new wait.
        prompt_tokens: Tokens to read; 0 for plain services.
        output_tokens: Most tokens to generate.
        expected_tokens: Tokens that will probably be generated.
        read: Whether the prompt is already read and only has to be decoded;
            it then waits no longer than its KV cache lives.
        reread: Whether its prompt was read before and is read again, which
            is a repeat besides that of the attempt.
        resumed: Whether it goes on with a stream whose caller is reading.
        excluded: Upstreams that this request must not reach again.
        digest: Names requests with the same content.
    """

    request_id: str
    attempt: int
    entry: str
    availability_zone: str
    service: str
    client_account: str
    cost_tokens: int
    priority: int
    aim_at: float
    deadline: float
    wait_until: float
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_tokens: int = 0
    read: bool = False
    reread: bool = False
    resumed: bool = False
    excluded: frozenset[str] = frozenset()
    digest: bytes = b''

    @property
    def key(self) -> tuple[str, int]:
        """Return what names this attempt."""
        return (self.request_id, self.attempt)


@attrs.frozen
class Granted:
    """Place for an attempt, with what decided it.

    Attributes:
        need: The attempt.
        upstream: Where it runs.
        prefill: Where its prompt is read before, if elsewhere.
        waited_seconds: Time in the queue.
        load: Requests in use at the upstream before.
        list_position: Position of the list of upstreams.
    """

    need: Need
    upstream: Upstream
    prefill: Upstream | None
    waited_seconds: float
    load: int
    list_position: int


@attrs.frozen
class RefusalFacts:
    """What a refusal was decided from.

    Attributes:
        waiting: Requests for the service in the queue.
        pace_seconds: Time between two grants while requests wait; 0 where
            it is unknown.
        tokens_left: Tokens in the account's bucket; below 0 it is overdrawn.
        list_position: Position of the list of upstreams.
    """

    waiting: int
    pace_seconds: float
    tokens_left: float
    list_position: int


@attrs.frozen
class Refused:
    """An attempt gets no place."""

    need: Need
    failure: Failure
    facts: RefusalFacts


Action = Granted | Refused
