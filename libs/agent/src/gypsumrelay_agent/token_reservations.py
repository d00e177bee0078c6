"""Reservation of client accounts' tokens before work is submitted.

The shares may be held by this agent or by other agents, which are reached over
links.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable
from functools import partial
from typing import TYPE_CHECKING, Any, Final

from gypsumrelay_configuration import Contract, share_id
from gypsumrelay_errors import ConfigurationStale, Failure
from gypsumrelay_limits import (
    Action,
    Admitted,
    Granted,
    Member,
    Reason,
    Refused,
    Rejected,
    ReservationKey,
    ReservationSpec,
    SendSettlement,
    SendTokenRequest,
    Settlement,
    TokenRequest,
    grant,
    on_link_lost,
    on_reply,
    settle,
    settle_reservation,
    start_reservation,
    tick,
)
from gypsumrelay_wire import (
    Link,
    Message,
    Settle,
    TokenGrant,
    TokenRefusal,
    to_deadline,
    to_remaining_ms,
    to_retry_at,
    to_retry_ms,
)
from gypsumrelay_wire import TokenRequest as TokenRequestMessage

from gypsumrelay_agent import events

if TYPE_CHECKING:
    from gypsumrelay_agent.accounts import Accounts, DecisionCallback

# Exceeds any token reservation, so that nothing is refunded.
ALL_TOKENS: Final = sys.maxsize
REASONS: Final = {reason.value: reason for reason in Reason}


def reserve_tokens(
    accounts: Accounts,
    spec: ReservationSpec,
    on_decision: DecisionCallback,
    now: float,
) -> None:
    """Reserve tokens for a request; call `on_decision` with the result."""
    accounts.callbacks[spec.draw_id] = on_decision
    perform(accounts, start_reservation(accounts.requester, spec, now), now)


def reservation_spec(
    accounts: Accounts,
    client_account: str,
    draw_id: str,
    tokens: int,
    expires_at: float,
    *,
    retry: bool,
) -> ReservationSpec | Failure:
    """Return the specification of a token reservation.

    Args:
        accounts: State of the accounts.
        client_account: Client account that is charged.
        draw_id: Id of the token reservation.
        tokens: Upper bound of the tokens that the request uses.
        expires_at: Deadline of the reservation, in seconds.
        retry: Whether an earlier attempt may have been granted tokens.

    Returns:
        The specification, or a failure if the contract is unknown.
    """
    contract = accounts.contracts.get(client_account)
    if contract is None:
        return ConfigurationStale('the contract is not known here yet')
    holders = _share_holders(accounts, contract)
    return ReservationSpec(
        draw_id, contract, holders, tokens, expires_at, retry
    )


def settle_request(
    accounts: Accounts,
    draw_id: str,
    used: int,
    now: float,
) -> None:
    """Settle the token reservation of a request that ended."""
    accounts.callbacks.pop(draw_id, None)
    perform(
        accounts,
        settle_reservation(accounts.requester, draw_id, used, now),
        now,
    )


def tick_reservations(accounts: Accounts, now: float) -> None:
    """Resend unanswered token requests and settle abandoned reservations.

    A reservation is abandoned if no retry used it within the retry window.
    """
    perform(accounts, tick(accounts.requester, now), now)
    for draw_id, (settle_at, _) in list(accounts.unsettled.items()):
        if settle_at > now:
            break
        accounts.unsettled.pop(draw_id)
        settle_request(accounts, draw_id, ALL_TOKENS, now)


def settle_cancelled(
    accounts: Accounts,
    draw_id: str,
    used: int,
    now: float,
) -> None:
    """Settle the token reservation of a request that its entry cancelled."""
    _, used_before = accounts.unsettled.pop(draw_id, (now, 0))
    settle_request(accounts, draw_id, max(used, used_before), now)


def resend_messages(accounts: Accounts, member: Member, now: float) -> None:
    """Resend messages that may have been lost with the link to a holder."""
    accounts.connecting.discard(member)
    perform(accounts, on_link_lost(accounts.requester, member, now), now)


def receive_token_request(
    accounts: Accounts,
    link: Link,
    message: TokenRequestMessage,
    now: float,
) -> None:
    """Grant or refuse the token request of another agent."""
    token_request = TokenRequest(
        ReservationKey(message.draw_id, message.client_account, message.share),
        Member(link.peer.name, link.peer.incarnation),
        message.tokens,
        message.minimum,
        to_deadline(message.remaining_ms, now),
    )
    link.send(_reply_message(grant(accounts.holder, token_request, now), now))


def receive_settlement(
    accounts: Accounts,
    link: Link,
    message: Settle,
    now: float,
) -> None:
    """Apply the settlement of another agent."""
    settlement = Settlement(
        ReservationKey(message.draw_id, message.client_account, message.share),
        Member(link.peer.name, link.peer.incarnation),
        message.used,
    )
    settle(accounts.holder, settlement, now)


def receive_reply(
    accounts: Accounts,
    message: TokenGrant | TokenRefusal,
    now: float,
) -> None:
    """Process the reply of a share's holder."""
    reply = _parse_reply(message, now)
    perform(accounts, on_reply(accounts.requester, reply, now), now)


