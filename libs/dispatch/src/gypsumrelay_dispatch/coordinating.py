"""The coordinator's events: asking for places, ends, time passing."""

from __future__ import annotations

import enum
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING, Final

from gypsumrelay_errors import (
    NoUpstream,
    Overloaded,
    RateExceeded,
    RequestQuarantined,
)

from gypsumrelay_dispatch import accounts, blame, forecast, rebalancing, repeats
from gypsumrelay_dispatch.board import (
    Board,
    Waiting,
    drop_gone,
    drop_overdue,
    occupy,
    usable,
    vacate,
)
from gypsumrelay_dispatch.flow import (
    count_grant,
    observe_queue,
    seconds_per_grant,
)
from gypsumrelay_dispatch.loads import (
    Load,
    Place,
    is_phase,
    observe_ending,
    observe_fetch,
    observe_prefill,
)
from gypsumrelay_dispatch.models import (
    Action,
    Ending,
    Granted,
    Need,
    Phase,
    RefusalFacts,
    Refused,
)
from gypsumrelay_dispatch.placing import Choice, choose, prefill_estimate_ms

if TYPE_CHECKING:
    from gypsumrelay_errors import Failure
    from gypsumrelay_settings import DispatchSettings

MS_PER_SECOND: Final = 1000
# Seconds that a prompt needs until its first token; a request whose place
# comes later than that before its objective is late.
LATE_MARGIN_SECONDS: Final = 0.2
# Part of the overdraft that is used; the rest covers a change of the
# coordinator, after which all buckets are full again.
OVERDRAFT_SHARE: Final = 0.5
# Part of the usable overdraft up to which one request counts as cheap.
CHEAP_SHARE: Final = 0.02
# Part of the usable overdraft that is left to cheap requests; more than the
# largest request takes, since one may go beyond its limit.
REST_SHARE: Final = 0.3
# How much longer a decode upstream takes to read a prompt than a prefill
# upstream, which reads nothing else.
DIRECT_SLOWNESS: Final = 2.5
# Weight of the newest request in the usual cost.
COST_SMOOTHING: Final = 0.05
# Multiple of the usual cost beyond which a request is not delayed further.
MAX_COST_RATIO: Final = 3.0
# Milliseconds per token; beyond these an observation is an outlier.
MIN_PACE_MS: Final = 0.5
MAX_PACE_MS: Final = 50.0
# Weight of the newest stream in the pace; hints are often far off.
PACE_SMOOTHING: Final = 0.03
# Seconds; a client that returns sooner would find the same queue.
MIN_RETRY_SECONDS: Final = 0.2
MAX_RETRY_SECONDS: Final = 4.0
# A queue may move up to twice as fast as it did, since the cheap requests
# come first; what has no hope even then is refused.
HOPE_SHARE: Final = 0.5
# Seconds that a client waits where nothing says when room will come.
UNKNOWN_RETRY_SECONDS: Final = 1.0


class Stage(enum.Enum):
    """How near a waiting attempt is to its objective, in serving order."""

    urgent = 0
    usual = 1
    late = 2


def ask(board: Board, need: Need, now: float) -> list[Action]:
    """Take a request for a place; answer it now or put it in the queue.

    An instance that asks again did not get the first answer.
    """
    _withdraw(board, need.key)
    vacate(board, need.key)
    refused = _check(board, need, now)
    if refused is not None:
        return [refused]
    overdrawn = accounts.is_overdrawn(board.accounts, need.client_account)
    delay = _cost_delay(board, need)
    if need.prompt_tokens and need.attempt == 1:
        rebalancing.observe_need(board, need)
    waiting = Waiting(need, now, overdrawn, delay)
    wait = expected_wait(board, waiting, now)
    board.queue.append(waiting)
    actions = serve(board, now)
    if now + wait > need.wait_until and _withdraw(board, need.key):
        actions.append(_refuse_hopeless(board, need, wait, now))
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
    place.read_by = place.prefill
    place.prefill = ''
    place.started_at = now
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
        if ending is Ending.answered:
            _note_pace(board, place, now)
    reader = board.loads.get(place.read_by)
    if reader is not None:
        observe_fetch(reader, ending, board.settings, now)
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
    settings = board.settings
    _observe_queues(board, now)
    board.queue.sort(key=partial(_rank, settings, now))
    # Services whose next places are kept for a request that would be late.
    kept: set[str] = set()
    for waiting in board.queue:
        need = waiting.need
        is_kept = need.service in kept and bool(need.prompt_tokens)
        action = _serve_one(board, waiting, now, is_kept=is_kept)
        if action is not None:
            actions.append(action)
            continue
        remaining.append(waiting)
        if _stage(settings, need, now) is Stage.urgent:
            kept.add(need.service)
    board.queue = remaining
    _observe_queues(board, now)
    return actions


