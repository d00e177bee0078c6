"""This relay's copy of the operator records."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure
from logbook import Logger

from gypsumrelay_relay.state_events import ConfigurationApplied, report
from gypsumrelay_relay.topics import OperatorOrders, RecordReader

log = Logger('knowledge')

Listener = Callable[[OperatorOrders], None]


@attrs.define(eq=False)
class Knowledge:
    """The newest operator configuration, from the store or from a peer.

    Attributes:
        reader: Parses records.
        orders: The parsed records; None before the first ones arrive.
        position: Position of the records in the operators' topic.
        records: The raw records, for peers that request them.
        listeners: Called with each new version, while `lock` is held.
        lock: Guards all other attributes.
        available: Set once the first records have been applied.
    """

    reader: RecordReader
    orders: OperatorOrders | None = None
    position: int = -1
    records: dict[str, bytes] = attrs.field(factory=dict)
    listeners: list[Listener] = attrs.field(factory=list)
    lock: threading.Lock = attrs.field(factory=threading.Lock)
    available: threading.Event = attrs.field(factory=threading.Event)


def learn(
    knowledge: Knowledge,
    position: int,
    records: Mapping[str, bytes],
    source: str,
) -> bool:
    """Apply records unless the current ones are as new.

    Args:
        knowledge: The copy to update.
        position: Position of the records.
        records: All operator records.
        source: Where the records come from, for the log.

    Returns:
        Whether they were applied.
    """
    with knowledge.lock:
        if position <= knowledge.position:
            return False
        orders = knowledge.reader.orders(records)
        if isinstance(orders, Failure):
            log.warning(
                'Ignored invalid operator records at position {}: {}.',
                position,
                orders.sentence,
            )
            return False
        if _is_older(orders, knowledge.orders):
            log.warning(
                'Ignored older operator records at position {}.', position
            )
            return False
        knowledge.position = position
        knowledge.records = dict(records)
        knowledge.orders = orders
        applied = ConfigurationApplied(
            orders.configuration.version,
            source,
            position,
            ', '.join(sorted(orders.evacuated)) or 'none',
        )
        report(log, applied)
        for listener in knowledge.listeners:
            listener(orders)
        knowledge.available.set()
    return True


def wait_for_configuration(
    knowledge: Knowledge,
    until: float,
) -> OperatorOrders | None:
    """Return the operator configuration, or None at a time-out.

    Args:
        knowledge: The copy of the operator records.
        until: Instant at which to stop waiting.
    """
    if knowledge.orders is None:
        knowledge.available.wait(max(0, until - monotonic()))
    return knowledge.orders


def _is_older(orders: OperatorOrders, current: OperatorOrders | None) -> bool:
    if current is None:
        return False
    return orders.configuration.version < current.configuration.version
