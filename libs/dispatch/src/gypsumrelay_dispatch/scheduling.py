"""Events of the coordinator: placement requests, results and ticks."""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import Final

from gypsumrelay_errors import NoUpstream, Overloaded

from gypsumrelay_dispatch import (
    accounts,
    crashes,
    placement_reports,
    rebalancing,
    retry_budget,
)
from gypsumrelay_dispatch.admission import (
    UNKNOWN_RETRY_SECONDS,
    check_limits,
    give_back,
    refuse,
    refuse_overloaded,
)
from gypsumrelay_dispatch.grant_rate import count_grant
from gypsumrelay_dispatch.loads import (
    Place,
    observe_ending,
    observe_fetch,
    observe_prefill,
)
from gypsumrelay_dispatch.models import (
    Action,
    Ending,
    Granted,
    Need,
    Refused,
)
from gypsumrelay_dispatch.queueing import (
    MS_PER_SECOND,
    Stage,
    cost_delay,
    expected_wait,
    observe_queues,
    rank,
    stage_of,
    wait_behind,
    withdraw,
)
from gypsumrelay_dispatch.scheduler_state import (
    Board,
    Waiting,
    drop_gone,
    drop_overdue,
    occupy,
    usable,
    vacate,
)
from gypsumrelay_dispatch.selection import Choice, choose, prefill_estimate_ms

# Prefill time at a decode upstream relative to a prefill upstream, which does
# not decode at the same time.
DIRECT_SLOWNESS: Final = 2.5
# Milliseconds per token; observations outside this range are clamped as
# outliers.
MIN_PACE_MS: Final = 0.5
MAX_PACE_MS: Final = 50.0
# Weight of the newest stream in the moving average of the decode time; low,
# because the output lengths that callers announce are often far off.
PACE_SMOOTHING: Final = 0.03
# Part of the estimated wait in the best case. A queue may move up to twice as
# fast as measured, since cheap requests are served first; requests that would
# be late even then are rejected.
HOPE_SHARE: Final = 0.5


def ask(board: Board, need: Need, now: float) -> list[Action]:
    """Grant, reject or queue a placement request.

    A repeated request replaces the first one, since the instance did not
    receive the first answer.
    """
    withdraw(board, need.key)
    vacate(board, need.key)
    refused = check_limits(board, need, now)
    if refused is not None:
        return [refused]
    overdrawn = accounts.is_overdrawn(board.accounts, need.client_account)
    delay = cost_delay(board, need)
    if need.prompt_tokens and need.attempt == 1:
        rebalancing.observe_need(board, need)
    waiting = Waiting(need, now, overdrawn, delay)
    wait = expected_wait(board, waiting, now)
    board.queue.append(waiting)
    actions = serve(board, now, need.service)
    if now + wait > need.wait_until and withdraw(board, need.key):
        actions.append(refuse_overloaded(board, need, wait, now))
    return actions


def reject(board: Board, need: Need) -> Refused:
    """Reject a request whose scheduling failed, and remove it.

    If it stayed in the queue, each later scheduling pass would fail at it.
    """
    withdraw(board, need.key)
    vacate(board, need.key)
    return refuse(board, need, NoUpstream('the request cannot be placed'))


def hold(board: Board, place: Place) -> None:
    """Restore a placement that a previous coordinator granted."""
    occupy(board, place)


def take_introduction(
    board: Board,
    entry: str,
    living: frozenset[str],
    now: float,
) -> list[Action]:
    """Record that an instance has reported all its placements."""
    placement_reports.take_told(board.handover, entry, living, now)
    return serve(board, now)


def hold_repeats(
    board: Board,
    service: str,
    count: int,
    now: float,
) -> None:
    """Count retries that a previous coordinator granted, as of now."""
    retry_budget.add_repeats(board.budget(service), count, now)


def end_prefill(
    board: Board,
    key: tuple[str, int],
    ending: Ending,
    now: float,
) -> list[Action]:
    """Record the result of an attempt's prefill."""
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
    return serve(board, now, place.need.service)


def end(
    board: Board,
    key: tuple[str, int],
    ending: Ending,
    now: float,
) -> list[Action]:
    """Record the result of an attempt and remove its placement."""
    withdraw(board, key)
    place = vacate(board, key)
    if place is None:
        return []
    load = board.loads.get(place.upstream)
    if load is not None and not place.prefill:
        seconds = now - place.granted_at
        observe_ending(load, ending, seconds, board.settings, now)
        if _is_direct(place):
            load.reads_until = min(load.reads_until, now)
        started = load.upstream.started_ms
        _note_blame(board, place, (place.upstream, started), ending, now)
        if ending is Ending.answered:
            _note_pace(board, place, now)
    reader = board.loads.get(place.read_by)
    if reader is not None:
        observe_fetch(reader, ending, board.settings, now)
    return serve(board, now, place.need.service)


