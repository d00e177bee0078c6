"""Exchange of the operator records between relays."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgpack
from gypsumrelay_wire import Link, RecordsCopy, RecordsRequest

from gypsumrelay_relay.membership import alive
from gypsumrelay_relay.operator_records import OperatorRecords, apply_records

if TYPE_CHECKING:
    from gypsumrelay_relay.coordination import Coordination


def request_records(coordination: Coordination, now: float) -> None:
    """Request the operator records if another relay has newer ones.

    A relay requests them from the coordinator. The coordinator requests them
    from the relay with the newest records, because the answer to its own read
    may have been lost.
    """
    position = coordination.operator_records.position
    with coordination.lock:
        members = coordination.members
        link = coordination.link
        source = members.known.get(coordination.leader)
        if link is None:
            source = max(
                (one for one in alive(members, now) if one.position > position),
                key=lambda one: one.position,
                default=None,
            )
            link = coordination.incoming.get(source.name) if source else None
    if link is not None and source is not None and source.position > position:
        link.send(RecordsRequest(position))


def exchange_records(
    operator_records: OperatorRecords,
    link: Link,
    message: RecordsRequest | RecordsCopy,
) -> None:
    """Apply a copy of the records, or send one if it is newer."""
    if isinstance(message, RecordsCopy):
        records = msgpack.unpackb(message.records)
        apply_records(
            operator_records, message.position, records, link.peer.name
        )
        return
    with operator_records.lock:
        position = operator_records.position
        packed = msgpack.packb(operator_records.records)
    if position > message.position:
        link.send(RecordsCopy(position, packed))
