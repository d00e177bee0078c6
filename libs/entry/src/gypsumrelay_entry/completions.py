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
from gypsumrelay_entry.idempotency import KeyClaim, keyed_request
from gypsumrelay_entry.mailboxes import Mailbox
from gypsumrelay_entry.modelrun import ModelRun
from gypsumrelay_entry.prompts import ModelRequest, parse_model_request
from gypsumrelay_entry.responses import (
    STREAM_DONE,
    ResponseMetadata,
    failure_body,
    new_metadata,
    usage_object,
)

STREAM_HEADERS: Final = (
    ('Content-Type', 'text/event-stream'),
    ('Cache-Control', 'no-store'),
)
JSON_HEADERS: Final = (('Content-Type', 'application/json'),)
MS_PER_SECOND: Final = 1000
# Lifetime of the claim of an idempotency key. Agents cancel a run after at most
# ten minutes.
KEY_LIFETIME_SECONDS: Final = 600.0

ModelEvents = Iterator[Tokens | Finished | Failure]


@attrs.frozen
class ModelResponse:
    """Response to a model request that is being produced.

    Attributes:
        exchange: The HTTP exchange with the caller.
        run: The model request over all its attempts.
        mailbox: Mailbox of the request.
        metadata: Fields that are common to all events of the response.
    """

    exchange: Exchange
    run: ModelRun
    mailbox: Mailbox
    metadata: ResponseMetadata

    def events(self) -> ModelEvents:
        """Yield the events of the run, then close its mailbox."""
        try:
            yield from self.run.run()
        finally:
            self.exchange.entry.mailboxes.close(self.mailbox)

    def usage(self) -> dict[str, int]:
        """Return the `usage` object for the output so far."""
        progress = self.run.progress
        return usage_object(progress.prompt_tokens, progress.next_index)

    def report_first_token(self) -> None:
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
        entry.replica,
        entry.settings.evidence,
    )
    if isinstance(caller, Failure):
        return exchange.reject(caller)
    body = exchange.read_body()
    if isinstance(body, Failure):
        return exchange.reject(body)
    request = _parse_request(exchange, caller, body, is_chat=is_chat)
    if isinstance(request, Failure):
        return exchange.reject(request)
    run = _new_run(exchange, caller, request, body)
    run.accepted_at = accepted_at
    metadata = new_metadata(exchange.request_id, request)
    response = ModelResponse(exchange, run, run.mailbox, metadata)
    return (
        _stream_response(response)
        if request.stream
        else _non_streaming_response(response)
    )


def _new_run(
    exchange: Exchange,
    caller: Caller,
    request: ModelRequest,
    body: bytes,
) -> ModelRun:
    entry = exchange.entry
    now = monotonic()
    mailbox = entry.mailboxes.open(
        exchange.request_id, exchange.new_abort_check(caller)
    )
    keyed = keyed_request(
        exchange.environ,
        caller.contract.client_account,
        body,
        durable=False,
    )
    deadline = now + KEY_LIFETIME_SECONDS
    key_claim = KeyClaim(entry, mailbox, keyed, deadline) if keyed else None
    return ModelRun(entry, caller, request, mailbox, now, key_claim)


def list_models(exchange: Exchange) -> Chunks:
    """Return the list of the models in the caller's contract."""
    entry = exchange.entry
    caller = authenticate(
        exchange.environ,
        entry.replica,
        entry.settings.evidence,
    )
    if isinstance(caller, Failure):
        return exchange.reject(caller)
    models = [
        {'id': name, 'object': 'model', 'owned_by': 'gypsumrelay'}
        for name in caller.contract.models
    ]
    exchange.begin_response(HTTPStatus.OK, JSON_HEADERS)
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
        exchange.entry.replica.state,
        caller.contract,
        is_chat=is_chat,
    )


def _stream_response(response: ModelResponse) -> Chunks:
    """Return a streaming response.

    A failure before the first token becomes an error response in JSON.
    """
    events = response.events()
    first = next(events, None)
    if isinstance(first, Failure):
        return response.exchange.reject(first)
    response.report_first_token()
    response.exchange.entry.metrics.count('entry.accepted')
    response.exchange.begin_response(HTTPStatus.OK, STREAM_HEADERS)
    return _stream_events(response, first, events)


def _stream_events(
    response: ModelResponse,
    first: Tokens | Finished | None,
    events: ModelEvents,
) -> Iterator[bytes]:
    prefix = response.metadata.stream_prefix()
    suffix = response.metadata.stream_suffix()
    event: Tokens | Finished | Failure | None = first
    with closing(events):  # type: ignore[type-var]
        while event is not None:
            if isinstance(event, Tokens):
                text = json.dumps(event.text.decode('utf-8', 'replace'))
                yield b''.join((prefix, text.encode(), suffix))
            elif isinstance(event, Finished):
                yield response.metadata.final_event(
                    event.reason, response.usage()
                )
                yield STREAM_DONE
                response.exchange.entry.metrics.count('entry.answered')
            else:
                response.exchange.entry.metrics.count('entry.failed')
                yield (
                    b'data: '
                    + failure_body(_with_failed_outcome(event))
                    + b'\n\n'
                )
            event = next(events, None)


def _non_streaming_response(response: ModelResponse) -> Chunks:
    reason = None
    for event in response.events():
        if isinstance(event, Failure):
            return response.exchange.reject(_with_run_outcome(response, event))
        if isinstance(event, Finished):
            reason = event.reason
    if reason is None:
        return response.exchange.reject(UpstreamFailed('the answer broke off'))
    text = response.run.progress.output_text()
    response.exchange.entry.metrics.count('entry.accepted')
    response.exchange.entry.metrics.count('entry.answered')
    response.exchange.begin_response(HTTPStatus.OK, JSON_HEADERS)
    return [response.metadata.complete_body(text, reason, response.usage())]


def _with_run_outcome(response: ModelResponse, failure: Failure) -> Failure:
    """Return the failure, with outcome `failed` if tokens were generated."""
    if response.run.progress.next_index:
        return _with_failed_outcome(failure)
    return failure


def _with_failed_outcome(failure: Failure) -> Failure:
    if failure.outcome is not Outcome.not_run:
        return failure
    return attrs.evolve(failure, outcome=Outcome.failed)
