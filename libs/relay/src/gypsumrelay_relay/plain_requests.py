"""Requests to plain services, whose answers are complete, not streamed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import Ending
from gypsumrelay_errors import Failure, Outcome, UpstreamFailed

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
from gypsumrelay_relay.exchange import CompleteAnswer, answer_complete
from gypsumrelay_relay.protocol import AddedHeaders
from gypsumrelay_relay.routes import RetryPolicy
from gypsumrelay_relay.sending import IO_ERRORS, Reply, SendFailed

if TYPE_CHECKING:
    from gypsumrelay_relay.exchange import Chunks, Exchange
    from gypsumrelay_relay.placement import Placement

MS_PER_SECOND: Final = 1000
# Share of the remaining time that one attempt may take if a retry is possible.
ATTEMPT_SHARE: Final = 0.4


@attrs.frozen
class PlainAttempt:
    """How an attempt ended, with the answer if there is one."""

    result: AttemptResult
    answer: CompleteAnswer | None = None


def answer_plain(exchange: Exchange) -> Chunks:
    """Run a plain request and answer it."""
    outcome = run(exchange)
    if has_disconnected(exchange):
        return exchange.abort_disconnected()
    if isinstance(outcome, Failure):
        return exchange.reject(final_failure(exchange, outcome))
    return answer_complete(exchange, outcome)


def run(exchange: Exchange) -> CompleteAnswer | Failure:
    """Try upstreams until one answers or no retry is left."""
    last: CompleteAnswer | None = None
    while True:
        placement = wait_for_placement(
            exchange, exchange.next_placement_request()
        )
        if isinstance(placement, Failure):
            return last or placement
        attempted = attempt(exchange, placement)
        exchange.excluded.add(placement.upstream)
        last = attempted.answer or last
        if not may_retry(exchange, attempted.result.ending):
            return last or _failure(exchange, attempted.result)


def attempt(exchange: Exchange, placement: Placement) -> PlainAttempt:
    """Send a request to one upstream and read its answer."""
    started_at = monotonic()
    added = AddedHeaders(
        placement.upstream,
        exchange.account_name,
        exchange.remaining_ms(),
    )
    retry_policy = exchange.admitted.route.retry_policy
    reply = send_request(
        exchange,
        placement.address,
        added,
        _attempt_deadline(exchange),
        fresh=retry_policy is RetryPolicy.non_idempotent,
    )
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
    try:
        body = reply.read(exchange.deadline)
    except IO_ERRORS as error:
        reply.close()
        return PlainAttempt(
            AttemptResult(Ending.lost, f'the answer broke off: {error}')
        )
    reply.return_connection()
    if result.ending in NOT_RUN_ENDINGS:
        return PlainAttempt(result)
    headers = exchange.relay.protocol.caller_headers(reply.headers.items())
    return PlainAttempt(result, CompleteAnswer(reply.status, headers, body))


def _attempt_deadline(exchange: Exchange) -> float:
    route = exchange.admitted.route
    if route.retry_policy is not RetryPolicy.idempotent:
        return exchange.deadline
    if exchange.runs + 1 >= route.max_attempts:
        return exchange.deadline
    now = monotonic()
    share = (exchange.deadline - now) * ATTEMPT_SHARE
    seconds = max(share, route.latency_objective_ms / MS_PER_SECOND)
    return min(exchange.deadline, now + seconds)


def _failure(exchange: Exchange, result: AttemptResult) -> Failure:
    if exchange.cancellation.cause is not None or exchange.is_overdue():
        return timeout_failure(exchange)
    return UpstreamFailed(result.reason, Outcome.unknown)
