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

from gypsumrelay_agent import claiming, events
from gypsumrelay_agent.acting import act
from gypsumrelay_agent.keeping import (
    drop_link,
    drop_listener,
    keep_run,
    resume,
    take_output,
    tick_responses,
)
from gypsumrelay_agent.replies import failed_from
from gypsumrelay_agent.state import AgentState, link_id, now_seconds


def keep_response(
    state: AgentState,
    request: ReserveRequest,
    event: events.Received,
) -> bool:
    """Register the response of a request; return whether it may run.

    Requests without an idempotency key may always run.
    """
    digest = event.message.key_digest
    if not digest:
        return True
    failure = keep_run(
        state.keeping,
        request.key,
        (request.client_account, digest.hex()),
        event.link,
        now_seconds(),
    )
    if failure is not None:
        event.link.send(failed_from(request.key, failure))
    return failure is None


def resume_response(state: AgentState, event: events.Received) -> None:
    """Send a stored response, or attach its run to another entry."""
    resume(state.keeping, event.link, event.message, now_seconds())
    hand_over(state)


def hand_over(state: AgentState) -> None:
    """Attach runs without an entry to entries that wait for the response."""
    for key, kept in state.keeping.runs.items():
        place = state.ledger.places.get(key)
        if place is None or place.link or not kept.listeners:
            continue
        link = link_id(kept.listeners[0].link)
        act(state, ledger.adopt(state.ledger, key, link, now_seconds()))


def detach_run(state: AgentState, key: Key, event: events.Received) -> bool:
    """Detach a run from the request that cancels it.

    The run continues for another entry that waits for the response. If the
    caller may retry, it continues for the grace period without an entry.

    Returns:
        Whether the cancellation is complete, so that the run is not cancelled.
    """
    followed = drop_listener(state.keeping, key.request_id, key.attempt)
    if followed is None:
        # Entries cancel at the decode agent and at the prefill agent. If both
        # are the same agent, it receives the message twice.
        return event.message.keep and key in state.keeping.runs
    place = state.ledger.places.get(followed)
    if place is None or place.phase is not Phase.running:
        return False
    if followed == key and not event.message.keep:
        return False
    place.link = ''
    place.detached_until = now_seconds() + state.settings.grace_seconds
    hand_over(state)
    return True


def end_detached(state: AgentState, event: events.RunEnded) -> None:
    """Fail the stored response of a run whose reservation has ended."""
    if event.fault is None or event.key not in state.keeping.runs:
        return
    failure = OutcomeUnknown(event.fault.sentence, Outcome.unknown)
    message = failed_from(event.key, failure)
    take_output(state.keeping, event.key, message, now_seconds())


def observe_listing(state: AgentState, listing: Listing) -> None:
    """Apply the deployment's committers from the list."""
    committers = listed_committers(listing, state.settings.committers)
    claiming.observe_committers(state.claiming, committers, now_seconds())


def forget_link(state: AgentState, link: Link) -> None:
    """Discard pending replies and responses to a closed link."""
    claiming.forget_link(state.claiming, link)
    drop_link(state.keeping, link)


def tick_keyed(state: AgentState, now: float) -> None:
    """Expire claims and stored responses, and perform due actions."""
    claiming.tick_claims(state.claiming, now)
    tick_responses(state.keeping, now)


def _receive_claim(state: AgentState, event: events.Received) -> None:
    claiming.receive_claim(
        state.claiming,
        event.link,
        event.message,
        now_seconds(),
    )


def _receive_release(state: AgentState, event: events.Received) -> None:
    claiming.receive_release(state.claiming, event.message, now_seconds())


def _take_log_read(state: AgentState, event: events.LogRead) -> None:
    claiming.take_read(
        state.claiming,
        event.batch,
        now_seconds(),
        own=event.own,
    )


def _note_append(state: AgentState, event: events.ClaimsAppended) -> None:
    claiming.take_append_result(
        state.claiming,
        event.append_id,
        event.result,
        now_seconds(),
    )


def _claims_due(state: AgentState, event: events.ClaimsDue) -> None:
    claiming.claims_due(state.claiming, now_seconds())


def _take_output(state: AgentState, event: events.RunOutput) -> None:
    take_output(state.keeping, event.key, event.message, now_seconds())


KEYED_HANDLERS: Final[dict[type, Callable[[AgentState, Any], None]]] = {
    events.RunOutput: _take_output,
    events.LogRead: _take_log_read,
    events.ClaimsAppended: _note_append,
    events.ClaimsDue: _claims_due,
}
KEYED_RECEIVERS: Final[dict[type, Callable[[AgentState, Any], None]]] = {
    Claim: _receive_claim,
    ReleaseClaim: _receive_release,
    Resume: resume_response,
}
