"""Reconciliation of the ledger with the runs that the engine reports.

The engine may hold runs without a reservation: a cancel was lost, a start
arrived late, or an earlier agent crashed. Such a run is cancelled after the
maximum command delay. This gives a newer agent, whose runs are unknown to
an older one, time to publish its fencing token in the log.
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
    Ledger,
    Phase,
    Reservation,
    UnfreedRun,
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
    actions: list[Action] = []
    if state.engine and state.engine != report.incarnation:
        actions += _end_all(state, report, now)
    state.engine = report.incarnation
    state.asked_at = report.asked_at
    _remove_freed(state, report)
    actions += _end_missing(state, report, now)
    actions += _cancel_freeing(state, report)
    actions += _cancel_unowned(state, report, now)
    return [*actions, *ledger.grant(state, now)]


def _end_all(
    state: Ledger,
    report: EngineReport,
    now: float,
) -> list[Action]:
    """End all reservations of an engine that restarted.

    A run that was sent within the maximum command delay may still reach the
    restarted engine, so it continues to occupy its slot and memory.
    """
    cutoff = report.asked_at - state.settings.command_delay_seconds
    actions: list[Action] = []
    failed = []
    for reservation in list(state.places.values()):
        if reservation.phase is Phase.running:
            failed.append(reservation.request.key)
        started_at = reservation.started_at
        reservation.landed = False
        actions += ledger.end(
            state, reservation, EndReason.engine_restarted, now
        )
        if started_at <= cutoff:
            state.freeing.pop(reservation.run_id, None)
    for run_id, freeing in list(state.freeing.items()):
        if freeing.landed or freeing.ended_at <= cutoff:
            state.freeing.pop(run_id)
    state.unowned.clear()
    restarted = EngineRestarted(report.incarnation, tuple(failed))
    return [restarted, *actions]


def _remove_freed(state: Ledger, report: EngineReport) -> None:
    for run_id, freeing in list(state.freeing.items()):
        freeing.landed = freeing.landed or run_id in report.held
        if run_id not in report.held and _is_surely_freed(
            state, freeing, report
        ):
            state.freeing.pop(run_id)


def _is_surely_freed(
    state: Ledger, freeing: UnfreedRun, report: EngineReport
) -> bool:
    """Return whether a run that the report lacks has surely been freed."""
    delay = 0 if freeing.landed else state.settings.command_delay_seconds
    return freeing.ended_at + delay <= report.asked_at


def _end_missing(
    state: Ledger,
    report: EngineReport,
    now: float,
) -> list[Action]:
    """End running reservations whose runs the engine does not hold."""
    cutoff = report.asked_at - state.settings.command_delay_seconds
    actions: list[Action] = []
    for reservation in list(state.places.values()):
        if reservation.phase is not Phase.running:
            continue
        _update_presence(reservation, report)
        if max(reservation.started_at, reservation.missing_since) <= cutoff:
            actions += ledger.end(
                state, reservation, EndReason.run_missing, now
            )
            state.freeing.pop(reservation.run_id, None)
    return actions


def _update_presence(reservation: Reservation, report: EngineReport) -> None:
    if reservation.run_id in report.held:
        reservation.landed = True
        reservation.missing_since = math.inf
    else:
        reservation.missing_since = min(
            reservation.missing_since, report.asked_at
        )


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
    cutoff = now - state.settings.command_delay_seconds
    actions: list[Action] = [
        CancelRun(run_id)
        for run_id, seen_at in state.unowned.items()
        if seen_at <= cutoff
    ]
    foreign_runs = _foreign_runs(state)
    if foreign_runs:
        actions.append(ForeignRuns(foreign_runs))
    return actions


def _owned(state: Ledger, report: EngineReport) -> set[str]:
    state.finished = {
        run_id: finished_at
        for run_id, finished_at in state.finished.items()
        if finished_at >= report.asked_at
    }
    owned = {reservation.run_id for reservation in state.places.values()}
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
    reservations: Iterable[Reservation],
    report: EngineReport,
) -> list[int]:
    return [
        reservation.footprint.private
        for reservation in reservations
        if reservation.run_id in report.held
    ]


def _foreign_runs(state: Ledger) -> tuple[str, ...]:
    own = f'{state.incarnation}.'
    return tuple(
        run_id for run_id in state.unowned if not run_id.startswith(own)
    )
