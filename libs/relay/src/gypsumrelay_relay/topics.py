"""Topics of the store, which keep the newest record of each key."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure

from gypsumrelay_relay.store_epoch import StoreEpoch, epoch_of

if TYPE_CHECKING:
    from gypsumrelay_dispatch import Upstream

    from gypsumrelay_relay.routes import Configuration


class Topic(enum.Enum):
    """The topics that a relay reads or writes."""

    operator = 'operator'
    upstreams = 'upstreams'
    members = 'members'
    orders = 'orders'
    streams = 'streams'


@attrs.frozen
class Snapshot:
    """The newest record of each key, at a position of the topic."""

    position: int
    records: Mapping[str, bytes]


@attrs.frozen
class Changes:
    """The records after a position; None marks a deleted key."""

    position: int
    records: tuple[tuple[str, bytes | None], ...]


@attrs.frozen
class RecordsExpired:
    """The records after the requested position cannot be read.

    They are no longer retained, or the position is of an epoch that ended with
    a restore of the store.
    """


@attrs.frozen
class Store:
    """Operations of the platform's store that a relay needs.

    Attributes:
        snapshot: Reads the newest record of each key of a topic.
        changes: Reads the records after a position; waits for the first one,
            with a time-out in seconds.
        append: Writes one record and returns its position; with an expected
            position, only if the topic ends there.
        epoch: The newest epoch that an answer of the store has stated.
    """

    snapshot: Callable[[Topic], Snapshot | Failure]
    changes: Callable[[Topic, int, float], Changes | RecordsExpired | Failure]
    append: Callable[[Topic, str, bytes, int | None], int | Failure]
    epoch: StoreEpoch = attrs.field(factory=StoreEpoch)


@attrs.frozen
class OperatorState:
    """What the operator has put into force.

    Attributes:
        configuration: The configuration.
        evacuated: Availability zones that get no work.
    """

    configuration: Configuration
    evacuated: frozenset[str]


@attrs.frozen
class RecordReader:
    """Parsers of the store's records.

    Attributes:
        configuration: Parses the configuration in the operator records;
            returns a failure if it is invalid or missing.
        evacuated: Returns the availability zones that the operator records
            evacuate.
        upstream: Parses the record of one upstream; returns a failure if it is
            invalid.
    """

    configuration: Callable[[Mapping[str, bytes]], Configuration | Failure]
    evacuated: Callable[[Mapping[str, bytes]], frozenset[str]]
    upstream: Callable[[str, bytes], Upstream | Failure]


@attrs.define
class TopicCopy:
    """A local copy of a topic.

    Attributes:
        topic: The topic.
        position: Position of the copy; negative before the first read.
        records: Newest record by key.
        removed: Last record of each key that the last read removed.
        read_at: Instant of the last successful read.
        returned_at: Instant of the first successful read after a failure, or
            at which the epoch of the copy began for this relay.
        failing: Whether the last read failed.
        failed_at: Instant of the last failed read.
        first_failures: Number of failed reads before the first successful one.
    """

    topic: Topic
    position: int = -1
    records: dict[str, bytes] = attrs.field(factory=dict)
    removed: dict[str, bytes] = attrs.field(factory=dict)
    read_at: float = 0
    returned_at: float = float('-inf')
    failing: bool = False
    failed_at: float = float('-inf')
    first_failures: int = 0


def refresh(
    copy: TopicCopy,
    store: Store,
    wait_seconds: float,
) -> bool | Failure:
    """Read the records that are new; return whether anything changed.

    The first read after a failure does not wait, since the missed records may
    have been written already.
    """
    if copy.failing:
        wait_seconds = 0
    position = copy.position
    copy.removed = {}
    outcome = _refresh(copy, store, wait_seconds)
    now = monotonic()
    if isinstance(outcome, Failure):
        copy.failing = True
        copy.failed_at = now
        return outcome
    if copy.failing:
        copy.returned_at = now
    elif 0 <= epoch_of(position) < epoch_of(copy.position):
        copy.returned_at = store.epoch.seen_at
    copy.failing = False
    copy.read_at = now
    return outcome


def _refresh(
    copy: TopicCopy,
    store: Store,
    wait_seconds: float,
) -> bool | Failure:
    if copy.position < 0 or store.epoch.has_left(copy.position):
        return _restart(copy, store)
    changes = store.changes(copy.topic, copy.position, wait_seconds)
    if isinstance(changes, RecordsExpired):
        return _restart(copy, store)
    if isinstance(changes, Failure):
        return changes
    for key, record in changes.records:
        if record is None:
            last = copy.records.pop(key, None)
            if last is not None:
                copy.removed[key] = last
        else:
            copy.records[key] = record
    copy.position = changes.position
    return bool(changes.records)


def _restart(copy: TopicCopy, store: Store) -> bool | Failure:
    snapshot = store.snapshot(copy.topic)
    if isinstance(snapshot, Failure):
        return snapshot
    copy.records = dict(snapshot.records)
    copy.position = snapshot.position
    return True
