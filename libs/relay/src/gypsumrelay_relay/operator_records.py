"""This relay's copy of the operator records."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure
from logbook import Logger

from gypsumrelay_relay.events.state import (
    ConfigurationApplied,
    ConfigurationKept,
    report,
)
from gypsumrelay_relay.store_epoch import epoch_of, offset_of
from gypsumrelay_relay.topics import OperatorState, RecordReader

if TYPE_CHECKING:
    from gypsumrelay_relay.routes import Configuration

log = Logger('knowledge')

# Time in seconds after a restore of the store in which an evacuation that the
# restored copy lacks stays in force; the operator writes it again meanwhile.
RESTORE_HOLD_SECONDS: Final = 10.0

Listener = Callable[[OperatorState], None]


@attrs.frozen
class RecordSet:
    """All operator records at one position.

    Attributes:
        position: Position of the records in the operators' topic; negative
            before the first ones arrive.
        records: The raw records by key.
    """

    position: int = -1
    records: Mapping[str, bytes] = attrs.field(factory=dict)


@attrs.define(eq=False)
class OperatorRecords:
    """The newest operator records, from the store or from a peer.

    The newest version of the configuration stays in force when the store is
    restored to a copy that is older.

    Attributes:
        reader: Parses records.
        state: What is in force; None before the first configuration arrives.
        latest: The records at the latest position.
        source: The records that the configuration was read from.
        evacuated: Availability zones that the latest records evacuate.
        held_until: Evacuations that are in force though the restored records
            lack them, with the instant at which each one ends.
        listeners: Called with each new state, while `lock` is held.
        lock: Guards all other attributes.
        available: Set once the first configuration is in force.
    """

    reader: RecordReader
    state: OperatorState | None = None
    latest: RecordSet = RecordSet()
    source: RecordSet = RecordSet()
    evacuated: frozenset[str] = frozenset()
    held_until: dict[str, float] = attrs.field(factory=dict)
    listeners: list[Listener] = attrs.field(factory=list)
    lock: threading.Lock = attrs.field(factory=threading.Lock)
    available: threading.Event = attrs.field(factory=threading.Event)

    @property
    def position(self) -> int:
        """Position of the latest records; negative before the first ones."""
        return self.latest.position

    @property
    def version(self) -> int:
        """Version of the configuration in force; -1 before the first one."""
        return -1 if self.state is None else self.state.configuration.version


def apply_records(
    operator_records: OperatorRecords,
    position: int,
    records: Mapping[str, bytes],
    source: str,
) -> bool:
    """Apply what is new in a set of records.

    The configuration is applied if its version is newer, and the evacuations
    if the position is later.

    Args:
        operator_records: The copy to update.
        position: Position of the records.
        records: All operator records.
        source: Where the records come from, for the log.

    Returns:
        Whether anything was applied.
    """
    now = monotonic()
    received = RecordSet(position, dict(records))
    with operator_records.lock:
        configuration = _newer_configuration(operator_records, received)
        is_later = position > operator_records.position
        if is_later:
            _update_evacuations(operator_records, received, now)
        if configuration is None and not is_later:
            return False
        if configuration is not None:
            operator_records.source = received
        _publish(operator_records, configuration, source)
    return True


def end_holds(operator_records: OperatorRecords, now: float) -> None:
    """End the evacuations that were not written again in time."""
    with operator_records.lock:
        ended = [
            zone
            for zone, until in operator_records.held_until.items()
            if now >= until
        ]
        for zone in ended:
            operator_records.held_until.pop(zone)
        if ended:
            _publish(operator_records, None, 'timer')


def missing_records(
    operator_records: OperatorRecords, position: int, version: int
) -> list[RecordSet]:
    """Return the sets of records that are news for a peer.

    Args:
        operator_records: The copy of this relay.
        position: Position of the peer's copy.
        version: Version of the peer's configuration.
    """
    with operator_records.lock:
        latest = operator_records.latest
        source = operator_records.source
        missing = [latest] if latest.position > position else []
        if operator_records.version > version and source not in missing:
            missing.append(source)
        return missing


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


def _newer_configuration(
    operator_records: OperatorRecords, received: RecordSet
) -> Configuration | None:
    """Return the configuration in records if it replaces the current one."""
    configuration = operator_records.reader.configuration(received.records)
    is_later = received.position > operator_records.position
    if isinstance(configuration, Failure):
        log.warning(
            'Ignored the invalid configuration at offset {} of epoch {}: {}.',
            offset_of(received.position),
            epoch_of(received.position),
            configuration.sentence,
        )
        return None
    current = operator_records.version
    if configuration.version > current:
        return configuration
    if configuration.version == current and is_later:
        return configuration
    if is_later:
        kept = ConfigurationKept(
            current,
            configuration.version,
            epoch_of(received.position),
            offset_of(received.position),
        )
        report(log, kept)
    return None


def _update_evacuations(
    operator_records: OperatorRecords, received: RecordSet, now: float
) -> None:
    evacuated = operator_records.reader.evacuated(received.records)
    held_until = operator_records.held_until
    if epoch_of(operator_records.position) in {-1, epoch_of(received.position)}:
        # An evacuation that was written again ends with its next removal.
        for zone in evacuated:
            held_until.pop(zone, None)
    else:
        lost = operator_records.evacuated.union(held_until) - evacuated
        operator_records.held_until = dict.fromkeys(
            lost, now + RESTORE_HOLD_SECONDS
        )
    operator_records.evacuated = evacuated
    operator_records.latest = received


def _publish(
    operator_records: OperatorRecords,
    configuration: Configuration | None,
    source: str,
) -> None:
    """Put the configuration and evacuations into force; needs `lock`."""
    if configuration is None:
        if operator_records.state is None:
            return
        configuration = operator_records.state.configuration
    state = OperatorState(
        configuration,
        operator_records.evacuated.union(operator_records.held_until),
        operator_records.reader.rollouts(operator_records.latest.records),
    )
    operator_records.state = state
    applied = ConfigurationApplied(
        configuration.version,
        source,
        epoch_of(operator_records.position),
        offset_of(operator_records.position),
        ', '.join(sorted(state.evacuated)) or 'none',
    )
    report(log, applied)
    for listener in operator_records.listeners:
        listener(state)
    operator_records.available.set()
