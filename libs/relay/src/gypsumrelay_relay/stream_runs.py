"""State of a streamed request over all of its attempts."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_dispatch import Ending

from gypsumrelay_relay.attempts import (
    NOT_RUN_ENDINGS,
    AttemptResult,
    end_attempt,
)
from gypsumrelay_relay.prefill import Cache, free_cache

if TYPE_CHECKING:
    from gypsumrelay_http import BoundedSocket

    from gypsumrelay_relay.eventstream import EventBlock, EventSplitter
    from gypsumrelay_relay.exchange import Exchange
    from gypsumrelay_relay.placement import Placement
    from gypsumrelay_relay.sending import Reply
    from gypsumrelay_relay.substitution import Substitution

# Number of decode upstreams to which one KV cache is offered; the first may
# lack the memory for it.
MAX_CACHE_OFFERS: Final = 2


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
        silent: The connection of an attempt whose upstream is silent, while a
            substitute is started.
        successor: The stream that replaces the one of a silent upstream.
        substitution: Requests placements while an upstream is silent.
        has_started: Whether the caller has started to read the answer.
        was_prefilled: Whether a prefill of the prompt has succeeded.
        version: Software version that began the stream, the only one that may
            go on with it; empty before the first event and where unknown.
        resumes: Digest of the start of the stream that the caller takes up;
            empty for a new stream.
    """

    exchange: Exchange
    last_event: str
    substitution: Substitution = attrs.field(init=False)
    cache: Cache | None = None
    unfetched: int = 0
    current: OpenStream | None = None
    silent: BoundedSocket | None = None
    successor: OpenStream | None = None
    has_started: bool = False
    was_prefilled: bool = False
    version: str = ''
    resumes: bytes = b''

    @property
    def may_resume(self) -> bool:
        """Return whether the stream may be resumed at another upstream."""
        exchange = self.exchange
        route = exchange.admitted.route
        return (
            route.resumable
            and not (self.has_started and not self.version)
            and exchange.cancellation.cause is None
            and exchange.runs < route.max_attempts
        )


def count_result(run: StreamRun, result: AttemptResult) -> None:
    """Drop the KV cache of an attempt that may have run.

    An attempt is counted when it is sent; one that did not run counts no more.
    """
    if result.ending in NOT_RUN_ENDINGS:
        run.exchange.runs -= 1
    if result.ending is Ending.unfetched:
        _count_unfetched(run)
    elif result.ending not in NOT_RUN_ENDINGS:
        run.cache = None


def close_silent(run: StreamRun) -> None:
    """Close the connection to the silent upstream, if there is one.

    An upstream must not go on with a stream that another one resumes.
    """
    if run.silent is not None:
        run.silent.interrupt()
        run.silent = None


def has_resumed(run: StreamRun) -> bool:
    """Return whether the silent upstream goes on with its answer."""
    return run.silent is not None and run.silent.has_bytes()


def take_successor(run: StreamRun) -> OpenStream | None:
    """Return and forget the stream that replaces a silent upstream's."""
    successor = run.successor
    run.successor = None
    return successor


def _count_unfetched(run: StreamRun) -> None:
    """Drop a KV cache after `MAX_CACHE_OFFERS` upstreams did not fetch it."""
    cache = run.cache
    if cache is None:
        return
    run.unfetched += 1
    if run.unfetched >= MAX_CACHE_OFFERS:
        run.exchange.excluded.add(cache.upstream)
        run.unfetched = 0
        drop_cache(run)


def abort_attempt(
    run: StreamRun, opened: OpenStream, result: AttemptResult
) -> None:
    """Close the stream of an attempt, and end the attempt."""
    opened.reply.close()
    status = opened.reply.status
    end_attempt(
        run.exchange, opened.placement, result, status, opened.started_at
    )


def drop_cache(run: StreamRun) -> None:
    """Free the KV cache that no decode upstream has fetched, if any."""
    cache = run.cache
    run.cache = None
    if cache is not None:
        free_cache(run.exchange, cache)
