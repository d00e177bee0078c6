"""The page that explains where a request would go now."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final

import attrs
import pykka
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure

from gypsumrelay_relay.admission import request_deadline, token_failure
from gypsumrelay_relay.cancellation import Cancellation
from gypsumrelay_relay.coordination import messages
from gypsumrelay_relay.exchange import Admitted, Exchange
from gypsumrelay_relay.explaining.documents import (
    explanation_document,
    route_document,
)
from gypsumrelay_relay.explaining.queries import ExplainQuery, parse_query
from gypsumrelay_relay.protocol import CallerHeaders
from gypsumrelay_relay.routes import find_route

if TYPE_CHECKING:
    from gypsumrelay_dispatch import PlacementRequest

    from gypsumrelay_relay.context import Relay
    from gypsumrelay_relay.routes import Account, Configuration, Route

# Id of the explained request. It is placed on a copy of the coordinator's state
# only, so that a caller's request with the same id is not affected.
REQUEST_ID: Final = 'explain'
# Time limit in seconds for the answer of the coordinator's actor.
ASK_SECONDS: Final = 2.0

Document = dict[str, Any]


def explain_page(relay: Relay, query: str) -> bytes:
    """Return the explanation of a request as JSON.

    A document with `error` states why there is none.

    Args:
        relay: The relay that is asked, which must coordinate.
        query: Query string with the fields of `ExplainQuery`.
    """
    return json.dumps(_explain(relay, query)).encode()


def _explain(relay: Relay, query: str) -> Document:
    asked = parse_query(query)
    if asked is None:
        return _error('query_malformed', 'a field is unknown or no number')
    state = relay.operator_records.state
    if state is None:
        return _error('configuration_missing', 'no configuration yet')
    coordination = relay.coordination
    if coordination.leader != coordination.name:
        sentence = 'another relay coordinates'
        leader = coordination.leader
        return _error('not_coordinator', sentence) | {'coordinator': leader}
    admitted = _admit(state.configuration, asked)
    if not isinstance(admitted, Admitted):
        return admitted
    return _ask(relay, admitted)


def _admit(
    configuration: Configuration, asked: ExplainQuery
) -> Admitted | Document:
    route = find_route(configuration, asked.host, asked.path)
    if route is None:
        return _error('route_unknown', 'no route has this host and path')
    account = _account(configuration, route, asked)
    if isinstance(account, dict):
        return account
    service = _service(route, asked.model)
    if not service:
        return _error('model_unknown', 'the route has no such service')
    headers = CallerHeaders(
        REQUEST_ID,
        '',
        None,
        asked.prompt,
        asked.output,
        asked.expected,
    )
    limits = configuration.services.get(service)
    if limits is not None and limits.memory_tokens:
        failure = token_failure(limits, headers)
        if failure is not None:
            return _failure_error(failure)
    return Admitted(headers, configuration, route, service, account, b'')


def _account(
    configuration: Configuration, route: Route, asked: ExplainQuery
) -> Account | Document | None:
    """Return the account of this name; its keys are not looked at."""
    if route.is_public or not configuration.account_limits:
        return None
    for account in configuration.accounts.values():
        if account.name == asked.account:
            return account
    return _error('account_unknown', 'no client account has this name')


def _service(route: Route, model: str) -> str:
    """Return the service to explain; empty if the route lacks it."""
    if not model:
        return max(route.targets, key=lambda target: target.weight).service
    names = [target.service for target in route.targets]
    return model if model in names else ''


def _ask(relay: Relay, admitted: Admitted) -> Document:
    now = monotonic()
    deadline = request_deadline(admitted, now)
    exchange = Exchange(
        relay,
        {'REQUEST_URI': admitted.route.path_prefix},
        _start_nothing,
        admitted,
        Cancellation(deadline, _is_disconnected),
        now,
        deadline,
    )
    request: PlacementRequest = exchange.next_placement_request()
    # The digest is left out, so that the request resembles no caller's.
    asked = attrs.evolve(request, digest=b'')
    try:
        explanation: Any = relay.coordination.actor.ask(
            messages.ExplainPlacement(asked), timeout=ASK_SECONDS
        )
    except pykka.Timeout:
        return _error('coordinator_busy', 'the coordinator does not answer')
    account = admitted.account
    return {
        'coordinator': relay.coordination.name,
        'configuration_version': admitted.configuration.version,
        'account': account.name if account else '',
        'route': route_document(
            admitted.route, admitted.service, request.priority
        ),
        **explanation_document(explanation, now),
    }


def _is_disconnected() -> bool:
    """Return that the caller has not disconnected, since there is none."""
    return False


def _start_nothing(status: str, headers: list[tuple[str, str]]) -> None:
    """Start no answer, since no caller waits for one."""


def _failure_error(failure: Failure) -> Document:
    return _error(failure.code, failure.sentence)


def _error(code: str, sentence: str) -> Document:
    return {'error': code, 'sentence': sentence}
