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

from gypsumrelay_limits import hints
from gypsumrelay_limits.drawing import (
    Action,
    Admitted,
    Ask,
    Drawer,
    DrawOrder,
    OpenDraw,
    Phase,
    Rejected,
    SendDraw,
    SendSettlement,
    key_of,
    missing,
    reachable,
)
from gypsumrelay_limits.exchange import (
    Draw,
    Granted,
    Member,
    Reason,
    Refused,
    Settlement,
)

_Step = Callable[[Drawer, OpenDraw, float], list[Action]]

_ENDED: Final = (Phase.admitted, Phase.closed, Phase.abandoned)
_FORGOTTEN: Final = (Phase.closed, Phase.abandoned)
# Reservation ids that one request may use, each found settled at a holder,
# before it is rejected. Bounds the messages for a request that is retried
# again and again.
_MAXIMUM_GENERATIONS: Final = 8


def start(drawer: Drawer, order: DrawOrder, now: float) -> list[Action]:
    """Start a request's reservation, or reuse its open or admitted one."""
    generation = 0
    known = drawer.draws.get(drawer.newest.get(order.draw_id, ''))
    if known is not None:
        if known.phase is Phase.admitted:
            return [Admitted(order.draw_id)]
        if known.phase not in _FORGOTTEN:
            return []
        generation = _generation(known) + 1
    if order.tokens > order.contract.burst_tokens:
        sentence = 'the request needs more tokens than the contract allows'
        return [Rejected(order.draw_id, TokensOutOfRange(sentence))]
    return _open(drawer, order, generation, now)


def on_reply(
    drawer: Drawer,
    reply: Granted | Refused,
    now: float,
) -> list[Action]:
    """Process a holder's reply, which may be late or a duplicate."""
    draw = drawer.draws.get(reply.key.draw_id)
    if draw is None:
        return []
    share = reply.key.share
    if draw.phase in _ENDED or share in draw.settled:
        return _on_late_reply(drawer, draw, reply)
    if isinstance(reply, Granted):
        draw.asks.pop(share, None)
        draw.parts[share] = reply.tokens
        if share not in draw.charged:
            draw.recalled.add(share)
        hints.note_grant(drawer, draw, share, now)
        return _advance(drawer, draw, now)
    ask = draw.asks.get(share)
    if ask is None or ask.draw.minimum != reply.minimum:
        return []
    draw.asks.pop(share)
    return _on_refused(drawer, draw, reply, now)


def finish(
    drawer: Drawer,
    draw_id: str,
    used: int,
    now: float,
) -> list[Action]:
    """Settle a request's reservation and refund the tokens it did not use.

    Args:
        drawer: The requester that holds the reservation.
        draw_id: Reservation id of the request.
        used: Tokens used by all attempts of the request; zero refunds all.
        now: Current time in seconds.
    """
    draw = drawer.draws.get(drawer.newest.get(draw_id, ''))
    if draw is None or draw.phase in _FORGOTTEN:
        return []
    return _close(drawer, draw, used, now)


def on_link_lost(drawer: Drawer, holder: Member, now: float) -> list[Action]:
    """Resend the messages that may be lost with a holder's link.

    Resent messages have the same ids and amounts, so holders can recognise
    duplicates.
    """
    actions: list[Action] = []
    for draw in drawer.draws.values():
        shares = [
            number
            for number, member in enumerate(draw.order.holders)
            if member == holder
        ]
        for share in shares:
            if share in draw.settled:
                actions.append(_settlement(drawer, draw, share))
            elif share in draw.asks:
                actions.append(SendDraw(holder, draw.asks[share].draw))
    return actions


def tick(drawer: Drawer, now: float) -> list[Action]:
    """Resend unanswered requests and reject reservations past their deadline.

    The cost depends on the number of due timers, not of open reservations.
    """
    actions: list[Action] = []
    while drawer.timers and drawer.timers[0][0] <= now:
        _, wire_id = heapq.heappop(drawer.timers)
        draw = drawer.draws.get(wire_id)
        if draw is not None:
            actions.extend(_on_timer(drawer, draw, now))
    return actions


def _on_timer(drawer: Drawer, draw: OpenDraw, now: float) -> list[Action]:
    if draw.phase in _ENDED:
        if draw.phase in _FORGOTTEN and draw.drop_at <= now:
            _drop(drawer, draw)
        return []
    if draw.order.expires_at <= now:
        sentence = 'the tokens could not be drawn in time'
        return _reject(drawer, draw, DeadlineUnreachable(sentence), now)
    actions = _repeat(drawer, draw, now)
    if draw.poll_at is not None and draw.poll_at <= now:
        draw.poll_at = None
    return actions + _advance(drawer, draw, now)


