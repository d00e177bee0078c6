"""What drawers and holders tell each other; the agent puts it on the wire."""

from __future__ import annotations

import enum

import attrs


@attrs.frozen
class Member:
    """One life of an instance; a restart makes another member."""

    name: str
    incarnation: str


@attrs.frozen
class DrawKey:
    """Identifies a draw at the holder of a share."""

    draw_id: str
    client_account: str
    share: int


@attrs.frozen
class Draw:
    """Asks a holder for tokens.

    Attributes:
        key: The draw and the share that it asks.
        drawer: Who settles the draw.
        tokens: Tokens wanted. Zero asks only for a grant made before. The
            number that was granted in part before confirms that the whole
            amount is complete.
        minimum: Fewest tokens that help; a part of the tokens is granted
            only where this is lower. Zero means all of them.
        expires_at: The holder does not charge the draw from then on.
    """

    key: DrawKey
    drawer: Member
    tokens: int
    minimum: int
    expires_at: float


@attrs.frozen
class Granted:
    """The draw's tokens are charged to the share."""

    key: DrawKey
    tokens: int


class Reason(enum.Enum):
    """Why a holder refuses a draw."""

    lacking = 'lacking'
    busy = 'busy'
    stale = 'stale'
    draining = 'draining'
    no_share = 'no_share'
    no_draw = 'no_draw'
    settled = 'settled'
    expired = 'expired'


@attrs.frozen
class Refused:
    """The draw is not charged.

    Attributes:
        key: The draw.
        reason: `lacking` where tokens are missing, `busy` where some may
            come back from a draw that is collecting parts, `settled` where
            the draw ended before.
        available: Tokens that can be drawn from the share.
        retry_at: Instant at which the missing tokens will be there.
        minimum: The refused draw's minimum, which tells a late refusal of
            an earlier draw from the answer to a newer one.
    """

    key: DrawKey
    reason: Reason
    available: int = 0
    retry_at: float | None = None
    minimum: int = 0


@attrs.frozen
class Settlement:
    """Ends a draw with the tokens that it used."""

    key: DrawKey
    drawer: Member
    used: int


@attrs.frozen
class DrawSettings:
    """Periods of draws, in seconds, and repeats.

    Attributes:
        repeat_seconds: An unanswered draw is sent again after this.
        repeats: Times that it is sent again before its share counts as
            unreachable for the request.
        poll_seconds: A busy share is asked again after this.
        settled_seconds: Ended draws are remembered for this long. It has to
            exceed the longest time between the start of a draw and the
            arrival of its last copy.
        unsettled_seconds: A draw that is never settled is forgotten and
            stays spent. It has to exceed the longest request.
    """

    repeat_seconds: float = 0.1
    repeats: int = 2
    poll_seconds: float = 0.02
    settled_seconds: float = 60
    unsettled_seconds: float = 3600
