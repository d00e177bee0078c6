"""Event handlers of the agent's actor."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

from gypsumrelay_upstreams import (
    CacheEvent,
    EngineReport,
    capacity,
    coldstart,
    ledger,
    observe_events,
    reconciliation,
    summarize,
)
from gypsumrelay_wire import (
    Call,
    Cancel,
    Decode,
    Prefill,
    Reserve,
    Settle,
    TokenGrant,
    TokenRefusal,
    TokenRequest,
)

from gypsumrelay_agent import events
from gypsumrelay_agent.crashes import resolve_suspected_crash, suspect_crash
from gypsumrelay_agent.engine import UpstreamFault
from gypsumrelay_agent.failures import failed_message_for_fault
from gypsumrelay_agent.fencing import (
    apply_fencing_token,
    record_fence_evidence,
    request_fencing_token,
)
from gypsumrelay_agent.idempotency import (
    IDEMPOTENCY_HANDLERS,
    IDEMPOTENCY_RECEIVERS,
    attach_runs,
    detach_run,
    fail_detached_run,
    observe_listing,
    register_response,
    remove_link,
    tick_idempotency,
)
from gypsumrelay_agent.ledger_actions import perform_actions
from gypsumrelay_agent.probes import probe_if_due
from gypsumrelay_agent.reservation_requests import (
    attempt_key,
    call_request,
    reserve_request,
    run_deadline,
)
from gypsumrelay_agent.responses import store_emitted
from gypsumrelay_agent.runs import Run
from gypsumrelay_agent.shares import (
    apply_configuration,
    apply_listing,
    propose_shares,
    record_log_read,
)
from gypsumrelay_agent.state import AgentState, link_id, now_seconds
from gypsumrelay_agent.token_reservations import (
    receive_reply,
    receive_settlement,
    receive_token_request,
    resend_messages,
    settle_cancelled,
    settle_request,
    tick_reservations,
)

# The engine keeps the KV cache of a prefill for less than one second.
KV_CACHE_RETENTION_SECONDS: Final = 1.0
GAUGE_INTERVAL_SECONDS: Final = 1.0


def handle(state: AgentState, event: object) -> None:
    """Handle one event; ignore events without a handler."""
    handler = _HANDLERS.get(type(event))
    if handler is not None:
        handler(state, event)


def _open_link(state: AgentState, event: events.LinkOpened) -> None:
    name = link_id(event.link)
    state.links[name] = event.link
    ledger.open_link(state.ledger, name, now_seconds())


def _close_link(state: AgentState, event: events.LinkClosed) -> None:
    name = link_id(event.link)
    state.links.pop(name, None)
    remove_link(state, event.link)
    perform_actions(state, ledger.lose_link(state.ledger, name, now_seconds()))
    attach_runs(state)


def _dispatch_message(state: AgentState, event: events.MessageReceived) -> None:
    ledger.heartbeat(state.ledger, link_id(event.link), now_seconds())
    receiver = _RECEIVERS.get(type(event.message))
    if receiver is not None:
        receiver(state, event)


def _reserve(state: AgentState, event: events.MessageReceived) -> None:
    now = now_seconds()
    request = reserve_request(event.message, now)
    if not register_response(state, request, event):
        return
    state.digests[request.key] = event.message.request_digest
    if event.message.charged:
        state.charged.add(request.key)
    actions = ledger.reserve(state.ledger, request, link_id(event.link), now)
    perform_actions(state, actions)


def _start_run(state: AgentState, event: events.MessageReceived) -> None:
    now = now_seconds()
    message = event.message
    key = attempt_key(message)
    state.start_messages[key] = message
    first_index = 0
    if isinstance(message, Decode):
        first_index = message.first_index
        store_emitted(state.responses, key, message)
    perform_actions(
        state,
        ledger.start(state.ledger, key, first_index, run_deadline(now), now),
    )
    state.start_messages.pop(key, None)


def _reserve_service(state: AgentState, event: events.MessageReceived) -> None:
    now = now_seconds()
    request = call_request(event.message, now)
    if not register_response(state, request, event):
        return
    state.start_messages[request.key] = event.message
    state.deadlines[request.key] = request.deadline
    state.digests[request.key] = event.message.request_digest
    actions = ledger.reserve(state.ledger, request, link_id(event.link), now)
    perform_actions(state, actions)


def _cancel(state: AgentState, event: events.MessageReceived) -> None:
    key = attempt_key(event.message)
    if detach_run(state, key, event):
        return
    now = now_seconds()
    run = state.runs.get(key)
    used = run.used_tokens if run else 0
    perform_actions(state, ledger.cancel(state.ledger, key, now))
    if event.message.final:
        settle_cancelled(state.accounts, key.request_id, used, now)


def _handle_probe(state: AgentState, event: events.ProbeFinished) -> None:
    now = now_seconds()
    state.is_probing = False
    report = event.report
    resolve_suspected_crash(state, report)
    if isinstance(report, UpstreamFault):
        if not state.upstream_down:
            coldstart.restart(state.ramp, now)
        state.upstream_down = True
        state.metrics.count('agent.upstream_down')
    else:
        state.upstream_down = False
        _apply_engine_report(state, report, now)
        _apply_cache_events(state, report, event.cache_events, now)
    perform_actions(
        state, ledger.set_limit(state.ledger, state.ramp.limit, now)
    )


def _apply_engine_report(
    state: AgentState,
    report: EngineReport,
    now: float,
) -> None:
    coldstart.observe_report(
        state.ramp,
        cold=report.cold,
        asked_at=report.asked_at,
        now=now,
    )
    if not state.is_service:
        perform_actions(
            state, reconciliation.reconcile(state.ledger, report, now)
        )


def _apply_cache_events(
    state: AgentState,
    report: EngineReport,
    cache_events: tuple[CacheEvent, ...],
    now: float,
) -> None:
    observe_events(
        state.hints,
        report.incarnation,
        cache_events,
        report.asked_at,
        now,
    )
    summary = summarize(state.ledger, state.ramp, state.hints, now)
    state.prefixes = list(reversed(summary.prefixes))


def _record_reached_engine(
    state: AgentState, event: events.RunReachedEngine
) -> None:
    perform_actions(
        state, ledger.progress(state.ledger, event.key, event.first_index, 0)
    )


def _end_run(state: AgentState, event: events.RunEnded) -> None:
    now = now_seconds()
    run = state.runs.pop(event.key, None)
    if run is None:
        fail_detached_run(state, event)
        return
    if event.fault is None:
        coldstart.observe_completion(
            state.ramp,
            event.seconds_per_unit,
            run.started_at,
            now,
        )
        state.record('finished', event.key)
        _settle_request(state, event, now)
    else:
        _report_fault(state, run, event.fault)
        state.record('failed', event.key)
    kept_until = (
        now + KV_CACHE_RETENTION_SECONDS
        if event.retains_kv_cache
        else float('-inf')
    )
    actions = ledger.release(
        state.ledger,
        event.key,
        now,
        finished=event.fault is None,
        kept_until=kept_until,
    )
    actions += ledger.set_limit(state.ledger, state.ramp.limit, now)
    perform_actions(state, actions)


def _report_fault(
    state: AgentState,
    run: Run,
    fault: UpstreamFault,
) -> None:
    if fault.crashed:
        suspect_crash(state, run, fault)
    else:
        run.link.send(failed_message_for_fault(run, fault))


def _settle_request(
    state: AgentState, event: events.RunEnded, now: float
) -> None:
    if not event.retains_kv_cache:
        settle_request(
            state.accounts,
            event.key.request_id,
            event.used_tokens,
            now,
        )


def _apply_configuration(
    state: AgentState,
    event: events.ConfigurationChanged,
) -> None:
    now = now_seconds()
    apply_configuration(state.accounts, now)
    apply_fencing_token(state, now)


def _apply_listing(state: AgentState, event: events.ListingRead) -> None:
    apply_listing(
        state.accounts,
        event.listing,
        event.asked_at,
        now_seconds(),
    )
    observe_listing(state, event.listing)


def _record_log_end(state: AgentState, event: events.LogEndRead) -> None:
    record_log_read(state.accounts, event.asked_at, now_seconds())
    record_fence_evidence(state, event.asked_at)


def _resend_messages(
    state: AgentState, event: events.PeerConnectFinished
) -> None:
    resend_messages(state.accounts, event.member, now_seconds())


def _receive_token_request(
    state: AgentState, event: events.MessageReceived
) -> None:
    receive_token_request(
        state.accounts, event.link, event.message, now_seconds()
    )


def _receive_settlement(
    state: AgentState, event: events.MessageReceived
) -> None:
    receive_settlement(
        state.accounts,
        event.link,
        event.message,
        now_seconds(),
    )


def _receive_reply(state: AgentState, event: events.MessageReceived) -> None:
    receive_reply(state.accounts, event.message, now_seconds())


def _confirm_cancel(
    state: AgentState, event: events.RunCancelConfirmed
) -> None:
    perform_actions(
        state, ledger.confirm_freed(state.ledger, event.run_id, now_seconds())
    )


def _tick(state: AgentState, event: events.Tick) -> None:
    now = now_seconds()
    perform_actions(state, ledger.expire(state.ledger, now))
    tick_reservations(state.accounts, now)
    propose_shares(state.accounts, now)
    request_fencing_token(state, now)
    _send_gauges(state, now)
    tick_idempotency(state, now)
    probe_if_due(state, now)


def _send_gauges(state: AgentState, now: float) -> None:
    if now - state.gauges_sent_at < GAUGE_INTERVAL_SECONDS:
        return
    state.gauges_sent_at = now
    state.metrics.gauge('agent.running', len(state.runs))
    state.metrics.gauge('agent.waiting', len(state.ledger.waiting))
    used_blocks = capacity.used_pieces(state.ledger)
    state.metrics.gauge('agent.held_pieces', used_blocks)


def _drain(state: AgentState, event: events.DrainStarted) -> None:
    perform_actions(state, ledger.drain(state.ledger, now_seconds()))


_HANDLERS: Final[dict[type, Callable[[AgentState, Any], None]]] = {
    events.LinkOpened: _open_link,
    events.LinkClosed: _close_link,
    events.MessageReceived: _dispatch_message,
    events.ProbeFinished: _handle_probe,
    events.RunReachedEngine: _record_reached_engine,
    events.RunEnded: _end_run,
    events.RunCancelConfirmed: _confirm_cancel,
    events.Tick: _tick,
    events.ConfigurationChanged: _apply_configuration,
    events.ListingRead: _apply_listing,
    events.LogEndRead: _record_log_end,
    events.PeerConnectFinished: _resend_messages,
    events.DrainStarted: _drain,
    **IDEMPOTENCY_HANDLERS,
}
_RECEIVERS: Final[dict[type, Callable[[AgentState, Any], None]]] = {
    Reserve: _reserve,
    Prefill: _start_run,
    Decode: _start_run,
    Call: _reserve_service,
    Cancel: _cancel,
    TokenRequest: _receive_token_request,
    Settle: _receive_settlement,
    TokenGrant: _receive_reply,
    TokenRefusal: _receive_reply,
    **IDEMPOTENCY_RECEIVERS,
}
