"""Requests to models: prefill at one upstream, streamed decode at another."""

from __future__ import annotations

from collections.abc import Generator, Iterator
from typing import TYPE_CHECKING, Final

from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import Ending
from gypsumrelay_errors import Failure, StreamNotResumable

from gypsumrelay_relay.attempts import (
    AttemptResult,
    end_attempt,
    final_failure,
    has_disconnected,
)
from gypsumrelay_relay.buffers import split, wait_for_caller
from gypsumrelay_relay.cancellation import CancelCause
from gypsumrelay_relay.coordination.reports import report_stream
from gypsumrelay_relay.events import requests as request_events
from gypsumrelay_relay.exchange import (
    CompleteAnswer,
    answer_complete,
    drop_body,
)
from gypsumrelay_relay.performance.stream_meter import StreamMeter
from gypsumrelay_relay.sending import io_errors
from gypsumrelay_relay.stream_runs import (
    OpenStream,
    StreamRun,
    abort_attempt,
    drop_cache,
    take_successor,
)
from gypsumrelay_relay.stream_start import (
    limit_next_event,
    open_stream,
    start_run,
)

if TYPE_CHECKING:
    from gypsumrelay_relay.eventstream import EventBlock
    from gypsumrelay_relay.exchange import Chunks, Exchange

MS_PER_SECOND: Final = 1000
# Reason of the rejection of a request that only states its last event.
UNNAMED: Final = 'the request does not name the one that began the stream'


def answer_model(exchange: Exchange) -> Chunks:
    """Run a model request and stream its answer."""
    headers = exchange.admitted.headers
    if headers.last_event and not headers.resumes:
        return exchange.reject(StreamNotResumable(UNNAMED))
    run = start_run(exchange)
    opened = open_stream(run)
    if has_disconnected(exchange):
        if isinstance(opened, OpenStream):
            abort_attempt(
                run,
                opened,
                AttemptResult(Ending.cancelled, 'the caller disconnected'),
            )
        return exchange.abort_disconnected()
    if isinstance(opened, Failure):
        return exchange.reject(final_failure(exchange, opened))
    if isinstance(opened, CompleteAnswer):
        drop_body(exchange)
        return answer_complete(exchange, opened)
    exchange.start_answer(
        opened.reply.status,
        exchange.relay.protocol.caller_headers(opened.reply.headers.items()),
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


def _stream(run: StreamRun, opened: OpenStream) -> Iterator[bytes]:
    """Yield events; resume at another upstream if that is allowed."""
    exchange = run.exchange
    run.has_started = True
    if not exchange.admitted.route.resumable:
        drop_body(exchange)
    run.version = opened.placement.version
    _report_start(run, opened)
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
            resumed = _resume(run, current, result)
            if resumed is None:
                break
            current = resumed
    except GeneratorExit:
        _log_aborted(
            exchange, CancelCause.gone.value, 'the caller disconnected'
        )
        raise
    finally:
        _abandon(run)
    cause = exchange.cancellation.cause
    reason = f'the stream ended early: {_obstacle(run, current)}'
    _log_aborted(exchange, cause.value if cause else 'lost', reason)
    raise ConnectionError('the stream ended early')


def _report_start(run: StreamRun, opened: OpenStream) -> None:
    """Report which version began a stream, before the caller gets an event.

    A caller may name this request when it takes the stream up, also where the
    request itself took up an earlier one.
    """
    exchange = run.exchange
    if opened.first is None or not run.version:
        return
    if exchange.admitted.route.resumable:
        digest = exchange.stream_digest(exchange.request_id)
        report_stream(exchange.relay.coordination, digest, run.version)


def _resume(
    run: StreamRun, lost: OpenStream, result: AttemptResult
) -> OpenStream | CompleteAnswer | Failure | None:
    """Return the outcome of resuming a lost stream; None if that may not be."""
    exchange = run.exchange
    abort_attempt(run, lost, result)
    exchange.excluded.add(lost.placement.upstream)
    successor = take_successor(run)
    if successor is not None:
        return successor
    if not run.may_resume:
        return None
    exchange.reset_wait(monotonic())
    return open_stream(run)


def _abandon(run: StreamRun) -> None:
    """End what is left of a request whose answer is over."""
    run.substitution.withdraw()
    if run.current is not None:
        abandoned = AttemptResult(
            Ending.cancelled, 'the answer was not read to its end'
        )
        abort_attempt(run, run.current, abandoned)
    drop_cache(run)


def _obstacle(
    run: StreamRun, outcome: OpenStream | CompleteAnswer | Failure
) -> str:
    """Return why a stream that has started is not resumed."""
    if isinstance(outcome, Failure):
        return outcome.sentence
    if isinstance(outcome, CompleteAnswer):
        return f'an upstream answered with status {outcome.status}'
    if run.exchange.admitted.route.resumable:
        return 'no attempt is left'
    return 'it cannot be resumed'


def _forward_events(
    run: StreamRun,
    opened: OpenStream,
) -> Generator[bytes, None, AttemptResult]:
    """Yield the complete events of an answer; return how it ended."""
    began = opened.first is not None
    meter = StreamMeter()
    failures = io_errors()
    try:
        for found in _complete_events(opened):
            if found is None:
                continue
            run.last_event = found.last_id or run.last_event
            meter.count(found.count, monotonic())
            yield from split(found.raw)
            # Its bytes are in the buffer of the caller's connection now.
            del found
            wait_for_caller(run.exchange)
            meter.resume(monotonic())
            run.substitution.renew(opened.placement.upstream)
            limit_next_event(run, opened.placement, opened.reply)
    except failures as error:
        reason = f'the stream was aborted: {error}'
        return AttemptResult(Ending.lost, reason, began)
    if opened.splitter.buffer:
        reason = 'the stream ended inside an event'
        return AttemptResult(Ending.lost, reason, began)
    return AttemptResult(Ending.answered, began=began, pace=meter.pace())


def _complete_events(opened: OpenStream) -> Iterator[EventBlock | None]:
    """Yield the events of an answer, and keep none that was yielded."""
    if opened.first is not None:
        yield _take_first(opened)
    for piece in opened.pieces:
        yield opened.splitter.feed(piece)


def _take_first(opened: OpenStream) -> EventBlock | None:
    first = opened.first
    opened.first = None
    return first


def _finish_attempt(
    run: StreamRun, opened: OpenStream, result: AttemptResult
) -> None:
    status = opened.reply.status
    opened.reply.return_connection()
    end_attempt(
        run.exchange, opened.placement, result, status, opened.started_at
    )


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
