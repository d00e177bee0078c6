"""Detection of upstream crashes and report of the affected requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_upstreams import EngineReport, coldstart
from gypsumrelay_wire import CrashReport
from logbook import Logger

from gypsumrelay_agent.engine import UpstreamFault
from gypsumrelay_agent.probing import probe_now
from gypsumrelay_agent.replies import failed_of_fault

if TYPE_CHECKING:
    from gypsumrelay_agent.runs import Run
    from gypsumrelay_agent.state import AgentState

log = Logger('agent')


@attrs.define
class Suspected:
    """A suspected crash that no probe has confirmed yet.

    Attributes:
        incarnation: Incarnation of the upstream when a connection broke.
        broke_at: Time in seconds at which the broken connection was detected.
        digests: Digests of the requests that were running at that time.
        failed: Failed runs, reported to their entries after the probe.
    """

    incarnation: str
    broke_at: float
    digests: list[bytes]
    failed: list[tuple[Run, UpstreamFault]] = attrs.field(factory=list)


def suspect_crash(state: AgentState, run: Run, fault: UpstreamFault) -> None:
    """Record a broken connection as a suspected crash and send a probe.

    The broken connections of one crash are detected one by one, some of them
    after the crash was confirmed. These must not count as a second crash, for
    which their requests would be blamed.
    """
    if state.suspected is None and run.started_at <= state.crashed_at:
        run.link.send(failed_of_fault(run, fault))
        return
    if state.suspected is None:
        runs = [
            run,
            *(
                other
                for other in state.runs.values()
                if other.started_at > state.crashed_at
            ),
        ]
        digests = dict.fromkeys(one.digest for one in runs if one.digest)
        if _is_overloaded(state, len(runs)):
            digests = {}
        state.suspected = Suspected(
            state.ledger.engine,
            monotonic(),
            list(digests),
        )
        probe_now(state)
    state.suspected.failed.append((run, fault))


def _is_overloaded(state: AgentState, running: int) -> bool:
    """Return whether overload during cold start probably caused a crash."""
    limit = state.settings.upstream.cold_limit
    return coldstart.is_cold(state.ramp) and running > limit


def settle_suspicion(
    state: AgentState,
    report: EngineReport | UpstreamFault,
) -> None:
    """Report a suspected crash if a probe confirms it, then the failed runs."""
    suspected = state.suspected
    if suspected is None:
        return
    state.suspected = None
    if _is_confirmed(suspected, report):
        state.crashed_at = suspected.broke_at
        if suspected.digests:
            _send_report(state, suspected)
    for run, fault in suspected.failed:
        run.link.send(failed_of_fault(run, fault))


def _is_confirmed(
    suspected: Suspected,
    report: EngineReport | UpstreamFault,
) -> bool:
    if isinstance(report, UpstreamFault):
        return True
    return report.incarnation != suspected.incarnation


def _send_report(state: AgentState, suspected: Suspected) -> None:
    state.crashes += 1
    upstream = state.settings.upstream.name
    life = state.accounts.member.incarnation
    crash = f'{upstream}/{life}/{state.crashes}'
    log.warning(
        'The upstream crashed while {} requests were running.',
        len(suspected.digests),
    )
    report = CrashReport(crash, suspected.digests)
    for link in list(state.links.values()):
        if link.peer.role == 'entry':
            link.send(report)
