"""Messages between requesters and holders; the agent encodes and sends them."""

from __future__ import annotations

import enum

import attrs


@attrs.frozen
class Member:
    """One incarnation of an instance; a restart makes another member."""

    name: str
    incarnation: str


@attrs.frozen
class ReservationKey:
    """Key of a reservation at the holder of a share."""

    draw_id: str
    client_account: str
    share: int


@attrs.frozen
class TokenRequest:
    """Request tokens from the holder of a share.

    Attributes:
        key: The reservation and the share.
        requester: Agent that settles the reservation.
        tokens: Tokens requested. Zero only asks for an earlier grant. The
            amount of an earlier partial grant confirms that the
            reservation is complete.
        minimum: Lower bound of a partial grant; zero, or the same number as
            `tokens`, allows no partial grant.
        expires_at: Deadline in seconds, from which the holder refuses the
            request as expired.
    """

    key: ReservationKey
    requester: Member
    tokens: int
    minimum: int
    expires_at: float


@attrs.frozen
class Granted:
    """Grant tokens, which are charged to the share."""

    key: ReservationKey
    tokens: int


class Reason(enum.Enum):
    """Reason for which a holder refuses a token request.

    Attributes:
        lacking: The share has fewer tokens than the minimum.
        busy: Another reservation is collecting partial grants, and its
            tokens may be refunded.
        stale: The holder has no recent evidence that it still owns the
            share.
        draining: The holder is shutting down.
        no_share: The agent does not hold the share.
        no_draw: There is no earlier grant to the reservation.
        settled: The reservation is settled.
        expired: The request arrived after its deadline.
    """

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
    """Refuse a token request, without a charge.

    Attributes:
        key: The reservation and the share.
        reason: Reason of the refusal.
        available: Tokens available in the share.
        retry_at: Time in seconds at which the share will have the requested
            tokens, or None if never.
        minimum: Minimum of the refused request. Distinguishes a late refusal
            of an earlier request from the reply to the current one.
    """

    key: ReservationKey
    reason: Reason
    available: int = 0
    retry_at: float | None = None
    minimum: int = 0


@attrs.frozen
class Settlement:
    """Settle a reservation with the tokens that it used.

    Attributes:
        key: The reservation and the share.
        requester: Agent that settles the reservation.
        used: Tokens used; the rest is refunded.
    """

    key: ReservationKey
    requester: Member
    used: int


@attrs.frozen
class ReservationSettings:
    """Time-outs and resends of token requests.

    Attributes:
        resend_seconds: Seconds after which an unanswered request is resent.
        max_resends: Number of resends before the share counts as unreachable
            for the reservation.
        poll_seconds: Seconds after which a busy share is asked again.
        settled_retention_seconds: Retention of closed reservations, in
            seconds. Must exceed the longest time between the start of a
            reservation and the arrival of the last duplicate of its
            messages.
        unsettled_retention_seconds: Seconds after which a holder deletes a
            reservation that was never settled, and counts its tokens as
            spent. Must exceed the longest request.
    """

    resend_seconds: float = 0.1
    max_resends: int = 2
    poll_seconds: float = 0.02
    settled_retention_seconds: float = 60
    unsettled_retention_seconds: float = 3600