def perform(
    accounts: Accounts,
    actions: Iterable[Action],
    now: float,
) -> None:
    """Perform actions of the requester and those that follow from them.

    If this agent holds the share, the reply is available immediately.
    """
    pending = list(actions)
    while pending:
        action = pending.pop(0)
        if isinstance(action, Admitted):
            _notify_decision(accounts, action.draw_id, None)
        elif isinstance(action, Rejected):
            _notify_decision(accounts, action.draw_id, action.failure)
        elif action.holder == accounts.member:
            pending.extend(_perform_locally(accounts, action, now))
        else:
            _send_to_holder(accounts, action, now)


def _notify_decision(
    accounts: Accounts,
    draw_id: str,
    failure: Failure | None,
) -> None:
    on_decision = accounts.callbacks.pop(draw_id, None)
    if on_decision is not None:
        on_decision(failure)


def _perform_locally(
    accounts: Accounts,
    action: SendTokenRequest | SendSettlement,
    now: float,
) -> list[Action]:
    if isinstance(action, SendSettlement):
        settle(accounts.holder, action.settlement, now)
        return []
    reply = grant(accounts.holder, action.request, now)
    return on_reply(accounts.requester, reply, now)


def _send_to_holder(
    accounts: Accounts,
    action: SendTokenRequest | SendSettlement,
    now: float,
) -> None:
    """Send a message to a holder, or open a link to it first.

    Another thread opens the link, since this may block. The message is not
    queued; it is resent after the link has opened.
    """
    member = action.holder
    address = accounts.addresses.get(member)
    if address is None:
        return
    link = accounts.peers.find(address)
    if link is not None:
        link.send(_holder_message(action, now))
    elif member not in accounts.connecting:
        accounts.connecting.add(member)
        accounts.executor.submit(partial(_connect, accounts, member, address))


def _connect(accounts: Accounts, member: Member, address: Any) -> None:
    accounts.peers.connect(address)
    accounts.post_event(events.PeerConnectFinished(member))


def _holder_message(
    action: SendTokenRequest | SendSettlement,
    now: float,
) -> Message:
    if isinstance(action, SendSettlement):
        key = action.settlement.key
        return Settle(
            key.draw_id,
            key.client_account,
            key.share,
            action.settlement.used,
        )
    token_request = action.request
    return TokenRequestMessage(
        token_request.key.draw_id,
        token_request.key.client_account,
        token_request.key.share,
        token_request.tokens,
        to_remaining_ms(token_request.expires_at, now),
        token_request.minimum,
    )


def _reply_message(reply: Granted | Refused, now: float) -> Message:
    key = reply.key
    if isinstance(reply, Granted):
        return TokenGrant(
            key.draw_id, key.client_account, key.share, reply.tokens
        )
    return TokenRefusal(
        key.draw_id,
        key.client_account,
        key.share,
        reply.reason.value,
        to_retry_ms(reply.retry_at, now),
        reply.available,
        reply.minimum,
    )


def _parse_reply(
    message: TokenGrant | TokenRefusal, now: float
) -> Granted | Refused:
    key = ReservationKey(message.draw_id, message.client_account, message.share)
    if isinstance(message, TokenGrant):
        return Granted(key, message.tokens)
    return Refused(
        key,
        REASONS.get(message.code, Reason.no_share),
        message.available,
        to_retry_at(message.retry_ms, now),
        message.minimum,
    )


def _share_holders(
    accounts: Accounts,
    contract: Contract,
) -> tuple[Member | None, ...]:
    members: list[Member | None] = []
    for number in range(accounts.shares_per_account):
        share = accounts.shares.get(share_id(contract.client_account, number))
        holder = Member(share.holder, share.incarnation) if share else None
        is_known = holder in accounts.addresses or holder == accounts.member
        members.append(holder if is_known else None)
    return tuple(members)
