"""Streaming and non-streaming responses to model requests."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import closing
from http import HTTPStatus
from typing import Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure, Outcome, UpstreamFailed
from gypsumrelay_wire import Finished, Tokens

from gypsumrelay_entry.callers import Caller, authenticate
from gypsumrelay_entry.exchanges import Chunks, Exchange
from gypsumrelay_entry.idempotency import KeyUse, keyed_request
from gypsumrelay_entry.mailboxes import Mailbox
from gypsumrelay_entry.modelrun import ModelRun
from gypsumrelay_entry.prompts import ModelRequest, parse_model_request
from gypsumrelay_entry.responses import (
    DONE,
    AnswerHead,
    failure_body,
    new_head,
    usage_of,
)

STREAM_HEADERS: Final = (
    ('Content-Type', 'text/event-stream'),
    ('Cache-Control', 'no-store'),
)
JSON_HEADERS: Final = (('Content-Type', 'application/json'),)
MS_PER_SECOND: Final = 1000
# Agents cancel a run after at most ten minutes.
FOLLOW_SECONDS: Final = 600.0

Events = Iterator[Tokens | Finished | Failure]


@attrs.frozen
class Answer:
    """Response to a model request that is being produced.

    Attributes:
        exchange: The HTTP exchange with the caller.
        run: The model request over all its attempts.
        box: Mailbox of the request.
        head: Fields that are common to all events of the response.
    """

    exchange: Exchange
    run: ModelRun
    box: Mailbox
    head: AnswerHead

    def events(self) -> Events:
        """Yield the events of the run, then close its mailbox."""
        try:
            yield from self.run.run()
        finally:
            self.exchange.entry.mailboxes.close(self.box)

    def usage(self) -> dict[str, int]:
        """Return the `usage` object for the output so far."""
        progress = self.run.progress
        return usage_of(progress.prompt_tokens, progress.next_index)

    def note_first_token(self) -> None:
        """Report the time to the first token as a metric."""
        seconds = monotonic() - self.run.accepted_at
        metrics = self.exchange.entry.metrics
        metrics.timing('entry.first_token', seconds * MS_PER_SECOND)


def complete(exchange: Exchange, *, is_chat: bool) -> Chunks:
    """Return the response to a completion request."""
    accepted_at = monotonic()
    entry = exchange.entry
    caller = authenticate(
        exchange.environ,
        entry.keeper,
        entry.settings.evidence,
    )
    if isinstance(caller, Failure):
        return exchange.refuse(caller)
    body = exchange.read_body()
    if isinstance(body, Failure):
        return exchange.refuse(body)
    request = _parse_request(exchange, caller, body, is_chat=is_chat)
    if isinstance(request, Failure):
        return exchange.refuse(request)
    run = _new_run(exchange, caller, request, body)
    run.accepted_at = accepted_at
    head = new_head(exchange.request_id, request)
    answer = Answer(exchange, run, run.box, head)
    return _stream(answer) if request.stream else _whole(answer)


def _new_run(
    exchange: Exchange,
    caller: Caller,
    request: ModelRequest,
    body: bytes,
) -> ModelRun:
    entry = exchange.entry
    now = monotonic()
    box = entry.mailboxes.open(exchange.request_id, exchange.check(caller))
    keyed = keyed_request(
        exchange.environ,
        caller.contract.client_account,
        body,
        durable=False,
    )
    deadline = now + FOLLOW_SECONDS
    key_use = KeyUse(entry, box, keyed, deadline) if keyed else None
    return ModelRun(entry, caller, request, box, now, key_use)


def list_models(exchange: Exchange) -> Chunks:
    """Return the list of the models in the caller's contract."""
    entry = exchange.entry
    caller = authenticate(
        exchange.environ,
        entry.keeper,
        entry.settings.evidence,
    )
    if isinstance(caller, Failure):
        return exchange.refuse(caller)
    models = [
        {'id': name, 'object': 'model', 'owned_by': 'gypsumrelay'}
        for name in caller.contract.models
    ]
    exchange.begin(HTTPStatus.OK, JSON_HEADERS)
    return [json.dumps({'object': 'list', 'data': models}).encode()]


def _parse_request(
    exchange: Exchange,
    caller: Caller,
    body: bytes,
    *,
    is_chat: bool,
) -> ModelRequest | Failure:
    return parse_model_request(
        body,
        exchange.entry.keeper.state,
        caller.contract,
        is_chat=is_chat,
    )


def _stream(answer: Answer) -> Chunks:
    """Return a streaming response.

    A failure before the first token becomes an error response in JSON.
    """
    events = answer.events()
    first = next(events, None)
    if isinstance(first, Failure):
        return answer.exchange.refuse(first)
    answer.note_first_token()
    answer.exchange.entry.metrics.count('entry.accepted')
    answer.exchange.begin(HTTPStatus.OK, STREAM_HEADERS)
    return _stream_events(answer, first, events)


def _stream_events(
    answer: Answer,
    first: Tokens | Finished | None,
    events: Events,
) -> Iterator[bytes]:
    prefix = answer.head.stream_prefix()
    suffix = answer.head.stream_suffix()
    event: Tokens | Finished | Failure | None = first
    with closing(events):  # type: ignore[type-var]
        while event is not None:
            if isinstance(event, Tokens):
                text = json.dumps(event.text.decode('utf-8', 'replace'))
                yield b''.join((prefix, text.encode(), suffix))
            elif isinstance(event, Finished):
                yield answer.head.stream_end(event.reason, answer.usage())
                yield DONE
                answer.exchange.entry.metrics.count('entry.answered')
            else:
                answer.exchange.entry.metrics.count('entry.failed')
                yield b'data: ' + failure_body(_as_failed(event)) + b'\n\n'
            event = next(events, None)


def _whole(answer: Answer) -> Chunks:
    reason = None
    for event in answer.events():
        if isinstance(event, Failure):
            return answer.exchange.refuse(_after_start(answer, event))
        if isinstance(event, Finished):
            reason = event.reason
    if reason is None:
        return answer.exchange.refuse(UpstreamFailed('the answer broke off'))
    text = answer.run.progress.emitted()
    answer.exchange.entry.metrics.count('entry.accepted')
    answer.exchange.entry.metrics.count('entry.answered')
    answer.exchange.begin(HTTPStatus.OK, JSON_HEADERS)
    return [answer.head.whole(text, reason, answer.usage())]


def _after_start(answer: Answer, failure: Failure) -> Failure:
    """Return the failure, with outcome `failed` if tokens were generated."""
    if answer.run.progress.next_index:
        return _as_failed(failure)
    return failure


def _as_failed(failure: Failure) -> Failure:
    if failure.outcome is not Outcome.not_run:
        return failure
    return attrs.evolve(failure, outcome=Outcome.failed)
