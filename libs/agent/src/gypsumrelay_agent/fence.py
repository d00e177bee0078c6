"""Acquisition of the fencing token of the upstream through the log."""

from __future__ import annotations

import secrets
from functools import partial
from typing import TYPE_CHECKING, Final

from gypsumrelay_configuration import FenceTaken
from gypsumrelay_upstreams import (
    is_superseded,
    ledger,
    observe_log_read,
    observe_token,
    wanted_token,
)
from logbook import Logger

from gypsumrelay_agent.acting import act

if TYPE_CHECKING:
    from gypsumrelay_agent.state import AgentState

log = Logger('agent')

RECORD_ID_BYTES: Final = 8
# Interval of appends of the token record. An append may be lost, or another
# agent may append the same token first.
REPEAT_SECONDS: Final = 2.0


def apply_fence(state: AgentState, now: float) -> None:
    """Apply the newest token; drain if it belongs to a newer agent."""
    keeper = state.keeper
    taken = keeper.state.fences.get(state.settings.upstream.name)
    if taken is None:
        return
    observe_token(
        state.fence,
        taken.number,
        taken.agent,
        taken.incarnation,
        now,
    )
    if is_superseded(state.fence) and not state.ledger.superseded:
        log.warning('A newer agent has taken over the upstream.')
        act(state, ledger.supersede(state.ledger, now))


def note_fence_read(state: AgentState, asked_at: float) -> None:
    """Record a read of the log to its end as evidence for the token."""
    observe_log_read(state.fence, asked_at)


def tick_fence(state: AgentState, now: float) -> None:
    """Append a record of the next token unless this agent has a token."""
    wanted = wanted_token(state.fence)
    if wanted is None or now < state.fence_repeat_at:
        return
    state.fence_repeat_at = now + REPEAT_SECONDS
    member = state.accounts.member
    record = FenceTaken(
        secrets.token_hex(RECORD_ID_BYTES),
        state.settings.upstream.name,
        wanted.number,
        member.name,
        member.incarnation,
    )
    state.executor.submit(partial(state.accounts.log_client.append, [record]))
