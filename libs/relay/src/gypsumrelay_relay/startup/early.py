"""What a process did before it imported the relay."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gypsumrelay_relay.startup.phases import StartPhases

if TYPE_CHECKING:
    import socket


@attrs.define(eq=False)
class Startup:
    """What a process did before it imported the relay.

    Attributes:
        callers: Socket that listens for callers already; None for none.
        stop_signals: Instants of SIGTERM and SIGINT so far.
        phases: The phases that the start has reached.
    """

    callers: socket.socket | None = None
    stop_signals: list[float] = attrs.field(factory=list)
    phases: StartPhases = attrs.field(factory=StartPhases)
