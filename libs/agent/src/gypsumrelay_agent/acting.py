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
from gypsumrelay_agent.accounts import keep_unsettled
from gypsumrelay_agent.drawing import begin_draw, new_order
from gypsumrelay_agent.keeping import KeptOutput, take_output
from gypsumrelay_agent.replies import (
    SILENT_ENDS,
    failed_from,
    failed_of_end,
)
from gypsumrelay_agent.requests import run_deadline
from gypsumrelay_agent.runs import (
    Output,
    Run,
    run_call,
    run_decode,
    run_prefill,
)
from gypsumrelay_agent.state import AgentState, now_seconds

log = Logger('agent')

# Time limit for replies of the holders of a client account's shares.
DRAW_SECONDS: Final = 2.0


def act(state: AgentState, actions: Iterable[Action]) -> None:
    """Perform actions in order."""
    for action in actions:
        handler = _ACTIONS.get(type(action))
        if handler is not None:
            handler(state, action)


def send(state: AgentState, link: str, message: Message) -> None:
    """Send a message on a link by its id, if the link is open.

    The failure of an attempt with an idempotency key is stored as its
    response.
    """
    if isinstance(message, Failed):
        key = Key(message.request_id, message.attempt)
        if key in state.keeping.runs:
            take_output(state.keeping, key, message, now_seconds())
            return
    known = state.links.get(link)
    if known is not None:
        known.send(message)


def _dropped(state: AgentState, action: Dropped) -> None:
    forget_order(state, action.key)
    state.record(f'dropped_{action.reason.value}', action.key)
    log.debug('Dropped a message of a request: {}.', action.reason.value)
    known = (state.ledger.places, state.ledger.waiting, state.runs)
    if not any(action.key in group for group in known):
        _fail_unstarted(state, action.key, action.reason.value)


def _granted(state: AgentState, action: Granted) -> None:
    """Reserve tokens for a granted reservation, then confirm it."""
    state.metrics.count('agent.reserved')
    place = state.ledger.places[action.key]
    request = place.request
    if request.purpose is Purpose.prefill or not request.client_account:
        confirm(state, action.key, action.link)
        return
    now = now_seconds()
    order = new_order(
        state.accounts,
        request.client_account,
        action.key.request_id,
        request.cost,
        min(place.deadline, now + DRAW_SECONDS),
        retry=action.key.attempt > 1,
    )

    def decided(failure: Failure | None) -> None:
        if failure is None or action.key in state.charged:
            confirm(state, action.key, action.link)
        else:
            _refuse_draw(state, action, failure)

    if isinstance(order, Failure):
        decided(order)
    else:
        begin_draw(state.accounts, order, decided, now)


def _refuse_draw(state: AgentState, action: Granted, failure: Failure) -> None:
    if action.key not in state.ledger.places:
        return
    state.metrics.count('agent.draws_refused')
    state.record('draw_refused', action.key)
    send(state, action.link, failed_from(action.key, failure))
    act(state, ledger.cancel(state.ledger, action.key, now_seconds()))


def confirm(state: AgentState, key: Key, link: str) -> None:
    """Confirm a reservation to the entry, or start a plain service request."""
    if key not in state.ledger.places:
        return
    if key in state.orders:
        now = now_seconds()
        act(state, ledger.start(state.ledger, key, 0, run_deadline(now), now))
    else:
        state.record('reserved', key)
        request = state.ledger.places[key].request
        cached = cached_pieces(state.hints, request.prefixes)
        tokens = cached * state.settings.upstream.piece_tokens
        send(state, link, Reserved(key.request_id, key.attempt, tokens))


def _refused(state: AgentState, action: Refused) -> None:
    state.metrics.count('agent.refused')
    forget_order(state, action.key)
    send(state, action.link, failed_from(action.key, action.failure))


def _start_run(state: AgentState, action: StartRun) -> None:
    order = state.orders.pop(action.key)
    place = state.ledger.places[action.key]
    link: Output = state.links[place.link]
    if action.key in state.keeping.runs:
        link = KeptOutput(action.key, state.tell)
    run = Run(
        action.key,
        action.run_id,
        link,
        order,
        place.request.prompt_tokens,
        state.digests.get(action.key, b''),
    )
    state.runs[action.key] = run
    state.record('started', action.key, place.request.client_account)
    state.executor.submit(_target(state, run))


def _target(state: AgentState, run: Run) -> Callable[[], None]:
    if isinstance(run.order, Prefill):
        return partial(run_prefill, run, state.engine, state.tell)
    if isinstance(run.order, Decode):
        return partial(run_decode, run, state.engine, state.tell)
    deadline = state.deadlines.pop(run.key)
    return partial(run_call, run, state.service, deadline, state.tell)


def _cancel_run(state: AgentState, action: CancelRun) -> None:
    state.metrics.count('agent.cancelled')
    if state.is_service:
        state.tell(events.RunFreed(action.run_id))
        return
    freeing = state.ledger.freeing.get(action.run_id)
    landed = freeing is not None and freeing.landed
    state.executor.submit(_cancel_at_engine, state, action.run_id, landed)


def _cancel_at_engine(state: AgentState, run_id: str, landed: bool) -> None:
    """Cancel a run at the engine and report when it has certainly ended.

    A run that is unknown to the engine may still be in transit, unless the
    engine has responded to it before.
    """
    held = state.engine.cancel(run_id)
    if held is True or (landed and held is False):
        state.tell(events.RunFreed(run_id))


def _ended(state: AgentState, action: Ended) -> None:
    forget_order(state, action.key)
    run = state.runs.pop(action.key, None)
    used = 0
    if run is not None:
        run.cancelled.set()
        used = run.used_tokens
    if action.reason is not EndReason.finished:
        keep_unsettled(
            state.accounts,
            action.key.request_id,
            used,
            now_seconds(),
        )
    if action.reason not in SILENT_ENDS:
        state.record(f'ended_{action.reason.value}', action.key)
        message = failed_of_end(action, run)
        send(state, action.link, message)
    elif not action.started:
        _fail_unstarted(state, action.key, action.reason.value)


def _fail_unstarted(state: AgentState, key: Key, reason: str) -> None:
    """Fail the stored response of an attempt that never ran."""
    if key in state.keeping.runs:
        failure = UpstreamFailed(
            f'the attempt ended: {reason}', Outcome.not_run
        )
        take_output(
            state.keeping,
            key,
            failed_from(key, failure),
            now_seconds(),
        )


def _engine_restarted(state: AgentState, action: EngineRestarted) -> None:
    log.warning('The upstream has restarted.')
    now = now_seconds()
    coldstart.restart(state.ramp, now)
    act(state, ledger.set_limit(state.ledger, state.ramp.limit, now))


def _foreign_runs(state: AgentState, action: ForeignRuns) -> None:
    log.warning('The upstream has runs of another agent.')
    coldstart.observe_foreign_runs(state.ramp, now_seconds())


def forget_order(state: AgentState, key: Key) -> None:
    """Discard the data of a run that will not start."""
    state.orders.pop(key, None)
    state.deadlines.pop(key, None)
    state.digests.pop(key, None)
    state.charged.discard(key)


_ACTIONS: Final[dict[type[Action], Callable[[AgentState, Any], None]]] = {
    Granted: _granted,
    Refused: _refused,
    StartRun: _start_run,
    CancelRun: _cancel_run,
    Dropped: _dropped,
    Ended: _ended,
    EngineRestarted: _engine_restarted,
    ForeignRuns: _foreign_runs,
}
