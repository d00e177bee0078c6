"""What the agent's actor is told."""

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

Tell = Callable[[object], None]


@attrs.frozen
class LinkOpened:
    """A peer opened a link."""

    link: Link


@attrs.frozen
class LinkLost:
    """A link closed."""

    link: Link


@attrs.frozen
class Received:
    """A message came on a link; receivers are chosen by its class."""

    link: Link
    message: Any


@attrs.frozen
class ListingRead:
    """The platform's list was read."""

    listing: Listing
    asked_at: float


@attrs.frozen
class ConfigurationChanged:
    """The configuration state has changed."""


@attrs.frozen
class LogEndRead:
    """The log was read to its end."""

    asked_at: float


@attrs.frozen
class PeerTried:
    """A link to another agent was opened, or could not be."""

    member: Member


@attrs.frozen
class Reported:
    """The engine answered a question for its state, or did not."""

    report: EngineReport | UpstreamFault
    cache_events: tuple[CacheEvent, ...] = ()


@attrs.frozen
class RunLanded:
    """The engine sent the first sign of a run."""

    key: Key
    first_index: int


@attrs.frozen
class RunEnded:
    """The thread of a run is done.

    Attributes:
        key: The attempt.
        used_tokens: Tokens that ran, of prompt and output.
        seconds_per_unit: Time for each token or call, 0 where unknown.
        fault: What went wrong, or None for a finished run.
        keeps_result: Whether the engine holds the result for a while.
    """

    key: Key
    used_tokens: int
    seconds_per_unit: float = 0
    fault: UpstreamFault | None = None
    keeps_result: bool = False


@attrs.frozen
class RunFreed:
    """The engine confirmed that it cancelled a run."""

    run_id: str


@attrs.frozen
class Tick:
    """Time has passed."""


@attrs.frozen
class DrainBegan:
    """The agent takes no new work."""


@attrs.frozen
class RunOutput:
    """A keyed run produced a message for its entry."""

    key: Key
    message: Message


@attrs.frozen
class LogRead:
    """The log was read, by the follower or by the committer itself."""

    batch: Batch | Failure
    own: bool


@attrs.frozen
class ClaimsAppended:
    """An append of the committer has a result."""

    append_id: str
    result: AppendResult


@attrs.frozen
class ClaimsDue:
    """The committer's timer ended."""
