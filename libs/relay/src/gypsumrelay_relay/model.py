"""Requests to models: prefill at one upstream, streamed decode at another."""

from __future__ import annotations

from collections.abc import Generator, Iterator
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import Ending
from gypsumrelay_errors import Failure, Outcome, UpstreamFailed

from gypsumrelay_relay import events
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
from gypsumrelay_relay.eventstream import Events, Splitter
from gypsumrelay_relay.exchange import Whole, answer_whole
from gypsumrelay_relay.prompts import Cache, read_prompt, release
from gypsumrelay_relay.sending import FAULTS, PART_BYTES, Reply, SendFailed
from gypsumrelay_relay.watch import Cause

if TYPE_CHECKING:
    from gypsumrelay_dispatch import Need

    from gypsumrelay_relay.exchange import Chunks, Exchange
    from gypsumrelay_relay.placement import Placed

MS_PER_SECOND: Final = 1000
# Time-out in seconds for the next event of a stream that can be resumed at
# another upstream; far above the gap between events of a healthy upstream.
SILENCE_SECONDS: Final = 1.0
# Age in seconds up to which a KV cache is offered to a decode upstream; caches
# expire after 0.5 s, and fetching one takes time.
CACHE_SECONDS: Final = 0.4
# Number of decode upstreams to which one KV cache is offered; the first may
# lack the memory for it.
MAX_UNFETCHED: Final = 2
# Limit of placement requests for one request; bounds the load of a request
# whose attempts keep failing.
MAX_ASKS: Final = 5


@attrs.define(eq=False)
class Opened:
    """A stream whose first event has arrived.

    Attributes:
        given: The placement of the attempt.
        reply: The answer.
        started_at: Instant at which the attempt started.
        splitter: Splits the answer into events.
        first: The first events; None if the answer ended before any.
        pieces: The rest of the answer.
    """

    given: Placed
    reply: Reply
    started_at: float
    splitter: Splitter
    first: Events | None
    pieces: Iterator[bytes]


@attrs.define(eq=False)
class StreamRun:
    """State of one streamed request.

    Attributes:
        exchange: The request.
        last_event: Id of the last event that was sent to the caller.
        cache: A KV cache that no decode upstream has fetched yet.
        unfetched: Number of decode upstreams that did not fetch `cache`.
        current: The stream that is being forwarded.
        has_begun: Whether the caller has started to read the answer.
        was_read: Whether a prefill of the prompt has succeeded.
    """

    exchange: Exchange
    last_event: str
    cache: Cache | None = None
    unfetched: int = 0
    current: Opened | None = None
    has_begun: bool = False
    was_read: bool = False

    @property
    def may_go_on(self) -> bool:
        """Return whether the stream may be resumed at another upstream."""
        exchange = self.exchange
        route = exchange.admitted.route
        return (
            route.resumable
            and exchange.guard.cause is None
            and exchange.runs < route.max_attempts
        )


def answer_model(exchange: Exchange) -> Chunks:
    """Run a model request and stream its answer."""
    run = StreamRun(exchange, exchange.admitted.facts.last_event)
    opened = open_stream(run)
    if has_left(exchange):
        if isinstance(opened, Opened):
            _close(run, opened, Verdict(Ending.cancelled, 'the caller left'))
        return exchange.refuse_gone()
    if isinstance(opened, Failure):
        return exchange.refuse(given_up(exchange, opened))
    if isinstance(opened, Whole):
        return answer_whole(exchange, opened)
    headers = opened.reply.headers.items()
    exchange.begin(
        opened.reply.status,
        exchange.relay.dialect.caller_headers(headers),
    )
    exchange.log(
        events.FirstEvent(
            exchange.request_id,
            exchange.attempts,
            exchange.elapsed_ms(),
        ),
    )
    exchange.relay.metrics.observe_first_event(
        exchange.elapsed_ms() / MS_PER_SECOND,
    )
    return _stream(run, opened)


def open_stream(run: StreamRun) -> Opened | Whole | Failure:
    """Retry at other upstreams until a stream starts or no retry is left."""
    last: Whole | Failure | None = None
    asks_left = MAX_ASKS
    while asks_left:
        asks_left -= 1
        outcome = _try_once(run)
        if isinstance(outcome, Opened):
            return outcome
        if not isinstance(outcome, Verdict):
            last = last if isinstance(last, Whole) else outcome
        if not _may_try_again(run, outcome):
            break
    _drop_cache(run)
    exchange = run.exchange
    if exchange.guard.cause is not None or exchange.is_overdue():
        return no_time(exchange)
    if last is None:
        outcome_known = Outcome.unknown if exchange.runs else Outcome.not_run
        return UpstreamFailed('no upstream answered', outcome_known)
    return last


