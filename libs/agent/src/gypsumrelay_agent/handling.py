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
    Draw,
    Drawn,
    DrawRefused,
    Prefill,
    Reserve,
    Settle,
)

from gypsumrelay_agent import events
from gypsumrelay_agent.acting import act
from gypsumrelay_agent.crashes import settle_suspicion, suspect_crash
from gypsumrelay_agent.drawing import (
    end_draw,
    receive_draw,
    receive_reply,
    receive_settlement,
    resend,
    settle_final,
    tick_draws,
)
from gypsumrelay_agent.engine import UpstreamFault
from gypsumrelay_agent.fence import (
    apply_fence,
    note_fence_read,
    tick_fence,
)
from gypsumrelay_agent.holding import (
    apply_configuration,
    note_log_read,
    take_listing,
    tick_shares,
)
from gypsumrelay_agent.keeping import keep_emitted
from gypsumrelay_agent.keyedruns import (
    KEYED_HANDLERS,
    KEYED_RECEIVERS,
    detach_run,
    end_detached,
    forget_link,
    hand_over,
    keep_response,
    observe_listing,
    tick_keyed,
)
from gypsumrelay_agent.probing import probe
from gypsumrelay_agent.replies import failed_of_fault
from gypsumrelay_agent.requests import (
    call_request,
    key_of,
    reserve_request,
    run_deadline,
)
from gypsumrelay_agent.runs import Run
from gypsumrelay_agent.state import AgentState, link_id, now_seconds

# The engine keeps the KV cache of a prefill for less than one second.
RESULT_SECONDS: Final = 1.0
GAUGE_SECONDS: Final = 1.0


def handle(state: AgentState, event: object) -> None:
    """Handle one event; ignore events without a handler."""
    handler = _HANDLERS.get(type(event))
    if handler is not None:
        handler(state, event)


def _open_link(state: AgentState, event: events.LinkOpened) -> None:
    name = link_id(event.link)
    state.links[name] = event.link
    ledger.open_link(state.ledger, name, now_seconds())


def _lose_link(state: AgentState, event: events.LinkLost) -> None:
    name = link_id(event.link)
    state.links.pop(name, None)
    forget_link(state, event.link)
    act(state, ledger.lose_link(state.ledger, name, now_seconds()))
    hand_over(state)


def _receive(state: AgentState, event: events.Received) -> None:
    ledger.heartbeat(state.ledger, link_id(event.link), now_seconds())
    receiver = _RECEIVERS.get(type(event.message))
    if receiver is not None:
        receiver(state, event)


def _reserve(state: AgentState, event: events.Received) -> None:
    now = now_seconds()
    request = reserve_request(event.message, now)
    if not keep_response(state, request, event):
        return
    state.digests[request.key] = event.message.request_digest
    if event.message.charged:
        state.charged.add(request.key)
    found = ledger.reserve(state.ledger, request, link_id(event.link), now)
    act(state, found)


def _start(state: AgentState, event: events.Received) -> None:
    now = now_seconds()
    message = event.message
    key = key_of(message)
    state.orders[key] = message
    first_index = 0
    if isinstance(message, Decode):
        first_index = message.first_index
        keep_emitted(state.keeping, key, message)
    act(
        state,
        ledger.start(state.ledger, key, first_index, run_deadline(now), now),
    )
    state.orders.pop(key, None)


def _call(state: AgentState, event: events.Received) -> None:
    now = now_seconds()
    request = call_request(event.message, now)
    if not keep_response(state, request, event):
        return
    state.orders[request.key] = event.message
    state.deadlines[request.key] = request.deadline
    state.digests[request.key] = event.message.request_digest
    found = ledger.reserve(state.ledger, request, link_id(event.link), now)
    act(state, found)


def _cancel(state: AgentState, event: events.Received) -> None:
    key = key_of(event.message)
    if detach_run(state, key, event):
        return
    now = now_seconds()
    run = state.runs.get(key)
    used = run.used_tokens if run else 0
    act(state, ledger.cancel(state.ledger, key, now))
    if event.message.final:
        settle_final(state.accounts, key.request_id, used, now)


def _take_report(state: AgentState, event: events.Reported) -> None:
    now = now_seconds()
    state.probing = False
    report = event.report
    settle_suspicion(state, report)
    if isinstance(report, UpstreamFault):
        if not state.upstream_down:
            coldstart.restart(state.ramp, now)
        state.upstream_down = True
        state.metrics.count('agent.upstream_down')
    else:
        state.upstream_down = False
        _take_engine_report(state, report, now)
        _take_cache_events(state, report, event.cache_events, now)
    act(state, ledger.set_limit(state.ledger, state.ramp.limit, now))