def tick(board: Board, now: float) -> list[Action]:
    """Let time pass."""
    drop_gone(board, now)
    drop_overdue(board, now)
    return [*serve(board, now), *refuse_hopeless(board, now)]


def refuse_hopeless(board: Board, now: float) -> list[Action]:
    """Refuse what will not get a place in time even if the queue hurries.

    Waiting until the last moment would only keep its caller from returning
    when there is room.
    """
    actions: list[Action] = []
    before: Counter[str] = Counter()
    remaining = []
    for waiting in board.queue:
        need = waiting.need
        wait = _wait_behind(board, need, before[need.service]) or 0
        if now + wait * HOPE_SHARE > need.wait_until and not need.resumed:
            actions.append(_refuse_hopeless(board, need, wait, now))
        else:
            before[need.service] += 1
            remaining.append(waiting)
    board.queue = remaining
    return actions


def _wait_behind(board: Board, need: Need, ahead: int) -> float | None:
    """Return the wait behind others, or None where nothing is known."""
    pace = seconds_per_grant(board.flow(need.service))
    return None if pace is None else (ahead + 1) * pace


def expected_wait(board: Board, waiting: Waiting, now: float) -> float:
    """Return an estimate of the seconds until a place comes free.

    It comes from the speed of the queue, and before there was one from the
    work in front.
    """
    need = waiting.need
    own = _rank(board.settings, now, waiting)
    same = [
        other.need
        for other in board.queue
        if other.need.service == need.service
        and _rank(board.settings, now, other) <= own
    ]
    wait = _wait_behind(board, need, len(same))
    if wait is not None:
        return wait
    if need.prompt_tokens:
        work = sum(prefill_estimate_ms(board, other) for other in same)
        pool = _pool(board, need.service, Phase.prefill)
        return work / max(1, len(pool)) / MS_PER_SECOND
    pool = _pool(board, need.service, Phase.plain)
    places = sum(load.upstream.slots for load in pool)
    slowest = max((load.latency for load in pool), default=0)
    return len(same) * slowest / max(1, places)


def latest_place(
    settings: DispatchSettings,
    aim_seconds: float,
    deadline: float,
    now: float,
) -> float:
    """Return until when a request that arrives now may wait for a place.

    Args:
        settings: The policy.
        aim_seconds: Time within which an answer is on time.
        deadline: Instant after which an answer is of no use.
        now: The present instant.
    """
    by_aim = aim_seconds * settings.queue_factor
    by_deadline = max(0, deadline - now) * settings.queue_share
    return now + min(by_aim, by_deadline)


def _refuse_hopeless(
    board: Board,
    need: Need,
    wait: float,
    now: float,
) -> Refused:
    _give_back(board, need)
    retry_at = now + min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))
    failure = Overloaded('no place comes free in time', retry_at=retry_at)
    return _refuse(board, need, failure)


def _refuse(board: Board, need: Need, failure: Failure) -> Refused:
    """Return a refusal with what it was decided from."""
    waiting = [
        other
        for other in board.queue
        if other.need.service == need.service and other.need.key != need.key
    ]
    facts = RefusalFacts(
        len(waiting),
        seconds_per_grant(board.flow(need.service)) or 0,
        accounts.level(board.accounts, need.client_account),
        board.list_position,
    )
    return Refused(need, failure, facts)


def _observe_queues(board: Board, now: float) -> None:
    waiting = {waiting.need.service for waiting in board.queue}
    for service in board.services:
        is_waiting = service in waiting
        observe_queue(board.flow(service), now, is_waiting=is_waiting)


def _cost_delay(board: Board, need: Need) -> float:
    """Return the seconds by which a costly request ranks later.

    While memory is short, cheap requests first serve more callers; the
    bound keeps costly ones from waiting for ever.
    """
    if not need.prompt_tokens:
        return 0
    own = forecast.cost(need.prompt_tokens, need.expected_tokens)
    usual = board.usual_cost or own
    board.usual_cost = usual + COST_SMOOTHING * (own - usual)
    ratio = own / max(1, board.usual_cost)
    return min(MAX_COST_RATIO, ratio) * board.settings.cost_delay_seconds