def _try_once(run: StreamRun) -> Opened | Whole | Verdict | Failure:
    """Request a placement and use it."""
    given = obtain_place(run.exchange, _next_need(run))
    if not isinstance(given, Failure):
        return _attempt(run, given)
    if run.cache is None:
        return given
    # The KV cache would expire in the queue; the prefill is repeated.
    _drop_cache(run)
    return Verdict(Ending.rejected, given.sentence)


def _next_need(run: StreamRun) -> Need:
    """Return the next placement request.

    With a KV cache it waits no longer than the cache can be fetched.
    """
    need = attrs.evolve(run.exchange.next_need(), resumed=run.has_begun)
    if run.cache is None:
        return attrs.evolve(need, reread=run.was_read)
    until = run.cache.read_at + CACHE_SECONDS
    return attrs.evolve(need, read=True, aim_at=until, wait_until=until)


def _attempt(run: StreamRun, given: Placed) -> Opened | Whole | Verdict:
    """Run the prefill if needed, then start the stream."""
    exchange = run.exchange
    started_at = monotonic()
    if run.cache is None and given.prefill:
        outcome = read_prompt(exchange, given)
        if isinstance(outcome, Verdict):
            exchange.excluded.add(given.prefill)
            exchange.relay.coordination.finish(given.need, Ending.cancelled)
            return Verdict(Ending.rejected, outcome.reason)
        run.cache = outcome
        run.was_read = True
    return _decode(run, given, started_at)


def _decode(
    run: StreamRun,
    given: Placed,
    started_at: float,
) -> Opened | Whole | Verdict:
    exchange = run.exchange
    cache = run.cache
    sending = Sending(
        given.upstream,
        exchange.account_name,
        exchange.remaining_ms(),
        cache_source=cache.source if cache else '',
        last_event=run.last_event,
    )
    deadline = exchange.deadline
    if (
        run.may_go_on
        and exchange.runs + 1 < exchange.admitted.route.max_attempts
    ):
        deadline = min(deadline, monotonic() + SILENCE_SECONDS)
    reply = deliver(exchange, given.address, sending, deadline, fresh=True)
    if isinstance(reply, SendFailed):
        verdict = Verdict(reply.ending, reply.reason)
        _count_run(run, verdict)
        exchange.excluded.add(given.upstream)
        end_attempt(exchange, given, verdict, 0, started_at)
        return verdict
    return _judge_start(run, given, reply, started_at)


def _judge_start(
    run: StreamRun,
    given: Placed,
    reply: Reply,
    started_at: float,
) -> Opened | Whole | Verdict:
    exchange = run.exchange
    verdict = judge(exchange, reply)
    if run.cache is not None and verdict.ending is Ending.rejected:
        verdict = Verdict(Ending.unfetched, verdict.reason)
    _count_run(run, verdict)
    if verdict.ending is Ending.answered:
        opened = _first_events(run, given, reply, started_at)
        if isinstance(opened, Opened):
            return opened
        verdict = opened
    exchange.excluded.add(given.upstream)
    whole = _read_failure(exchange, reply, verdict)
    end_attempt(exchange, given, verdict, reply.status, started_at)
    return whole or verdict


def _first_events(
    run: StreamRun,
    given: Placed,
    reply: Reply,
    started_at: float,
) -> Opened | Verdict:
    _expect_event(run, reply)
    pieces = reply.pieces()
    splitter = Splitter()
    opened = Opened(given, reply, started_at, splitter, None, pieces)
    try:
        for piece in pieces:
            opened.first = splitter.feed(piece)
            if opened.first is not None:
                return opened
    except FAULTS as error:
        return Verdict(Ending.lost, f'the stream broke off: {error}')
    return opened