def _take_engine_report(
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
        act(state, reconciliation.reconcile(state.ledger, report, now))


def _take_cache_events(
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


def _note_landed(state: AgentState, event: events.RunLanded) -> None:
    act(state, ledger.progress(state.ledger, event.key, event.first_index, 0))


def _end_run(state: AgentState, event: events.RunEnded) -> None:
    now = now_seconds()
    run = state.runs.pop(event.key, None)
    if run is None:
        end_detached(state, event)
        return
    if event.fault is None:
        coldstart.observe_completion(
            state.ramp,
            event.seconds_per_unit,
            run.started_at,
            now,
        )
        state.record('finished', event.key)
        _settle(state, event, now)
    else:
        _report_fault(state, run, event.fault)
        state.record('failed', event.key)
    kept_until = now + RESULT_SECONDS if event.keeps_result else float('-inf')
    found = ledger.release(
        state.ledger,
        event.key,
        now,
        finished=event.fault is None,
        kept_until=kept_until,
    )
    found += ledger.set_limit(state.ledger, state.ramp.limit, now)
    act(state, found)


def _report_fault(
    state: AgentState,
    run: Run,
    fault: UpstreamFault,
) -> None:
    if fault.crashed:
        suspect_crash(state, run, fault)
    else:
        run.link.send(failed_of_fault(run, fault))


def _settle(state: AgentState, event: events.RunEnded, now: float) -> None:
    if not event.keeps_result:
        end_draw(
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
    apply_fence(state, now)


def _take_listing(state: AgentState, event: events.ListingRead) -> None:
    take_listing(
        state.accounts,
        event.listing,
        event.asked_at,
        now_seconds(),
    )
    observe_listing(state, event.listing)


def _note_log_end(state: AgentState, event: events.LogEndRead) -> None:
    note_log_read(state.accounts, event.asked_at, now_seconds())
    note_fence_read(state, event.asked_at)


def _resend(state: AgentState, event: events.PeerTried) -> None:
    resend(state.accounts, event.member, now_seconds())


def _receive_draw(state: AgentState, event: events.Received) -> None:
    receive_draw(state.accounts, event.link, event.message, now_seconds())


def _receive_settlement(state: AgentState, event: events.Received) -> None:
    receive_settlement(
        state.accounts,
        event.link,
        event.message,
        now_seconds(),
    )


def _receive_reply(state: AgentState, event: events.Received) -> None:
    receive_reply(state.accounts, event.message, now_seconds())


def _free_run(state: AgentState, event: events.RunFreed) -> None:
    act(state, ledger.confirm_freed(state.ledger, event.run_id, now_seconds()))


def _tick(state: AgentState, event: events.Tick) -> None:
    now = now_seconds()
    act(state, ledger.expire(state.ledger, now))
    tick_draws(state.accounts, now)
    tick_shares(state.accounts, now)
    tick_fence(state, now)
    _send_gauges(state, now)
    tick_keyed(state, now)
    probe(state, now)


def _send_gauges(state: AgentState, now: float) -> None:
    if now - state.gauged_at < GAUGE_SECONDS:
        return
    state.gauged_at = now
    state.metrics.gauge('agent.running', len(state.runs))
    state.metrics.gauge('agent.waiting', len(state.ledger.waiting))
    held = capacity.used_pieces(state.ledger)
    state.metrics.gauge('agent.held_pieces', held)


def _drain(state: AgentState, event: events.DrainBegan) -> None:
    act(state, ledger.drain(state.ledger, now_seconds()))


_HANDLERS: Final[dict[type, Callable[[AgentState, Any], None]]] = {
    events.LinkOpened: _open_link,
    events.LinkLost: _lose_link,
    events.Received: _receive,
    events.Reported: _take_report,
    events.RunLanded: _note_landed,
    events.RunEnded: _end_run,
    events.RunFreed: _free_run,
    events.Tick: _tick,
    events.ConfigurationChanged: _apply_configuration,
    events.ListingRead: _take_listing,
    events.LogEndRead: _note_log_end,
    events.PeerTried: _resend,
    events.DrainBegan: _drain,
    **KEYED_HANDLERS,
}
_RECEIVERS: Final[dict[type, Callable[[AgentState, Any], None]]] = {
    Reserve: _reserve,
    Prefill: _start,
    Decode: _start,
    Call: _call,
    Cancel: _cancel,
    Draw: _receive_draw,
    Settle: _receive_settlement,
    Drawn: _receive_reply,
    DrawRefused: _receive_reply,
    **KEYED_RECEIVERS,
}
