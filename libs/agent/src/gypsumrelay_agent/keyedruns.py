"""Runs with an idempotency key, which may outlive their entry."""

from __future__ import annotations

from gypsumrelay_errors import Outcome, OutcomeUnknown
from gypsumrelay_upstreams import Key, Phase, ReserveRequest, ledger

from gypsumrelay_agent import events
from gypsumrelay_agent.acting import act
from gypsumrelay_agent.keeping import (
    drop_listener,
    keep_run,
    resume,
    take_output,
)
from gypsumrelay_agent.replies import failed_from
from gypsumrelay_agent.state import AgentState, link_id, now_seconds


def keep_response(
    state: AgentState,
    request: ReserveRequest,
    event: events.Received,
) -> bool:
    """Store the response of a keyed request; return whether it may run."""
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
    """Send a stored response, or go on with a run for another entry."""
    resume(state.keeping, event.link, event.message, now_seconds())
    hand_over(state)


def hand_over(state: AgentState) -> None:
    """Attach runs without an entry to the entries that follow them."""
    for key, kept in state.keeping.runs.items():
        place = state.ledger.places.get(key)
        if place is None or place.link or not kept.listeners:
            continue
        link = link_id(kept.listeners[0].link)
        act(state, ledger.adopt(state.ledger, key, link, now_seconds()))


def detach_run(state: AgentState, key: Key, event: events.Received) -> bool:
    """Let a keyed run go on without the request that cancels it.

    It goes on for another entry that follows it, or for the grace period
    where the caller may come again.

    Returns:
        Whether there is nothing more to cancel.
    """
    followed = drop_listener(state.keeping, key.request_id, key.attempt)
    if followed is None:
        return False
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
    """End the stored response of a run that the ledger ended before."""
    if event.fault is None or event.key not in state.keeping.runs:
        return
    failure = OutcomeUnknown(event.fault.sentence, Outcome.unknown)
    message = failed_from(event.key, failure)
    take_output(state.keeping, event.key, message, now_seconds())
