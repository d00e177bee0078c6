"""Steps that attempts of model requests and plain requests share."""

from __future__ import annotations

import queue
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import UNMEASURED, Ending, StreamPace
from gypsumrelay_errors import (
    DeadlinePassed,
    Draining,
    Failure,
    Outcome,
    Overloaded,
    UpstreamFailed,
)

from gypsumrelay_relay.answer_statements import (
    must_not_use,
    report_leaving,
    report_pause,
    start_of,
)
from gypsumrelay_relay.buffers import holds_of
from gypsumrelay_relay.cancellation import CancelCause
from gypsumrelay_relay.coordination.reports import report_end, report_rate_limit
from gypsumrelay_relay.draining import reject_draining
from gypsumrelay_relay.events import requests as request_events
from gypsumrelay_relay.placement import Placement
from gypsumrelay_relay.protocol import UpstreamRequest
from gypsumrelay_relay.sending import Reply, SendFailed, send
from gypsumrelay_relay.store_epoch import epoch_of, offset_of

if TYPE_CHECKING:
    from gypsumrelay_dispatch import PlacementRequest
    from gypsumrelay_http import Silence

    from gypsumrelay_relay.exchange import Exchange
    from gypsumrelay_relay.protocol import AddedHeaders, ReplyHeaders

MS_PER_SECOND: Final = 1000
# Delay in seconds of `Retry-After` if it is unknown when capacity becomes
# available.
RETRY_SECONDS: Final = 1.0
MISDIRECTED: Final = 421
FIRST_ERROR: Final = 400
# Value of a rate limit in the log where there is none.
NO_RATE_LIMIT: Final = -1
# Endings for which the upstream certainly ran nothing.
NOT_RUN_ENDINGS: Final = frozenset(
    (
        Ending.rejected,
        Ending.unfetched,
        Ending.misdirected,
        Ending.unreached,
        Ending.returned,
    ),
)
FIRST_SERVER_ERROR: Final = 500
# Time of the transfer of an attempt without one.
UNKNOWN_MS: Final = -1


@attrs.frozen
class AttemptResult:
    """How an attempt ended, as far as is known.

    Attributes:
        ending: The ending.
        reason: The error; empty if there is none.
        began: Whether the upstream had sent an event of the answer.
        pace: Events after the first ones, and the time they took.
    """

    ending: Ending
    reason: str = ''
    began: bool = False
    pace: StreamPace = UNMEASURED


def wait_for_placement(
    exchange: Exchange, request: PlacementRequest
) -> Placement | Failure:
    """Wait for a placement; return a failure if none is granted in time.

    During a shutdown, a request that could outlast the process gets none.
    """
    rejected = reject_draining(
        exchange.relay.shutdown, request, exchange.arrived_at, monotonic()
    )
    if rejected is not None:
        return rejected
    coordination = exchange.relay.coordination
    pending = coordination.request_placement(request)
    interrupted = DeadlinePassed('the request ended while it waited')
    exchange.cancellation.set_interrupt(
        lambda: pending.answers.put(interrupted)
    )
    try:
        answer = pending.answers.get(
            timeout=max(0, exchange.deadline - monotonic()),
        )
    except queue.Empty:
        answer = interrupted
    exchange.cancellation.set_interrupt(None)
    if isinstance(answer, Placement):
        log_granted(exchange, answer)
    elif isinstance(answer, DeadlinePassed):
        report_end(coordination, request, Ending.cancelled)
        return timeout_failure(exchange)
    elif isinstance(answer, Draining):
        report_end(coordination, request, Ending.cancelled)
    return answer


def log_granted(exchange: Exchange, placement: Placement) -> None:
    """Log a placement that the coordinator granted."""
    exchange.log(
        request_events.PlacementGranted(
            placement.request.request_id,
            placement.request.attempt,
            exchange.relay.coordination.leader,
            placement.upstream,
            placement.prefill,
            placement.load,
            placement.waited_ms,
            epoch_of(placement.list_position),
            offset_of(placement.list_position),
            placement.rate_limits.get(placement.upstream, NO_RATE_LIMIT),
            placement.version,
        ),
    )


def send_request(
    exchange: Exchange,
    address: str,
    added: AddedHeaders,
    deadline: float,
    *,
    fresh: bool,
    silence: Silence | None = None,
) -> Reply | SendFailed:
    """Send the caller's request to an upstream.

    Args:
        exchange: The request.
        address: `host:port` of the upstream.
        added: Additions to the caller's headers.
        deadline: Instant until which the head of the answer has to arrive.
        fresh: Whether to avoid connections that were idle for long.
        silence: What to do while the upstream does not answer.
    """
    if is_unwanted(exchange, added.upstream):
        # It stated so after the grant, such as during the prefill.
        return SendFailed(Ending.returned, 'the upstream wants no request now')
    holds_of(exchange.environ).answer.has_waited = False
    headers = exchange.relay.protocol.upstream_headers(exchange.environ, added)
    request = UpstreamRequest(
        exchange.environ['REQUEST_METHOD'],
        exchange.target,
        headers,
        exchange.admitted.body,
    )
    reply = send(
        exchange.relay.connections,
        address,
        request,
        exchange.cancellation,
        fresh=fresh,
        deadline=deadline,
        silence=silence,
    )
    if isinstance(reply, Reply):
        report_statements(exchange, added.upstream, reply)
    return reply


