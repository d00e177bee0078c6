"""Actor that owns all decisions about one upstream."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pykka
from logbook import Logger

from gypsumrelay_agent.handling import handle
from gypsumrelay_agent.state import AgentState, publish_load

log = Logger('agent')


class AgentActor(pykka.ThreadingActor):
    """Handles one event at a time; all waiting is done in other threads."""

    use_daemon_thread = True

    def __init__(self, build: Callable[[Any], AgentState]) -> None:
        """Build the state, which needs the actor's own reference."""
        super().__init__()
        self.state = build(self.actor_ref)

    def on_receive(self, message: Any) -> None:
        """Handle one event.

        A fault in one event must not stop the agent, since its upstream's
        memory would then stay held.
        """
        try:
            handle(self.state, message)
        except Exception:
            log.exception('An event could not be handled.')
        publish_load(self.state)
