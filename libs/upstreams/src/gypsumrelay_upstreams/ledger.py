"""State transitions of the reservations at one upstream.

Each function applies one event to the ledger and returns the actions that
the agent has to perform.
"""

from __future__ import annotations

import itertools
import math

import attrs
from gypsumrelay_errors import (
    DeadlineUnreachable,
    Draining,
    Failure,
    Overloaded,
    TokensOutOfRange,
)

from gypsumrelay_upstreams import capacity
from gypsumrelay_upstreams.actions import (
    Action,
    CancelRun,
    Delivered,
    Dropped,
    DropReason,
    Ended,
    EndReason,
    Granted,
    Queued,
    Refused,
    StartRun,
)
from gypsumrelay_upstreams.queueing import Key
from gypsumrelay_upstreams.reservations import (
    AttemptMark,
    Freeing,
    Ledger,
    Phase,
    Reservation,
    ReserveRequest,
)


def open_link(ledger: Ledger, link: str, now: float) -> None:
    """Register a link and start its lease.

    Each connection has a new link id.
    """
    ledger.links[link] = now + ledger.settings.lease_seconds


def heartbeat(ledger: Ledger, link: str, now: float) -> None:
    """Renew the lease of a link and so of all its reservations."""
    if link in ledger.links:
        ledger.links[link] = now + ledger.settings.lease_seconds


def lose_link(ledger: Ledger, link: str, now: float) -> list[Action]:
    """Remove a link and end its reservations.

    Running work with an idempotency key goes on for the grace period, so
    that an entry can resume it. A reservation that is not running is ended,
    since its slot would stay idle.
    """
    ledger.links.pop(link, None)
    found: list[Action] = []
    for reservation in _reservations(ledger):
        if reservation.link != link:
            continue
        if reservation.request.keyed and reservation.phase is Phase.running:
            reservation.link = ''
            reservation.detached_until = now + ledger.settings.grace_seconds
        else:
            found += end(ledger, reservation, EndReason.link_lost, now)
    return [*found, *grant(ledger, now)]


def adopt(ledger: Ledger, key: Key, link: str, now: float) -> list[Action]:
    """Attach a running reservation to the link of an entry that resumes it."""
    reservation = ledger.places.get(key)
    if link not in ledger.links:
        return [Dropped(key, DropReason.link_closed)]
    if reservation is None or reservation.phase is not Phase.running:
        return [Dropped(key, DropReason.attempt_ended)]
    reservation.link = link
    reservation.detached_until = math.inf
    return []


def reserve(
    ledger: Ledger,
    request: ReserveRequest,
    link: str,
    now: float,
) -> list[Action]:
    """Grant, queue or refuse a reservation.

    The operation is idempotent: a repeated message gets the same answer.
    """
    key = request.key
    if link not in ledger.links:
        return [Dropped(key, DropReason.link_closed)]
    known = ledger.waiting.get(key) or ledger.places.get(key)
    if known is not None:
        return _repeat(known, link)
    found = _observe_attempt(ledger, key, now)
    reason = _drop_reason(ledger, key)
    if reason is not None:
        return [Dropped(key, reason)]
    failure = _objection(ledger, request, now)
    if failure is not None:
        _mark_ended(ledger, key, now)
        return [*found, Refused(key, link, failure)]
    ledger.waiting[key] = Reservation(
        request,
        link,
        request.deadline,
        capacity.footprint_of(ledger.settings, request),
        _run_id(ledger, key),
    )
    ledger.queue.push(request.waiting_item(), now)
    found += grant(ledger, now)
    if key in ledger.waiting:
        found.append(Queued(key, link))
    return found


def start(
    ledger: Ledger,
    key: Key,
    first_index: int,
    deadline: float,
    now: float,
) -> list[Action]:
    """Start a reserved run, or refuse it if the limit was lowered since."""
    found = _observe_attempt(ledger, key, now)
    place = ledger.places.get(key)
    if place is None:
        reason = _drop_reason(ledger, key) or DropReason.not_reserved
        return [*found, Dropped(key, reason)]
    if place.phase is Phase.running:
        return [Dropped(key, DropReason.already_running)]
    if min(place.deadline, deadline) <= now:
        return [*_refuse(ledger, place, _too_late(), now), *grant(ledger, now)]
    if not capacity.may_start(ledger):
        failure = _no_room(ledger, now)
        return [*_refuse(ledger, place, failure, now), *grant(ledger, now)]
    place.phase = Phase.running
    place.started_at = now
    place.deadline = deadline
    place.next_index = first_index
    return [StartRun(key, place.run_id, first_index)]


def progress(
    ledger: Ledger,
    key: Key,
    first_index: int,
    count: int,
) -> list[Action]:
    """Deliver tokens of the engine, each index exactly once and in order."""
    place = ledger.places.get(key)
    if place is None or place.phase is not Phase.running:
        return [Dropped(key, DropReason.attempt_ended)]
    place.landed = True
    if first_index != place.next_index:
        return [Dropped(key, DropReason.unexpected_index)]
    place.next_index += count
    return [Delivered(key, place.link, first_index, count)]


