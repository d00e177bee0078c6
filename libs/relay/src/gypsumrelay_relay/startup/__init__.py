"""The start of a relay process."""

from .arrival import (
    arrival,
)
from .deferring import (
    defer,
    import_in_background,
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
    WaitLimit,
    first_configuration,
    new_wait_limit,
    wait_seconds,
)

__all__ = (
    'Phase',
    'StartPhases',
    'Startup',
    'WaitLimit',
    'arrival',
    'defer',
    'first_configuration',
    'follow_phases',
    'handle_signals',
    'import_in_background',
    'new_wait_limit',
    'report_start',
    'resume_collection',
    'wait_seconds',
)
