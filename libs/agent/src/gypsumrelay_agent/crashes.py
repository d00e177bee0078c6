"""Detection of upstream crashes and report of the affected requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_upstreams import EngineReport, coldstart
from gypsumrelay_wire import CrashReport
from logbook import Logger

from gypsumrelay_agent.engine import UpstreamFault
from gypsumrelay_agent.failures import failed_message_for_fault
from gypsumrelay_agent.probes import start_probe

if TYPE_CHECKING:
    from gypsumrelay_agent.runs import Run
    from gypsumrelay_agent.state import AgentState

log = Logger('agent')


@attrs.define
class SuspectedCrash:
    """A suspected crash that no probe has confirmed yet.

    Attributes:
        incarnation: Incarnation of the upstream when a connection broke.
        detected_at: Time in seconds at which it was detected that a
            connection broke.
        digests: Digests of the requests that were running at that time.
        failed_runs: Failed runs, reported to their entries after the probe.
    """

    incarnation: str
    detected_at: float
    digests: list[bytes]
    failed_runs: list[tuple[Run, UpstreamFault]] = attrs.field(factory=list)


def suspect_crash(state: AgentState, run: Run, fault: UpstreamFault) -> None:
    """Record a broken connection as a suspected crash and send a probe.

    The broken connections of one crash are detected one by one, some of them
    after the crash was confirmed. These must not count as a second crash, for
    which their requests would be blamed.
    """
    if state.suspected_crash is None and run.started_at <= state.crashed_at:
        run.link.send(failed_message_for_fault(run, fault))
        return
    if state.suspected_crash is None:
        runs = [
            run,
            *(
                other
                for other in state.runs.values()
                if other.started_at > state.crashed_at
            ),
        ]
        digests = dict.fromkeys(
            active_run.digest for active_run in runs if active_run.digest
        )
        if _is_cold_overload(state, len(runs)):
            digests = {}
        state.suspected_crash = SuspectedCrash(
            state.ledger.engine,
            monotonic(),
            list(digests),
        )
        start_probe(state)
    state.suspected_crash.failed_runs.append((run, fault))


def _is_cold_overload(state: AgentState, running: int) -> bool:
    """Return whether overload during cold start probably caused a crash."""
    limit = state.settings.upstream.cold_limit
    return coldstart.is_cold(state.ramp) and running > limit


def resolve_suspected_crash(
    state: AgentState,
    report: EngineReport | UpstreamFault,
) -> None:
    """Report a suspected crash if a probe confirms it, then the failed runs."""
    suspected_crash = state.suspected_crash
    if suspected_crash is None:
        return
    state.suspected_crash = None
    if _is_confirmed(suspected_crash, report):
        state.crashed_at = suspected_crash.detected_at
        if suspected_crash.digests:
            _send_report(state, suspected_crash)
    for run, fault in suspected_crash.failed_runs:
        run.link.send(failed_message_for_fault(run, fault))


def _is_confirmed(
    suspected_crash: SuspectedCrash,
    report: EngineReport | UpstreamFault,
) -> bool:
    if isinstance(report, UpstreamFault):
        return True
    return report.incarnation != suspected_crash.incarnation


def _send_report(state: AgentState, suspected_crash: SuspectedCrash) -> None:
    state.crashes += 1
    upstream = state.settings.upstream.name
    incarnation = state.accounts.member.incarnation
    crash_id = f'{upstream}/{incarnation}/{state.crashes}'
    log.warning(
        'The upstream crashed while {} requests were running.',
        len(suspected_crash.digests),
    )
    report = CrashReport(crash_id, suspected_crash.digests)
    for link in list(state.links.values()):
        if link.peer.role == 'entry':
            link.send(report)
