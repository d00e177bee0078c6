"""State of token reservations, and the actions that they require."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from gypsumrelay_limits.messages import (
    Member,
    Reason,
    ReservationKey,
    ReservationSettings,
    Settlement,
    TokenRequest,
)

if TYPE_CHECKING:
    from gypsumrelay_configuration import Contract
    from gypsumrelay_errors import Failure


@attrs.frozen
class ReservationSpec:
    """Tokens that a request must reserve before its work is submitted.

    Attributes:
        draw_id: Reservation id, the same for all attempts of a request.
        contract: Contract of the client account.
        holders: Holder of each share by share number, None if unassigned.
        tokens: Upper bound of the tokens that the request uses.
        expires_at: Deadline of the reservation, in seconds.
        retry: Whether an earlier attempt, possibly at another agent, may
            have been granted tokens. Holders are first asked for such
            grants, so that the request is not charged twice.
    """

    draw_id: str
    contract: Contract
    holders: tuple[Member | None, ...]
    tokens: int
    expires_at: float
    retry: bool = False


@attrs.frozen
class SendTokenRequest:
    """Send a token request to a holder."""

    holder: Member
    request: TokenRequest


@attrs.frozen
class SendSettlement:
    """Send a settlement to a holder."""

    holder: Member
    settlement: Settlement


@attrs.frozen
class Admitted:
    """Admit a request: its tokens are charged, its work may be submitted."""

    draw_id: str


@attrs.frozen
class Rejected:
    """Reject a request whose tokens could not be reserved.

    Its charges are refunded, except tokens that an earlier attempt may have
    used.
    """

    draw_id: str
    failure: Failure


Action = SendTokenRequest | SendSettlement | Admitted | Rejected


class Phase(enum.Enum):
    """Phase of a reservation.

    Attributes:
        recall: Asks all shares for grants to an earlier attempt.
        whole: Asks the shares one by one for the whole amount.
        parts: Collects partial grants in the order of share numbers.
        admitted: The whole amount is charged.
        closed: Settled or rejected, kept to answer late replies.
        abandoned: Replaced by a reservation with a new id.
    """

    recall = 'recall'
    whole = 'whole'
    parts = 'parts'
    admitted = 'admitted'
    closed = 'closed'
    abandoned = 'abandoned'


@attrs.define
class PendingRequest:
    """A token request that waits for the holder's reply.

    Attributes:
        request: The message, resent unchanged.
        resend_at: Time in seconds at which it is resent.
        resends_left: Number of resends left.
    """

    request: TokenRequest
    resend_at: float
    resends_left: int


@attrs.define
class Reservation:
    """One request's reservation over the shares of its client account.

    Attributes:
        spec: Tokens that the request must reserve.
        wire_id: Reservation id in messages: the id of the spec, with a numeric
            suffix if an earlier reservation of the request is settled.
        phase: Current phase.
        shares_to_ask: Shares still to be asked in this phase.
        pending: Token requests without a reply, by share.
        grants: Tokens granted, by share.
        recalled: Shares whose grants an earlier attempt may have used.
        charged: Shares that were asked to charge this reservation.
        available: Tokens that refusing shares had available, by share.
        unusable: Shares that cannot serve this reservation, with the reason of
            the refusal, or None if the holder does not reply.
        busy: Whether a share is blocked by another reservation that is
            collecting partial grants.
        poll_at: Time in seconds at which a busy share is asked again.
        settled: Tokens settled as used, by share.
        delete_at: Time in seconds at which a closed reservation is deleted.
    """

    spec: ReservationSpec
    wire_id: str
    phase: Phase
    shares_to_ask: list[int] = attrs.field(factory=list)
    pending: dict[int, PendingRequest] = attrs.field(factory=dict)
    grants: dict[int, int] = attrs.field(factory=dict)
    recalled: set[int] = attrs.field(factory=set)
    charged: set[int] = attrs.field(factory=set)
    available: dict[int, int] = attrs.field(factory=dict)
    unusable: dict[int, Reason | None] = attrs.field(factory=dict)
    busy: bool = False
    poll_at: float | None = None
    settled: dict[int, int] = attrs.field(factory=dict)
    delete_at: float = 0


@attrs.define
class LevelEstimate:
    """Estimate of the tokens that a share had available.

    Attributes:
        available: Tokens.
        estimated_at: Time of the estimate in seconds.
    """

    available: float
    estimated_at: float


@attrs.define
class Requester:
    """All reservations of one agent.

    Attributes:
        member: The agent.
        settings: Resend periods and counts.
        reservations: Reservations by wire id, including recently closed ones.
        newest_ids: Newest wire id of each request's reservation id.
        timers: Heap of due times in seconds and wire ids.
        estimates: Estimated available tokens by client account and share.
    """

    member: Member
    settings: ReservationSettings = attrs.field(factory=ReservationSettings)
    reservations: dict[str, Reservation] = attrs.field(factory=dict)
    newest_ids: dict[str, str] = attrs.field(factory=dict)
    timers: list[tuple[float, str]] = attrs.field(factory=list)
    estimates: dict[tuple[str, int], LevelEstimate] = attrs.field(factory=dict)


def key_of(reservation: Reservation, share: int) -> ReservationKey:
    """Return the key that identifies a reservation at a share's holder."""
    return ReservationKey(
        reservation.wire_id,
        reservation.spec.contract.client_account,
        share,
    )


def missing_tokens(reservation: Reservation) -> int:
    """Return the number of tokens that are not granted yet."""
    return reservation.spec.tokens - sum(reservation.grants.values())


def reachable_shares(reservation: Reservation) -> list[int]:
    """Return the shares whose holder may still reply, by share number.

    All requesters collect partial grants in this order, which prevents
    deadlocks between reservations.
    """
    return [
        number
        for number, holder in enumerate(reservation.spec.holders)
        if holder is not None and number not in reservation.unusable
    ]
