"""Recorded events of all processes, merged into one timeline."""

from gypsumrelay_timeline.clock import (
    MAX_DRIFT_MS,
    HybridClock,
    Stamp,
)
from gypsumrelay_timeline.events import (
    Event,
    Query,
    events_from_json,
    events_to_json,
    merge,
    select,
)
from gypsumrelay_timeline.log_files import (
    Logs,
    read_logs,
    select_with_changes,
)
from gypsumrelay_timeline.rendering import (
    format_time,
    render_html,
    render_json,
    render_text,
)
from gypsumrelay_timeline.ring_buffer import (
    Recorder,
    Ring,
)

__all__ = (
    'MAX_DRIFT_MS',
    'Event',
    'HybridClock',
    'Logs',
    'Query',
    'Recorder',
    'Ring',
    'Stamp',
    'events_from_json',
    'events_to_json',
    'format_time',
    'merge',
    'read_logs',
    'render_html',
    'render_json',
    'render_text',
    'select',
    'select_with_changes',
)
