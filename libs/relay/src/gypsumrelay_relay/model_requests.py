"""Requests to models: prefill at one upstream, streamed decode at another."""

from __future__ import annotations

from collections.abc import Generator, Iterator
from typing import TYPE_CHECKING, Final, TypeGuard

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import Ending
from gypsumrelay_errors import Failure, Outcome, UpstreamFailed

from gypsumrelay_relay import request_events
from gypsumrelay_relay.attempts import (
    FIRST_SERVER_ERROR,
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
from gypsumrelay_relay.cancellation import CancelCause
from gypsumrelay_relay.eventstream import EventBlock, EventSplitter
from gypsumrelay_relay.exchange import CompleteAnswer, answer_complete
from gypsumrelay_relay.prefill import Cache, free_cache, run_prefill
from gypsumrelay_relay.protocol import AddedHeaders
from gypsumrelay_relay.sending import EVENT_BYTES, IO_ERRORS, Reply, SendFailed

if TYPE_CHECKING:
    from gypsumrelay_dispatch import PlacementRequest

    from gypsumrelay_relay.exchange import Chunks, Exchange
    from gypsumrelay_relay.placement import Placement

MS_PER_SECOND: Final = 1000
# Status from which on an answer is not a stream.
FIRST_REDIRECTION: Final = 300
# Time-out in seconds for the next event of a stream that can be resumed at
# another upstream; far above the gap between events of a healthy upstream.
EVENT_TIMEOUT_SECONDS: Final = 1.0
# Age in seconds up to which a KV cache is offered to a decode upstream; caches
# expire after 0.5 s, and fetching one takes time.
CACHE_OFFER_SECONDS: Final = 0.4
# Number of decode upstreams to which one KV cache is offered; the first may
# lack the memory for it.
MAX_CACHE_OFFERS: Final = 2
# Limit of placement requests for one request; bounds the load of a request
# whose attempts keep failing.
MAX_PLACEMENTS: Final = 5


@attrs.define(eq=False)
class OpenStream:
    """A stream whose first event has arrived.

    Attributes:
        placement: The placement of the attempt.
        reply: The answer.
        started_at: Instant at which the attempt started.
        splitter: Splits the answer into events.
        first: The first events; None if the answer ended before any.
        pieces: The rest of the answer.
    """

    placement: Placement
    reply: Reply
    started_at: float
    splitter: EventSplitter
    first: EventBlock | None
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
        has_started: Whether the caller has started to read the answer.
        was_prefilled: Whether a prefill of the prompt has succeeded.
    """

    exchange: Exchange
    last_event: str
    cache: Cache | None = None
    unfetched: int = 0
    current: OpenStream | None = None
    has_started: bool = False
    was_prefilled: bool = False

    @property
    def may_resume(self) -> bool:
        """Return whether the stream may be resumed at another upstream."""
        exchange = self.exchange
        route = exchange.admitted.route
        return (
            route.resumable
            and exchange.cancellation.cause is None
            and exchange.runs < route.max_attempts
        )


def answer_model(exchange: Exchange) -> Chunks:
    """Run a model request and stream its answer."""
    run = StreamRun(exchange, exchange.admitted.headers.last_event)
    opened = open_stream(run)
    if has_disconnected(exchange):
        if isinstance(opened, OpenStream):
            _abort_attempt(
                run,
                opened,
                AttemptResult(Ending.cancelled, 'the caller disconnected'),
            )
        return exchange.abort_disconnected()
    if isinstance(opened, Failure):
        return exchange.reject(final_failure(exchange, opened))
    if isinstance(opened, CompleteAnswer):
        return answer_complete(exchange, opened)
    headers = opened.reply.headers.items()
    exchange.start_answer(
        opened.reply.status,
        exchange.relay.protocol.caller_headers(headers),
    )
    exchange.log(
        request_events.FirstEvent(
            exchange.request_id,
            exchange.attempts,
            exchange.elapsed_ms(),
        ),
    )
    exchange.relay.metrics.observe_first_event(
        exchange.elapsed_ms() / MS_PER_SECOND,
    )
    return _stream(run, opened)


def open_stream(run: StreamRun) -> OpenStream | CompleteAnswer | Failure:
    """Retry at other upstreams until a stream starts or no retry is left."""
    last: CompleteAnswer | Failure | None = None
    placements_left = MAX_PLACEMENTS
    while placements_left:
        placements_left -= 1
        outcome = _request_and_run(run)
        if isinstance(outcome, OpenStream) or _lies_in_request(outcome):
            return outcome
        if not isinstance(outcome, AttemptResult):
            last = last if isinstance(last, CompleteAnswer) else outcome
        if not _may_retry(run, outcome):
            break
    _drop_cache(run)
    return _last_failure(run, last)


def _last_failure(
    run: StreamRun, last: CompleteAnswer | Failure | None
) -> CompleteAnswer | Failure:
    """Return what the caller gets if no stream starts."""
    exchange = run.exchange
    if exchange.cancellation.cause is not None or exchange.is_overdue():
        return timeout_failure(exchange)
    if last is None:
        outcome_known = Outcome.unknown if exchange.runs else Outcome.not_run
        return UpstreamFailed('no upstream answered', outcome_known)
    return last


def _request_and_run(
    run: StreamRun,
) -> OpenStream | CompleteAnswer | AttemptResult | Failure:
    """Request a placement and use it."""
    placement = wait_for_placement(run.exchange, _next_placement_request(run))
    if not isinstance(placement, Failure):
        return _attempt(run, placement)
    if run.cache is None:
        return placement
    # The KV cache would expire in the queue; the prefill is repeated.
    _drop_cache(run)
    return AttemptResult(Ending.rejected, placement.sentence)


def _next_placement_request(run: StreamRun) -> PlacementRequest:
    """Return the next placement request.

    With a KV cache it waits no longer than the cache can be fetched.
    """
    request = attrs.evolve(
        run.exchange.next_placement_request(), resumed=run.has_started
    )
    if run.cache is None:
        return attrs.evolve(request, reread=run.was_prefilled)
    until = run.cache.prefilled_at + CACHE_OFFER_SECONDS
    return attrs.evolve(
        request, read=True, objective_at=until, wait_until=until
    )


def _attempt(
    run: StreamRun, placement: Placement
) -> OpenStream | CompleteAnswer | AttemptResult:
    """Run the prefill if needed, then start the stream."""
    exchange = run.exchange
    started_at = monotonic()
    if run.cache is None and placement.prefill:
        outcome = run_prefill(exchange, placement)
        if isinstance(outcome, AttemptResult):
            exchange.excluded.add(placement.prefill)
            exchange.relay.coordination.report_end(
                placement.request, Ending.cancelled
            )
            return AttemptResult(Ending.rejected, outcome.reason)
        run.cache = outcome
        run.was_prefilled = True
    return _decode(run, placement, started_at)


def _decode(
    run: StreamRun,
    placement: Placement,
    started_at: float,
) -> OpenStream | CompleteAnswer | AttemptResult:
    exchange = run.exchange
    cache = run.cache
    added = AddedHeaders(
        placement.upstream,
        exchange.account_name,
        exchange.remaining_ms(),
        cache_source=cache.source if cache else '',
        last_event=run.last_event,
    )
    deadline = exchange.deadline
    if (
        run.may_resume
        and exchange.runs + 1 < exchange.admitted.route.max_attempts
    ):
        deadline = min(deadline, monotonic() + EVENT_TIMEOUT_SECONDS)
    reply = send_request(
        exchange, placement.address, added, deadline, fresh=True
    )
    if isinstance(reply, SendFailed):
        result = AttemptResult(reply.ending, reply.reason)
        _count_run(run, result)
        exchange.excluded.add(placement.upstream)
        end_attempt(exchange, placement, result, 0, started_at)
        return result
    return _classify_start(run, placement, reply, started_at)


def _classify_start(
    run: StreamRun,
    placement: Placement,
    reply: Reply,
    started_at: float,
) -> OpenStream | CompleteAnswer | AttemptResult:
    exchange = run.exchange
    result = classify_reply(exchange, reply)
    if run.cache is not None and result.ending is Ending.rejected:
        result = AttemptResult(Ending.unfetched, result.reason)
    _count_run(run, result)
    is_answered = result.ending is Ending.answered
    if is_answered and reply.status >= FIRST_REDIRECTION:
        return _read_error(run, placement, reply, started_at)
    if is_answered:
        opened = _first_events(run, placement, reply, started_at)
        if isinstance(opened, OpenStream):
            return opened
        result = opened
    exchange.excluded.add(placement.upstream)
    answer = _read_failure(exchange, reply, result)
    end_attempt(exchange, placement, result, reply.status, started_at)
    return answer or result


def _lies_in_request(
    outcome: CompleteAnswer | AttemptResult | Failure,
) -> TypeGuard[CompleteAnswer]:
    """Return whether any other upstream would answer with the same error."""
    if not isinstance(outcome, CompleteAnswer):
        return False
    return outcome.status < FIRST_SERVER_ERROR


def _read_error(
    run: StreamRun,
    placement: Placement,
    reply: Reply,
    started_at: float,
) -> CompleteAnswer | AttemptResult:
    """Read an answer that is an error of the request, not a stream.

    The caller gets it as the whole answer, or not at all if it has the first
    part of a stream.
    """
    exchange = run.exchange
    result = AttemptResult(Ending.answered)
    try:
        body = reply.read(exchange.deadline, EVENT_BYTES)
    except IO_ERRORS as error:
        reply.close()
        result = AttemptResult(Ending.lost, f'the answer broke off: {error}')
        end_attempt(exchange, placement, result, reply.status, started_at)
        return result
    reply.return_connection()
    end_attempt(exchange, placement, result, reply.status, started_at)
    if run.has_started:
        return AttemptResult(Ending.failed, f'status {reply.status}')
    headers = exchange.relay.protocol.caller_headers(reply.headers.items())
    return CompleteAnswer(reply.status, headers, body)


def _first_events(
    run: StreamRun,
    placement: Placement,
    reply: Reply,
    started_at: float,
) -> OpenStream | AttemptResult:
    _limit_next_event(run, reply)
    pieces = reply.pieces()
    splitter = EventSplitter()
    opened = OpenStream(placement, reply, started_at, splitter, None, pieces)
    try:
        for piece in pieces:
            opened.first = splitter.feed(piece)
            if opened.first is not None:
                return opened
    except IO_ERRORS as error:
        return AttemptResult(Ending.lost, f'the stream was aborted: {error}')
    return opened


def _stream(run: StreamRun, opened: OpenStream) -> Iterator[bytes]:
    """Yield events; resume at another upstream if that is allowed."""
    exchange = run.exchange
    run.has_started = True
    current: OpenStream | CompleteAnswer | Failure = opened
    try:
        while isinstance(current, OpenStream):
            run.current = current
            result = yield from _forward_events(run, current)
            run.current = None
            if result.ending is Ending.answered:
                _finish_attempt(run, current, result)
                exchange.log_answered(current.reply.status)
                return
            _abort_attempt(run, current, result)
            exchange.excluded.add(current.placement.upstream)
            if not run.may_resume:
                break
            exchange.reset_wait(monotonic())
            current = open_stream(run)
    except GeneratorExit:
        _log_aborted(
            exchange, CancelCause.gone.value, 'the caller disconnected'
        )
        raise
    finally:
        if run.current is not None:
            abandoned = AttemptResult(
                Ending.cancelled, 'the answer was not read to its end'
            )
            _abort_attempt(run, run.current, abandoned)
        _drop_cache(run)
    cause = exchange.cancellation.cause
    _log_aborted(
        exchange, cause.value if cause else 'lost', 'the stream ended early'
    )
    raise ConnectionError('the stream ended early')


def _forward_events(
    run: StreamRun,
    opened: OpenStream,
) -> Generator[bytes, None, AttemptResult]:
    """Yield the complete events of an answer; return how it ended."""
    began = opened.first is not None
    try:
        for found in _complete_events(opened):
            run.last_event = found.last_id or run.last_event
            yield found.raw
            _limit_next_event(run, opened.reply)
    except IO_ERRORS as error:
        reason = f'the stream was aborted: {error}'
        return AttemptResult(Ending.lost, reason, began)
    if opened.splitter.buffer:
        reason = 'the stream ended inside an event'
        return AttemptResult(Ending.lost, reason, began)
    return AttemptResult(Ending.answered, began=began)


def _complete_events(opened: OpenStream) -> Iterator[EventBlock]:
    if opened.first is not None:
        yield opened.first
    for piece in opened.pieces:
        found = opened.splitter.feed(piece)
        if found is not None:
            yield found


def _limit_next_event(run: StreamRun, reply: Reply) -> None:
    """Set the time limit for the next complete event.

    Bytes that complete no event do not extend it. The limit does not apply
    while the caller is slow to read.
    """
    until = run.exchange.deadline
    if run.may_resume:
        until = min(until, monotonic() + EVENT_TIMEOUT_SECONDS)
    reply.set_limits(until)


def _count_run(run: StreamRun, result: AttemptResult) -> None:
    """Count an attempt that may have run, and drop its KV cache."""
    if result.ending is Ending.unfetched:
        _count_unfetched(run)
    elif result.ending not in NOT_RUN_ENDINGS:
        run.exchange.runs += 1
        run.cache = None


def _count_unfetched(run: StreamRun) -> None:
    """Drop a KV cache after `MAX_CACHE_OFFERS` upstreams did not fetch it."""
    cache = run.cache
    if cache is None:
        return
    run.unfetched += 1
    if run.unfetched >= MAX_CACHE_OFFERS:
        run.exchange.excluded.add(cache.upstream)
        run.unfetched = 0
        _drop_cache(run)


def _may_retry(
    run: StreamRun,
    outcome: CompleteAnswer | AttemptResult | Failure,
) -> bool:
    exchange = run.exchange
    if exchange.cancellation.cause is not None or exchange.is_overdue():
        return False
    if isinstance(outcome, Failure):
        return False
    if isinstance(outcome, AttemptResult) and outcome.ending in NOT_RUN_ENDINGS:
        return True
    return run.may_resume


def _read_failure(
    exchange: Exchange,
    reply: Reply,
    result: AttemptResult,
) -> CompleteAnswer | None:
    """Return an upstream's error answer if the caller may get it."""
    if result.ending is Ending.lost:
        reply.close()
        return None
    try:
        body = reply.read(exchange.deadline, EVENT_BYTES)
    except IO_ERRORS:
        reply.close()
        return None
    reply.return_connection()
    if result.ending is not Ending.failed:
        return None
    headers = exchange.relay.protocol.caller_headers(reply.headers.items())
    return CompleteAnswer(reply.status, headers, body)


def _finish_attempt(
    run: StreamRun, opened: OpenStream, result: AttemptResult
) -> None:
    status = opened.reply.status
    opened.reply.return_connection()
    end_attempt(
        run.exchange, opened.placement, result, status, opened.started_at
    )


def _abort_attempt(
    run: StreamRun, opened: OpenStream, result: AttemptResult
) -> None:
    opened.reply.close()
    status = opened.reply.status
    end_attempt(
        run.exchange, opened.placement, result, status, opened.started_at
    )


def _drop_cache(run: StreamRun) -> None:
    cache = run.cache
    run.cache = None
    if cache is not None:
        free_cache(run.exchange, cache)


def _log_aborted(exchange: Exchange, cause: str, reason: str) -> None:
    exchange.log(
        request_events.RequestAborted(
            exchange.request_id,
            cause,
            exchange.elapsed_ms(),
            exchange.attempts,
            reason,
        ),
    )
