"""Gauges of the limits on concurrent work."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import pykka

from gypsumrelay_relay.coordination.messages import GetLimits

if TYPE_CHECKING:
    from gypsumrelay_relay.coordination.client import Coordination
    from gypsumrelay_relay.metrics import RelayMetrics

# Longest time in seconds for which the thread that sends heartbeats waits.
ASK_SECONDS: Final = 0.2


def update_limits(coordination: Coordination, metrics: RelayMetrics) -> None:
    """Show the limits of the own coordinator; those shown stay if it is busy.

    Without learning there are none.
    """
    if not coordination.settings.learn_performance:
        return
    try:
        limits: Any = coordination.actor.ask(GetLimits(), timeout=ASK_SECONDS)
    except pykka.Timeout:
        return
    metrics.show_limits(limits)
