"""Requests to plain services, whose answers are complete, not streamed."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import Ending
from gypsumrelay_errors import Failure, Outcome, UpstreamFailed
from gypsumrelay_http import ANSWER_BYTES, Silence

from gypsumrelay_relay.attempts import (
    NOT_RUN_ENDINGS,
    AttemptResult,
    classify_reply,
    end_attempt,
    final_failure,
    has_disconnected,
    send_request,
    timeout_failure,
    wait_for_placement,
)
from gypsumrelay_relay.buffers import holds_of, read_whole
from gypsumrelay_relay.exchange import (
    CompleteAnswer,
    answer_complete,
    drop_body,
)
from gypsumrelay_relay.protocol import AddedHeaders
from gypsumrelay_relay.routes import RetryPolicy
from gypsumrelay_relay.sending import (
    Reply,
    SendFailed,
    io_errors,
)
from gypsumrelay_relay.substitution import Substitution

if TYPE_CHECKING:
    from gypsumrelay_http import BoundedSocket

    from gypsumrelay_relay.exchange import Chunks, Exchange
    from gypsumrelay_relay.placement import Placement

MS_PER_SECOND: Final = 1000
# Share of the remaining time after which a substitute of an upstream that does
# not answer is requested if a retry is possible.
ATTEMPT_SHARE: Final = 0.4


@attrs.define(eq=False)
class PlainRun:
    """State of one plain request.

    Attributes:
        exchange: The request.
        substitution: Requests placements while an upstream is silent.
        granted: The placement of a substitute that is used next.
    """

    exchange: Exchange
    substitution: Substitution
    granted: Placement | None = None


@attrs.frozen
class PlainAttempt:
    """How an attempt ended, with the answer if there is one."""

    result: AttemptResult
    answer: CompleteAnswer | None = None


def answer_plain(exchange: Exchange) -> Chunks:
    """Run a plain request and answer it."""
    outcome = run(exchange)
    drop_body(exchange)
    if has_disconnected(exchange):
        return exchange.abort_disconnected()
    if isinstance(outcome, Failure):
        return exchange.reject(final_failure(exchange, outcome))
    return answer_complete(exchange, outcome)


def run(exchange: Exchange) -> CompleteAnswer | Failure:
    """Try upstreams until one answers or no retry is left."""
    last: CompleteAnswer | None = None
    state = PlainRun(
        exchange, Substitution(exchange, exchange.next_placement_request)
    )
    while True:
        placement = _next_placement(state)
        if isinstance(placement, Failure):
            return last or placement
        attempted = attempt(state, placement)
        exchange.excluded.add(placement.upstream)
        if attempted.answer is not None:
            if last is not None:
                holds_of(exchange.environ).answer.drop_ahead(last.size)
            last = attempted.answer
        is_replaced = state.granted is not None
        if not is_replaced and not may_retry(exchange, attempted.result.ending):
            return last or _failure(exchange, attempted.result)


def attempt(state: PlainRun, placement: Placement) -> PlainAttempt:
    """Send a request to one upstream and read its answer."""
    exchange = state.exchange
    started_at = monotonic()
    added = AddedHeaders(
        placement.upstream,
        exchange.account_name,
        exchange.remaining_ms(),
        urgency=placement.urgency,
    )
    retry_policy = exchange.admitted.route.retry_policy
    reply = send_request(
        exchange,
        placement.address,
        added,
        exchange.deadline,
        fresh=retry_policy is RetryPolicy.non_idempotent,
        silence=_silence(state, placement),
    )
    state.substitution.withdraw()
    if isinstance(reply, SendFailed):
        attempted = PlainAttempt(AttemptResult(reply.ending, reply.reason))
    else:
        attempted = _read(exchange, reply)
    if attempted.result.ending not in NOT_RUN_ENDINGS:
        exchange.runs += 1
    status = reply.status if isinstance(reply, Reply) else 0
    end_attempt(exchange, placement, attempted.result, status, started_at)
    return attempted


def may_retry(exchange: Exchange, ending: Ending) -> bool:
    """Return whether a retry is allowed and useful."""
    if exchange.cancellation.cause is not None or exchange.is_overdue():
        return False
    if ending is Ending.answered:
        return False
    if ending in NOT_RUN_ENDINGS:
        return True
    route = exchange.admitted.route
    if route.retry_policy is not RetryPolicy.idempotent:
        return False
    return exchange.runs < route.max_attempts


def _read(exchange: Exchange, reply: Reply) -> PlainAttempt:
    result = classify_reply(exchange, reply)
    if result.ending is Ending.lost:
        reply.close()
        return PlainAttempt(result)
    failures = io_errors()
    try:
        body = read_whole(exchange, reply, ANSWER_BYTES)
    except failures as error:
        reply.close()
        return PlainAttempt(
            AttemptResult(Ending.lost, f'the answer broke off: {error}')
        )
    reply.return_connection()
    if result.ending in NOT_RUN_ENDINGS:
        holds_of(exchange.environ).answer.drop_ahead(sum(map(len, body)))
        return PlainAttempt(result)
    headers = exchange.relay.protocol.caller_headers(reply.headers.items())
    return PlainAttempt(result, CompleteAnswer(reply.status, headers, body))


def _next_placement(state: PlainRun) -> Placement | Failure:
    """Return the placement of a substitute, or request one and wait."""
    granted = state.granted
    state.granted = None
    if granted is not None:
        return granted
    exchange = state.exchange
    return wait_for_placement(exchange, exchange.next_placement_request())


def _silence(state: PlainRun, placement: Placement) -> Silence | None:
    """Return when a substitute of an upstream is requested; None if never.

    The attempt goes on until a substitute is granted.
    """
    exchange = state.exchange
    route = exchange.admitted.route
    if route.retry_policy is not RetryPolicy.idempotent:
        return None
    if exchange.runs + 1 >= route.max_attempts:
        return None
    now = monotonic()
    share = (exchange.deadline - now) * ATTEMPT_SHARE
    seconds = max(share, route.latency_objective_ms / MS_PER_SECOND)
    state.substitution.restart(now + seconds)
    return Silence(now + seconds, partial(_is_replaced, state, placement))


def _is_replaced(
    state: PlainRun, placement: Placement, _: BoundedSocket
) -> bool:
    """Return whether a substitute of a silent upstream is granted."""
    state.exchange.excluded.add(placement.upstream)
    state.granted = state.substitution.poll()
    return state.granted is not None


def _failure(exchange: Exchange, result: AttemptResult) -> Failure:
    if exchange.cancellation.cause is not None or exchange.is_overdue():
        return timeout_failure(exchange)
    return UpstreamFailed(result.reason, Outcome.unknown)
