"""Log events of the memory for bodies and answers."""

from __future__ import annotations

from typing import ClassVar

import attrs

from gypsumrelay_relay.events.state import StateChange


@attrs.frozen(eq=False)
class BuffersChanged(StateChange):
    """The memory for bodies and answers is exhausted, or is free again.

    Attributes:
        state: `exhausted` or `free`.
        bodies: Bytes that bodies of requests hold.
        answers: Bytes that answers hold.
        limit: Size of the budget in bytes; 0 if the instance's memory is
            unknown.
        rejected: Requests rejected for it since the start of the process.
    """

    event: ClassVar[str] = 'buffers'
    template: ClassVar[str] = (
        'Memory for bodies and answers is {state}: bodies hold {bodies} B and'
        ' answers {answers} B of {limit} B; {rejected} requests rejected.'
    )

    state: str
    bodies: int
    answers: int
    limit: int
    rejected: int
