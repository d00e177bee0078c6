"""Memory for the bodies of requests and the unsent parts of answers."""

from gypsumrelay_relay.buffers.budget import Budget, Kind
from gypsumrelay_relay.buffers.holds import Holds, Memory, holds_of, new_memory
from gypsumrelay_relay.buffers.queueing import split
from gypsumrelay_relay.buffers.reading import (
    held_pieces,
    pass_on,
    read_whole,
    take_body,
    wait_for_caller,
)

__all__ = (
    'Budget',
    'Holds',
    'Kind',
    'Memory',
    'held_pieces',
    'holds_of',
    'new_memory',
    'pass_on',
    'read_whole',
    'split',
    'take_body',
    'wait_for_caller',
)
