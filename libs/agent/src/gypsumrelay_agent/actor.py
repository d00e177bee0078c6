"""Actor that owns the state of the agent."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pykka
from logbook import Logger

from gypsumrelay_agent.event_handlers import handle
from gypsumrelay_agent.state import AgentState, publish_load

log = Logger('agent')


class AgentActor(pykka.ThreadingActor):
    """Handle one event at a time; blocking calls run in other threads."""

    use_daemon_thread = True

    def __init__(self, build: Callable[[Any], AgentState]) -> None:
        """Build the state, which needs the reference of the actor."""
        super().__init__()
        self.state = build(self.actor_ref)

    def on_receive(self, message: Any) -> None:
        """Handle one event.

        An exception in one handler must not stop the actor, since the memory
        reserved at the upstream would then never be freed.
        """
        try:
            handle(self.state, message)
        except Exception:
            log.exception('An event handler raised an exception.')
        publish_load(self.state)
