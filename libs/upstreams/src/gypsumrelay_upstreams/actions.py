"""What a decision asks of the agent's input and output."""

from __future__ import annotations

import enum

import attrs
from gypsumrelay_errors import Failure

from gypsumrelay_upstreams.queueing import Key


class DropReason(enum.Enum):
    """Why a message or token batch changes nothing."""

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
    """Base of all actions."""


@attrs.frozen
class Queued(Action):
    """The reservation waits for a place."""

    key: Key
    link: str


@attrs.frozen
class Granted(Action):
    """The reservation has a place; the entry may start it."""

    key: Key
    link: str


@attrs.frozen
class Refused(Action):
    """The reservation ended before it ran."""

    key: Key
    link: str
    failure: Failure


@attrs.frozen
class Dropped(Action):
    """The message has no effect and gets no answer."""

    key: Key
    reason: DropReason


@attrs.frozen
class StartRun(Action):
    """Start the work at the engine under this id."""

    key: Key
    run_id: str
    first_index: int


@attrs.frozen
class Delivered(Action):
    """Send the tokens from this index on over the link.

    Without a link the tokens are kept for a resumption.
    """

    key: Key
    link: str
    first_index: int
    count: int


@attrs.frozen
class Ended(Action):
    """The reservation is over; `started` tells whether work was sent."""

    key: Key
    link: str
    reason: EndReason
    started: bool


@attrs.frozen
class CancelRun(Action):
    """Cancel a run at the engine; repeating it is harmless."""

    run_id: str


@attrs.frozen
class EngineRestarted(Action):
    """The engine has a new incarnation; everything in it is gone.

    Attributes:
        failed: Requests that ran when the engine went down.
    """

    incarnation: str
    failed: tuple[Key, ...]


@attrs.frozen
class ForeignRuns(Action):
    """The engine holds runs that another agent started."""

    run_ids: tuple[str, ...]
