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
    Draw,
    DrawKey,
    DrawOrder,
    Granted,
    Member,
    Reason,
    Refused,
    Rejected,
    SendDraw,
    SendSettlement,
    Settlement,
    finish,
    grant,
    on_link_lost,
    on_reply,
    settle,
    start,
    tick,
)
from gypsumrelay_wire import Draw as DrawMessage
from gypsumrelay_wire import (
    Drawn,
    DrawRefused,
    Link,
    Message,
    Settle,
    to_deadline,
    to_remaining_ms,
    to_retry_at,
    to_retry_ms,
)

from gypsumrelay_agent import events

if TYPE_CHECKING:
    from gypsumrelay_agent.accounts import Accounts, Decided

# Exceeds any token reservation, so that nothing is refunded.
ALL_TOKENS: Final = sys.maxsize
REASONS: Final = {reason.value: reason for reason in Reason}


def begin_draw(
    accounts: Accounts,
    order: DrawOrder,
    decided: Decided,
    now: float,
) -> None:
    """Reserve tokens for a request; call `decided` with the result."""
    accounts.waiting[order.draw_id] = decided
    perform(accounts, start(accounts.drawer, order, now), now)


def new_order(
    accounts: Accounts,
    client_account: str,
    draw_id: str,
    tokens: int,
    expires_at: float,
    *,
    retry: bool,
) -> DrawOrder | Failure:
    """Return the token reservation that a request needs.

    Args:
        accounts: State of the accounts.
        client_account: Client account that is charged.
        draw_id: Id of the token reservation.
        tokens: Upper bound of the tokens that the request uses.
        expires_at: Deadline of the reservation, in seconds.
        retry: Whether an earlier attempt may have been granted tokens.

    Returns:
        The reservation, or a failure if the contract is unknown.
    """
    contract = accounts.contracts.get(client_account)
    if contract is None:
        return ConfigurationStale('the contract is not known here yet')
    holders = _holders(accounts, contract)
    return DrawOrder(draw_id, contract, holders, tokens, expires_at, retry)


def end_draw(
    accounts: Accounts,
    draw_id: str,
    used: int,
    now: float,
) -> None:
    """Settle the token reservation of a request that ended."""
    accounts.waiting.pop(draw_id, None)
    perform(accounts, finish(accounts.drawer, draw_id, used, now), now)


def tick_draws(accounts: Accounts, now: float) -> None:
    """Resend unanswered token requests and settle abandoned reservations.

    A reservation is abandoned if no retry used it within the retry window.
    """
    perform(accounts, tick(accounts.drawer, now), now)
    for draw_id, (due, _) in list(accounts.unsettled.items()):
        if due > now:
            break
        accounts.unsettled.pop(draw_id)
        end_draw(accounts, draw_id, ALL_TOKENS, now)


def settle_final(
    accounts: Accounts,
    draw_id: str,
    used: int,
    now: float,
) -> None:
    """Settle the token reservation of a request that its entry cancelled."""
    _, known = accounts.unsettled.pop(draw_id, (now, 0))
    end_draw(accounts, draw_id, max(used, known), now)


def resend(accounts: Accounts, member: Member, now: float) -> None:
    """Resend messages that may have been lost with the link to a holder."""
    accounts.connecting.discard(member)
    perform(accounts, on_link_lost(accounts.drawer, member, now), now)


def receive_draw(
    accounts: Accounts,
    link: Link,
    message: DrawMessage,
    now: float,
) -> None:
    """Grant or refuse the token request of another agent."""
    draw = Draw(
        DrawKey(message.draw_id, message.client_account, message.share),
        Member(link.peer.name, link.peer.incarnation),
        message.tokens,
        message.minimum,
        to_deadline(message.remaining_ms, now),
    )
    link.send(_reply_message(grant(accounts.holder, draw, now), now))


def receive_settlement(
    accounts: Accounts,
    link: Link,
    message: Settle,
    now: float,
) -> None:
    """Apply the settlement of another agent."""
    settlement = Settlement(
        DrawKey(message.draw_id, message.client_account, message.share),
        Member(link.peer.name, link.peer.incarnation),
        message.used,
    )
    settle(accounts.holder, settlement, now)


def receive_reply(
    accounts: Accounts,
    message: Drawn | DrawRefused,
    now: float,
) -> None:
    """Process the reply of a share's holder."""
    reply = _reply_of(message, now)
    perform(accounts, on_reply(accounts.drawer, reply, now), now)


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
            _decide(accounts, action.draw_id, None)
        elif isinstance(action, Rejected):
            _decide(accounts, action.draw_id, action.failure)
        elif action.holder == accounts.member:
            pending.extend(_serve_here(accounts, action, now))
        else:
            _send(accounts, action, now)


def _decide(
    accounts: Accounts,
    draw_id: str,
    failure: Failure | None,
) -> None:
    decided = accounts.waiting.pop(draw_id, None)
    if decided is not None:
        decided(failure)


def _serve_here(
    accounts: Accounts,
    action: SendDraw | SendSettlement,
    now: float,
) -> list[Action]:
    if isinstance(action, SendSettlement):
        settle(accounts.holder, action.settlement, now)
        return []
    reply = grant(accounts.holder, action.draw, now)
    return on_reply(accounts.drawer, reply, now)


def _send(
    accounts: Accounts,
    action: SendDraw | SendSettlement,
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
        link.send(_order_message(action, now))
    elif member not in accounts.connecting:
        accounts.connecting.add(member)
        accounts.executor.submit(partial(_connect, accounts, member, address))


def _connect(accounts: Accounts, member: Member, address: Any) -> None:
    accounts.peers.connect(address)
    accounts.tell(events.PeerTried(member))


def _order_message(
    action: SendDraw | SendSettlement,
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
    draw = action.draw
    return DrawMessage(
        draw.key.draw_id,
        draw.key.client_account,
        draw.key.share,
        draw.tokens,
        to_remaining_ms(draw.expires_at, now),
        draw.minimum,
    )


def _reply_message(reply: Granted | Refused, now: float) -> Message:
    key = reply.key
    if isinstance(reply, Granted):
        return Drawn(key.draw_id, key.client_account, key.share, reply.tokens)
    return DrawRefused(
        key.draw_id,
        key.client_account,
        key.share,
        reply.reason.value,
        to_retry_ms(reply.retry_at, now),
        reply.available,
        reply.minimum,
    )


def _reply_of(message: Drawn | DrawRefused, now: float) -> Granted | Refused:
    key = DrawKey(message.draw_id, message.client_account, message.share)
    if isinstance(message, Drawn):
        return Granted(key, message.tokens)
    return Refused(
        key,
        REASONS.get(message.code, Reason.no_share),
        message.available,
        to_retry_at(message.retry_ms, now),
        message.minimum,
    )


def _holders(
    accounts: Accounts,
    contract: Contract,
) -> tuple[Member | None, ...]:
    found: list[Member | None] = []
    for number in range(accounts.shares_per_account):
        share = accounts.shares.get(share_id(contract.client_account, number))
        holder = Member(share.holder, share.incarnation) if share else None
        known = holder in accounts.addresses or holder == accounts.member
        found.append(holder if known else None)
    return tuple(found)