def _repeat(drawer: Drawer, draw: OpenDraw, now: float) -> list[Action]:
    actions: list[Action] = []
    for share, ask in list(draw.asks.items()):
        if ask.repeat_at > now:
            continue
        if ask.repeats_left:
            ask.repeats_left -= 1
            ask.repeat_at = now + drawer.settings.repeat_seconds
            _wake(drawer, draw, ask.repeat_at)
            actions.append(SendDraw(_holder(draw, share), ask.draw))
        else:
            draw.asks.pop(share)
            draw.lost[share] = None if ask.draw.tokens else Reason.no_draw
    return actions


def _open(
    drawer: Drawer,
    order: DrawOrder,
    generation: int,
    now: float,
) -> list[Action]:
    wire_id = f'{order.draw_id}~{generation}' if generation else order.draw_id
    phase = Phase.recall if order.retry else Phase.whole
    draw = OpenDraw(order, wire_id, phase)
    drawer.draws[wire_id] = draw
    drawer.newest[order.draw_id] = wire_id
    _wake(drawer, draw, order.expires_at)
    if phase is Phase.recall:
        return [_ask(drawer, draw, share, now) for share in reachable(draw)]
    draw.queue = hints.whole_order(drawer, draw, now)
    return _advance(drawer, draw, now)


def _advance(drawer: Drawer, draw: OpenDraw, now: float) -> list[Action]:
    if missing(draw) <= 0:
        return _admit(drawer, draw)
    if draw.asks or draw.poll_at is not None:
        return []
    while draw.queue:
        share = draw.queue.pop(0)
        if share not in draw.parts and share not in draw.lost:
            return [_ask(drawer, draw, share, now)]
    return _PHASE_ENDS[draw.phase](drawer, draw, now)


def _after_recall(
    drawer: Drawer,
    draw: OpenDraw,
    now: float,
) -> list[Action]:
    draw.phase = Phase.whole
    if not draw.parts:
        draw.queue = hints.whole_order(drawer, draw, now)
    return _advance(drawer, draw, now)


def _after_whole(
    drawer: Drawer,
    draw: OpenDraw,
    now: float,
) -> list[Action]:
    shares = reachable(draw)
    unasked = not all(
        share in draw.available or share in draw.parts for share in shares
    )
    enough = sum(draw.available.values()) >= missing(draw)
    if not shares or not (draw.busy or unasked or enough):
        return _reject(drawer, draw, _shortage(draw, now), now)
    draw.phase = Phase.parts
    draw.queue = shares
    return _advance(drawer, draw, now)


def _after_parts(
    drawer: Drawer,
    draw: OpenDraw,
    now: float,
) -> list[Action]:
    return _reject(drawer, draw, _shortage(draw, now), now)


_PHASE_ENDS: Final[dict[Phase, _Step]] = {
    Phase.recall: _after_recall,
    Phase.whole: _after_whole,
    Phase.parts: _after_parts,
}


def _ask(
    drawer: Drawer,
    draw: OpenDraw,
    share: int,
    now: float,
) -> SendDraw:
    wanted = 0 if draw.phase is Phase.recall else missing(draw)
    if wanted:
        draw.charged.add(share)
    minimum = 1 if draw.phase is Phase.parts else wanted
    message = Draw(
        key_of(draw, share),
        drawer.member,
        wanted,
        minimum,
        draw.order.expires_at,
    )
    repeat_at = now + drawer.settings.repeat_seconds
    draw.asks[share] = Ask(message, repeat_at, drawer.settings.repeats)
    _wake(drawer, draw, repeat_at)
    return SendDraw(_holder(draw, share), message)


def _on_refused(
    drawer: Drawer,
    draw: OpenDraw,
    refused: Refused,
    now: float,
) -> list[Action]:
    share = refused.key.share
    if refused.reason is Reason.settled:
        return _renumber(drawer, draw, now)
    if refused.reason is Reason.busy and draw.phase is Phase.parts:
        draw.queue.insert(0, share)
        draw.poll_at = now + drawer.settings.poll_seconds
        _wake(drawer, draw, draw.poll_at)
    elif refused.reason in {Reason.lacking, Reason.busy}:
        account = refused.key.client_account
        hints.note(drawer, account, share, refused.available, now)
        draw.available[share] = refused.available
        draw.busy = draw.busy or refused.reason is Reason.busy
    elif refused.reason is not Reason.no_draw:
        draw.lost[share] = refused.reason
    return _advance(drawer, draw, now)


def _renumber(drawer: Drawer, draw: OpenDraw, now: float) -> list[Action]:
    """Restart the reservation under a new id, since the old one is settled.

    Tokens that other shares granted to the old reservation are not refunded,
    because some of them may have been used.
    """
    generation = _generation(draw) + 1
    draw.phase = Phase.abandoned
    _keep_closed(drawer, draw, now)
    if generation >= _MAXIMUM_GENERATIONS:
        failure = Overloaded('the request was drawn for too many times')
        return [Rejected(draw.order.draw_id, failure)]
    order = attrs.evolve(draw.order, retry=True)
    return _open(drawer, order, generation, now)


