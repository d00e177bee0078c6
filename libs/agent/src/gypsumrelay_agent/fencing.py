"""Acquisition of the fencing token of the upstream through the log."""

from __future__ import annotations

import secrets
from functools import partial
from typing import TYPE_CHECKING, Final

from gypsumrelay_configuration import FenceTaken
from gypsumrelay_upstreams import (
    is_superseded,
    ledger,
    next_token_record,
    observe_log_read,
    observe_token,
)
from logbook import Logger

from gypsumrelay_agent.ledger_actions import perform_actions

if TYPE_CHECKING:
    from gypsumrelay_agent.state import AgentState

log = Logger('agent')

RECORD_ID_BYTES: Final = 8
# Interval of appends of the token record. An append may be lost, or another
# agent may append the same token first.
APPEND_INTERVAL_SECONDS: Final = 2.0


def apply_fencing_token(state: AgentState, now: float) -> None:
    """Apply the newest token; drain if it belongs to a newer agent."""
    replica = state.replica
    token_record = replica.state.fences.get(state.settings.upstream.name)
    if token_record is None:
        return
    observe_token(
        state.fence,
        token_record.number,
        token_record.agent,
        token_record.incarnation,
        now,
    )
    if is_superseded(state.fence) and not state.ledger.superseded:
        log.warning('A newer agent has taken over the upstream.')
        perform_actions(state, ledger.supersede(state.ledger, now))


def record_fence_evidence(state: AgentState, asked_at: float) -> None:
    """Record a read of the log to its end as evidence for the token."""
    observe_log_read(state.fence, asked_at)


def request_fencing_token(state: AgentState, now: float) -> None:
    """Append a record of the next token unless this agent has a token."""
    next_token = next_token_record(state.fence)
    if next_token is None or now < state.token_append_at:
        return
    state.token_append_at = now + APPEND_INTERVAL_SECONDS
    member = state.accounts.member
    record = FenceTaken(
        secrets.token_hex(RECORD_ID_BYTES),
        state.settings.upstream.name,
        next_token.number,
        member.name,
        member.incarnation,
    )
    state.executor.submit(partial(state.accounts.log_client.append, [record]))
