"""Actions that the ledger returns for the agent to perform."""

from __future__ import annotations

import enum

import attrs
from gypsumrelay_errors import Failure

from gypsumrelay_upstreams.queueing import Key


class DropReason(enum.Enum):
    """Why a message or token batch was ignored."""

    old_attempt = 'old_attempt'
    attempt_ended = 'attempt_ended'
    link_closed = 'link_closed'
    not_reserved = 'not_reserved'
    already_running = 'already_running'
    unexpected_index = 'unexpected_index'


class EndReason(enum.Enum):
    """Why a reservation ended."""

    finished = 'finished'
    cancelled = 'cancelled'
    superseded = 'superseded'
    expired = 'expired'
    link_lost = 'link_lost'
    run_failed = 'run_failed'
    run_missing = 'run_missing'
    engine_restarted = 'engine_restarted'


@attrs.frozen
class Action:
    """Base class of all actions."""


@attrs.frozen
class Queued(Action):
    """The reservation is queued."""

    key: Key
    link: str


@attrs.frozen
class Granted(Action):
    """The reservation is granted, so that its entry may start it."""

    key: Key
    link: str


@attrs.frozen
class Refused(Action):
    """The reservation is refused and did not run."""

    key: Key
    link: str
    failure: Failure


@attrs.frozen
class Dropped(Action):
    """Ignore the message without an answer."""

    key: Key
    reason: DropReason


@attrs.frozen
class StartRun(Action):
    """Start the run with this id at the engine."""

    key: Key
    run_id: str
    first_index: int


@attrs.frozen
class Delivered(Action):
    """Send the tokens from the first index on to the link.

    Without a link, the tokens are stored until an entry resumes the run.
    """

    key: Key
    link: str
    first_index: int
    count: int


@attrs.frozen
class Ended(Action):
    """The reservation ended.

    Attributes:
        started: Whether the run was sent to the engine.
    """

    key: Key
    link: str
    reason: EndReason
    started: bool


@attrs.frozen
class CancelRun(Action):
    """Cancel a run at the engine; the cancel is idempotent."""

    run_id: str


@attrs.frozen
class EngineRestarted(Action):
    """The engine restarted and lost all its runs.

    Attributes:
        incarnation: The new incarnation of the engine.
        failed: Requests that were running when the engine stopped.
    """

    incarnation: str
    failed: tuple[Key, ...]


@attrs.frozen
class ForeignRuns(Action):
    """The engine holds runs that another agent started."""

    run_ids: tuple[str, ...]
