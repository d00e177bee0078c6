"""Reserve tokens for a request from the shares of its client account.

A reservation first asks the shares one by one for the whole amount. If no
share has it but all shares together may, the reservation collects partial
grants in the order of share numbers, and refunds them if the amount cannot
be completed.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Final

import attrs
from gypsumrelay_errors import (
    ConfigurationStale,
    DeadlineUnreachable,
    Failure,
    Overloaded,
    RateExceeded,
    TokensOutOfRange,
)

from gypsumrelay_limits import estimates
from gypsumrelay_limits.messages import (
    Granted,
    Member,
    Reason,
    Refused,
    Settlement,
    TokenRequest,
)
from gypsumrelay_limits.reservations import (
    Action,
    Admitted,
    PendingRequest,
    Phase,
    Rejected,
    Requester,
    Reservation,
    ReservationSpec,
    SendSettlement,
    SendTokenRequest,
    key_of,
    missing_tokens,
    reachable_shares,
)

_PhaseHandler = Callable[[Requester, Reservation, float], list[Action]]

_DECIDED_PHASES: Final = (Phase.admitted, Phase.closed, Phase.abandoned)
_CLOSED_PHASES: Final = (Phase.closed, Phase.abandoned)
# Reservation ids that one request may use, each found settled at a holder,
# before it is rejected. Bounds the messages for a request that is retried
# again and again.
_MAXIMUM_GENERATIONS: Final = 8


def start_reservation(
    requester: Requester, spec: ReservationSpec, now: float
) -> list[Action]:
    """Start a request's reservation, or reuse its open or admitted one."""
    generation = 0
    existing = requester.reservations.get(
        requester.newest_ids.get(spec.draw_id, ''),
    )
    if existing is not None:
        if existing.phase is Phase.admitted:
            return [Admitted(spec.draw_id)]
        if existing.phase not in _CLOSED_PHASES:
            return []
        generation = _generation(existing) + 1
    if spec.tokens > spec.contract.burst_tokens:
        sentence = 'the request needs more tokens than the contract allows'
        return [Rejected(spec.draw_id, TokensOutOfRange(sentence))]
    return _open(requester, spec, generation, now)


def on_reply(
    requester: Requester,
    reply: Granted | Refused,
    now: float,
) -> list[Action]:
    """Process a holder's reply, which may be late or a duplicate."""
    reservation = requester.reservations.get(reply.key.draw_id)
    if reservation is None:
        return []
    share = reply.key.share
    if reservation.phase in _DECIDED_PHASES or share in reservation.settled:
        return _on_late_reply(requester, reservation, reply)
    if isinstance(reply, Granted):
        reservation.pending.pop(share, None)
        reservation.grants[share] = reply.tokens
        if share not in reservation.charged:
            reservation.recalled.add(share)
        estimates.subtract_grant(requester, reservation, share, now)
        return _advance(requester, reservation, now)
    pending_request = reservation.pending.get(share)
    if (
        pending_request is None
        or pending_request.request.minimum != reply.minimum
    ):
        return []
    reservation.pending.pop(share)
    return _on_refused(requester, reservation, reply, now)


def settle_reservation(
    requester: Requester,
    draw_id: str,
    used: int,
    now: float,
) -> list[Action]:
    """Settle a request's reservation and refund the tokens it did not use.

    Args:
        requester: The requester that holds the reservation.
        draw_id: Reservation id of the request.
        used: Tokens used by all attempts of the request; zero refunds all.
        now: Current time in seconds.
    """
    reservation = requester.reservations.get(
        requester.newest_ids.get(draw_id, ''),
    )
    if reservation is None or reservation.phase in _CLOSED_PHASES:
        return []
    return _close(requester, reservation, used, now)


def on_link_lost(
    requester: Requester, holder: Member, now: float
) -> list[Action]:
    """Resend the messages that may be lost with a holder's link.

    Resent messages have the same ids and amounts, so holders can recognise
    duplicates.
    """
    actions: list[Action] = []
    for reservation in requester.reservations.values():
        shares = [
            number
            for number, member in enumerate(reservation.spec.holders)
            if member == holder
        ]
        for share in shares:
            if share in reservation.settled:
                actions.append(_settlement(requester, reservation, share))
            elif share in reservation.pending:
                actions.append(
                    SendTokenRequest(
                        holder, reservation.pending[share].request
                    ),
                )
    return actions


