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
from gypsumrelay_agent.service import ServiceClient, ServiceStart

PREFILL_SECONDS: Final = 60.0
TRANSFER_SECONDS: Final = 5.0

Tell = Callable[[object], None]


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
        order: Message that started the run.
        prompt_tokens: Number of tokens in the prompt.
        digest: Digest of the request, for crash attribution.
        started_at: Time in seconds at which the run started.
        cancelled: Set when the output is no longer needed.
        used_tokens: Prompt and output tokens processed so far.
    """

    key: Key
    run_id: str
    link: Output
    order: Prefill | Decode | Call
    prompt_tokens: int = 0
    digest: bytes = b''
    started_at: float = attrs.field(factory=monotonic)
    cancelled: threading.Event = attrs.field(factory=threading.Event)
    used_tokens: int = 0

    def ended(
        self,
        fault: UpstreamFault | None,
        seconds_per_unit: float = 0,
        *,
        keeps_result: bool = False,
    ) -> events.RunEnded:
        """Return the event that reports the end of this run."""
        return events.RunEnded(
            self.key,
            self.used_tokens,
            seconds_per_unit,
            fault,
            keeps_result,
        )


def run_prefill(run: Run, engine: EngineClient, tell: Tell) -> None:
    """Run a prefill and send the location of its KV cache to the entry."""
    order = run.order
    if not isinstance(order, Prefill):
        return
    prefilled = _prefill(run, order.prompt, engine)
    if isinstance(prefilled, UpstreamFault):
        tell(run.ended(prefilled))
        return
    seconds = monotonic() - run.started_at
    computed = max(1, prefilled.prompt_tokens - prefilled.cached_tokens)
    tell(run.ended(None, seconds / computed, keeps_result=True))


def _prefill(
    run: Run,
    prompt: str,
    engine: EngineClient,
) -> Prefilled | UpstreamFault:
    """Compute the KV cache of a prompt and notify the entry."""
    answer = engine.prefill(run.run_id, prompt, PREFILL_SECONDS)
    if isinstance(answer, UpstreamFault):
        return answer
    prefilled = Prefilled(
        run.key.request_id,
        run.key.attempt,
        str(answer['handle']),
        engine.url,
        int(answer['prompt_tokens']),
        int(answer['cached_tokens']),
    )
    run.used_tokens = prefilled.prompt_tokens
    if not run.cancelled.is_set():
        run.link.send(prefilled)
    return prefilled


def run_decode(run: Run, engine: EngineClient, tell: Tell) -> None:
    """Load the KV cache, then forward tokens until the run ends."""
    order = run.order
    if not isinstance(order, Decode):
        return
    fault = _fetch_cache(run, order, engine)
    if fault is not None:
        tell(run.ended(fault))
        return
    tell(events.RunLanded(run.key, order.first_index))
    run.used_tokens = run.prompt_tokens + order.first_index
    started_at = monotonic()
    fault = _pass_tokens(run, order, engine)
    seconds = monotonic() - started_at
    tokens = run.used_tokens - run.prompt_tokens - order.first_index
    tell(run.ended(fault, seconds / max(1, tokens)))


def _fetch_cache(
    run: Run,
    order: Decode,
    engine: EngineClient,
) -> UpstreamFault | None:
    """Import the KV cache into the engine, or compute it there."""
    source = (order.source_url, order.handle)
    if order.prompt:
        prefilled = _prefill(run, order.prompt, engine)
        if isinstance(prefilled, UpstreamFault):
            return prefilled
        source = (engine.url, prefilled.handle)
    answer = engine.fetch_cache(
        run.run_id,
        source,
        order.max_tokens,
        TRANSFER_SECONDS,
    )
    return answer if isinstance(answer, UpstreamFault) else None


def _pass_tokens(
    run: Run,
    order: Decode,
    engine: EngineClient,
) -> UpstreamFault | None:
    next_index = order.first_index
    stream = engine.decode(
        run.run_id,
        order.first_index,
        order.max_tokens,
        order.priority,
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


def run_call(
    run: Run,
    service: ServiceClient,
    deadline: float,
    tell: Tell,
) -> None:
    """Send a request to a plain service and forward its response."""
    order = run.order
    if not isinstance(order, Call):
        return
    fault: UpstreamFault | None = None
    sent_bytes = 0
    run.used_tokens = order.cost
    parts = service.call(
        order.method,
        order.path,
        order.headers,
        order.body,
        deadline,
    )
    for part in parts:
        if isinstance(part, UpstreamFault):
            fault = part
        elif isinstance(part, ServiceStart):
            run.link.send(_answer_start(run, part))
        else:
            run.link.send(_answer_body(run, sent_bytes, part))
            sent_bytes += len(part)
    if fault is None:
        run.link.send(_answer_body(run, sent_bytes, b'', last=True))
    elif not fault.reached:
        run.used_tokens = 0
    tell(run.ended(fault, monotonic() - run.started_at))


def _answer_start(run: Run, start: ServiceStart) -> AnswerStart:
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
