"""Fencing of commands to an upstream by a token from the log.

An upstream that checks tokens rejects those of an older agent. For one that
ignores them, the wait of the new agent and the deadline check of the old
one together keep their commands apart: an agent issues a command only
within `evidence_seconds` of a read of the log, and the command is void
`command_seconds` later. Both end before the new agent's wait does.
"""

from __future__ import annotations

import enum
import math

import attrs


@attrs.frozen
class FenceSettings:
    """Identity of the agent and periods of its commands.

    Attributes:
        checks_tokens: Whether the upstream rejects an old token.
        evidence_seconds: Time after a read of the log within which
            commands may be issued; several polls of 500 ms.
        command_seconds: Time from issue until a command is void.
        transit_seconds: Longest time from the last check until the
            upstream has the command; the request's total timeout.
        clock_margin: Relative difference of two monotonic clocks that the
            wait allows for.
    """

    agent: str
    incarnation: str
    checks_tokens: bool = True
    evidence_seconds: float = 3
    command_seconds: float = 5
    transit_seconds: float = 2
    clock_margin: float = 0.01


@attrs.frozen
class TakeToken:
    """Append the next token to the log."""

    number: int


@attrs.frozen
class Command:
    """A command with its token.

    Attributes:
        number: The fencing token.
        deadline: Instant from which the command must not be sent.
    """

    number: int
    deadline: float


class Hold(enum.Enum):
    """Why no command may be issued now."""

    not_holder = 'not_holder'
    superseded = 'superseded'
    stale_evidence = 'stale_evidence'
    old_agent_may_act = 'old_agent_may_act'


@attrs.define
class OrderFence:
    """What an agent knows of the token of its upstream.

    Attributes:
        newest: Newest token in the log, 0 before the first.
        own: Newest token of this agent, 0 without one.
        usable_at: Instant from which the own token may be used.
        evidence_until: End of the time covered by the newest read.
    """

    settings: FenceSettings
    newest: int = 0
    own: int = 0
    usable_at: float = math.inf
    evidence_until: float = -math.inf


def is_superseded(fence: OrderFence) -> bool:
    """Return whether another agent took the token after this one."""
    return 0 < fence.own < fence.newest


def wanted_token(fence: OrderFence) -> TakeToken | None:
    """Return the record that this agent should append, if any.

    An agent takes a token once: two agents that took it back from each
    other would never stop.
    """
    return None if fence.own else TakeToken(fence.newest + 1)


def observe_token(
    fence: OrderFence,
    number: int,
    agent: str,
    incarnation: str,
    now: float,
) -> None:
    """Take note of an accepted token record of the upstream."""
    if number <= fence.newest:
        return
    fence.newest = number
    if (agent, incarnation) != _identity(fence):
        return
    fence.own = number
    fence.usable_at = now
    if number > 1 and not fence.settings.checks_tokens:
        fence.usable_at += takeover_seconds(fence.settings)


def takeover_seconds(settings: FenceSettings) -> float:
    """Return how long commands of an earlier agent may have effect.

    Counted from the record that supersedes it.
    """
    periods = (
        settings.evidence_seconds,
        settings.command_seconds,
        settings.transit_seconds,
    )
    return sum(periods) * (1 + settings.clock_margin)


def observe_log_read(fence: OrderFence, asked_at: float) -> None:
    """Take note that the log was read to its end.

    Args:
        fence: The fence.
        asked_at: Instant before the read was sent; a record written later
            may be missing from the answer.
    """
    fence.evidence_until = max(
        fence.evidence_until,
        asked_at + fence.settings.evidence_seconds,
    )


def issue_command(fence: OrderFence, now: float) -> Command | Hold:
    """Return a command with the newest token, or why there is none."""
    if not fence.own:
        return Hold.not_holder
    if is_superseded(fence):
        return Hold.superseded
    if now >= fence.evidence_until:
        return Hold.stale_evidence
    if now < fence.usable_at:
        return Hold.old_agent_may_act
    return Command(fence.own, now + fence.settings.command_seconds)


def may_take_effect(fence: OrderFence, command: Command, now: float) -> bool:
    """Return whether a command may be sent at this moment.

    Called with a fresh `now` directly before the request is written, since
    the agent may have been paused after it issued the command.
    """
    if command.number != fence.newest or is_superseded(fence):
        return False
    return now < command.deadline


def _identity(fence: OrderFence) -> tuple[str, str]:
    return fence.settings.agent, fence.settings.incarnation
