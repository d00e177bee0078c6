"""Periodic probes of the upstream's state."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final

import urllib3
from gypsumrelay_clock import monotonic
from gypsumrelay_upstreams import CacheEvent, EngineReport, PrefixHints

from gypsumrelay_agent import events
from gypsumrelay_agent.engine import (
    CONNECT_TIMEOUT_SECONDS,
    EngineClient,
    UpstreamFault,
)
from gypsumrelay_agent.engine_fields import read_count, read_flag, read_text

if TYPE_CHECKING:
    from gypsumrelay_agent.state import AgentState

PROBE_INTERVAL_SECONDS: Final = 1.0
HTTP_PORT: Final = 80
# Interval for an upstream that is down, shorter so that it is back in use soon
# after it has started.
DOWN_PROBE_INTERVAL_SECONDS: Final = 0.3

# Errors of reading fields from the JSON of an answer.
_FIELD_ERRORS: Final = (AttributeError, KeyError, TypeError, ValueError)


def start_probe(state: AgentState) -> None:
    """Start a probe of the upstream immediately."""
    state.is_probing = True
    state.probe_started_at = monotonic()
    state.executor.submit(_run_probe, state)


def probe_if_due(state: AgentState, now: float) -> None:
    """Start a probe of the upstream if one is due and none is running."""
    period = (
        DOWN_PROBE_INTERVAL_SECONDS
        if state.upstream_down
        else PROBE_INTERVAL_SECONDS
    )
    if state.is_probing or now - state.probe_started_at < period:
        return
    start_probe(state)


def _run_probe(state: AgentState) -> None:
    asked_at = monotonic()
    if state.is_service:
        url = urllib3.util.parse_url(state.settings.upstream.url)
        address = (url.host or '', url.port or HTTP_PORT)
        report = _probe_service(address, asked_at)
    else:
        report = _probe_engine(state.engine, asked_at)
    cache_events: tuple[CacheEvent, ...] = ()
    if not state.is_service and isinstance(report, EngineReport):
        cache_events = _read_cache_events(state.engine, state.hints, report)
    state.post_event(events.ProbeFinished(report, cache_events))


def _read_cache_events(
    client: EngineClient,
    hints: PrefixHints,
    report: EngineReport,
) -> tuple[CacheEvent, ...]:
    """Return the cache events after the newest known one.

    A restarted engine numbers its events from 0 again.
    """
    is_known_incarnation = report.incarnation == hints.incarnation
    first_number = hints.next_number if is_known_incarnation else 0
    response = client.read(f'/events?from={first_number}')
    if isinstance(response, UpstreamFault):
        return ()
    try:
        return tuple(
            CacheEvent(
                read_count(raw, 'number'),
                raw['kind'] == 'stored',
                bytes.fromhex(raw['prefix']),
            )
            for raw in response['events']
        )
    except _FIELD_ERRORS:
        return ()


def _probe_service(
    address: tuple[str, int],
    asked_at: float,
) -> EngineReport | UpstreamFault:
    """Return a report if a plain service accepts connections, else a fault.

    Services have no common health check, and a probe must not send a request
    that no client sent.
    """
    try:
        socket.create_connection(address, CONNECT_TIMEOUT_SECONDS).close()
    except OSError:
        return UpstreamFault('the service refuses connections', reached=False)
    return EngineReport(frozenset(), 0, False, '', asked_at)


def _probe_engine(
    client: EngineClient,
    asked_at: float,
) -> EngineReport | UpstreamFault:
    response = client.read('/state')
    if isinstance(response, UpstreamFault):
        return response
    try:
        return EngineReport(
            frozenset(response['held']),
            read_count(response, 'held_pieces'),
            read_flag(response, 'cold'),
            read_text(response, 'incarnation'),
            asked_at,
        )
    except _FIELD_ERRORS:
        return UpstreamFault('the report of the upstream is malformed')
