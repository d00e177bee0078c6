"""WSGI application of the caller API: model requests and services."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Draining

from gypsumrelay_entry.completions import complete, list_models
from gypsumrelay_entry.exchanges import (
    Chunks,
    CountedBody,
    Exchange,
    StartResponse,
)
from gypsumrelay_entry.services import call_service

if TYPE_CHECKING:
    from gypsumrelay_entry.context import Entry

CHAT_PATH: Final = '/v1/chat/completions'
COMPLETION_PATH: Final = '/v1/completions'
MODELS_PATH: Final = '/v1/models'
DRAIN_RETRY_SECONDS: Final = 1.0
ID_BYTES: Final = 12


def caller_application(entry: Entry) -> Callable[..., Chunks]:
    """Return the WSGI application of the caller API."""

    def respond(
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Chunks:
        request_id = f'req-{secrets.token_hex(ID_BYTES)}'
        exchange = Exchange(entry, environ, start_response, request_id)
        entry.open_requests.begin()
        try:
            chunks = _dispatch(exchange)
        except BaseException:
            entry.open_requests.end()
            raise
        return CountedBody(entry, chunks)

    return respond


def _dispatch(exchange: Exchange) -> Chunks:
    if exchange.entry.open_requests.draining:
        retry_at = monotonic() + DRAIN_RETRY_SECONDS
        return exchange.reject(
            Draining('this instance shuts down', retry_at=retry_at),
        )
    method = exchange.environ['REQUEST_METHOD']
    path = exchange.environ['PATH_INFO']
    if method == 'POST' and path in {CHAT_PATH, COMPLETION_PATH}:
        return complete(exchange, is_chat=path == CHAT_PATH)
    if (method, path) == ('GET', MODELS_PATH):
        return list_models(exchange)
    return call_service(exchange)
