"""Responses to requests for plain services."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import closing
from typing import Final

from gypsumrelay_clock import monotonic
from gypsumrelay_configuration import Route, find_route
from gypsumrelay_errors import (
    Failure,
    RouteNotAllowed,
    RouteUnknown,
    UpstreamFailed,
)
from gypsumrelay_wire import AnswerBody, AnswerStart
from logbook import Logger

from gypsumrelay_entry.callers import Caller, authenticate
from gypsumrelay_entry.exchanges import Chunks, Exchange
from gypsumrelay_entry.headers import forwarded_headers, response_headers
from gypsumrelay_entry.idempotency import KeyClaim, keyed_request
from gypsumrelay_entry.mailboxes import Mailbox
from gypsumrelay_entry.prompts import request_digest
from gypsumrelay_entry.servicerun import ServiceRequest, ServiceRun

log = Logger('entry')

MS_PER_SECOND: Final = 1000


def call_service(exchange: Exchange) -> Chunks:
    """Return the response to a request on a configured route."""
    entry = exchange.entry
    route = find_route(
        entry.replica.state,
        exchange.environ['REQUEST_METHOD'],
        exchange.environ['PATH_INFO'],
    )
    if route is None:
        return exchange.reject(RouteUnknown('no route has this path'))
    caller = _authorize(exchange, route)
    if isinstance(caller, Failure):
        return exchange.reject(caller)
    body = exchange.read_body()
    if isinstance(body, Failure):
        return exchange.reject(body)
    account = caller.contract.client_account if caller else ''
    request = _service_request(exchange, route, account, body)
    mailbox = entry.mailboxes.open(
        exchange.request_id, exchange.new_abort_check(caller)
    )
    return _respond(
        exchange,
        _response_parts(exchange, _new_run(exchange, request, mailbox)),
    )


def _authorize(exchange: Exchange, route: Route) -> Caller | Failure | None:
    """Return the caller, None on an open route, or a failure."""
    if route.open:
        return None
    entry = exchange.entry
    caller = authenticate(
        exchange.environ,
        entry.replica,
        entry.settings.evidence,
    )
    if isinstance(caller, Failure):
        return caller
    if route.name not in caller.contract.routes:
        return RouteNotAllowed('the contract does not include this route')
    return caller


def _service_request(
    exchange: Exchange,
    route: Route,
    account: str,
    body: bytes,
) -> ServiceRequest:
    environ = exchange.environ
    path = environ['PATH_INFO']
    query = environ.get('QUERY_STRING')
    return ServiceRequest(
        route=route,
        client_account=account,
        method=environ['REQUEST_METHOD'],
        path=f'{path}?{query}' if query else path,
        headers=forwarded_headers(environ),
        body=body,
        digest=request_digest(account, path.encode() + body),
    )


def _new_run(
    exchange: Exchange,
    request: ServiceRequest,
    mailbox: Mailbox,
) -> ServiceRun:
    route = request.route
    deadline = monotonic() + route.timeout_ms / MS_PER_SECOND
    keyed = keyed_request(
        exchange.environ,
        request.client_account,
        request.body,
        durable=not route.idempotent,
    )
    entry = exchange.entry
    key_claim = KeyClaim(entry, mailbox, keyed, deadline) if keyed else None
    return ServiceRun(entry, request, mailbox, deadline, key_claim)


def _response_parts(
    exchange: Exchange,
    run: ServiceRun,
) -> Iterator[AnswerStart | AnswerBody | Failure]:
    try:
        yield from run.run()
    finally:
        exchange.entry.mailboxes.close(run.mailbox)


def _respond(
    exchange: Exchange,
    parts: Iterator[AnswerStart | AnswerBody | Failure],
) -> Chunks:
    first = next(parts, None)
    if isinstance(first, Failure):
        return exchange.reject(first)
    if not isinstance(first, AnswerStart):
        return exchange.reject(UpstreamFailed('the answer has no start'))
    exchange.entry.metrics.count('entry.accepted')
    exchange.begin_response(first.status, response_headers(first.headers))
    return _body_chunks(exchange, parts)


def _body_chunks(
    exchange: Exchange,
    parts: Iterator[AnswerStart | AnswerBody | Failure],
) -> Iterator[bytes]:
    with closing(parts):  # type: ignore[type-var]
        for part in parts:
            if isinstance(part, AnswerBody):
                yield part.chunk
            elif isinstance(part, Failure):
                # The status is already sent, so only a closed connection can
                # show the caller that the response is incomplete.
                log.warning('Service response aborted: {}.', part.sentence)
                raise ConnectionError(part.sentence)
        exchange.entry.metrics.count('entry.answered')
