"""The coordinator's events: asking for places, ends, time passing."""

from __future__ import annotations

from functools import partial
from typing import Final

from gypsumrelay_errors import (
    NoUpstream,
    Overloaded,
    RateExceeded,
    RequestQuarantined,
)

from gypsumrelay_dispatch import accounts, blame, repeats
from gypsumrelay_dispatch.board import (
    Board,
    Waiting,
    drop_gone,
    occupy,
    usable,
    vacate,
)
from gypsumrelay_dispatch.loads import (
    Load,
    Place,
    is_phase,
    observe_ending,
    observe_prefill,
)
from gypsumrelay_dispatch.models import (
    Action,
    Ending,
    Granted,
    Need,
    Phase,
    Refused,
)
from gypsumrelay_dispatch.placing import Choice, choose, prefill_estimate_ms

MS_PER_SECOND: Final = 1000
# Part of the overdraft that is used; the rest covers a change of the
# coordinator, after which all buckets are full again.
OVERDRAFT_SHARE: Final = 0.5
# Seconds; a client that returns sooner would find the same queue.
MIN_RETRY_SECONDS: Final = 0.2
MAX_RETRY_SECONDS: Final = 4.0
# Seconds that a client waits where nothing says when room will come.
UNKNOWN_RETRY_SECONDS: Final = 1.0


def ask(board: Board, need: Need, now: float) -> list[Action]:
    """Take a request for a place; answer it now or put it in the queue."""
    refused = _check(board, need, now)
    if refused is not None:
        return [refused]
    wait = expected_wait(board, need)
    limit = longest_wait(board, need, now)
    overdrawn = accounts.is_overdrawn(board.accounts, need.client_account)
    board.queue.append(Waiting(need, now, now + limit, overdrawn))
    actions = serve(board, now)
    if wait > limit and _withdraw(board, need.key):
        _give_back(board, need)
        retry_at = now + min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))
        failure = Overloaded('no place comes free in time', retry_at=retry_at)
        actions.append(Refused(need, failure))
    return actions


def hold(board: Board, place: Place) -> None:
    """Take over a place that an earlier coordinator gave out."""
    occupy(board, place)


def end_prefill(
    board: Board,
    key: tuple[str, int],
    ending: Ending,
    now: float,
) -> list[Action]:
    """Note that an attempt's prompt was read, or that this failed."""
    place = board.places.get(key)
    load = board.loads.get(place.prefill) if place else None
    if place is None or load is None:
        return []
    load.reading_ms.pop(key, None)
    seconds = now - place.granted_at
    if ending is Ending.answered:
        observe_prefill(load, place.prefill_ms, seconds)
    observe_ending(load, ending, seconds, board.settings, now)
    place.prefill = ''
    return serve(board, now)


def end(
    board: Board,
    key: tuple[str, int],
    ending: Ending,
    now: float,
) -> list[Action]:
    """Note the end of an attempt's use of its place."""
    _withdraw(board, key)
    place = vacate(board, key)
    if place is None:
        return []
    load = board.loads.get(place.upstream)
    if load is not None and not place.prefill:
        seconds = now - place.granted_at
        observe_ending(load, ending, seconds, board.settings, now)
        started = load.upstream.started_ms
        _note_blame(board, place, (place.upstream, started), ending, now)
    return serve(board, now)


def forget_entry(board: Board, entry: str, now: float) -> list[Action]:
    """Drop all places and waiting attempts of an instance that is gone."""
    board.queue = [
        waiting for waiting in board.queue if waiting.need.entry != entry
    ]
    for key, place in list(board.places.items()):
        if place.need.entry == entry:
            vacate(board, key)
    return serve(board, now)


def serve(board: Board, now: float) -> list[Action]:
    """Give free places to waiting attempts, and refuse overdue ones."""
    actions: list[Action] = []
    remaining = []
    board.queue.sort(key=partial(_rank, now))
    for waiting in board.queue:
        action = _serve_one(board, waiting, now)
        if action is None:
            remaining.append(waiting)
        else:
            actions.append(action)
    board.queue = remaining
    return actions


def tick(board: Board, now: float) -> list[Action]:
    """Let time pass."""
    drop_gone(board, now)
    return serve(board, now)


