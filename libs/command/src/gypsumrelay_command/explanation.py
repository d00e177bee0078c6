"""The command that explains where a request would go now."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any
from urllib.parse import urlencode

from gypsumrelay_errors import Failure
from gypsumrelay_platform import exchange, new_pool

from gypsumrelay_command.results import (
    DONE,
    REJECTED,
    UNREACHABLE,
    Result,
    failure_result,
)


def show_explanation(relay: str, query: Mapping[str, str | int]) -> Result:
    """Return the explanation of a request by the relay that coordinates.

    Args:
        relay: `host` and metrics port of a relay, as `host:port`.
        query: Properties of the request.
    """
    url = f'http://{relay}/explain?{urlencode(query)}'
    document = exchange(new_pool(), 'GET', url)
    if isinstance(document, Failure):
        return failure_result(UNREACHABLE, relay, 'the relay gives no answer')
    if not isinstance(document, dict):
        return failure_result(UNREACHABLE, relay, 'the answer is malformed')
    if 'error' in document:
        return _error_result(document)
    try:
        return Result(DONE, document, _lines(document))
    except (KeyError, TypeError):
        return failure_result(UNREACHABLE, relay, 'the answer is malformed')


def _error_result(document: dict[str, Any]) -> Result:
    lines = [f'{document["error"]}: {document.get("sentence", "")}']
    if document.get('coordinator'):
        lines.append(f'ask the coordinator: {document["coordinator"]}')
    return Result(REJECTED, document, lines)


def _lines(document: dict[str, Any]) -> list[str]:
    route = document['route']
    wait = document['wait']
    return [
        f'route: {route["name"]}, service {route["service"]}, '
        f'priority {route["priority"]}, '
        f'objective {route["latency_objective_ms"]:g} ms, '
        f'time limit {route["timeout_ms"]:g} ms',
        _headroom_line(document['headroom']),
        f'wait: {wait["ahead"]} ahead, {wait["queue_ms"]} ms in the queue, '
        f'{wait["limited_ms"]} ms by limits of the upstreams',
        *map(_candidate_line, document['candidates']),
        _decision_line(document['decision']),
        f'coordinator: {document["coordinator"]}, '
        f'configuration {document["configuration_version"]}',
    ]


def _headroom_line(headroom: dict[str, Any]) -> str:
    account = headroom['account'] or 'none'
    cost = f'costs {headroom["cost_tokens"]} tokens'
    if not headroom['is_limited']:
        return f'account: {account}, without a limit, {cost}'
    return (
        f'account: {account}, {headroom["tokens_left"]} tokens left of '
        f'{headroom["burst_tokens"]:g}, {headroom["tokens_per_second"]:g} '
        f'tokens/s, {cost}, admitted in {headroom["admitted_in_ms"]} ms'
    )


def _candidate_line(candidate: dict[str, Any]) -> str:
    state = f'score {candidate["score"]}'
    if candidate['reason']:
        state = f'excluded: {candidate["reason"]}'
    version = (
        f', version {candidate["version"]}' if candidate['version'] else ''
    )
    return (
        f'{candidate["phase"]} {candidate["name"]}: {state}, '
        f'{candidate["running"]} running, '
        f'zone {candidate["availability_zone"]}{version}'
    )


def _decision_line(decision: dict[str, Any]) -> str:
    outcome = decision['outcome']
    if outcome == 'granted':
        prefill = decision['prefill']
        suffix = f', prefill at {prefill}' if prefill else ''
        return f'decision: granted, {decision["upstream"]}{suffix}'
    if outcome == 'rejected':
        return (
            f'decision: rejected, {decision["code"]}: {decision["sentence"]}, '
            f'retry in {decision["retry_ms"]} ms'
        )
    return f'decision: {outcome}'
