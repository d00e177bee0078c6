"""Messages that every process uses.

The relays import only these and `placements`, since each message class takes
about 0.3 ms of processor time at the start of a process.
"""

from __future__ import annotations

from typing import ClassVar

import attrs


@attrs.frozen
class Message:
    """Base class of all messages on a link.

    Attributes:
        tag: Number of the message class on the wire; 0 for base classes.
    """

    tag: ClassVar[int] = 0


@attrs.frozen
class Heartbeat(Message):
    """Reports that the sender is alive.

    Attributes:
        offset: Position in the log up to which the sender has applied it.
        clock_ms: Wall-clock part of the sender's hybrid clock.
        clock_counter: Counter of the sender's hybrid clock.
        places_told: 1 if the sender has reported all its active placements
            to a new coordinator, else 0.
    """

    tag: ClassVar[int] = 1
    offset: int
    clock_ms: int
    clock_counter: int
    places_told: int = 0