def expected_wait(board: Board, need: Need) -> float:
    """Return an estimate of the seconds until a place comes free."""
    same = [
        waiting.need
        for waiting in board.queue
        if waiting.need.service == need.service
        and waiting.need.priority <= need.priority
    ]
    if need.prompt_tokens:
        work = sum(prefill_estimate_ms(board, other) for other in same)
        pool = _pool(board, need.service, Phase.prefill)
        return work / max(1, len(pool)) / MS_PER_SECOND
    pool = _pool(board, need.service, Phase.plain)
    places = sum(load.upstream.slots for load in pool)
    slowest = max((load.latency for load in pool), default=0)
    return len(same) * slowest / max(1, places)


def longest_wait(board: Board, need: Need, now: float) -> float:
    """Return for how long an attempt may wait for a place."""
    settings = board.settings
    by_aim = max(0, need.aim_at - now) * settings.queue_factor
    by_deadline = max(0, need.deadline - now) * settings.queue_share
    return min(by_aim, by_deadline) if by_aim else by_deadline


def _pool(board: Board, service: str, phase: Phase) -> list[Load]:
    return [
        load
        for load in board.loads.values()
        if is_phase(load, service, phase) and not load.upstream.leaving
    ]


def _check(board: Board, need: Need, now: float) -> Refused | None:
    settings = board.settings
    if blame.losses(board.blame, need.digest, now) >= settings.blame_after:
        return Refused(
            need,
            RequestQuarantined('upstreams broke off while they ran this'),
        )
    if need.attempt > 1:
        budget = board.budget(need.service)
        if repeats.take_repeat(budget, board.repeat_limit, now):
            return None
        return Refused(
            need,
            Overloaded(
                'the retry budget is used up',
                retry_at=now + UNKNOWN_RETRY_SECONDS,
            ),
        )
    retry_at = accounts.retry_after(
        board.accounts,
        need.client_account,
        settings.overdraft_tokens * OVERDRAFT_SHARE,
        now,
    )
    if retry_at is not None:
        return Refused(
            need,
            RateExceeded('the rate is used up for now', retry_at=retry_at),
        )
    accounts.charge(board.accounts, need.client_account, need.cost_tokens)
    return None


def _serve_one(board: Board, waiting: Waiting, now: float) -> Action | None:
    need = waiting.need
    choice = choose(board, need, now)
    if choice is not None:
        return _grant(board, waiting, choice, now)
    if now < waiting.give_up_at:
        return None
    _give_back(board, need)
    retry_at = now + UNKNOWN_RETRY_SECONDS
    if _has_upstream(board, need, now):
        return Refused(
            need,
            Overloaded('no place came free in time', retry_at=retry_at),
        )
    return Refused(
        need,
        NoUpstream('no upstream takes this request', retry_at=retry_at),
    )


def _grant(
    board: Board,
    waiting: Waiting,
    choice: Choice,
    now: float,
) -> Granted:
    need = waiting.need
    prefill = choice.prefill.upstream if choice.prefill else None
    load = choice.upstream
    used = load.tokens if need.prompt_tokens else len(load.running)
    for sent in filter(None, (load, choice.prefill)):
        sent.sent.append(now)
    if need.attempt == 1:
        repeats.count_first(board.budget(need.service), now)
    place = Place(
        need,
        load.upstream.name,
        prefill.name if prefill else '',
        choice.prefill_ms,
        now,
    )
    occupy(board, place)
    return Granted(need, load.upstream, prefill, now - waiting.asked_at, used)


def _rank(now: float, waiting: Waiting) -> tuple[bool, int, bool, float]:
    """Order by priority; those that are late already come after others."""
    need = waiting.need
    late = need.aim_at <= now
    return (waiting.overdrawn, need.priority, late, need.aim_at)


def _withdraw(board: Board, key: tuple[str, int]) -> bool:
    """Take an attempt out of the queue; return whether it was there."""
    kept = [waiting for waiting in board.queue if waiting.need.key != key]
    found = len(kept) < len(board.queue)
    board.queue = kept
    return found


def _give_back(board: Board, need: Need) -> None:
    if need.attempt == 1:
        accounts.refund(board.accounts, need.client_account, need.cost_tokens)


def _has_upstream(board: Board, need: Need, now: float) -> bool:
    return any(
        load.upstream.service == need.service and usable(board, load, now)
        for load in board.loads.values()
    )


def _note_blame(
    board: Board,
    place: Place,
    upstream: tuple[str, int],
    ending: Ending,
    now: float,
) -> None:
    digest = place.need.digest
    if ending is Ending.answered:
        blame.clear(board.blame, digest)
    if ending is Ending.lost and digest:
        forget_at = now + board.settings.blame_seconds
        blame.note_loss(board.blame, digest, upstream, forget_at)
