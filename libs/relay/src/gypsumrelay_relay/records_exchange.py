"""Exchange of the operator records between relays."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgpack
from gypsumrelay_wire import Link, RecordsCopy, RecordsRequest

from gypsumrelay_relay.membership import alive
from gypsumrelay_relay.operator_records import (
    OperatorRecords,
    apply_records,
    missing_records,
)

if TYPE_CHECKING:
    from gypsumrelay_relay.coordination.client import Coordination
    from gypsumrelay_relay.membership import Member

# Delay in seconds before records that have not arrived are requested again.
REQUEST_SECONDS: Final = 0.5


def request_records(coordination: Coordination, now: float) -> None:
    """Request the operator records if another relay has newer ones.

    A relay requests them from the coordinator. The coordinator requests them
    from the relays with the newest records, because the answer to its own read
    may have been lost, or the relay may have been away while the store was
    restored.
    """
    operator_records = coordination.operator_records
    position = operator_records.position
    version = operator_records.version
    with coordination.lock:
        if now < coordination.records_due_at:
            return
        members = coordination.members
        if coordination.link is None:
            links = coordination.incoming
            sources = _newest(
                [one for one in alive(members, now) if one.name in links]
            )
        else:
            leader = members.known.get(coordination.leader)
            links = {coordination.leader: coordination.link}
            sources = [] if leader is None else [leader]
        targets = [
            links[one.name]
            for one in sources
            if one.position > position or one.version > version
        ]
        if targets:
            coordination.records_due_at = now + REQUEST_SECONDS
    for link in targets:
        link.send(RecordsRequest(position, version))


def _newest(members: list[Member]) -> list[Member]:
    """Return the members with the latest position and the newest version.

    These differ if one of them was away while the store was restored.
    """
    if not members:
        return []
    latest = max(members, key=lambda one: one.position)
    newest = max(members, key=lambda one: one.version)
    return [latest] if newest.version <= latest.version else [latest, newest]


def exchange_records(
    operator_records: OperatorRecords,
    link: Link,
    message: RecordsRequest | RecordsCopy,
) -> None:
    """Apply a copy of the records, or send those that the peer misses."""
    if isinstance(message, RecordsCopy):
        records = msgpack.unpackb(message.records)
        apply_records(
            operator_records, message.position, records, link.peer.name
        )
        return
    for one in missing_records(
        operator_records, message.position, message.version
    ):
        link.send(RecordsCopy(one.position, msgpack.packb(one.records)))
