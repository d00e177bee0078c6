"""Prefill of a prompt, and the KV cache that it leaves at the upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import Ending
from gypsumrelay_errors import Failure

from gypsumrelay_relay import events
from gypsumrelay_relay.attempts import (
    MISDIRECTED,
    Verdict,
    belongs_to_another,
    deliver,
    ending_for,
    read_facts,
)
from gypsumrelay_relay.dialect import Call, Sending
from gypsumrelay_relay.sending import (
    FAULTS,
    Reply,
    SendFailed,
    send,
)
from gypsumrelay_relay.watch import Guard

if TYPE_CHECKING:
    from gypsumrelay_relay.exchange import Exchange
    from gypsumrelay_relay.placement import Placed

MS_PER_SECOND: Final = 1000
OK: Final = 200
# Time limit in seconds for one prefill; the longest takes 0.2 s, and the
# coordinator may queue as much work again ahead of it.
READ_SECONDS: Final = 1.5
# Time limit in seconds for freeing a KV cache, which expires soon after anyway.
RELEASE_SECONDS: Final = 0.5


@attrs.frozen
class Cache:
    """The KV cache that a prefill computed.

    Attributes:
        upstream: Name of the upstream that holds it.
        address: `host:port` of that upstream.
        name: The upstream's handle of the cache.
        source: Where a decode upstream fetches the cache.
        read_at: Instant at which the prefill ended.
    """

    upstream: str
    address: str
    name: str
    source: str
    read_at: float


def read_prompt(exchange: Exchange, given: Placed) -> Cache | Verdict:
    """Run a prefill; return its KV cache, or why there is none."""
    started_at = monotonic()
    sending = Sending(
        given.prefill,
        exchange.account_name,
        exchange.remaining_ms(),
        only_read=True,
    )
    deadline = min(exchange.deadline, started_at + READ_SECONDS)
    reply = deliver(
        exchange,
        given.prefill_address,
        sending,
        deadline,
        fresh=False,
    )
    if isinstance(reply, SendFailed):
        outcome: Cache | Verdict = Verdict(reply.ending, reply.reason)
    else:
        outcome = _cache(exchange, given, reply, deadline)
    _report(exchange, given, outcome, reply, started_at)
    return outcome


def release(exchange: Exchange, cache: Cache) -> None:
    """Free a KV cache that no decode upstream fetches."""
    method, target = exchange.relay.dialect.release_cache(cache.name)
    deadline = monotonic() + RELEASE_SECONDS
    reply = send(
        exchange.relay.connections,
        cache.address,
        Call(method, target, {}),
        Guard(deadline, _stays),
        fresh=False,
        deadline=deadline,
    )
    if isinstance(reply, SendFailed):
        return
    try:
        reply.read(deadline)
    except FAULTS:
        reply.close()
        return
    reply.keep()


def _stays() -> bool:
    """Return False, since no caller waits for this call."""
    return False


def _cache(
    exchange: Exchange,
    given: Placed,
    reply: Reply,
    deadline: float,
) -> Cache | Verdict:
    facts = read_facts(exchange, reply)
    if belongs_to_another(exchange, reply, facts):
        reply.close()
        return Verdict(Ending.lost, 'the answer belongs to another request')
    try:
        body = reply.read(deadline)
    except FAULTS as error:
        reply.close()
        return Verdict(Ending.lost, f'the answer broke off: {error}')
    reply.keep()
    if reply.status == MISDIRECTED:
        return Verdict(Ending.misdirected, 'another upstream has the address')
    if facts.not_run:
        return Verdict(Ending.rejected, f'not run, status {reply.status}')
    if reply.status != OK:
        return Verdict(Ending.failed, f'status {reply.status}')
    dialect = exchange.relay.dialect
    name = dialect.read_cache_name(body)
    if isinstance(name, Failure):
        return Verdict(Ending.failed, name.sentence)
    source = dialect.cache_source(given.prefill_address, name)
    return Cache(
        given.prefill,
        given.prefill_address,
        name,
        source,
        monotonic(),
    )


def _report(
    exchange: Exchange,
    given: Placed,
    outcome: Cache | Verdict,
    reply: Reply | SendFailed,
    started_at: float,
) -> None:
    verdict = (
        Verdict(Ending.answered) if isinstance(outcome, Cache) else outcome
    )
    ending = ending_for(exchange, verdict)
    exchange.relay.coordination.prompt_read(given, ending)
    exchange.log(
        events.PromptDone(
            exchange.request_id,
            given.need.attempt,
            given.prefill,
            ending.value,
            reply.status if isinstance(reply, Reply) else 0,
            int((monotonic() - started_at) * MS_PER_SECOND),
            verdict.reason,
        ),
    )