def tick(requester: Requester, now: float) -> list[Action]:
    """Resend unanswered requests and reject reservations past their deadline.

    The cost depends on the number of due timers, not of open reservations.
    """
    actions: list[Action] = []
    while requester.timers and requester.timers[0][0] <= now:
        _, wire_id = heapq.heappop(requester.timers)
        reservation = requester.reservations.get(wire_id)
        if reservation is not None:
            actions.extend(_on_timer(requester, reservation, now))
    return actions


def _on_timer(
    requester: Requester,
    reservation: Reservation,
    now: float,
) -> list[Action]:
    if reservation.phase in _DECIDED_PHASES:
        if reservation.phase in _CLOSED_PHASES and reservation.delete_at <= now:
            _delete(requester, reservation)
        return []
    if reservation.spec.expires_at <= now:
        sentence = 'the tokens could not be drawn in time'
        return _reject(
            requester,
            reservation,
            DeadlineUnreachable(sentence),
            now,
        )
    actions = _resend(requester, reservation, now)
    if reservation.poll_at is not None and reservation.poll_at <= now:
        reservation.poll_at = None
    return actions + _advance(requester, reservation, now)


def _resend(
    requester: Requester,
    reservation: Reservation,
    now: float,
) -> list[Action]:
    actions: list[Action] = []
    for share, pending_request in list(reservation.pending.items()):
        if pending_request.resend_at > now:
            continue
        if pending_request.resends_left:
            pending_request.resends_left -= 1
            pending_request.resend_at = now + requester.settings.resend_seconds
            _set_timer(requester, reservation, pending_request.resend_at)
            actions.append(
                SendTokenRequest(
                    _holder(reservation, share), pending_request.request
                ),
            )
        else:
            reservation.pending.pop(share)
            reservation.unusable[share] = (
                None if pending_request.request.tokens else Reason.no_draw
            )
    return actions


def _open(
    requester: Requester,
    spec: ReservationSpec,
    generation: int,
    now: float,
) -> list[Action]:
    wire_id = f'{spec.draw_id}~{generation}' if generation else spec.draw_id
    phase = Phase.recall if spec.retry else Phase.whole
    reservation = Reservation(spec, wire_id, phase)
    requester.reservations[wire_id] = reservation
    requester.newest_ids[spec.draw_id] = wire_id
    _set_timer(requester, reservation, spec.expires_at)
    if phase is Phase.recall:
        return [
            _request_tokens(requester, reservation, share, now)
            for share in reachable_shares(reservation)
        ]
    reservation.shares_to_ask = estimates.rank_shares(
        requester,
        reservation,
        now,
    )
    return _advance(requester, reservation, now)


def _advance(
    requester: Requester,
    reservation: Reservation,
    now: float,
) -> list[Action]:
    if missing_tokens(reservation) <= 0:
        return _admit(requester, reservation)
    if reservation.pending or reservation.poll_at is not None:
        return []
    while reservation.shares_to_ask:
        share = reservation.shares_to_ask.pop(0)
        if (
            share not in reservation.grants
            and share not in reservation.unusable
        ):
            return [_request_tokens(requester, reservation, share, now)]
    return _PHASE_END_HANDLERS[reservation.phase](requester, reservation, now)


def _after_recall(
    requester: Requester,
    reservation: Reservation,
    now: float,
) -> list[Action]:
    reservation.phase = Phase.whole
    if not reservation.grants:
        reservation.shares_to_ask = estimates.rank_shares(
            requester,
            reservation,
            now,
        )
    return _advance(requester, reservation, now)


def _after_whole(
    requester: Requester,
    reservation: Reservation,
    now: float,
) -> list[Action]:
    shares = reachable_shares(reservation)
    unasked = not all(
        share in reservation.available or share in reservation.grants
        for share in shares
    )
    enough = sum(reservation.available.values()) >= missing_tokens(reservation)
    if not shares or not (reservation.busy or unasked or enough):
        return _reject(
            requester,
            reservation,
            _shortage_failure(reservation, now),
            now,
        )
    reservation.phase = Phase.parts
    reservation.shares_to_ask = shares
    return _advance(requester, reservation, now)


