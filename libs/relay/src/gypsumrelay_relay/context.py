"""The parts of a running relay that requests share."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from random import Random

    from gypsumrelay_settings import RelaySettings
    from gypsumrelay_telemetry import Output

    from gypsumrelay_relay.connections import Connections
    from gypsumrelay_relay.coordination import Coordination
    from gypsumrelay_relay.dialect import Dialect
    from gypsumrelay_relay.knowledge import Knowledge
    from gypsumrelay_relay.measures import Measures
    from gypsumrelay_relay.watch import Watch


@attrs.define(eq=False)
class Relay:
    """Shared parts of a relay, as requests need them."""

    settings: RelaySettings
    dialect: Dialect
    knowledge: Knowledge
    coordination: Coordination
    connections: Connections
    watch: Watch
    output: Output
    metrics: Measures
    random: Random
    draining: threading.Event = attrs.field(factory=threading.Event)