def release(
    ledger: Ledger,
    key: Key,
    now: float,
    *,
    finished: bool = True,
    kept_until: float = -math.inf,
) -> list[Action]:
    """End a running reservation after its call to the engine.

    Args:
        ledger: The ledger.
        key: The attempt.
        now: The current time.
        finished: Whether the response was complete, which means that the
            engine has freed the run. Otherwise the run is cancelled.
        kept_until: Time until which the engine retains the result of a
            prefill; -inf for none.
    """
    place = ledger.places.get(key)
    if place is None or place.phase is not Phase.running:
        return [Dropped(key, DropReason.attempt_ended)]
    if not finished:
        found = end(ledger, place, EndReason.run_failed, now)
        return [*found, *grant(ledger, now)]
    _forget(ledger, place, now)
    if kept_until > now:
        ledger.freeing[place.run_id] = Freeing(
            place.footprint,
            now,
            alone=place.request.alone,
            kept_until=kept_until,
            landed=True,
        )
    elif ledger.settings.reports_runs:
        ledger.finished[place.run_id] = now
    ended = Ended(key, place.link, EndReason.finished, started=True)
    return [ended, *grant(ledger, now)]


def cancel(ledger: Ledger, key: Key, now: float) -> list[Action]:
    """Cancel an attempt, even if its reservation has not arrived yet.

    A prefill result that the engine retains for the attempt is cancelled
    too, which frees its slot long before the result would expire.
    """
    found = _observe_attempt(ledger, key, now)
    known = ledger.waiting.get(key) or ledger.places.get(key)
    if known is None:
        reason = _drop_reason(ledger, key)
        if reason is None:
            _mark_ended(ledger, key, now)
        run_id = _run_id(ledger, key)
        kept = ledger.freeing.get(run_id)
        is_kept = kept is not None and kept.kept_until > now
        if is_kept and not ledger.superseded:
            found.append(CancelRun(run_id))
        return [*found, *grant(ledger, now)]
    found += end(ledger, known, EndReason.cancelled, now)
    return [*found, *grant(ledger, now)]


def confirm_freed(ledger: Ledger, run_id: str, now: float) -> list[Action]:
    """Free the capacity of a run after the engine confirmed its cancel."""
    ledger.freeing.pop(run_id, None)
    ledger.unowned.pop(run_id, None)
    return grant(ledger, now)


def set_limit(ledger: Ledger, limit: int, now: float) -> list[Action]:
    """Set the concurrency limit, as computed by the cold-start ramp."""
    ledger.limit = limit
    return grant(ledger, now)


def drain(ledger: Ledger, now: float) -> list[Action]:
    """Refuse waiting and new reservations; granted and running ones go on."""
    ledger.draining = True
    waiting = list(ledger.waiting.values())
    refused = [_refuse(ledger, item, _leaving(), now) for item in waiting]
    return list(itertools.chain.from_iterable(refused))


def is_drained(ledger: Ledger) -> bool:
    """Return whether a draining ledger has no reservations left."""
    return ledger.draining and not (ledger.places or ledger.waiting)


def supersede(ledger: Ledger, now: float) -> list[Action]:
    """Drain the ledger because a newer agent has taken over the upstream.

    This agent starts and cancels nothing any more. The newer agent cancels
    the runs that this agent started.
    """
    ledger.superseded = True
    return drain(ledger, now)


def expire(ledger: Ledger, now: float) -> list[Action]:
    """End leases, reservations and prefill results that have expired."""
    found: list[Action] = []
    for link, lease_until in list(ledger.links.items()):
        if lease_until <= now:
            found += lose_link(ledger, link, now)
    for key in ledger.queue.expire(now):
        if key in ledger.waiting:
            found += _refuse(ledger, ledger.waiting[key], _too_late(), now)
    for place in list(ledger.places.values()):
        if min(place.deadline, place.detached_until) <= now:
            found += end(ledger, place, EndReason.expired, now)
    for run_id, freeing in ledger.freeing.items():
        if -math.inf < freeing.kept_until <= now:
            freeing.kept_until = -math.inf
            freeing.ended_at = now
            found.append(CancelRun(run_id))
    _forget_attempts(ledger, now)
    return [*found, *grant(ledger, now)]


def grant(ledger: Ledger, now: float) -> list[Action]:
    """Grant waiting reservations while the next one fits."""
    found: list[Action] = []

    def fits(key: Key) -> bool:
        return capacity.fits(ledger, ledger.waiting[key])

    while True:
        key = ledger.queue.pop_next(now, fits)
        if key is None:
            return found
        reservation = ledger.waiting.pop(key)
        reservation.phase = Phase.reserved
        reservation.deadline = min(
            reservation.deadline,
            now + ledger.settings.reserved_seconds,
        )
        ledger.places[key] = reservation
        found.append(Granted(key, reservation.link))