def _after_parts(
    requester: Requester,
    reservation: Reservation,
    now: float,
) -> list[Action]:
    return _reject(
        requester,
        reservation,
        _shortage_failure(reservation, now),
        now,
    )


_PHASE_END_HANDLERS: Final[dict[Phase, _PhaseHandler]] = {
    Phase.recall: _after_recall,
    Phase.whole: _after_whole,
    Phase.parts: _after_parts,
}


def _request_tokens(
    requester: Requester,
    reservation: Reservation,
    share: int,
    now: float,
) -> SendTokenRequest:
    tokens = (
        0 if reservation.phase is Phase.recall else missing_tokens(reservation)
    )
    if tokens:
        reservation.charged.add(share)
    minimum = 1 if reservation.phase is Phase.parts else tokens
    message = TokenRequest(
        key_of(reservation, share),
        requester.member,
        tokens,
        minimum,
        reservation.spec.expires_at,
    )
    resend_at = now + requester.settings.resend_seconds
    reservation.pending[share] = PendingRequest(
        message,
        resend_at,
        requester.settings.max_resends,
    )
    _set_timer(requester, reservation, resend_at)
    return SendTokenRequest(_holder(reservation, share), message)


def _on_refused(
    requester: Requester,
    reservation: Reservation,
    refused: Refused,
    now: float,
) -> list[Action]:
    share = refused.key.share
    if refused.reason is Reason.settled:
        return _restart(requester, reservation, now)
    if refused.reason is Reason.busy and reservation.phase is Phase.parts:
        reservation.shares_to_ask.insert(0, share)
        reservation.poll_at = now + requester.settings.poll_seconds
        _set_timer(requester, reservation, reservation.poll_at)
    elif refused.reason in {Reason.lacking, Reason.busy}:
        account = refused.key.client_account
        estimates.store_estimate(
            requester,
            account,
            share,
            refused.available,
            now,
        )
        reservation.available[share] = refused.available
        reservation.busy = reservation.busy or refused.reason is Reason.busy
    elif refused.reason is not Reason.no_draw:
        reservation.unusable[share] = refused.reason
    return _advance(requester, reservation, now)


def _restart(
    requester: Requester,
    reservation: Reservation,
    now: float,
) -> list[Action]:
    """Restart the reservation under a new id, since the old one is settled.

    Tokens that other shares granted to the old reservation are not refunded,
    because some of them may have been used.
    """
    generation = _generation(reservation) + 1
    reservation.phase = Phase.abandoned
    _schedule_deletion(requester, reservation, now)
    if generation >= _MAXIMUM_GENERATIONS:
        failure = Overloaded('the request was drawn for too many times')
        return [Rejected(reservation.spec.draw_id, failure)]
    spec = attrs.evolve(reservation.spec, retry=True)
    return _open(requester, spec, generation, now)


def _on_late_reply(
    requester: Requester,
    reservation: Reservation,
    reply: Granted | Refused,
) -> list[Action]:
    """Refund a grant that arrives when the reservation no longer needs it.

    A settled grant is settled again with the same amount as before, since
    settlements may arrive out of order.
    """
    share = reply.key.share
    if isinstance(reply, Refused) or reservation.phase is Phase.abandoned:
        return []
    if share not in reservation.settled and (
        share in reservation.grants or share not in reservation.charged
    ):
        return []
    reservation.settled.setdefault(share, 0)
    return [_settlement(requester, reservation, share)]


def _admit(requester: Requester, reservation: Reservation) -> list[Action]:
    reservation.phase = Phase.admitted
    reservation.settled.update(
        dict.fromkeys(_unconfirmed_shares(reservation), 0),
    )
    reservation.pending.clear()
    for share, tokens in list(reservation.grants.items()):
        reservation.settled.pop(share, None)
        if (
            share not in reservation.recalled
            and missing_tokens(reservation) + tokens <= 0
        ):
            reservation.settled[share] = 0
            reservation.grants.pop(share)
    actions: list[Action] = [Admitted(reservation.spec.draw_id)]
    actions.extend(_settlements(requester, reservation))
    if len(reservation.grants) > 1:
        actions.extend(
            _confirmation(requester, reservation, number)
            for number in reservation.grants
        )
    return actions