def forget_entry(board: Board, entry: str, now: float) -> list[Action]:
    """Remove all placements and queued requests of a departed instance."""
    placement_reports.drop_entry(board.handover, entry)
    board.queue = [
        waiting for waiting in board.queue if waiting.need.entry != entry
    ]
    for key, place in list(board.places.items()):
        if place.need.entry == entry:
            vacate(board, key)
    return serve(board, now)


def serve(board: Board, now: float, service: str = '') -> list[Action]:
    """Place queued requests and reject those whose queue time is over.

    Args:
        board: The coordinator's state.
        now: The present instant.
        service: Service to serve; empty for all. A pass over one service
            keeps a long queue of another one from slowing down each event.
    """
    actions: list[Action] = []
    remaining = []
    settings = board.settings
    observe_queues(board, now)
    board.queue.sort(key=partial(rank, settings, now))
    # Services whose capacity is reserved for an urgent request in the queue.
    kept: set[str] = set()
    # Requests that could not be placed in this pass.
    failed: list[Need] = []
    for waiting in board.queue:
        need = waiting.need
        if service and need.service != service:
            remaining.append(waiting)
            continue
        is_kept = need.service in kept and bool(need.prompt_tokens)
        is_tried = not is_kept and not has_no_chance(need, failed)
        action = _serve_one(board, waiting, now, is_tried=is_tried)
        if action is not None:
            actions.append(action)
            continue
        remaining.append(waiting)
        if is_tried:
            failed.append(need)
        if stage_of(settings, need, now) is Stage.urgent:
            kept.add(need.service)
    board.queue = remaining
    observe_queues(board, now)
    return actions


def tick(board: Board, now: float) -> list[Action]:
    """Expire placements, serve the queue and reject requests early."""
    drop_gone(board, now)
    drop_overdue(board, now)
    return [*serve(board, now), *refuse_hopeless(board, now)]


def refuse_hopeless(board: Board, now: float) -> list[Action]:
    """Reject requests that will not be placed in time even in the best case.

    An early rejection lets the caller retry once there is capacity.
    """
    actions: list[Action] = []
    before: Counter[str] = Counter()
    remaining = []
    for waiting in board.queue:
        need = waiting.need
        wait = wait_behind(board, need, before[need.service]) or 0
        if now + wait * HOPE_SHARE > need.wait_until and not need.resumed:
            actions.append(refuse_overloaded(board, need, wait, now))
        else:
            before[need.service] += 1
            remaining.append(waiting)
    board.queue = remaining
    return actions


def has_no_chance(need: Need, failed: list[Need]) -> bool:
    """Return whether an equal or smaller request could not be placed.

    Capacity only shrinks during a pass, so that most requests of a long
    queue are skipped without a check of each upstream.
    """
    return any(_asks_no_more(other, need) for other in failed)


def _asks_no_more(other: Need, need: Need) -> bool:
    return (
        other.prompt_tokens <= need.prompt_tokens
        and other.expected_tokens <= need.expected_tokens
        and other.aim_at <= need.aim_at
        and _kind(other) == _kind(need)
    )


def _kind(need: Need) -> tuple[str, bool, bool, frozenset[str]]:
    """Return the properties that must be equal to compare two requests.

    They include the excluded upstreams, because suspended upstreams are
    candidates if all others are excluded.
    """
    has_prompt = bool(need.prompt_tokens)
    return need.service, need.read, has_prompt, need.excluded


def _serve_one(
    board: Board,
    waiting: Waiting,
    now: float,
    *,
    is_tried: bool,
) -> Action | None:
    need = waiting.need
    may_choose = is_tried and _may_choose(board, need, now)
    choice = choose(board, need, now) if may_choose else None
    if choice is not None:
        return _grant(board, waiting, choice, now)
    if now < need.wait_until:
        return None
    give_back(board, need)
    retry_at = now + UNKNOWN_RETRY_SECONDS
    if _has_upstream(board, need, now):
        late = Overloaded('no place came free in time', retry_at=retry_at)
        return refuse(board, need, late)
    sentence = 'no upstream takes this request'
    return refuse(board, need, NoUpstream(sentence, retry_at=retry_at))


def _may_choose(board: Board, need: Need, now: float) -> bool:
    """Return whether the state is complete enough to place a request.

    While placements may be unreported, plain requests are placed, since
    overloaded plain services reject at no cost; so are requests after
    prefill, since their KV cache would expire.
    """
    if now >= board.list_until:
        return False
    is_safe = need.read or not need.prompt_tokens
    return is_safe or not board.handover.is_open(now)


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
        retry_budget.count_first(board.budget(need.service), now)
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
    if _is_direct(place):
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


def _is_direct(place: Place) -> bool:
    """Return whether the decode upstream also runs the prefill."""
    need = place.need
    was_read = need.read or bool(place.prefill or place.read_by)
    return bool(need.prompt_tokens) and not was_read


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
        crashes.clear(board.blame, digest)
    if ending is Ending.lost and digest:
        crashes.suspect(board.blame, digest, upstream[0], now)
    if ending in {Ending.unreached, Ending.misdirected}:
        forget_at = now + board.settings.blame_seconds
        crashes.confirm(board.blame, upstream, forget_at, now)
