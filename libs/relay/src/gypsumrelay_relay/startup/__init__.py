"""The start of a relay process."""

from .deferring import (
    defer,
    resume_collection,
)
from .early import (
    Startup,
)
from .phases import (
    Phase,
    StartPhases,
)
from .report import (
    follow_phases,
    report_start,
)
from .signals import (
    handle_signals,
)
from .waiting import (
    WaitingRoom,
    first_configuration,
    new_waiting_room,
    wait_seconds,
)

__all__ = (
    'Phase',
    'StartPhases',
    'Startup',
    'WaitingRoom',
    'defer',
    'first_configuration',
    'follow_phases',
    'handle_signals',
    'new_waiting_room',
    'report_start',
    'resume_collection',
    'wait_seconds',
)
