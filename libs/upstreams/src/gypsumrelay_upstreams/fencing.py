"""Fencing of commands to an upstream by fencing tokens from the log.

An upstream that checks fencing tokens rejects those of an older agent. For
an upstream that ignores them, time limits prevent commands of two agents
from overlapping. An agent issues a command only within `evidence_seconds`
of a read of the log, and the command expires `command_seconds` later. A new
agent waits until the last command of the older one must have expired.
"""

from __future__ import annotations

import enum
import math

import attrs


@attrs.frozen
class FenceSettings:
    """Identity of the agent and time limits of its commands.

    Attributes:
        agent: Name of the agent.
        incarnation: Incarnation of the agent.
        checks_tokens: Whether the upstream rejects an old fencing token.
        evidence_seconds: Time after a read of the log within which
            commands may be issued; covers several polls of 500 ms.
        command_seconds: Time after which an issued command expires.
        transit_seconds: Longest time from the last check of a command to
            its arrival at the upstream; the total timeout of the request.
        clock_margin: Maximum relative drift between the monotonic clocks
            of two hosts.
    """

    agent: str
    incarnation: str
    checks_tokens: bool = True
    evidence_seconds: float = 3
    command_seconds: float = 5
    transit_seconds: float = 2
    clock_margin: float = 0.01


@attrs.frozen
class AppendToken:
    """Append a record with the next fencing token to the log."""

    number: int


@attrs.frozen
class Command:
    """The fencing token and the expiry of a command.

    Attributes:
        number: The fencing token.
        deadline: Time from which the command must not be sent.
    """

    number: int
    deadline: float


class CommandDenial(enum.Enum):
    """Why no command may be issued at this time."""

    not_holder = 'not_holder'
    superseded = 'superseded'
    stale_evidence = 'stale_evidence'
    old_agent_may_act = 'old_agent_may_act'


@attrs.define
class CommandFence:
    """State of the fencing token of an upstream, as seen by one agent.

    Attributes:
        settings: Identity of the agent and time limits of its commands.
        newest_token: Newest token in the log, 0 if there is none.
        own_token: Newest token of this agent, 0 if it has none.
        usable_at: Time from which the agent may use its token.
        evidence_until: Time until which the last read of the log permits
            commands.
    """

    settings: FenceSettings
    newest_token: int = 0
    own_token: int = 0
    usable_at: float = math.inf
    evidence_until: float = -math.inf


def is_superseded(fence: CommandFence) -> bool:
    """Return whether another agent took a token after this one."""
    return 0 < fence.own_token < fence.newest_token


def next_token_record(fence: CommandFence) -> AppendToken | None:
    """Return the token record that this agent should append, if any.

    An agent takes only one token. Otherwise, two agents could take over the
    upstream from each other for ever.
    """
    return None if fence.own_token else AppendToken(fence.newest_token + 1)


def observe_token(
    fence: CommandFence,
    number: int,
    agent: str,
    incarnation: str,
    now: float,
) -> None:
    """Process an accepted token record of the upstream."""
    if number <= fence.newest_token:
        return
    fence.newest_token = number
    if (agent, incarnation) != _identity(fence):
        return
    fence.own_token = number
    fence.usable_at = now
    if number > 1 and not fence.settings.checks_tokens:
        fence.usable_at += takeover_seconds(fence.settings)


def takeover_seconds(settings: FenceSettings) -> float:
    """Return how long commands of a superseded agent may take effect.

    The time in seconds starts with the record that supersedes the agent.
    """
    periods = (
        settings.evidence_seconds,
        settings.command_seconds,
        settings.transit_seconds,
    )
    return sum(periods) * (1 + settings.clock_margin)


def observe_log_read(fence: CommandFence, asked_at: float) -> None:
    """Process a read of the log to its end.

    Args:
        fence: State of the fencing token.
        asked_at: Time before the read was sent. Records that were written
            later may be missing from the response.
    """
    fence.evidence_until = max(
        fence.evidence_until,
        asked_at + fence.settings.evidence_seconds,
    )


def issue_command(fence: CommandFence, now: float) -> Command | CommandDenial:
    """Return a command with this agent's token, or why none is allowed."""
    if not fence.own_token:
        return CommandDenial.not_holder
    if is_superseded(fence):
        return CommandDenial.superseded
    if now >= fence.evidence_until:
        return CommandDenial.stale_evidence
    if now < fence.usable_at:
        return CommandDenial.old_agent_may_act
    return Command(fence.own_token, now + fence.settings.command_seconds)


def may_take_effect(fence: CommandFence, command: Command, now: float) -> bool:
    """Return whether a command may be sent now.

    The caller must read `now` directly before it writes the request, since
    the process may have been paused after it issued the command.
    """
    if command.number != fence.newest_token or is_superseded(fence):
        return False
    return now < command.deadline


def _identity(fence: CommandFence) -> tuple[str, str]:
    return fence.settings.agent, fence.settings.incarnation
