"""Parts of a running relay, and what the platform's adapter provides."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from gypsumrelay_settings import RelaySettings

    from gypsumrelay_relay.capacity.watching import CapacityWatch
    from gypsumrelay_relay.context import Relay
    from gypsumrelay_relay.heartbeats import Heartbeats
    from gypsumrelay_relay.phase_switching import PhaseSwitcher
    from gypsumrelay_relay.protocol import HttpProtocol
    from gypsumrelay_relay.rollouts.keeper import RolloutKeeper
    from gypsumrelay_relay.store_follower import StoreFollower
    from gypsumrelay_relay.stream_log import StreamLog
    from gypsumrelay_relay.topics import RecordReader, Store


@attrs.frozen
class PlatformAdapter:
    """The parts that the platform's adapter provides.

    Attributes:
        store: The platform's store.
        reader: Parsers of the store's records.
        protocol: The HTTP protocol of callers and upstreams.
        load_settings: Reads the settings again; returns None if they are
            invalid.
    """

    store: Store
    reader: RecordReader
    protocol: HttpProtocol
    load_settings: Callable[[], RelaySettings | None]


@attrs.define(eq=False)
class Process:
    """The running parts of a relay.

    Attributes:
        relay: The parts that requests use.
        adapter: The parts that the platform's adapter provides.
        heartbeats: Sends and receives heartbeats.
        follower: Follows the store; None before the start.
        stream_log: Saves the starts of streams.
        rollout_keeper: Keeps the statuses of roll-outs in the store.
        phase_switcher: Sends phase changes to upstreams; None before the
            start.
        servers: The HTTP servers; the first one is for callers.
        checked_at: Instant of the last check of the age of the list of
            upstreams.
        capacity: Decides on readiness by load; None if load has no effect.
        stopped: Ends the threads.
    """

    relay: Relay
    adapter: PlatformAdapter
    heartbeats: Heartbeats
    stream_log: StreamLog
    rollout_keeper: RolloutKeeper
    follower: StoreFollower | None = None
    phase_switcher: PhaseSwitcher | None = None
    servers: list[Any] = attrs.field(factory=list)
    checked_at: float = float('inf')
    capacity: CapacityWatch | None = None
    stopped: threading.Event = attrs.field(factory=threading.Event)
