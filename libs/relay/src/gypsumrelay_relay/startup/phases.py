"""Instants at which a process reached the phases of its start."""

from __future__ import annotations

import threading
import time
from enum import Enum
from typing import Final

import attrs
from gypsumrelay_clock import monotonic

MS_PER_SECOND: Final = 1000
# Time in seconds after which the phases are logged although no request has
# been answered yet.
REPORT_SECONDS: Final = 30.0


class Phase(Enum):
    """A phase of the start.

    Attributes:
        listening: Callers can connect.
        imported: The modules are imported and the settings are valid.
        serving: Requests of callers are read.
        configured: The first configuration is in force.
        coordinated: The coordinator is known.
        granted: The first placement was granted to this relay.
        answered: The first request was answered in full.
    """

    listening = 'listening'
    imported = 'imported'
    serving = 'serving'
    configured = 'configured'
    coordinated = 'coordinated'
    granted = 'granted'
    answered = 'answered'


@attrs.define(eq=False)
class StartPhases:
    """The phases that a process has reached.

    Attributes:
        began_at: Instant of the first step of the process.
        reached_at: Instants of the phases.
        processor_ms: Processor time in milliseconds at each phase.
        is_reported: Whether the phases were logged.
        lock: Guards `reached_at` and `processor_ms`.
    """

    began_at: float = attrs.field(factory=monotonic)
    reached_at: dict[Phase, float] = attrs.field(factory=dict)
    processor_ms: dict[Phase, int] = attrs.field(factory=dict)
    is_reported: bool = False
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def note(self, phase: Phase, at: float | None = None) -> None:
        """Record that a phase is reached, unless it was before.

        Args:
            phase: The phase.
            at: Instant of the phase; None for now.
        """
        if phase in self.reached_at:
            return
        with self.lock:
            self.reached_at.setdefault(phase, at or monotonic())
            self.processor_ms.setdefault(
                phase, int(time.process_time() * MS_PER_SECOND)
            )

    def elapsed_ms(self, phase: Phase) -> int:
        """Return the time from the first step to a phase, -1 if not reached."""
        at = self.reached_at.get(phase)
        return -1 if at is None else int((at - self.began_at) * MS_PER_SECOND)

    def is_due(self, now: float) -> bool:
        """Return whether to log the phases now."""
        if self.is_reported:
            return False
        is_late = now - self.began_at > REPORT_SECONDS
        return is_late or Phase.answered in self.reached_at
