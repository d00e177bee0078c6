"""This relay's copy of the operator records."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure
from logbook import Logger

from gypsumrelay_relay.state_events import ConfigurationApplied, report
from gypsumrelay_relay.topics import OperatorState, RecordReader

log = Logger('knowledge')

Listener = Callable[[OperatorState], None]


@attrs.define(eq=False)
class OperatorRecords:
    """The newest operator configuration, from the store or from a peer.

    Attributes:
        reader: Parses records.
        state: The parsed records; None before the first ones arrive.
        position: Position of the records in the operators' topic.
        records: The raw records, for peers that request them.
        listeners: Called with each new version, while `lock` is held.
        lock: Guards all other attributes.
        available: Set once the first records have been applied.
    """

    reader: RecordReader
    state: OperatorState | None = None
    position: int = -1
    records: dict[str, bytes] = attrs.field(factory=dict)
    listeners: list[Listener] = attrs.field(factory=list)
    lock: threading.Lock = attrs.field(factory=threading.Lock)
    available: threading.Event = attrs.field(factory=threading.Event)


def apply_records(
    operator_records: OperatorRecords,
    position: int,
    records: Mapping[str, bytes],
    source: str,
) -> bool:
    """Apply records unless the current ones are as new.

    Args:
        operator_records: The copy to update.
        position: Position of the records.
        records: All operator records.
        source: Where the records come from, for the log.

    Returns:
        Whether they were applied.
    """
    with operator_records.lock:
        if position <= operator_records.position:
            return False
        state = operator_records.reader.operator_state(records)
        if isinstance(state, Failure):
            log.warning(
                'Ignored invalid operator records at position {}: {}.',
                position,
                state.sentence,
            )
            return False
        if _is_older(state, operator_records.state):
            log.warning(
                'Ignored older operator records at position {}.', position
            )
            return False
        operator_records.position = position
        operator_records.records = dict(records)
        operator_records.state = state
        applied = ConfigurationApplied(
            state.configuration.version,
            source,
            position,
            ', '.join(sorted(state.evacuated)) or 'none',
        )
        report(log, applied)
        for listener in operator_records.listeners:
            listener(state)
        operator_records.available.set()
    return True


def wait_for_configuration(
    operator_records: OperatorRecords,
    until: float,
) -> OperatorState | None:
    """Return the operator configuration, or None at a time-out.

    Args:
        operator_records: The copy of the operator records.
        until: Instant at which to stop waiting.
    """
    if operator_records.state is None:
        operator_records.available.wait(max(0, until - monotonic()))
    return operator_records.state


def _is_older(state: OperatorState, current: OperatorState | None) -> bool:
    if current is None:
        return False
    return state.configuration.version < current.configuration.version
