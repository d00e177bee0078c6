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
    AttemptRecord,
    Ledger,
    Phase,
    Reservation,
    ReserveRequest,
    UnfreedRun,
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
    actions: list[Action] = []
    for reservation in _reservations(ledger):
        if reservation.link != link:
            continue
        if reservation.request.keyed and reservation.phase is Phase.running:
            reservation.link = ''
            reservation.detached_until = now + ledger.settings.grace_seconds
        else:
            actions += end(ledger, reservation, EndReason.link_lost, now)
    return [*actions, *grant(ledger, now)]


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
    existing = ledger.waiting.get(key) or ledger.places.get(key)
    if existing is not None:
        return _answer_repeated(existing, link)
    actions = _observe_attempt(ledger, key, now)
    reason = _drop_reason(ledger, key)
    if reason is not None:
        return [Dropped(key, reason)]
    failure = _admission_failure(ledger, request, now)
    if failure is not None:
        _record_ended(ledger, key, now)
        return [*actions, Refused(key, link, failure)]
    ledger.waiting[key] = Reservation(
        request,
        link,
        request.deadline,
        capacity.footprint_of(ledger.settings, request),
        _run_id(ledger, key),
    )
    ledger.queue.push(request.waiting_item(), now)
    actions += grant(ledger, now)
    if key in ledger.waiting:
        actions.append(Queued(key, link))
    return actions


def start(
    ledger: Ledger,
    key: Key,
    first_index: int,
    deadline: float,
    now: float,
) -> list[Action]:
    """Start a reserved run, or refuse it if the limit was lowered since."""
    actions = _observe_attempt(ledger, key, now)
    reservation = ledger.places.get(key)
    if reservation is None:
        reason = _drop_reason(ledger, key) or DropReason.not_reserved
        return [*actions, Dropped(key, reason)]
    if reservation.phase is Phase.running:
        return [Dropped(key, DropReason.already_running)]
    if min(reservation.deadline, deadline) <= now:
        return [
            *_refuse(ledger, reservation, _deadline_failure(), now),
            *grant(ledger, now),
        ]
    if not capacity.may_start(ledger):
        failure = _limit_failure(ledger, now)
        return [
            *_refuse(ledger, reservation, failure, now),
            *grant(ledger, now),
        ]
    reservation.phase = Phase.running
    reservation.started_at = now
    reservation.deadline = deadline
    reservation.next_index = first_index
    return [StartRun(key, reservation.run_id, first_index)]


def progress(
    ledger: Ledger,
    key: Key,
    first_index: int,
    count: int,
) -> list[Action]:
    """Deliver tokens of the engine, each index exactly once and in order."""
    reservation = ledger.places.get(key)
    if reservation is None or reservation.phase is not Phase.running:
        return [Dropped(key, DropReason.attempt_ended)]
    reservation.landed = True
    if first_index != reservation.next_index:
        return [Dropped(key, DropReason.unexpected_index)]
    reservation.next_index += count
    return [Delivered(key, reservation.link, first_index, count)]


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
    reservation = ledger.places.get(key)
    if reservation is None or reservation.phase is not Phase.running:
        return [Dropped(key, DropReason.attempt_ended)]
    if not finished:
        actions = end(ledger, reservation, EndReason.run_failed, now)
        return [*actions, *grant(ledger, now)]
    _remove(ledger, reservation, now)
    if kept_until > now:
        ledger.freeing[reservation.run_id] = UnfreedRun(
            reservation.footprint,
            now,
            alone=reservation.request.alone,
            kept_until=kept_until,
            landed=True,
        )
    elif ledger.settings.reports_runs:
        ledger.finished[reservation.run_id] = now
    ended = Ended(key, reservation.link, EndReason.finished, started=True)
    return [ended, *grant(ledger, now)]


def cancel(ledger: Ledger, key: Key, now: float) -> list[Action]:
    """Cancel an attempt, even if its reservation has not arrived yet.

    A prefill result that the engine retains for the attempt is cancelled
    too, which frees its slot long before the result would expire.
    """
    actions = _observe_attempt(ledger, key, now)
    existing = ledger.waiting.get(key) or ledger.places.get(key)
    if existing is None:
        reason = _drop_reason(ledger, key)
        if reason is None:
            _record_ended(ledger, key, now)
        run_id = _run_id(ledger, key)
        retained = ledger.freeing.get(run_id)
        is_retained = retained is not None and retained.kept_until > now
        if is_retained and not ledger.superseded:
            actions.append(CancelRun(run_id))
        return [*actions, *grant(ledger, now)]
    actions += end(ledger, existing, EndReason.cancelled, now)
    return [*actions, *grant(ledger, now)]


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
    refused = [
        _refuse(ledger, item, _draining_failure(), now) for item in waiting
    ]
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
    actions: list[Action] = []
    for link, lease_until in list(ledger.links.items()):
        if lease_until <= now:
            actions += lose_link(ledger, link, now)
    for key in ledger.queue.expire(now):
        if key in ledger.waiting:
            actions += _refuse(
                ledger, ledger.waiting[key], _deadline_failure(), now
            )
    for reservation in list(ledger.places.values()):
        if min(reservation.deadline, reservation.detached_until) <= now:
            actions += end(ledger, reservation, EndReason.expired, now)
    for run_id, freeing in ledger.freeing.items():
        if -math.inf < freeing.kept_until <= now:
            freeing.kept_until = -math.inf
            freeing.ended_at = now
            actions.append(CancelRun(run_id))
    _expire_attempts(ledger, now)
    return [*actions, *grant(ledger, now)]


