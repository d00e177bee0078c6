"""Log line and metrics of a start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumrelay_clock import monotonic
from logbook import Logger

from gypsumrelay_relay.events.state import StartTimed, report
from gypsumrelay_relay.startup.phases import Phase

if TYPE_CHECKING:
    from gypsumrelay_relay.startup.parts import Process
    from gypsumrelay_relay.startup.phases import StartPhases

log = Logger('startup')


def follow_phases(process: Process, phases: StartPhases) -> None:
    """Record the phases that a relay reaches from now on."""
    process.relay.phases = phases
    coordination = process.relay.coordination
    coordination.on_coordinated = lambda: phases.note(Phase.coordinated)
    coordination.on_granted = lambda: phases.note(Phase.granted)


def report_start(process: Process) -> None:
    """Log the phases of the start once, when the last one is reached."""
    phases = process.relay.phases
    if not phases.is_due(monotonic()):
        return
    phases.is_reported = True
    elapsed = {phase: phases.elapsed_ms(phase) for phase in Phase}
    gauges = process.relay.metrics.gauges
    for phase, milliseconds in elapsed.items():
        gauges.labels(f'start_{phase.value}_ms').set(milliseconds)
    processor_ms = phases.processor_ms.get(Phase.serving, -1)
    report(log, StartTimed(processor_ms, *elapsed.values()))
