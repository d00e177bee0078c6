"""Handlers of claims, and of runs with an idempotency key.

These runs may continue when the link to their entry is lost.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

from gypsumrelay_errors import Outcome, OutcomeUnknown
from gypsumrelay_instance import listed_committers
from gypsumrelay_platform import Listing
from gypsumrelay_upstreams import Key, Phase, ReserveRequest, ledger
from gypsumrelay_wire import Claim, Link, ReleaseClaim, Resume

from gypsumrelay_agent import claims, events
from gypsumrelay_agent.failures import failed_message
from gypsumrelay_agent.ledger_actions import perform_actions
from gypsumrelay_agent.responses import (
    process_output,
    register_run,
    remove_subscriber,
    remove_subscriber_link,
    resume,
    tick_responses,
)
from gypsumrelay_agent.state import AgentState, link_id, now_seconds


def register_response(
    state: AgentState,
    request: ReserveRequest,
    event: events.MessageReceived,
) -> bool:
    """Register the response of a request; return whether it may run.

    Requests without an idempotency key may always run.
    """
    digest = event.message.key_digest
    if not digest:
        return True
    failure = register_run(
        state.responses,
        request.key,
        (request.client_account, digest.hex()),
        event.link,
        now_seconds(),
    )
    if failure is not None:
        event.link.send(failed_message(request.key, failure))
    return failure is None


def resume_response(state: AgentState, event: events.MessageReceived) -> None:
    """Send a stored response, or attach its run to another entry."""
    resume(state.responses, event.link, event.message, now_seconds())
    attach_runs(state)


def attach_runs(state: AgentState) -> None:
    """Attach runs without an entry to entries that wait for the response."""
    for key, recorded_run in state.responses.runs.items():
        reservation = state.ledger.places.get(key)
        if (
            reservation is None
            or reservation.link
            or not recorded_run.subscribers
        ):
            continue
        link = link_id(recorded_run.subscribers[0].link)
        perform_actions(
            state, ledger.adopt(state.ledger, key, link, now_seconds())
        )


def detach_run(
    state: AgentState, key: Key, event: events.MessageReceived
) -> bool:
    """Detach a run from the request that cancels it.

    The run continues for another entry that waits for the response. If the
    caller may retry, it continues for the grace period without an entry.

    Returns:
        Whether the cancellation is complete, so that the run is not cancelled.
    """
    run_key = remove_subscriber(state.responses, key.request_id, key.attempt)
    if run_key is None:
        # Entries cancel at the decode agent and at the prefill agent. If both
        # are the same agent, it receives the message twice.
        return event.message.keep and key in state.responses.runs
    reservation = state.ledger.places.get(run_key)
    if reservation is None or reservation.phase is not Phase.running:
        return False
    if run_key == key and not event.message.keep:
        return False
    reservation.link = ''
    reservation.detached_until = now_seconds() + state.settings.grace_seconds
    attach_runs(state)
    return True


def fail_detached_run(state: AgentState, event: events.RunEnded) -> None:
    """Fail the stored response of a run whose reservation has ended."""
    if event.fault is None or event.key not in state.responses.runs:
        return
    failure = OutcomeUnknown(event.fault.sentence, Outcome.unknown)
    message = failed_message(event.key, failure)
    process_output(state.responses, event.key, message, now_seconds())


def observe_listing(state: AgentState, listing: Listing) -> None:
    """Apply the deployment's committers from the list."""
    committers = listed_committers(listing, state.settings.committers)
    claims.observe_committers(state.claims, committers, now_seconds())


def remove_link(state: AgentState, link: Link) -> None:
    """Discard pending replies and responses to a closed link."""
    claims.remove_link(state.claims, link)
    remove_subscriber_link(state.responses, link)


def tick_idempotency(state: AgentState, now: float) -> None:
    """Expire claims and stored responses, and perform due actions."""
    claims.tick_claims(state.claims, now)
    tick_responses(state.responses, now)


def _receive_claim(state: AgentState, event: events.MessageReceived) -> None:
    claims.receive_claim(
        state.claims,
        event.link,
        event.message,
        now_seconds(),
    )


def _receive_release(state: AgentState, event: events.MessageReceived) -> None:
    claims.receive_release(state.claims, event.message, now_seconds())


def _process_log_read(state: AgentState, event: events.LogRead) -> None:
    claims.process_log_read(
        state.claims,
        event.batch,
        now_seconds(),
        by_committer=event.by_committer,
    )


def _process_append_result(
    state: AgentState, event: events.AppendFinished
) -> None:
    claims.process_append_result(
        state.claims,
        event.append_id,
        event.result,
        now_seconds(),
    )


def _process_timer(state: AgentState, event: events.ClaimTimerExpired) -> None:
    claims.process_timer(state.claims, now_seconds())


def _process_output(state: AgentState, event: events.RunOutput) -> None:
    process_output(state.responses, event.key, event.message, now_seconds())


IDEMPOTENCY_HANDLERS: Final[dict[type, Callable[[AgentState, Any], None]]] = {
    events.RunOutput: _process_output,
    events.LogRead: _process_log_read,
    events.AppendFinished: _process_append_result,
    events.ClaimTimerExpired: _process_timer,
}
IDEMPOTENCY_RECEIVERS: Final[dict[type, Callable[[AgentState, Any], None]]] = {
    Claim: _receive_claim,
    ReleaseClaim: _receive_release,
    Resume: resume_response,
}
