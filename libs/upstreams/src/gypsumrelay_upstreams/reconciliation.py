"""Reconciliation of the ledger with the runs that the engine reports.

The engine may hold runs without a reservation: a cancel was lost, a start
arrived late, or an earlier agent crashed. Such a run is cancelled after the
settling time. The delay gives a newer agent, whose runs are unknown to an
older one, time to publish its fencing token in the log.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from gypsumrelay_upstreams import ledger
from gypsumrelay_upstreams.actions import (
    Action,
    CancelRun,
    EndReason,
    EngineRestarted,
    ForeignRuns,
)
from gypsumrelay_upstreams.reservations import (
    EngineReport,
    Freeing,
    Ledger,
    Phase,
    Reservation,
)


def reconcile(
    state: Ledger,
    report: EngineReport,
    now: float,
) -> list[Action]:
    """Reconcile the ledger with a report of the engine.

    A report that is not newer than the last one is ignored.
    """
    if report.asked_at <= state.asked_at:
        return []
    found: list[Action] = []
    if state.engine and state.engine != report.incarnation:
        found += _fail_all(state, report, now)
    state.engine = report.incarnation
    state.asked_at = report.asked_at
    _drop_freed(state, report)
    found += _find_missing(state, report, now)
    found += _cancel_freeing(state, report)
    found += _cancel_unowned(state, report, now)
    return [*found, *ledger.grant(state, now)]


def _fail_all(
    state: Ledger,
    report: EngineReport,
    now: float,
) -> list[Action]:
    """End all reservations of an engine that restarted.

    A run that was sent within the settling time may still reach the
    restarted engine, so it continues to occupy its slot and memory.
    """
    settled = report.asked_at - state.settings.settling_seconds
    found: list[Action] = []
    failed = []
    for place in list(state.places.values()):
        if place.phase is Phase.running:
            failed.append(place.request.key)
        started_at = place.started_at
        place.landed = False
        found += ledger.end(state, place, EndReason.engine_restarted, now)
        if started_at <= settled:
            state.freeing.pop(place.run_id, None)
    for run_id, freeing in list(state.freeing.items()):
        if freeing.landed or freeing.ended_at <= settled:
            state.freeing.pop(run_id)
    state.unowned.clear()
    restarted = EngineRestarted(report.incarnation, tuple(failed))
    return [restarted, *found]


def _drop_freed(state: Ledger, report: EngineReport) -> None:
    for run_id, freeing in list(state.freeing.items()):
        freeing.landed = freeing.landed or run_id in report.held
        if run_id not in report.held and _is_past(state, freeing, report):
            state.freeing.pop(run_id)


def _is_past(state: Ledger, freeing: Freeing, report: EngineReport) -> bool:
    """Return whether a run that the report lacks has surely been freed."""
    settling = 0 if freeing.landed else state.settings.settling_seconds
    return freeing.ended_at + settling <= report.asked_at


def _find_missing(
    state: Ledger,
    report: EngineReport,
    now: float,
) -> list[Action]:
    """End running reservations whose runs the engine does not hold."""
    settled = report.asked_at - state.settings.settling_seconds
    found: list[Action] = []
    for place in list(state.places.values()):
        if place.phase is not Phase.running:
            continue
        _note_presence(place, report)
        if max(place.started_at, place.missing_since) <= settled:
            found += ledger.end(state, place, EndReason.run_missing, now)
            state.freeing.pop(place.run_id, None)
    return found


def _note_presence(place: Reservation, report: EngineReport) -> None:
    if place.run_id in report.held:
        place.landed = True
        place.missing_since = math.inf
    else:
        place.missing_since = min(place.missing_since, report.asked_at)


def _cancel_freeing(state: Ledger, report: EngineReport) -> list[Action]:
    """Repeat the cancel of ended runs, since the first one may be lost."""
    return [
        CancelRun(run_id)
        for run_id, freeing in state.freeing.items()
        if run_id in report.held
        and max(freeing.ended_at, freeing.kept_until) <= report.asked_at
    ]


def _cancel_unowned(
    state: Ledger,
    report: EngineReport,
    now: float,
) -> list[Action]:
    state.unowned = {
        run_id: state.unowned.get(run_id, now)
        for run_id in sorted(report.held - _owned(state, report))
    }
    state.unowned_pieces = _unowned_pieces(state, report)
    if state.superseded:
        return []
    settled = now - state.settings.settling_seconds
    found: list[Action] = [
        CancelRun(run_id)
        for run_id, seen_at in state.unowned.items()
        if seen_at <= settled
    ]
    foreign = _foreign(state)
    if foreign:
        found.append(ForeignRuns(foreign))
    return found


def _owned(state: Ledger, report: EngineReport) -> set[str]:
    state.finished = {
        run_id: finished_at
        for run_id, finished_at in state.finished.items()
        if finished_at >= report.asked_at
    }
    owned = {place.run_id for place in state.places.values()}
    return owned.union(state.freeing, state.finished)


def _unowned_pieces(state: Ledger, report: EngineReport) -> int:
    """Return an upper bound of the number of blocks of unowned runs.

    The engine reports only the total of all runs. Only the private blocks
    of owned runs are subtracted from it, since an unowned run may use any
    of the shared blocks.
    """
    if not state.unowned:
        return 0
    private = [
        *_private_pieces(state.places.values(), report),
        *(
            freeing.footprint.private
            for run_id, freeing in state.freeing.items()
            if run_id in report.held
        ),
    ]
    return max(0, report.held_pieces - sum(private))


def _private_pieces(
    places: Iterable[Reservation],
    report: EngineReport,
) -> list[int]:
    return [
        place.footprint.private
        for place in places
        if place.run_id in report.held
    ]


def _foreign(state: Ledger) -> tuple[str, ...]:
    own = f'{state.incarnation}.'
    return tuple(
        run_id for run_id in state.unowned if not run_id.startswith(own)
    )
