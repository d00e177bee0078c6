"""The WSGI application: admission of requests and dispatch by kind."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import (
    BodyMalformed,
    BodyTooLarge,
    BuffersFull,
    ConfigurationMissing,
    Failure,
    KeyMissing,
    KeyUnknown,
    RouteUnknown,
    TokensOutOfRange,
)

from gypsumrelay_relay.buffers import holds_of, take_body
from gypsumrelay_relay.cancellation import Cancellation
from gypsumrelay_relay.digests import (
    content_digest,
    fraction_of,
    part_digests,
    short_digest,
)
from gypsumrelay_relay.events import requests as request_events
from gypsumrelay_relay.exchange import (
    RETRY_DECIMALS,
    Admitted,
    Chunks,
    Exchange,
    StartResponse,
    respond_with,
)
from gypsumrelay_relay.model_requests import answer_model
from gypsumrelay_relay.plain_requests import answer_plain
from gypsumrelay_relay.routes import (
    Account,
    Configuration,
    Route,
    choose_target,
    find_route,
)
from gypsumrelay_relay.startup import arrival, first_configuration
from gypsumrelay_relay.store_epoch import epoch_of, offset_of

if TYPE_CHECKING:
    from gypsumrelay_dispatch import ServiceLimits

    from gypsumrelay_relay.context import Relay
    from gypsumrelay_relay.protocol import CallerHeaders

MS_PER_SECOND: Final = 1000
# Delay in seconds after which a new relay is expected to have a configuration.
CONFIGURATION_RETRY_SECONDS: Final = 0.5
# Valid request targets; any other could not be forwarded, which would look like
# an error of the upstream.
_TARGET: Final = re.compile('[!-~]+')
# Time in seconds before the caller's deadline at which the final answer is
# sent, so that it arrives in time.
ANSWER_MARGIN_SECONDS: Final = 0.03
# Number of characters of an id from a caller's header that log lines show.
SHOWN_CHARACTERS: Final = 64


@attrs.define(eq=False)
class WatchedAnswer:
    """An answer whose request is watched until the answer is closed."""

    relay: Relay
    cancellation: Cancellation
    chunks: Chunks

    def __iter__(self) -> Iterator[bytes]:
        """Return an iterator over the answer's chunks."""
        return iter(self.chunks)

    def close(self) -> None:
        """Close the answer and stop watching its request."""
        self.relay.watcher.remove(self.cancellation)
        close_chunks = getattr(self.chunks, 'close', None)
        if close_chunks is not None:
            close_chunks()