def grant(ledger: Ledger, now: float) -> list[Action]:
    """Grant waiting reservations while the next one fits."""
    actions: list[Action] = []

    def fits(key: Key) -> bool:
        return capacity.fits(ledger, ledger.waiting[key])

    while True:
        key = ledger.queue.pop_next(now, fits)
        if key is None:
            return actions
        reservation = ledger.waiting.pop(key)
        reservation.phase = Phase.reserved
        reservation.deadline = min(
            reservation.deadline,
            now + ledger.settings.reserved_seconds,
        )
        ledger.places[key] = reservation
        actions.append(Granted(key, reservation.link))


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
    _remove(ledger, reservation, now)
    ended = Ended(key, reservation.link, reason, started)
    if not started:
        return [ended]
    if not ledger.settings.reports_runs:
        return [ended, CancelRun(reservation.run_id)]
    ledger.freeing[reservation.run_id] = UnfreedRun(
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


def _answer_repeated(existing: Reservation, link: str) -> list[Action]:
    key = existing.request.key
    if existing.phase is Phase.running:
        return [Dropped(key, DropReason.already_running)]
    existing.link = link
    if existing.phase is Phase.reserved:
        return [Granted(key, link)]
    return [Queued(key, link)]


def _admission_failure(
    ledger: Ledger,
    request: ReserveRequest,
    now: float,
) -> Failure | None:
    if ledger.draining:
        return _draining_failure()
    if request.deadline <= now:
        return _deadline_failure()
    footprint = capacity.footprint_of(ledger.settings, request)
    if footprint.pieces > ledger.settings.pieces:
        return TokensOutOfRange('the request exceeds the upstream memory')
    if len(ledger.waiting) >= ledger.settings.max_waiting:
        return Overloaded('too many requests wait here', retry_at=now + 1)
    return None


def _observe_attempt(ledger: Ledger, key: Key, now: float) -> list[Action]:
    """Record the newest attempt of a request and end the older one."""
    newest = ledger.attempts.get(key.request_id)
    if newest is not None and newest.attempt >= key.attempt:
        return []
    expires_at = now + ledger.settings.attempt_retention_seconds
    ledger.attempts[key.request_id] = AttemptRecord(key.attempt, expires_at)
    if newest is None:
        return []
    older = Key(key.request_id, newest.attempt)
    existing = ledger.waiting.get(older) or ledger.places.get(older)
    if existing is None:
        return []
    actions = end(ledger, existing, EndReason.superseded, now)
    ledger.attempts[key.request_id] = AttemptRecord(key.attempt, expires_at)
    return actions


def _drop_reason(ledger: Ledger, key: Key) -> DropReason | None:
    newest = ledger.attempts.get(key.request_id)
    if newest is None:
        return None
    if key.attempt < newest.attempt:
        return DropReason.old_attempt
    if newest.ended and key.attempt == newest.attempt:
        return DropReason.attempt_ended
    return None


def _record_ended(ledger: Ledger, key: Key, now: float) -> None:
    newest = ledger.attempts.get(key.request_id)
    expires_at = now + ledger.settings.attempt_retention_seconds
    if newest is None or newest.attempt <= key.attempt:
        ledger.attempts[key.request_id] = AttemptRecord(
            key.attempt,
            expires_at,
            ended=True,
        )
    else:
        ledger.attempts[key.request_id] = attrs.evolve(
            newest,
            expires_at=expires_at,
        )


def _remove(ledger: Ledger, reservation: Reservation, now: float) -> None:
    key = reservation.request.key
    if ledger.waiting.pop(key, None) is not None:
        ledger.queue.remove(key)
    ledger.places.pop(key, None)
    reservation.phase = Phase.ended
    _record_ended(ledger, key, now)


def _expire_attempts(ledger: Ledger, now: float) -> None:
    live = {one.request.key.request_id for one in _reservations(ledger)}
    for request_id, newest in list(ledger.attempts.items()):
        if newest.expires_at <= now and request_id not in live:
            ledger.attempts.pop(request_id)


def _refuse(
    ledger: Ledger,
    reservation: Reservation,
    failure: Failure,
    now: float,
) -> list[Action]:
    _remove(ledger, reservation, now)
    key = reservation.request.key
    return [Refused(key, reservation.link, failure)]


def _limit_failure(ledger: Ledger, now: float) -> Failure:
    if ledger.superseded:
        return _draining_failure()
    return Overloaded('the upstream became cold', retry_at=now)


def _deadline_failure() -> Failure:
    return DeadlineUnreachable('the deadline has passed')


def _draining_failure() -> Failure:
    return Draining('the agent takes no new work')