def _pool(board: Board, service: str, phase: Phase) -> list[Load]:
    return [
        load
        for load in board.loads.values()
        if is_phase(load, service, phase) and not load.upstream.leaving
    ]


def _check(board: Board, need: Need, now: float) -> Refused | None:
    settings = board.settings
    if blame.losses(board.blame, need.digest, now) >= settings.blame_after:
        sentence = 'upstreams broke off while they ran this'
        return _refuse(board, need, RequestQuarantined(sentence))
    if need.attempt > 1:
        budget = board.budget(need.service)
        if repeats.take_repeat(budget, board.repeat_limit, now):
            return None
        spent = Overloaded(
            'the retry budget is used up',
            retry_at=now + UNKNOWN_RETRY_SECONDS,
        )
        return _refuse(board, need, spent)
    retry_at = accounts.retry_after(
        board.accounts,
        need.client_account,
        _overdraft(settings, need.cost_tokens),
        now,
    )
    if retry_at is not None:
        sentence = 'the rate is used up for now'
        return _refuse(board, need, RateExceeded(sentence, retry_at=retry_at))
    accounts.charge(board.accounts, need.client_account, need.cost_tokens)
    return None


def _overdraft(settings: DispatchSettings, cost_tokens: int) -> float:
    """Return by how much a request of a cost may overdraw its account.

    Cheap requests find a rest that costly ones leave. Otherwise a few
    prompts would have every plain request of their account refused.
    """
    overdraft = settings.overdraft_tokens * OVERDRAFT_SHARE
    if cost_tokens <= overdraft * CHEAP_SHARE:
        return overdraft
    return overdraft * (1 - REST_SHARE)


def _serve_one(
    board: Board,
    waiting: Waiting,
    now: float,
    *,
    is_kept: bool,
) -> Action | None:
    need = waiting.need
    choice = None if is_kept else choose(board, need, now)
    if choice is not None:
        return _grant(board, waiting, choice, now)
    if now < need.wait_until:
        return None
    _give_back(board, need)
    retry_at = now + UNKNOWN_RETRY_SECONDS
    if _has_upstream(board, need, now):
        late = Overloaded('no place came free in time', retry_at=retry_at)
        return _refuse(board, need, late)
    sentence = 'no upstream takes this request'
    return _refuse(board, need, NoUpstream(sentence, retry_at=retry_at))


def _grant(
    board: Board,
    waiting: Waiting,
    choice: Choice,
    now: float,
) -> Granted:
    need = waiting.need
    prefill = choice.prefill.upstream if choice.prefill else None
    load = choice.upstream
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
    if prefill is None:
        place.started_at = now
    used = len(load.running)
    count_grant(board.flow(need.service))
    occupy(board, place)
    if prefill is None and need.prompt_tokens and not need.read:
        reading_ms = prefill_estimate_ms(board, need) * DIRECT_SLOWNESS
        load.reads_until = now + reading_ms / MS_PER_SECOND
    return Granted(
        need,
        load.upstream,
        prefill,
        now - waiting.asked_at,
        used,
        board.list_position,
    )


def _rank(
    settings: DispatchSettings,
    now: float,
    waiting: Waiting,
) -> tuple[bool, int, int, float]:
    """Return the order of a waiting attempt, the least first."""
    need = waiting.need
    stage = _stage(settings, need, now)
    due = need.aim_at + waiting.delay
    return (waiting.overdrawn, need.priority, stage.value, due)


def _stage(settings: DispatchSettings, need: Need, now: float) -> Stage:
    if need.read or need.resumed:
        return Stage.urgent
    if not need.prompt_tokens:
        return Stage.late if need.aim_at <= now else Stage.usual
    left = need.aim_at - now - LATE_MARGIN_SECONDS
    if left <= 0:
        return Stage.late
    return Stage.urgent if left < settings.urgent_seconds else Stage.usual


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


def _note_pace(board: Board, place: Place, now: float) -> None:
    expected = place.need.expected_tokens
    if expected:
        pace_ms = (now - place.started_at) * MS_PER_SECOND / expected
        pace_ms = min(MAX_PACE_MS, max(MIN_PACE_MS, pace_ms))
        board.pace_ms += PACE_SMOOTHING * (pace_ms - board.pace_ms)


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
        blame.suspect(board.blame, digest, upstream[0], now)
    if ending in {Ending.unreached, Ending.misdirected}:
        forget_at = now + board.settings.blame_seconds
        blame.confirm(board.blame, upstream, forget_at, now)