def application(relay: Relay) -> Callable[..., Chunks]:
    """Return the WSGI application for callers."""

    def respond(
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Chunks:
        arrived_at = monotonic()
        is_disconnected = environ['waitress.client_disconnected']
        # A method of the connection.
        channel = getattr(is_disconnected, '__self__', None)
        sock = getattr(channel, 'socket', None)
        # Before the wait for the configuration, which the kernel would count.
        started_at = arrival(relay.phases, sock, arrived_at)
        admitted = refuse_unheld(relay, environ) or admit(
            relay, environ, arrived_at
        )
        if isinstance(admitted, Failure):
            return _reject(relay, admitted, environ, start_response)
        deadline = request_deadline(admitted, started_at)
        cancellation = Cancellation(deadline, is_disconnected)
        exchange = Exchange(
            relay,
            environ,
            start_response,
            admitted,
            cancellation,
            arrived_at,
            deadline,
        )
        relay.watcher.add(cancellation)
        try:
            return WatchedAnswer(relay, cancellation, _dispatch(exchange))
        except BaseException:
            relay.watcher.remove(cancellation)
            raise

    return respond


def refuse_unheld(relay: Relay, environ: dict[str, Any]) -> Failure | None:
    """Return the failure of a request for whose body there was no memory."""
    size = holds_of(environ).body.refused
    if not size:
        return None
    retry_at = relay.memory.retry_at(size)
    return BuffersFull('no memory for the body now', retry_at=retry_at)


def admit(
    relay: Relay,
    environ: dict[str, Any],
    arrived_at: float,
) -> Admitted | Failure:
    """Match a request to its route and client account, and read its body.

    If the whole fleet starts at once, requests arrive before the first
    configuration, which follows shortly.
    """
    if not _TARGET.fullmatch(str(environ['REQUEST_URI'])):
        return BodyMalformed('the target has characters that no URL can have')
    headers = relay.protocol.read_caller(environ)
    if isinstance(headers, Failure):
        return headers
    size = int(environ.get('CONTENT_LENGTH') or 0)
    state = first_configuration(relay, headers.wait_ms, size, arrived_at)
    if state is None:
        retry_at = monotonic() + CONFIGURATION_RETRY_SECONDS
        return ConfigurationMissing('no configuration yet', retry_at=retry_at)
    configuration = state.configuration
    path = str(environ['REQUEST_URI']).partition('?')[0]
    route = find_route(configuration, environ.get('HTTP_HOST', ''), path)
    if route is None:
        return RouteUnknown('no route has this host and path')
    account = _account(configuration, route, headers)
    if isinstance(account, Failure):
        return account
    body = take_body(environ)
    if len(body) > configuration.limits.body_bytes:
        return BodyTooLarge('the body is larger than allowed')
    # A request that goes on with a stream gets the service that began it.
    service = choose_target(
        route, fraction_of(headers.resumes or headers.request_id)
    )
    return Admitted(headers, configuration, route, service, account, body)


def _account(
    configuration: Configuration,
    route: Route,
    headers: CallerHeaders,
) -> Account | Failure | None:
    """Return the client account, None on a public route, or a failure."""
    if route.is_public or not configuration.account_limits:
        return None
    if not headers.key:
        return KeyMissing('the request carries no key')
    account = configuration.accounts.get(headers.key)
    return account or KeyUnknown('no account has this key')


def request_deadline(admitted: Admitted, arrived_at: float) -> float:
    """Return the instant at which the caller of a request stops waiting."""
    waits = [admitted.route.timeout_ms]
    if admitted.headers.wait_ms is not None:
        waits.append(admitted.headers.wait_ms)
    return arrived_at + min(waits) / MS_PER_SECOND - ANSWER_MARGIN_SECONDS


def _dispatch(exchange: Exchange) -> Chunks:
    admitted = exchange.admitted
    headers = admitted.headers
    content, parts = _shown_digests(exchange)
    position = exchange.relay.operator_records.position
    exchange.log(
        request_events.Accepted(
            headers.request_id,
            admitted.route.name,
            admitted.service,
            exchange.account_name,
            admitted.configuration.version,
            epoch_of(position),
            offset_of(position),
            headers.tokens,
            headers.expected_tokens,
            exchange.remaining_ms(),
            content,
            parts,
            headers.last_event[:SHOWN_CHARACTERS],
            headers.resumes[:SHOWN_CHARACTERS],
        ),
    )
    service = admitted.configuration.services.get(admitted.service)
    if service is None or not service.memory_tokens:
        return answer_plain(exchange)
    failure = token_failure(service, headers)
    return exchange.reject(failure) if failure else answer_model(exchange)


def _shown_digests(exchange: Exchange) -> tuple[str, str]:
    """Return the digests of the content and of the shared parts to log."""
    admitted = exchange.admitted
    content = content_digest(
        exchange.target, exchange.account_name, admitted.body
    )
    parts = part_digests(admitted.service, admitted.headers.parts)
    return short_digest(content), ','.join(map(short_digest, parts))


def token_failure(
    service: ServiceLimits, headers: CallerHeaders
) -> Failure | None:
    """Return why no upstream of a model can run a request, None if one can."""
    if not headers.prompt_tokens:
        return BodyMalformed('the token counts are missing')
    if headers.prompt_tokens >= service.memory_tokens:
        return TokensOutOfRange('no upstream can hold the prompt')
    return None


def _reject(
    relay: Relay,
    failure: Failure,
    environ: dict[str, Any],
    start_response: StartResponse,
) -> Chunks:
    """Answer a request that was not admitted."""
    state = relay.operator_records.state
    caller_headers = relay.protocol.read_caller(environ)
    seconds: float = 0
    if failure.retry_at is not None:
        seconds = round(max(0, failure.retry_at - monotonic()), RETRY_DECIMALS)
    relay.output.decide(
        request_events.RequestRejected.event,
        attrs.asdict(
            request_events.RequestRejected(
                ''
                if isinstance(caller_headers, Failure)
                else caller_headers.request_id,
                failure.code,
                failure.http_status,
                failure.outcome.value,
                int(seconds * MS_PER_SECOND),
                0,
                0,
                state.configuration.version if state else 0,
                failure.sentence,
            ),
        ),
        routine=False,
    )
    relay.metrics.count_refused(failure.code)
    headers = [('Content-Type', 'application/json')]
    if failure.retry_at is not None:
        headers.append(('Retry-After', str(seconds)))
    return respond_with(start_response, failure, headers)
