"""Explanations as JSON documents."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import attrs
from gypsumrelay_dispatch import Grant, Rejection
from gypsumrelay_wire import to_retry_ms

if TYPE_CHECKING:
    from gypsumrelay_dispatch import Decision
    from gypsumrelay_dispatch.explaining import (
        Candidate,
        Explanation,
        Headroom,
    )

    from gypsumrelay_relay.routes import Route

MS_PER_SECOND: Final = 1000
SCORE_DECIMALS: Final = 4


def route_document(route: Route, service: str, priority: int) -> dict[str, Any]:
    """Return the properties of a route that decide on a request."""
    return {
        'name': route.name,
        'path_prefix': route.path_prefix,
        'service': service,
        'weights': {one.service: one.weight for one in route.targets},
        'retry_policy': route.retry_policy.value,
        'priority': priority,
        'latency_objective_ms': route.latency_objective_ms,
        'timeout_ms': route.timeout_ms,
    }


def explanation_document(
    explanation: Explanation, now: float
) -> dict[str, Any]:
    """Return the document of an explanation; durations are in milliseconds."""
    estimate = explanation.estimate
    return {
        'headroom': _headroom(explanation.headroom, now),
        'wait': {
            'ahead': estimate.ahead,
            'queue_ms': int(estimate.wait_seconds * MS_PER_SECOND),
            'limited_ms': _ms_until(estimate.limited_until, now),
        },
        'candidates': [_candidate(one) for one in explanation.candidates],
        'decision': _decision(explanation.decision, now),
    }


def _headroom(headroom: Headroom, now: float) -> dict[str, Any]:
    return {
        'account': headroom.client_account,
        'cost_tokens': headroom.cost_tokens,
        'is_limited': headroom.is_limited,
        'tokens_left': int(headroom.tokens_left),
        'tokens_per_second': headroom.tokens_per_second,
        'burst_tokens': headroom.burst_tokens,
        'admitted_in_ms': _ms_until(headroom.admitted_at, now),
    }


def _candidate(candidate: Candidate) -> dict[str, Any]:
    document = attrs.asdict(candidate) | {'phase': candidate.phase.value}
    if candidate.score is not None:
        document['score'] = round(candidate.score, SCORE_DECIMALS)
    return document


def _decision(decision: Decision | None, now: float) -> dict[str, Any]:
    if isinstance(decision, Grant):
        prefill = decision.prefill
        return {
            'outcome': 'granted',
            'upstream': decision.upstream.name,
            'prefill': prefill.name if prefill else '',
        }
    if isinstance(decision, Rejection):
        failure = decision.failure
        return {
            'outcome': 'rejected',
            'code': failure.code,
            'sentence': failure.sentence,
            'retry_ms': to_retry_ms(failure.retry_at, now),
        }
    return {'outcome': 'queued'}


def _ms_until(instant: float, now: float) -> int:
    return int(max(0, instant - now) * MS_PER_SECOND)
