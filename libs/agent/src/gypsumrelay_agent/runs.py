"""Runs at the upstream, each in a thread of its own."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Final, Protocol

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_upstreams import Key
from gypsumrelay_wire import (
    AnswerBody,
    AnswerStart,
    Call,
    Decode,
    Finished,
    Message,
    Prefill,
    Prefilled,
    Tokens,
)

from gypsumrelay_agent import events
from gypsumrelay_agent.engine import EngineClient, TokenBatch, UpstreamFault
from gypsumrelay_agent.service import ResponseStart, ServiceClient

PREFILL_TIMEOUT_SECONDS: Final = 60.0
TRANSFER_TIMEOUT_SECONDS: Final = 5.0

PostEvent = Callable[[object], None]


class Output(Protocol):
    """Destination of a run's messages: a link or the response store."""

    def send(self, message: Message) -> object:
        """Send or store a message."""


@attrs.define(eq=False)
class Run:
    """One run at the upstream.

    Attributes:
        key: Attempt that the run belongs to.
        run_id: Id of the run at the upstream.
        link: Destination of the output.
        start_message: Message that started the run.
        prompt_tokens: Number of tokens in the prompt.
        digest: Digest of the request, for crash attribution.
        started_at: Time in seconds at which the run started.
        cancelled: Set when the output is no longer needed.
        used_tokens: Prompt and output tokens processed so far.
    """

    key: Key
    run_id: str
    link: Output
    start_message: Prefill | Decode | Call
    prompt_tokens: int = 0
    digest: bytes = b''
    started_at: float = attrs.field(factory=monotonic)
    cancelled: threading.Event = attrs.field(factory=threading.Event)
    used_tokens: int = 0

    def end_event(
        self,
        fault: UpstreamFault | None,
        seconds_per_unit: float = 0,
        *,
        retains_kv_cache: bool = False,
    ) -> events.RunEnded:
        """Return the event that reports the end of this run."""
        return events.RunEnded(
            self.key,
            self.used_tokens,
            seconds_per_unit,
            fault,
            retains_kv_cache,
        )


def run_prefill(run: Run, engine: EngineClient, post_event: PostEvent) -> None:
    """Run a prefill and send the location of its KV cache to the entry."""
    start_message = run.start_message
    if not isinstance(start_message, Prefill):
        return
    prefilled = _prefill(run, start_message.prompt, engine)
    if isinstance(prefilled, UpstreamFault):
        post_event(run.end_event(prefilled))
        return
    seconds = monotonic() - run.started_at
    computed = max(1, prefilled.prompt_tokens - prefilled.cached_tokens)
    post_event(run.end_event(None, seconds / computed, retains_kv_cache=True))


def _prefill(
    run: Run,
    prompt: str,
    engine: EngineClient,
) -> Prefilled | UpstreamFault:
    """Compute the KV cache of a prompt and notify the entry."""
    computed = engine.prefill(run.run_id, prompt, PREFILL_TIMEOUT_SECONDS)
    if isinstance(computed, UpstreamFault):
        return computed
    prefilled = Prefilled(
        run.key.request_id,
        run.key.attempt,
        computed.handle,
        engine.url,
        computed.prompt_tokens,
        computed.cached_tokens,
    )
    run.used_tokens = prefilled.prompt_tokens
    if not run.cancelled.is_set():
        run.link.send(prefilled)
    return prefilled


def run_decode(run: Run, engine: EngineClient, post_event: PostEvent) -> None:
    """Load the KV cache, then forward tokens until the run ends."""
    start_message = run.start_message
    if not isinstance(start_message, Decode):
        return
    fault = _fetch_cache(run, start_message, engine)
    if fault is not None:
        post_event(run.end_event(fault))
        return
    post_event(events.RunReachedEngine(run.key, start_message.first_index))
    run.used_tokens = run.prompt_tokens + start_message.first_index
    started_at = monotonic()
    fault = _forward_tokens(run, start_message, engine)
    seconds = monotonic() - started_at
    tokens = run.used_tokens - run.prompt_tokens - start_message.first_index
    post_event(run.end_event(fault, seconds / max(1, tokens)))


def _fetch_cache(
    run: Run,
    start_message: Decode,
    engine: EngineClient,
) -> UpstreamFault | None:
    """Import the KV cache into the engine, or compute it there."""
    source = (start_message.source_url, start_message.handle)
    if start_message.prompt:
        prefilled = _prefill(run, start_message.prompt, engine)
        if isinstance(prefilled, UpstreamFault):
            return prefilled
        source = (engine.url, prefilled.handle)
    response = engine.fetch_cache(
        run.run_id,
        source,
        start_message.max_tokens,
        TRANSFER_TIMEOUT_SECONDS,
    )
    return response if isinstance(response, UpstreamFault) else None


def _forward_tokens(
    run: Run,
    start_message: Decode,
    engine: EngineClient,
) -> UpstreamFault | None:
    next_index = start_message.first_index
    stream = engine.decode(
        run.run_id,
        start_message.first_index,
        start_message.max_tokens,
        start_message.priority,
    )
    for batch in stream:
        if run.cancelled.is_set():
            return UpstreamFault('the run was cancelled')
        if isinstance(batch, UpstreamFault):
            return batch
        if batch.first_index != next_index:
            return UpstreamFault('the engine skipped a token index')
        next_index += batch.count
        run.used_tokens = run.prompt_tokens + next_index
        _send_batch(run, batch)
    return None


def _send_batch(run: Run, batch: TokenBatch) -> None:
    if batch.finished:
        run.link.send(
            Finished(
                run.key.request_id,
                run.key.attempt,
                batch.first_index,
                'length',
            ),
        )
        return
    run.link.send(
        Tokens(
            run.key.request_id,
            run.key.attempt,
            batch.first_index,
            batch.count,
            batch.text.encode(),
        ),
    )


def run_service_request(
    run: Run,
    service: ServiceClient,
    deadline: float,
    post_event: PostEvent,
) -> None:
    """Send a request to a plain service and forward its response."""
    start_message = run.start_message
    if not isinstance(start_message, Call):
        return
    fault: UpstreamFault | None = None
    sent_bytes = 0
    run.used_tokens = start_message.cost
    parts = service.call(
        start_message.method,
        start_message.path,
        start_message.headers,
        start_message.body,
        deadline,
    )
    for part in parts:
        if isinstance(part, UpstreamFault):
            fault = part
        elif isinstance(part, ResponseStart):
            run.link.send(_answer_start(run, part))
        else:
            run.link.send(_answer_body(run, sent_bytes, part))
            sent_bytes += len(part)
    if fault is None:
        run.link.send(_answer_body(run, sent_bytes, b'', last=True))
    elif not fault.reached:
        run.used_tokens = 0
    post_event(run.end_event(fault, monotonic() - run.started_at))


def _answer_start(run: Run, start: ResponseStart) -> AnswerStart:
    return AnswerStart(
        run.key.request_id,
        run.key.attempt,
        start.status,
        start.headers,
    )


def _answer_body(
    run: Run,
    first_byte: int,
    chunk: bytes,
    *,
    last: bool = False,
) -> AnswerBody:
    return AnswerBody(
        run.key.request_id,
        run.key.attempt,
        first_byte,
        chunk,
        last,
    )
