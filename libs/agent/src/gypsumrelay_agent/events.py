"""Events that the agent's actor handles."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
from gypsumrelay_claims import AppendResult
from gypsumrelay_errors import Failure
from gypsumrelay_limits import Member
from gypsumrelay_platform import Batch, Listing
from gypsumrelay_upstreams import CacheEvent, EngineReport, Key
from gypsumrelay_wire import Link, Message

from gypsumrelay_agent.engine import UpstreamFault

PostEvent = Callable[[object], None]


@attrs.frozen
class LinkOpened:
    """A link to a peer has opened."""

    link: Link


@attrs.frozen
class LinkClosed:
    """A link has closed."""

    link: Link


@attrs.frozen
class MessageReceived:
    """A message has arrived on a link; its class selects the handler."""

    link: Link
    message: Any


@attrs.frozen
class ListingRead:
    """The platform's list has been read.

    Attributes:
        listing: The list.
        asked_at: Time in seconds at which the read started.
    """

    listing: Listing
    asked_at: float


@attrs.frozen
class ConfigurationChanged:
    """The configuration state has changed."""


@attrs.frozen
class LogEndRead:
    """The log has been read to its end.

    Attributes:
        asked_at: Time in seconds at which the read started.
    """

    asked_at: float


@attrs.frozen
class PeerConnectFinished:
    """An attempt to open a link to another agent has ended."""

    member: Member


@attrs.frozen
class ProbeFinished:
    """A probe of the upstream has ended, with a report or a fault."""

    report: EngineReport | UpstreamFault
    cache_events: tuple[CacheEvent, ...] = ()


@attrs.frozen
class RunReachedEngine:
    """The engine has confirmed that it received a run.

    Attributes:
        key: The attempt.
        first_index: Index of the first token that the run generates.
    """

    key: Key
    first_index: int


@attrs.frozen
class RunEnded:
    """The thread of a run has ended.

    Attributes:
        key: The attempt.
        used_tokens: Prompt and output tokens that were processed.
        seconds_per_unit: Seconds for each token or plain service request,
            0 if unknown.
        fault: Fault that ended the run, or None for a finished run.
        retains_kv_cache: Whether the engine keeps the KV cache for some time.
    """

    key: Key
    used_tokens: int
    seconds_per_unit: float = 0
    fault: UpstreamFault | None = None
    retains_kv_cache: bool = False


@attrs.frozen
class RunCancelConfirmed:
    """The engine has confirmed the cancellation of a run."""

    run_id: str


@attrs.frozen
class Tick:
    """The periodic timer has fired."""


@attrs.frozen
class DrainStarted:
    """The agent must drain."""


@attrs.frozen
class RunOutput:
    """A run with an idempotency key has produced a message for its entry."""

    key: Key
    message: Message


@attrs.frozen
class LogRead:
    """The log has been read.

    Attributes:
        batch: Records that were read, or the failure of the read.
        by_committer: Whether the committer started the read, not the follower.
    """

    batch: Batch | Failure
    by_committer: bool


@attrs.frozen
class AppendFinished:
    """An append of the committer has ended."""

    append_id: str
    result: AppendResult


@attrs.frozen
class ClaimTimerExpired:
    """The timer of the committer has expired."""