def _stream(run: StreamRun, opened: Opened) -> Iterator[bytes]:
    """Yield events; resume at another upstream if that is allowed."""
    exchange = run.exchange
    run.has_begun = True
    current: Opened | Whole | Failure = opened
    try:
        while isinstance(current, Opened):
            run.current = current
            verdict = yield from _pass_events(run, current)
            run.current = None
            if verdict.ending is Ending.answered:
                _end(run, current, verdict)
                exchange.answered(current.reply.status)
                return
            _close(run, current, verdict)
            exchange.excluded.add(current.given.upstream)
            if not run.may_go_on:
                break
            exchange.begin_wait(monotonic())
            current = open_stream(run)
    except GeneratorExit:
        _note_broken(exchange, Cause.gone.value, 'the caller left')
        raise
    finally:
        if run.current is not None:
            left = Verdict(Ending.cancelled, 'the answer was not taken')
            _close(run, run.current, left)
        _drop_cache(run)
    cause = exchange.guard.cause
    _note_broken(exchange, cause.value if cause else 'lost', 'the stream ended')
    raise ConnectionError('the stream ended early')


def _pass_events(
    run: StreamRun,
    opened: Opened,
) -> Generator[bytes, None, Verdict]:
    """Yield the complete events of an answer; return how it ended."""
    try:
        for found in _whole_events(opened):
            run.last_event = found.last_id or run.last_event
            yield found.raw
            _expect_event(run, opened.reply)
    except FAULTS as error:
        return Verdict(Ending.lost, f'the stream broke off: {error}')
    if opened.splitter.rest:
        return Verdict(Ending.lost, 'the stream ended inside an event')
    return Verdict(Ending.answered)


def _whole_events(opened: Opened) -> Iterator[Events]:
    if opened.first is not None:
        yield opened.first
    for piece in opened.pieces:
        found = opened.splitter.feed(piece)
        if found is not None:
            yield found


def _expect_event(run: StreamRun, reply: Reply) -> None:
    """Set the time limit for the next complete event.

    Bytes that complete no event do not extend it. The limit does not apply
    while the caller is slow to read.
    """
    until = run.exchange.deadline
    if run.may_go_on:
        until = min(until, monotonic() + SILENCE_SECONDS)
    reply.expect(until)


def _count_run(run: StreamRun, verdict: Verdict) -> None:
    """Count an attempt that may have run, and drop its KV cache."""
    if verdict.ending is Ending.unfetched:
        _count_unfetched(run)
    elif verdict.ending not in NOT_RUN:
        run.exchange.runs += 1
        run.cache = None


def _count_unfetched(run: StreamRun) -> None:
    """Drop a KV cache after `MAX_UNFETCHED` upstreams did not fetch it."""
    cache = run.cache
    if cache is None:
        return
    run.unfetched += 1
    if run.unfetched >= MAX_UNFETCHED:
        run.exchange.excluded.add(cache.upstream)
        run.unfetched = 0
        _drop_cache(run)


def _may_try_again(
    run: StreamRun,
    outcome: Whole | Verdict | Failure,
) -> bool:
    exchange = run.exchange
    if exchange.guard.cause is not None or exchange.is_overdue():
        return False
    if isinstance(outcome, Failure):
        return False
    if isinstance(outcome, Verdict) and outcome.ending in NOT_RUN:
        return True
    return run.may_go_on


def _read_failure(
    exchange: Exchange,
    reply: Reply,
    verdict: Verdict,
) -> Whole | None:
    """Return an upstream's error answer if the caller may get it."""
    if verdict.ending is Ending.lost:
        reply.close()
        return None
    try:
        body = reply.read(exchange.deadline, PART_BYTES)
    except FAULTS:
        reply.close()
        return None
    reply.keep()
    if verdict.ending is not Ending.failed:
        return None
    headers = exchange.relay.dialect.caller_headers(reply.headers.items())
    return Whole(reply.status, headers, body)


def _end(run: StreamRun, opened: Opened, verdict: Verdict) -> None:
    status = opened.reply.status
    opened.reply.keep()
    end_attempt(run.exchange, opened.given, verdict, status, opened.started_at)


def _close(run: StreamRun, opened: Opened, verdict: Verdict) -> None:
    opened.reply.close()
    status = opened.reply.status
    end_attempt(run.exchange, opened.given, verdict, status, opened.started_at)


def _drop_cache(run: StreamRun) -> None:
    cache = run.cache
    run.cache = None
    if cache is not None:
        release(run.exchange, cache)


def _note_broken(exchange: Exchange, cause: str, reason: str) -> None:
    exchange.log(
        events.RequestBroken(
            exchange.request_id,
            cause,
            exchange.elapsed_ms(),
            exchange.attempts,
            reason,
        ),
    )
