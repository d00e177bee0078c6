"""Performs the actions that the ledger returns."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, Final

from gypsumrelay_errors import Failure, Outcome, UpstreamFailed
from gypsumrelay_upstreams import (
    Action,
    CancelRun,
    Dropped,
    Ended,
    EndReason,
    EngineRestarted,
    ForeignRuns,
    Granted,
    Key,
    Purpose,
    Refused,
    StartRun,
    cached_pieces,
    coldstart,
    ledger,
)
from gypsumrelay_wire import Decode, Failed, Message, Prefill, Reserved
from logbook import Logger

from gypsumrelay_agent import events
from gypsumrelay_agent.accounts import defer_settlement
from gypsumrelay_agent.failures import (
    UNREPORTED_ENDS,
    failed_message,
    failed_message_for_end,
)
from gypsumrelay_agent.reservation_requests import run_deadline
from gypsumrelay_agent.responses import RecordedOutput, process_output
from gypsumrelay_agent.runs import (
    Output,
    Run,
    run_decode,
    run_prefill,
    run_service_request,
)
from gypsumrelay_agent.state import AgentState, now_seconds
from gypsumrelay_agent.token_reservations import (
    reservation_spec,
    reserve_tokens,
)

log = Logger('agent')

# Time limit for replies of the holders of a client account's shares.
RESERVATION_TIMEOUT_SECONDS: Final = 2.0


def perform_actions(state: AgentState, actions: Iterable[Action]) -> None:
    """Perform actions in order."""
    for action in actions:
        handler = _ACTIONS.get(type(action))
        if handler is not None:
            handler(state, action)


def send_message(state: AgentState, link: str, message: Message) -> None:
    """Send a message on a link by its id, if the link is open.

    The failure of an attempt with an idempotency key is stored as its
    response.
    """
    if isinstance(message, Failed):
        key = Key(message.request_id, message.attempt)
        if key in state.responses.runs:
            process_output(state.responses, key, message, now_seconds())
            return
    open_link = state.links.get(link)
    if open_link is not None:
        open_link.send(message)


def _on_dropped(state: AgentState, action: Dropped) -> None:
    discard_run_data(state, action.key)
    state.record(f'dropped_{action.reason.value}', action.key)
    log.debug('Dropped a message of a request: {}.', action.reason.value)
    groups = (state.ledger.places, state.ledger.waiting, state.runs)
    if not any(action.key in group for group in groups):
        _fail_unstarted(state, action.key, action.reason.value)


def _on_granted(state: AgentState, action: Granted) -> None:
    """Reserve tokens for a granted reservation, then confirm it."""
    state.metrics.count('agent.reserved')
    reservation = state.ledger.places[action.key]
    request = reservation.request
    if request.purpose is Purpose.prefill or not request.client_account:
        confirm_reservation(state, action.key, action.link)
        return
    now = now_seconds()
    spec = reservation_spec(
        state.accounts,
        request.client_account,
        action.key.request_id,
        request.cost,
        min(reservation.deadline, now + RESERVATION_TIMEOUT_SECONDS),
        retry=action.key.attempt > 1,
    )

    def on_decision(failure: Failure | None) -> None:
        if failure is None or action.key in state.charged:
            confirm_reservation(state, action.key, action.link)
        else:
            _refuse_reservation(state, action, failure)

    if isinstance(spec, Failure):
        on_decision(spec)
    else:
        reserve_tokens(state.accounts, spec, on_decision, now)


def _refuse_reservation(
    state: AgentState, action: Granted, failure: Failure
) -> None:
    if action.key not in state.ledger.places:
        return
    state.metrics.count('agent.draws_refused')
    state.record('draw_refused', action.key)
    send_message(state, action.link, failed_message(action.key, failure))
    perform_actions(
        state, ledger.cancel(state.ledger, action.key, now_seconds())
    )


def confirm_reservation(state: AgentState, key: Key, link: str) -> None:
    """Confirm a reservation to the entry, or start a plain service request."""
    if key not in state.ledger.places:
        return
    if key in state.start_messages:
        now = now_seconds()
        perform_actions(
            state, ledger.start(state.ledger, key, 0, run_deadline(now), now)
        )
    else:
        state.record('reserved', key)
        request = state.ledger.places[key].request
        cached_blocks = cached_pieces(state.hints, request.prefixes)
        tokens = cached_blocks * state.settings.upstream.piece_tokens
        send_message(state, link, Reserved(key.request_id, key.attempt, tokens))


def _on_refused(state: AgentState, action: Refused) -> None:
    state.metrics.count('agent.refused')
    discard_run_data(state, action.key)
    send_message(state, action.link, failed_message(action.key, action.failure))


def _start_run(state: AgentState, action: StartRun) -> None:
    start_message = state.start_messages.pop(action.key)
    reservation = state.ledger.places[action.key]
    link: Output = state.links[reservation.link]
    if action.key in state.responses.runs:
        link = RecordedOutput(action.key, state.post_event)
    run = Run(
        action.key,
        action.run_id,
        link,
        start_message,
        reservation.request.prompt_tokens,
        state.digests.get(action.key, b''),
    )
    state.runs[action.key] = run
    state.record('started', action.key, reservation.request.client_account)
    state.executor.submit(_run_target(state, run))


def _run_target(state: AgentState, run: Run) -> Callable[[], None]:
    if isinstance(run.start_message, Prefill):
        return partial(run_prefill, run, state.engine, state.post_event)
    if isinstance(run.start_message, Decode):
        return partial(run_decode, run, state.engine, state.post_event)
    deadline = state.deadlines.pop(run.key)
    return partial(
        run_service_request, run, state.service, deadline, state.post_event
    )


def _cancel_run(state: AgentState, action: CancelRun) -> None:
    state.metrics.count('agent.cancelled')
    if state.is_service:
        state.post_event(events.RunCancelConfirmed(action.run_id))
        return
    unfreed_run = state.ledger.freeing.get(action.run_id)
    reached_engine = unfreed_run is not None and unfreed_run.landed
    state.executor.submit(
        _cancel_at_engine, state, action.run_id, reached_engine
    )


def _cancel_at_engine(
    state: AgentState, run_id: str, reached_engine: bool
) -> None:
    """Cancel a run at the engine and report when it has certainly ended.

    A run that is unknown to the engine may still be in transit, unless the
    engine has responded to it before.
    """
    is_known = state.engine.cancel(run_id)
    if is_known is True or (reached_engine and is_known is False):
        state.post_event(events.RunCancelConfirmed(run_id))


def _on_ended(state: AgentState, action: Ended) -> None:
    discard_run_data(state, action.key)
    run = state.runs.pop(action.key, None)
    used = 0
    if run is not None:
        run.cancelled.set()
        used = run.used_tokens
    if action.reason is not EndReason.finished:
        defer_settlement(
            state.accounts,
            action.key.request_id,
            used,
            now_seconds(),
        )
    if action.reason not in UNREPORTED_ENDS:
        state.record(f'ended_{action.reason.value}', action.key)
        message = failed_message_for_end(action, run)
        send_message(state, action.link, message)
    elif not action.started:
        _fail_unstarted(state, action.key, action.reason.value)


def _fail_unstarted(state: AgentState, key: Key, reason: str) -> None:
    """Fail the stored response of an attempt that never ran."""
    if key in state.responses.runs:
        failure = UpstreamFailed(
            f'the attempt ended: {reason}', Outcome.not_run
        )
        process_output(
            state.responses,
            key,
            failed_message(key, failure),
            now_seconds(),
        )


def _on_engine_restarted(state: AgentState, action: EngineRestarted) -> None:
    log.warning('The upstream has restarted.')
    now = now_seconds()
    coldstart.restart(state.ramp, now)
    perform_actions(
        state, ledger.set_limit(state.ledger, state.ramp.limit, now)
    )


def _on_foreign_runs(state: AgentState, action: ForeignRuns) -> None:
    log.warning('The upstream has runs of another agent.')
    coldstart.observe_foreign_runs(state.ramp, now_seconds())


def discard_run_data(state: AgentState, key: Key) -> None:
    """Discard the data of a run that will not start."""
    state.start_messages.pop(key, None)
    state.deadlines.pop(key, None)
    state.digests.pop(key, None)
    state.charged.discard(key)


_ACTIONS: Final[dict[type[Action], Callable[[AgentState, Any], None]]] = {
    Granted: _on_granted,
    Refused: _on_refused,
    StartRun: _start_run,
    CancelRun: _cancel_run,
    Dropped: _on_dropped,
    Ended: _on_ended,
    EngineRestarted: _on_engine_restarted,
    ForeignRuns: _on_foreign_runs,
}
