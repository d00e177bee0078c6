"""Messages between relays about the performance of upstreams.

The order of fields is the wire format: new fields are added at the end with a
default, and tags are never reused.
"""

from __future__ import annotations

from typing import ClassVar

import attrs

from gypsumrelay_wire.base import Message


@attrs.frozen
class PerformanceReported(Message):
    """Reports what the sender measured of an upstream to a new coordinator.

    Attributes:
        upstream: Name of the upstream.
        samples: Number of recent measurements.
        event_us: Time in microseconds between two events of a stream; 0 if
            unknown.
        service_us: Time in microseconds of a plain request; 0 if unknown.
        prefill_ns: Time in nanoseconds of a prompt token; 0 if unknown.
    """

    tag: ClassVar[int] = 65
    upstream: str
    samples: int
    event_us: int
    service_us: int
    prefill_ns: int