def is_unwanted(exchange: Exchange, upstream: str) -> bool:
    """Return whether an upstream wants no request of this relay now."""
    coordination = exchange.relay.coordination
    key = (exchange.request_id, exchange.attempts)
    started_ms = start_of(coordination, upstream, key)
    return must_not_use(coordination, upstream, started_ms)


def report_statements(exchange: Exchange, upstream: str, reply: Reply) -> None:
    """Report what an answer states about its upstream.

    An answer to another request, or of another upstream at the same address,
    states nothing about this one.
    """
    headers = read_reply_headers(exchange, reply)
    if reply.status == MISDIRECTED or belongs_to_another(
        exchange, reply, headers
    ):
        return
    coordination = exchange.relay.coordination
    key = (exchange.request_id, exchange.attempts)
    if headers.leaving:
        report_leaving(coordination, upstream, key)
    if isinstance(headers.pause_seconds, float):
        report_pause(coordination, upstream, headers.pause_seconds, key)
    limit = headers.rate_limit
    if not isinstance(limit, Failure):
        report_rate_limit(coordination, upstream, limit, key)


def classify_reply(exchange: Exchange, reply: Reply) -> AttemptResult:
    """Classify an answer by its status and headers."""
    headers = read_reply_headers(exchange, reply)
    if belongs_to_another(exchange, reply, headers):
        return AttemptResult(
            Ending.lost, 'the answer belongs to another request'
        )
    if reply.status == MISDIRECTED:
        return AttemptResult(
            Ending.misdirected, 'another upstream has the address'
        )
    if headers.not_run:
        return AttemptResult(Ending.rejected, f'not run, status {reply.status}')
    if 'Content-Encoding' in reply.headers:
        return AttemptResult(Ending.lost, 'the answer is encoded')
    if reply.status >= FIRST_SERVER_ERROR:
        return AttemptResult(Ending.failed, f'status {reply.status}')
    if reply.status < FIRST_ERROR and not headers.signed:
        return AttemptResult(Ending.lost, 'the answer is not signed')
    return AttemptResult(Ending.answered)


def belongs_to_another(
    exchange: Exchange,
    reply: Reply,
    headers: ReplyHeaders,
) -> bool:
    """Return whether an answer is, or may be, for another request.

    A duplicate of an earlier answer can arrive late, on a connection that is in
    use again. On a reused connection, an answer without a request id may be
    such a duplicate.
    """
    if not headers.request_id:
        return reply.is_reused
    return headers.request_id != exchange.request_id


def read_reply_headers(exchange: Exchange, reply: Reply) -> ReplyHeaders:
    """Return the values of an answer's status and headers."""
    return exchange.relay.protocol.read_reply(reply.status, reply.headers)


def end_attempt(
    exchange: Exchange,
    placement: Placement,
    result: AttemptResult,
    status: int,
    started_at: float,
) -> None:
    """Release the placement of an attempt and log how it ended."""
    request = placement.request
    ending = ending_at(exchange, result, placement.address)
    report_end(
        exchange.relay.coordination,
        request,
        ending,
        began=result.began,
        pace=result.pace,
        transfer_ms=exchange.transfer_ms.pop(request.key, UNKNOWN_MS),
    )
    exchange.relay.metrics.count_attempt(ending.value)
    exchange.log(
        request_events.AttemptEnded(
            request.request_id,
            request.attempt,
            placement.upstream,
            ending.value,
            status,
            int((monotonic() - started_at) * MS_PER_SECOND),
            result.reason,
            result.began,
        ),
    )


def ending_for(exchange: Exchange, result: AttemptResult) -> Ending:
    """Return how an attempt ended, as reported on its upstream.

    If nothing was sent, the caller disconnected or its deadline passed, the
    upstream is not blamed. Neither is it for an answer that broke off after
    this relay had stopped reading it for want of memory.
    """
    if result.ending is Ending.answered:
        return result.ending
    if result.ending is Ending.returned:
        return Ending.cancelled
    if exchange.cancellation.cause is not None or exchange.is_overdue():
        return Ending.cancelled
    has_waited = holds_of(exchange.environ).answer.has_waited
    if has_waited and result.ending is Ending.lost:
        return Ending.cancelled
    return result.ending


def ending_at(
    exchange: Exchange, result: AttemptResult, address: str
) -> Ending:
    """Return how an attempt ended, with a probe of a lost upstream.

    The coordinator has to know of a crash before the request, or another one
    like it, crashes the next upstream.
    """
    ending = ending_for(exchange, result)
    if ending is Ending.lost and exchange.relay.connections.refuses(address):
        return Ending.crashed
    return ending


def timeout_failure(exchange: Exchange) -> Failure:
    """Return the failure of a request that was cancelled or timed out."""
    if exchange.runs:
        return DeadlinePassed('the deadline passed', Outcome.unknown)
    retry_at = monotonic() + RETRY_SECONDS
    return Overloaded('no place came free in time', retry_at=retry_at)


def final_failure(exchange: Exchange, failure: Failure) -> Failure:
    """Return the failure for the caller after the last attempt.

    The outcome of a request that may have run is never `not_run`.
    """
    if exchange.runs and failure.outcome is Outcome.not_run:
        return UpstreamFailed(failure.sentence, Outcome.unknown)
    return failure


def has_disconnected(exchange: Exchange) -> bool:
    """Return whether the caller has disconnected."""
    return exchange.cancellation.cause is CancelCause.gone