def _on_late_reply(
    drawer: Drawer,
    draw: OpenDraw,
    reply: Granted | Refused,
) -> list[Action]:
    """Refund a grant that arrives when the reservation no longer needs it.

    A settled grant is settled again with the same amount as before, since
    settlements may arrive out of order.
    """
    share = reply.key.share
    if isinstance(reply, Refused) or draw.phase is Phase.abandoned:
        return []
    if share not in draw.settled and (
        share in draw.parts or share not in draw.charged
    ):
        return []
    draw.settled.setdefault(share, 0)
    return [_settlement(drawer, draw, share)]


def _admit(drawer: Drawer, draw: OpenDraw) -> list[Action]:
    draw.phase = Phase.admitted
    draw.settled.update(dict.fromkeys(_unanswered(draw), 0))
    draw.asks.clear()
    for share, tokens in list(draw.parts.items()):
        draw.settled.pop(share, None)
        if share not in draw.recalled and missing(draw) + tokens <= 0:
            draw.settled[share] = 0
            draw.parts.pop(share)
    actions: list[Action] = [Admitted(draw.order.draw_id)]
    actions.extend(_settlements(drawer, draw))
    if len(draw.parts) > 1:
        actions.extend(_confirmation(drawer, draw, part) for part in draw.parts)
    return actions


def _unanswered(draw: OpenDraw) -> list[int]:
    """Return the shares that may hold a charge whose grant was not received.

    Requests of the recall phase are left out: they charge nothing, and the
    charges that they find may have been used.
    """
    asked = [share for share, ask in draw.asks.items() if ask.draw.tokens]
    silent = [share for share, reason in draw.lost.items() if reason is None]
    return asked + silent


def _confirmation(drawer: Drawer, draw: OpenDraw, share: int) -> SendDraw:
    tokens = draw.parts[share]
    message = Draw(
        key_of(draw, share),
        drawer.member,
        tokens,
        tokens,
        draw.order.expires_at,
    )
    return SendDraw(_holder(draw, share), message)


def _reject(
    drawer: Drawer,
    draw: OpenDraw,
    failure: Failure,
    now: float,
) -> list[Action]:
    spent = sum(draw.parts[share] for share in draw.recalled)
    actions = _close(drawer, draw, spent, now)
    return [*actions, Rejected(draw.order.draw_id, failure)]


def _close(
    drawer: Drawer,
    draw: OpenDraw,
    used: int,
    now: float,
) -> list[Action]:
    draw.settled.update(dict.fromkeys(_unanswered(draw), 0))
    for share, tokens in draw.parts.items():
        draw.settled[share] = min(used, tokens)
        used -= draw.settled[share]
    draw.phase = Phase.closed
    draw.asks.clear()
    _keep_closed(drawer, draw, now)
    return _settlements(drawer, draw)


def _keep_closed(drawer: Drawer, draw: OpenDraw, now: float) -> None:
    draw.drop_at = now + drawer.settings.settled_seconds
    _wake(drawer, draw, draw.drop_at)


def _drop(drawer: Drawer, draw: OpenDraw) -> None:
    drawer.draws.pop(draw.wire_id)
    if drawer.newest.get(draw.order.draw_id) == draw.wire_id:
        drawer.newest.pop(draw.order.draw_id)


def _settlements(drawer: Drawer, draw: OpenDraw) -> list[Action]:
    return [_settlement(drawer, draw, share) for share in draw.settled]


def _settlement(
    drawer: Drawer,
    draw: OpenDraw,
    share: int,
) -> SendSettlement:
    settlement = Settlement(
        key_of(draw, share),
        drawer.member,
        draw.settled[share],
    )
    return SendSettlement(_holder(draw, share), settlement)


def _shortage(draw: OpenDraw, now: float) -> Failure:
    if not reachable(draw):
        if Reason.stale in draw.lost.values():
            return ConfigurationStale('no holder can confirm its shares')
        return Overloaded('no holder of the account can be reached')
    answering = len(reachable(draw)) / len(draw.order.holders)
    rate = draw.order.contract.tokens_per_second * answering
    lacking = missing(draw) - sum(
        available
        for share, available in draw.available.items()
        if share not in draw.parts
    )
    retry_at = now + max(0, lacking) / rate if rate > 0 else None
    sentence = 'the rate and burst of the client account are used up'
    return RateExceeded(sentence, retry_at=retry_at)


def _holder(draw: OpenDraw, share: int) -> Member:
    holder = draw.order.holders[share]
    if holder is None:
        raise ValueError('the requested share has no holder')
    return holder


def _generation(draw: OpenDraw) -> int:
    suffix = draw.wire_id.removeprefix(draw.order.draw_id)
    return int(suffix.removeprefix('~') or 0)


def _wake(drawer: Drawer, draw: OpenDraw, at: float) -> None:
    heapq.heappush(drawer.timers, (at, draw.wire_id))