def _unconfirmed_shares(reservation: Reservation) -> list[int]:
    """Return the shares that may hold a charge whose grant was not received.

    Requests of the recall phase are left out: they charge nothing, and the
    charges that they find may have been used.
    """
    unanswered = [
        share
        for share, pending_request in reservation.pending.items()
        if pending_request.request.tokens
    ]
    unreachable = [
        share
        for share, reason in reservation.unusable.items()
        if reason is None
    ]
    return unanswered + unreachable


def _confirmation(
    requester: Requester,
    reservation: Reservation,
    share: int,
) -> SendTokenRequest:
    tokens = reservation.grants[share]
    message = TokenRequest(
        key_of(reservation, share),
        requester.member,
        tokens,
        tokens,
        reservation.spec.expires_at,
    )
    return SendTokenRequest(_holder(reservation, share), message)


def _reject(
    requester: Requester,
    reservation: Reservation,
    failure: Failure,
    now: float,
) -> list[Action]:
    spent = sum(reservation.grants[share] for share in reservation.recalled)
    actions = _close(requester, reservation, spent, now)
    return [*actions, Rejected(reservation.spec.draw_id, failure)]


def _close(
    requester: Requester,
    reservation: Reservation,
    used: int,
    now: float,
) -> list[Action]:
    reservation.settled.update(
        dict.fromkeys(_unconfirmed_shares(reservation), 0),
    )
    for share, tokens in reservation.grants.items():
        reservation.settled[share] = min(used, tokens)
        used -= reservation.settled[share]
    reservation.phase = Phase.closed
    reservation.pending.clear()
    _schedule_deletion(requester, reservation, now)
    return _settlements(requester, reservation)


def _schedule_deletion(
    requester: Requester,
    reservation: Reservation,
    now: float,
) -> None:
    reservation.delete_at = now + requester.settings.settled_retention_seconds
    _set_timer(requester, reservation, reservation.delete_at)


def _delete(requester: Requester, reservation: Reservation) -> None:
    requester.reservations.pop(reservation.wire_id)
    if (
        requester.newest_ids.get(reservation.spec.draw_id)
        == reservation.wire_id
    ):
        requester.newest_ids.pop(reservation.spec.draw_id)


def _settlements(
    requester: Requester, reservation: Reservation
) -> list[Action]:
    return [
        _settlement(requester, reservation, share)
        for share in reservation.settled
    ]


def _settlement(
    requester: Requester,
    reservation: Reservation,
    share: int,
) -> SendSettlement:
    settlement = Settlement(
        key_of(reservation, share),
        requester.member,
        reservation.settled[share],
    )
    return SendSettlement(_holder(reservation, share), settlement)


def _shortage_failure(reservation: Reservation, now: float) -> Failure:
    if not reachable_shares(reservation):
        if Reason.stale in reservation.unusable.values():
            return ConfigurationStale('no holder can confirm its shares')
        return Overloaded('no holder of the account can be reached')
    reachable_fraction = len(reachable_shares(reservation)) / len(
        reservation.spec.holders,
    )
    rate = reservation.spec.contract.tokens_per_second * reachable_fraction
    shortfall = missing_tokens(reservation) - sum(
        available
        for share, available in reservation.available.items()
        if share not in reservation.grants
    )
    retry_at = now + max(0, shortfall) / rate if rate > 0 else None
    sentence = 'the rate and burst of the client account are used up'
    return RateExceeded(sentence, retry_at=retry_at)


def _holder(reservation: Reservation, share: int) -> Member:
    holder = reservation.spec.holders[share]
    if holder is None:
        raise ValueError('the requested share has no holder')
    return holder


def _generation(reservation: Reservation) -> int:
    suffix = reservation.wire_id.removeprefix(reservation.spec.draw_id)
    return int(suffix.removeprefix('~') or 0)


def _set_timer(
    requester: Requester, reservation: Reservation, at: float
) -> None:
    heapq.heappush(requester.timers, (at, reservation.wire_id))
