"""Prefill of a prompt, and the KV cache that it leaves at the upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import Ending
from gypsumrelay_errors import Failure

from gypsumrelay_relay.answer_statements import must_not_use
from gypsumrelay_relay.attempts import (
    MISDIRECTED,
    AttemptResult,
    belongs_to_another,
    ending_at,
    read_reply_headers,
    send_request,
)
from gypsumrelay_relay.cancellation import Cancellation
from gypsumrelay_relay.coordination.reports import report_prefill
from gypsumrelay_relay.events import requests as request_events
from gypsumrelay_relay.protocol import AddedHeaders, UpstreamRequest
from gypsumrelay_relay.sending import (
    Reply,
    SendFailed,
    io_errors,
    send,
)

if TYPE_CHECKING:
    from gypsumrelay_relay.exchange import Exchange
    from gypsumrelay_relay.placement import Placement

MS_PER_SECOND: Final = 1000
OK: Final = 200
# Time limit in seconds for one prefill. A sound upstream may be silent for up
# to two seconds, and another one may be no faster.
PREFILL_SECONDS: Final = 2.2
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
        prefilled_at: Instant at which the prefill ended.
        version: Version of the upstream during a roll-out, the only one that
            may use the cache; else empty.
    """

    upstream: str
    address: str
    name: str
    source: str
    prefilled_at: float
    version: str = ''


def run_prefill(
    exchange: Exchange, placement: Placement
) -> Cache | AttemptResult:
    """Run a prefill; return its KV cache, or why there is none."""
    started_at = monotonic()
    added = AddedHeaders(
        placement.prefill,
        exchange.account_name,
        exchange.remaining_ms(),
        prefill_only=True,
        urgency=placement.urgency,
    )
    deadline = min(exchange.deadline, started_at + PREFILL_SECONDS)
    reply = send_request(
        exchange,
        placement.prefill_address,
        added,
        deadline,
        fresh=False,
    )
    if isinstance(reply, SendFailed):
        outcome: Cache | AttemptResult = AttemptResult(
            reply.ending, reply.reason
        )
    else:
        outcome = _parse_cache(exchange, placement, reply, deadline)
    _report_prefill(exchange, placement, outcome, reply, started_at)
    return outcome


def free_cache(exchange: Exchange, cache: Cache) -> None:
    """Free a KV cache that no decode upstream fetches.

    It expires by itself at an upstream that wants no request.
    """
    if must_not_use(exchange.relay.coordination, cache.upstream, 0):
        return
    method, target = exchange.relay.protocol.release_cache(cache.name)
    deadline = monotonic() + RELEASE_SECONDS
    reply = send(
        exchange.relay.connections,
        cache.address,
        UpstreamRequest(method, target, {}),
        Cancellation(deadline, _never_disconnects),
        fresh=False,
        deadline=deadline,
    )
    if isinstance(reply, SendFailed):
        return
    failures = io_errors()
    try:
        reply.read(deadline)
    except failures:
        reply.close()
        return
    reply.return_connection()


def _never_disconnects() -> bool:
    """Return False, since no caller waits for this call."""
    return False


def _parse_cache(
    exchange: Exchange,
    placement: Placement,
    reply: Reply,
    deadline: float,
) -> Cache | AttemptResult:
    headers = read_reply_headers(exchange, reply)
    if belongs_to_another(exchange, reply, headers):
        reply.close()
        return AttemptResult(
            Ending.lost, 'the answer belongs to another request'
        )
    failures = io_errors()
    try:
        body = reply.read(deadline)
    except failures as error:
        reply.close()
        return AttemptResult(Ending.lost, f'the answer broke off: {error}')
    reply.return_connection()
    if reply.status == MISDIRECTED:
        return AttemptResult(
            Ending.misdirected, 'another upstream has the address'
        )
    if headers.not_run:
        return AttemptResult(Ending.rejected, f'not run, status {reply.status}')
    if reply.status != OK:
        return AttemptResult(Ending.failed, f'status {reply.status}')
    protocol = exchange.relay.protocol
    name = protocol.read_cache_handle(body)
    if isinstance(name, Failure):
        return AttemptResult(Ending.failed, name.sentence)
    source = protocol.cache_source(placement.prefill_address, name)
    return Cache(
        placement.prefill,
        placement.prefill_address,
        name,
        source,
        monotonic(),
        '' if placement.rollout is None else placement.version,
    )


def _report_prefill(
    exchange: Exchange,
    placement: Placement,
    outcome: Cache | AttemptResult,
    reply: Reply | SendFailed,
    started_at: float,
) -> None:
    result = (
        AttemptResult(Ending.answered)
        if isinstance(outcome, Cache)
        else outcome
    )
    ending = ending_at(exchange, result, placement.prefill_address)
    report_prefill(exchange.relay.coordination, placement, ending)
    exchange.log(
        request_events.PrefillWorkEnded(
            exchange.request_id,
            placement.request.attempt,
            placement.prefill,
            ending.value,
            reply.status if isinstance(reply, Reply) else 0,
            int((monotonic() - started_at) * MS_PER_SECOND),
            result.reason,
        ),
    )
