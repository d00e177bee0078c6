"""State of the requests that draw tokens, and what the drawer orders."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from gypsumrelay_limits.exchange import (
    Draw,
    DrawKey,
    DrawSettings,
    Member,
    Reason,
    Settlement,
)

if TYPE_CHECKING:
    from gypsumrelay_configuration import Contract
    from gypsumrelay_errors import Failure


@attrs.frozen
class DrawOrder:
    """What a request needs before its work is submitted.

    Attributes:
        draw_id: The same for all attempts of a request.
        contract: Contract of the client account.
        holders: Holder of each share by number, None where it has none.
        tokens: Upper bound of the tokens that the request uses.
        expires_at: Deadline of the draw.
        retry: Whether an earlier attempt may have drawn, possibly by
            another agent. The shares are asked for its grants first.
    """

    draw_id: str
    contract: Contract
    holders: tuple[Member | None, ...]
    tokens: int
    expires_at: float
    retry: bool = False


@attrs.frozen
class SendDraw:
    """Send a draw to a holder."""

    holder: Member
    draw: Draw


@attrs.frozen
class SendSettlement:
    """Send a settlement to a holder."""

    holder: Member
    settlement: Settlement


@attrs.frozen
class Admitted:
    """The request's tokens are charged; its work may be submitted."""

    draw_id: str


@attrs.frozen
class Rejected:
    """The request's tokens could not be drawn; nothing stays charged."""

    draw_id: str
    failure: Failure


Action = SendDraw | SendSettlement | Admitted | Rejected


class Phase(enum.Enum):
    """What the open draw is trying."""

    recall = 'recall'
    whole = 'whole'
    parts = 'parts'
    admitted = 'admitted'
    closed = 'closed'
    abandoned = 'abandoned'


@attrs.define
class Ask:
    """A draw that waits for the holder's reply."""

    draw: Draw
    repeat_at: float
    repeats_left: int


@attrs.define
class OpenDraw:
    """One request's draw over the shares of its account.

    Attributes:
        order: What the request needs.
        wire_id: Draw id in messages: the order's id, numbered anew where an
            earlier draw of the request is settled already.
        phase: What it is trying.
        queue: Shares still to ask in this phase.
        asks: Draws without a reply, by share.
        parts: Tokens granted, by share.
        recalled: Shares whose grants an earlier attempt may have used.
        charged: Shares that this draw asked to charge it.
        available: Tokens that refusing shares could have granted.
        lost: Shares that cannot serve this draw, with the reason or None
            where they do not reply.
        busy: Whether a share waits for a draw that is collecting parts.
        poll_at: Instant at which a busy share is asked again.
        settled: Tokens settled, by share.
        drop_at: Instant at which the closed draw is forgotten.
    """

    order: DrawOrder
    wire_id: str
    phase: Phase
    queue: list[int] = attrs.field(factory=list)
    asks: dict[int, Ask] = attrs.field(factory=dict)
    parts: dict[int, int] = attrs.field(factory=dict)
    recalled: set[int] = attrs.field(factory=set)
    charged: set[int] = attrs.field(factory=set)
    available: dict[int, int] = attrs.field(factory=dict)
    lost: dict[int, Reason | None] = attrs.field(factory=dict)
    busy: bool = False
    poll_at: float | None = None
    settled: dict[int, int] = attrs.field(factory=dict)
    drop_at: float = 0


@attrs.define
class Hint:
    """Tokens that a share could have granted at an instant."""

    available: float
    seen_at: float


@attrs.define
class Drawer:
    """All draws of one agent.

    Attributes:
        member: The agent.
        settings: Periods and repeats.
        draws: Draws by wire id, with recently closed ones.
        newest: Newest wire id of each order's draw id.
        timers: Heap of instants at which a draw has to be looked at.
        hints: What shares had left when they last refused.
    """

    member: Member
    settings: DrawSettings = attrs.field(factory=DrawSettings)
    draws: dict[str, OpenDraw] = attrs.field(factory=dict)
    newest: dict[str, str] = attrs.field(factory=dict)
    timers: list[tuple[float, str]] = attrs.field(factory=list)
    hints: dict[tuple[str, int], Hint] = attrs.field(factory=dict)


def key_of(draw: OpenDraw, share: int) -> DrawKey:
    """Return the key under which a share's holder knows the draw."""
    return DrawKey(draw.wire_id, draw.order.contract.client_account, share)


def missing(draw: OpenDraw) -> int:
    """Return the tokens that no share has granted yet."""
    return draw.order.tokens - sum(draw.parts.values())


def reachable(draw: OpenDraw) -> list[int]:
    """Return the shares that have a holder which may still reply.

    The order is the same for all drawers. Draws that collect parts take
    them in this order, so that no two of them wait for each other.
    """
    return [
        number
        for number, holder in enumerate(draw.order.holders)
        if holder is not None and number not in draw.lost
    ]
