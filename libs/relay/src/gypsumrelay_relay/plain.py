"""Requests to plain services, whose answers are complete, not streamed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import Ending
from gypsumrelay_errors import Failure, Outcome, UpstreamFailed

from gypsumrelay_relay.attempts import (
    NOT_RUN,
    Verdict,
    deliver,
    end_attempt,
    given_up,
    has_left,
    judge,
    no_time,
    obtain_place,
)
from gypsumrelay_relay.dialect import Sending
from gypsumrelay_relay.exchange import Whole, answer_whole
from gypsumrelay_relay.routes import Repeatability
from gypsumrelay_relay.sending import FAULTS, Reply, SendFailed

if TYPE_CHECKING:
    from gypsumrelay_relay.exchange import Chunks, Exchange
    from gypsumrelay_relay.placement import Placed

MS_PER_SECOND: Final = 1000
# Share of the remaining time that one attempt may take if a retry is possible.
ATTEMPT_SHARE: Final = 0.4


@attrs.frozen
class Tried:
    """How an attempt ended, with the answer if there is one."""

    verdict: Verdict
    answer: Whole | None = None


def answer_plain(exchange: Exchange) -> Chunks:
    """Run a plain request and answer it."""
    outcome = run(exchange)
    if has_left(exchange):
        return exchange.refuse_gone()
    if isinstance(outcome, Failure):
        return exchange.refuse(given_up(exchange, outcome))
    return answer_whole(exchange, outcome)


def run(exchange: Exchange) -> Whole | Failure:
    """Try upstreams until one answers or no retry is left."""
    last: Whole | None = None
    while True:
        given = obtain_place(exchange, exchange.next_need())
        if isinstance(given, Failure):
            return last or given
        tried = attempt(exchange, given)
        exchange.excluded.add(given.upstream)
        last = tried.answer or last
        if not may_repeat(exchange, tried.verdict.ending):
            return last or _failure(exchange, tried.verdict)


def attempt(exchange: Exchange, given: Placed) -> Tried:
    """Send a request to one upstream and read its answer."""
    started_at = monotonic()
    sending = Sending(
        given.upstream,
        exchange.account_name,
        exchange.remaining_ms(),
    )
    once = exchange.admitted.route.repeatability
    reply = deliver(
        exchange,
        given.address,
        sending,
        _attempt_deadline(exchange),
        fresh=once is Repeatability.non_idempotent,
    )
    if isinstance(reply, SendFailed):
        tried = Tried(Verdict(reply.ending, reply.reason))
    else:
        tried = _read(exchange, reply)
    if tried.verdict.ending not in NOT_RUN:
        exchange.runs += 1
    status = reply.status if isinstance(reply, Reply) else 0
    end_attempt(exchange, given, tried.verdict, status, started_at)
    return tried


def may_repeat(exchange: Exchange, ending: Ending) -> bool:
    """Return whether a retry is allowed and useful."""
    if exchange.guard.cause is not None or exchange.is_overdue():
        return False
    if ending is Ending.answered:
        return False
    if ending in NOT_RUN:
        return True
    route = exchange.admitted.route
    if route.repeatability is not Repeatability.idempotent:
        return False
    return exchange.runs < route.max_attempts


def _read(exchange: Exchange, reply: Reply) -> Tried:
    verdict = judge(exchange, reply)
    if verdict.ending is Ending.lost:
        reply.close()
        return Tried(verdict)
    try:
        body = reply.read(exchange.deadline)
    except FAULTS as error:
        reply.close()
        return Tried(Verdict(Ending.lost, f'the answer broke off: {error}'))
    reply.keep()
    if verdict.ending in NOT_RUN:
        return Tried(verdict)
    headers = exchange.relay.dialect.caller_headers(reply.headers.items())
    return Tried(verdict, Whole(reply.status, headers, body))


def _attempt_deadline(exchange: Exchange) -> float:
    route = exchange.admitted.route
    if route.repeatability is not Repeatability.idempotent:
        return exchange.deadline
    if exchange.runs + 1 >= route.max_attempts:
        return exchange.deadline
    now = monotonic()
    share = (exchange.deadline - now) * ATTEMPT_SHARE
    seconds = max(share, route.aim_ms / MS_PER_SECOND)
    return min(exchange.deadline, now + seconds)


def _failure(exchange: Exchange, verdict: Verdict) -> Failure:
    if exchange.guard.cause is not None or exchange.is_overdue():
        return no_time(exchange)
    return UpstreamFailed(verdict.reason, Outcome.unknown)
