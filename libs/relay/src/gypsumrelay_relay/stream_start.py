"""Start of a stream: placement, prefill and decode, with retries."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final, TypeGuard

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import Ending
from gypsumrelay_errors import Failure, Outcome, UpstreamFailed
from gypsumrelay_http import Silence

from gypsumrelay_relay.attempts import (
    FIRST_SERVER_ERROR,
    NOT_RUN_ENDINGS,
    AttemptResult,
    classify_reply,
    end_attempt,
    send_request,
    timeout_failure,
    wait_for_placement,
)
from gypsumrelay_relay.buffers import held_pieces
from gypsumrelay_relay.coordination.reports import report_end
from gypsumrelay_relay.eventstream import EventSplitter
from gypsumrelay_relay.exchange import CompleteAnswer
from gypsumrelay_relay.prefill import MS_PER_SECOND, Cache, run_prefill
from gypsumrelay_relay.protocol import AddedHeaders
from gypsumrelay_relay.sending import (
    EVENT_BYTES,
    Reply,
    SendFailed,
    io_errors,
)
from gypsumrelay_relay.stream_runs import (
    OpenStream,
    StreamRun,
    close_silent,
    count_result,
    drop_cache,
    has_resumed,
    take_successor,
)
from gypsumrelay_relay.substitution import Substitution

if TYPE_CHECKING:
    from gypsumrelay_dispatch import PlacementRequest
    from gypsumrelay_http import BoundedSocket

    from gypsumrelay_relay.exchange import Exchange
    from gypsumrelay_relay.placement import Placement

# Time in seconds without an event after which a substitute of an upstream is
# requested; callers leave after two seconds.
SILENCE_SECONDS: Final = 1.3
# Time in seconds for which a substitute may answer before the stream of the
# silent upstream is closed. If it answers later, both may run.
OVERLAP_SECONDS: Final = 0.25
# Reason for which a substitute is given up.
RESUMED: Final = 'the silent upstream goes on'
# Status from which on an answer is not a stream.
FIRST_REDIRECTION: Final = 300
# Endings of answers that are an error of the upstream or of the request.
ERROR_ENDINGS: Final = frozenset((Ending.failed, Ending.answered))
# Age in seconds up to which a KV cache is offered to a decode upstream; caches
# expire after 0.5 s, and fetching one takes time.
CACHE_OFFER_SECONDS: Final = 0.4
# Limit of placement requests for one request; bounds the load of a request
# whose attempts keep failing.
MAX_PLACEMENTS: Final = 5


def open_stream(run: StreamRun) -> OpenStream | CompleteAnswer | Failure:
    """Retry at other upstreams until a stream starts or no retry is left."""
    last: CompleteAnswer | Failure | None = None
    placements_left = MAX_PLACEMENTS
    while placements_left:
        placements_left -= 1
        outcome = _request_and_run(run)
        run.substitution.withdraw()
        outcome = take_successor(run) or outcome
        if isinstance(outcome, OpenStream) or _is_final(outcome, run):
            return outcome
        if not isinstance(outcome, AttemptResult):
            last = last if isinstance(last, CompleteAnswer) else outcome
        if not _may_retry(run, outcome):
            break
    drop_cache(run)
    return _last_failure(run, last)


def start_run(exchange: Exchange) -> StreamRun:
    """Return the state of a request that has not been placed yet."""
    headers = exchange.admitted.headers
    run = StreamRun(exchange, headers.last_event)
    if headers.resumes:
        run.resumes = exchange.stream_digest(headers.resumes)
    run.substitution = Substitution(
        exchange, partial(_next_placement_request, run)
    )
    return run


def limit_next_event(
    run: StreamRun, placement: Placement, reply: Reply
) -> None:
    """Set the time limit for the next complete event.

    Bytes that complete no event do not extend it. The limit does not apply
    while the caller is slow to read.
    """
    silence = _silence(run, placement, monotonic() + SILENCE_SECONDS)
    reply.set_limits(run.exchange.deadline, silence=silence)


def _silence(
    run: StreamRun, placement: Placement, begins_at: float
) -> Silence | None:
    run.substitution.restart(monotonic() + SILENCE_SECONDS)
    if not run.exchange.admitted.route.resumable:
        return None
    return Silence(begins_at, partial(_is_replaced, run, placement))


def _is_replaced(
    run: StreamRun, placement: Placement, sock: BoundedSocket
) -> bool:
    """Try to open the stream at a substitute of a silent upstream.

    The silent one may go on before that. A substitute that has not answered
    in time is given up if the silent one goes on, and replaces it otherwise.
    """
    if has_resumed(run):
        return True
    close_silent(run)
    exchange = run.exchange
    if not run.may_resume:
        return False
    exchange.excluded.add(placement.upstream)
    granted = run.substitution.poll()
    if granted is None:
        return False
    cache, outer = run.cache, run.silent
    run.cache = None
    run.silent = sock
    outcome = _attempt(run, granted)
    drop_cache(run)
    run.cache = cache
    run.silent = outer
    if isinstance(outcome, OpenStream):
        run.successor = outcome
    if run.successor is None:
        exchange.cancellation.set_interrupt(sock.interrupt)
    return run.successor is not None


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
    drop_cache(run)
    return AttemptResult(Ending.rejected, placement.sentence)


def _next_placement_request(run: StreamRun) -> PlacementRequest:
    """Return the next placement request.

    With a KV cache it waits no longer than the cache can be fetched.
    """
    request = attrs.evolve(
        run.exchange.next_placement_request(),
        resumed=run.has_started,
        version=run.version,
        resumes=run.resumes,
    )
    if run.cache is None:
        return attrs.evolve(request, reread=run.was_prefilled)
    until = run.cache.prefilled_at + CACHE_OFFER_SECONDS
    return attrs.evolve(
        request,
        read=True,
        objective_at=until,
        wait_until=until,
        version=run.version or run.cache.version,
    )


def _attempt(
    run: StreamRun, placement: Placement
) -> OpenStream | CompleteAnswer | AttemptResult:
    """Run the prefill if needed, then start the stream."""
    exchange = run.exchange
    if run.resumes:
        run.version = placement.version
    started_at = monotonic()
    if run.cache is None and placement.prefill:
        outcome = run_prefill(exchange, placement)
        if isinstance(outcome, AttemptResult):
            exchange.excluded.add(placement.prefill)
            report_end(
                exchange.relay.coordination, placement.request, Ending.cancelled
            )
            return AttemptResult(Ending.rejected, outcome.reason)
        run.cache = outcome
        run.was_prefilled = True
    if has_resumed(run):
        return _leave_unused(run, placement)
    return _decode(run, placement, started_at)


def _leave_unused(run: StreamRun, placement: Placement) -> AttemptResult:
    """Give a placement back, since the silent upstream goes on."""
    drop_cache(run)
    report_end(
        run.exchange.relay.coordination, placement.request, Ending.cancelled
    )
    return AttemptResult(Ending.rejected, RESUMED)


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
        urgency=placement.urgency,
    )
    exchange.runs += 1
    patience = OVERLAP_SECONDS if run.silent else SILENCE_SECONDS
    reply = send_request(
        exchange,
        placement.address,
        added,
        exchange.deadline,
        fresh=True,
        silence=_silence(run, placement, monotonic() + patience),
    )
    run.substitution.withdraw()
    if isinstance(reply, SendFailed):
        result = AttemptResult(reply.ending, reply.reason)
        if has_resumed(run):
            result = AttemptResult(Ending.cancelled, RESUMED)
        count_result(run, result)
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
    cache = run.cache
    result = classify_reply(exchange, reply)
    if run.cache is not None and result.ending is Ending.rejected:
        result = AttemptResult(Ending.unfetched, result.reason)
    count_result(run, result)
    is_answered = result.ending is Ending.answered
    if is_answered and reply.status < FIRST_REDIRECTION:
        close_silent(run)
        opened = _first_events(run, placement, reply, started_at)
        if isinstance(opened, OpenStream):
            _record_transfer(exchange, opened, cache)
            return opened
        result = opened
    exchange.excluded.add(placement.upstream)
    answer = _read_error(exchange, reply, result)
    end_attempt(exchange, placement, result, reply.status, started_at)
    return answer or result


def _first_events(
    run: StreamRun,
    placement: Placement,
    reply: Reply,
    started_at: float,
) -> OpenStream | AttemptResult:
    limit_next_event(run, placement, reply)
    pieces = held_pieces(run.exchange, reply)
    splitter = EventSplitter()
    opened = OpenStream(placement, reply, started_at, splitter, None, pieces)
    failures = io_errors()
    try:
        for piece in pieces:
            opened.first = splitter.feed(piece)
            if opened.first is not None:
                return opened
    except failures as error:
        return AttemptResult(Ending.lost, f'the stream was aborted: {error}')
    return opened


def _record_transfer(
    exchange: Exchange, opened: OpenStream, cache: Cache | None
) -> None:
    """Record the time from a prefill to the first event after it.

    A cache from an earlier attempt was not offered to this upstream at once.
    """
    placement = opened.placement
    if cache is None or opened.first is None:
        return
    if cache.upstream == placement.prefill:
        seconds = monotonic() - cache.prefilled_at
        elapsed_ms = int(seconds * MS_PER_SECOND)
        exchange.transfer_ms[placement.request.key] = elapsed_ms
        exchange.relay.metrics.transfer.observe(seconds)


def _read_error(
    exchange: Exchange,
    reply: Reply,
    result: AttemptResult,
) -> CompleteAnswer | None:
    """Read an answer that is no stream; return it if it is an error.

    The caller gets it unless a stream has begun.
    """
    if result.ending is Ending.lost:
        reply.close()
        return None
    failures = io_errors()
    try:
        body = reply.read(exchange.deadline, EVENT_BYTES)
    except failures:
        reply.close()
        return None
    reply.return_connection()
    if result.ending not in ERROR_ENDINGS:
        return None
    headers = exchange.relay.protocol.caller_headers(reply.headers.items())
    return CompleteAnswer(reply.status, headers, (body,))


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


def _is_final(
    outcome: CompleteAnswer | AttemptResult | Failure, run: StreamRun
) -> TypeGuard[CompleteAnswer]:
    """Return whether another upstream would answer with the same error.

    The request may be resumed at another one, since it ran at one already.
    """
    if not isinstance(outcome, CompleteAnswer) or run.has_started:
        return False
    return outcome.status < FIRST_SERVER_ERROR