def end(
    ledger: Ledger,
    reservation: Reservation,
    reason: EndReason,
    now: float,
) -> list[Action]:
    """End a reservation and cancel its run.

    If the engine reports its runs, the run occupies its slot and memory
    until the engine has freed it.
    """
    key = reservation.request.key
    started = reservation.phase is Phase.running
    _forget(ledger, reservation, now)
    ended = Ended(key, reservation.link, reason, started)
    if not started:
        return [ended]
    if not ledger.settings.reports_runs:
        return [ended, CancelRun(reservation.run_id)]
    ledger.freeing[reservation.run_id] = Freeing(
        reservation.footprint,
        now,
        alone=reservation.request.alone,
        landed=reservation.landed,
    )
    return [ended, CancelRun(reservation.run_id)]


def _run_id(ledger: Ledger, key: Key) -> str:
    return f'{ledger.incarnation}.{key.request_id}.{key.attempt}'


def _reservations(ledger: Ledger) -> list[Reservation]:
    return [*ledger.waiting.values(), *ledger.places.values()]


def _repeat(known: Reservation, link: str) -> list[Action]:
    key = known.request.key
    if known.phase is Phase.running:
        return [Dropped(key, DropReason.already_running)]
    known.link = link
    if known.phase is Phase.reserved:
        return [Granted(key, link)]
    return [Queued(key, link)]


def _objection(
    ledger: Ledger,
    request: ReserveRequest,
    now: float,
) -> Failure | None:
    if ledger.draining:
        return _leaving()
    if request.deadline <= now:
        return _too_late()
    footprint = capacity.footprint_of(ledger.settings, request)
    if footprint.pieces > ledger.settings.pieces:
        return TokensOutOfRange('the request exceeds the upstream memory')
    if len(ledger.waiting) >= ledger.settings.max_waiting:
        return Overloaded('too many requests wait here', retry_at=now + 1)
    return None


def _observe_attempt(ledger: Ledger, key: Key, now: float) -> list[Action]:
    """Record the newest attempt of a request and end the older one."""
    mark = ledger.attempts.get(key.request_id)
    if mark is not None and mark.attempt >= key.attempt:
        return []
    forget_at = now + ledger.settings.memory_seconds
    ledger.attempts[key.request_id] = AttemptMark(key.attempt, forget_at)
    if mark is None:
        return []
    older = Key(key.request_id, mark.attempt)
    known = ledger.waiting.get(older) or ledger.places.get(older)
    if known is None:
        return []
    found = end(ledger, known, EndReason.superseded, now)
    ledger.attempts[key.request_id] = AttemptMark(key.attempt, forget_at)
    return found


def _drop_reason(ledger: Ledger, key: Key) -> DropReason | None:
    mark = ledger.attempts.get(key.request_id)
    if mark is None:
        return None
    if key.attempt < mark.attempt:
        return DropReason.old_attempt
    if mark.ended and key.attempt == mark.attempt:
        return DropReason.attempt_ended
    return None


def _mark_ended(ledger: Ledger, key: Key, now: float) -> None:
    mark = ledger.attempts.get(key.request_id)
    forget_at = now + ledger.settings.memory_seconds
    if mark is None or mark.attempt <= key.attempt:
        ledger.attempts[key.request_id] = AttemptMark(
            key.attempt,
            forget_at,
            ended=True,
        )
    else:
        ledger.attempts[key.request_id] = attrs.evolve(
            mark,
            forget_at=forget_at,
        )


def _forget(ledger: Ledger, reservation: Reservation, now: float) -> None:
    key = reservation.request.key
    if ledger.waiting.pop(key, None) is not None:
        ledger.queue.remove(key)
    ledger.places.pop(key, None)
    reservation.phase = Phase.ended
    _mark_ended(ledger, key, now)


def _forget_attempts(ledger: Ledger, now: float) -> None:
    live = {known.request.key.request_id for known in _reservations(ledger)}
    for request_id, mark in list(ledger.attempts.items()):
        if mark.forget_at <= now and request_id not in live:
            ledger.attempts.pop(request_id)


def _refuse(
    ledger: Ledger,
    reservation: Reservation,
    failure: Failure,
    now: float,
) -> list[Action]:
    _forget(ledger, reservation, now)
    key = reservation.request.key
    return [Refused(key, reservation.link, failure)]


def _no_room(ledger: Ledger, now: float) -> Failure:
    if ledger.superseded:
        return _leaving()
    return Overloaded('the upstream became cold', retry_at=now)


def _too_late() -> Failure:
    return DeadlineUnreachable('the deadline has passed')


def _leaving() -> Failure:
    return Draining('the agent takes no new work')
