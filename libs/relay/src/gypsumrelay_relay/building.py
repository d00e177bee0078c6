"""Construction of a relay from its parts."""

from __future__ import annotations

import importlib
import random
import secrets
import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

import attrs
from gypsumrelay_dispatch import SchedulerState
from gypsumrelay_telemetry import new_metrics, set_up_output
from gypsumrelay_wire import Endpoint, Identity

from gypsumrelay_relay.cancellation import RequestWatcher
from gypsumrelay_relay.connections import Connections
from gypsumrelay_relay.context import Relay
from gypsumrelay_relay.coordination import Coordination, do_nothing
from gypsumrelay_relay.coordinator import Coordinator
from gypsumrelay_relay.heartbeats import Heartbeats, open_socket
from gypsumrelay_relay.membership import (
    MIN_COORDINATOR_CORES,
    MIN_COORDINATOR_MBPS,
    Member,
    Members,
)
from gypsumrelay_relay.operator_records import OperatorRecords
from gypsumrelay_relay.startup import defer
from gypsumrelay_relay.stream_log import StreamLog
from gypsumrelay_relay.stream_messages import StartKeeper

if TYPE_CHECKING:
    from gypsumrelay_settings import RelayInstance, RelaySettings

    from gypsumrelay_relay.metrics import RelayMetrics
    from gypsumrelay_relay.phase_switching import PhaseSwitcher
    from gypsumrelay_relay.protocol import HttpProtocol
    from gypsumrelay_relay.store_follower import StoreFollower
    from gypsumrelay_relay.topics import RecordReader, Store

INCARNATION_BYTES: Final = 4
SEED_BITS: Final = 64


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
        phase_switcher: Sends phase changes to upstreams; None before the
            start.
        servers: The HTTP servers; the first one is for callers.
        checked_at: Instant of the last check of the age of the list of
            upstreams.
        stopped: Ends the threads.
    """

    relay: Relay
    adapter: PlatformAdapter
    heartbeats: Heartbeats
    stream_log: StreamLog
    follower: StoreFollower | None = None
    phase_switcher: PhaseSwitcher | None = None
    servers: list[Any] = attrs.field(factory=list)
    checked_at: float = float('inf')
    stopped: threading.Event = attrs.field(factory=threading.Event)


def build(settings: RelaySettings, adapter: PlatformAdapter) -> Process:
    """Build the parts of a relay without starting them."""
    instance = settings.instance
    output = set_up_output(settings.telemetry, instance.name)
    stream_log = StreamLog(adapter.store)
    coordination = _coordination(settings, adapter, stream_log)
    relay = Relay(
        settings,
        adapter.protocol,
        coordination.operator_records,
        coordination,
        Connections(),
        RequestWatcher(),
        output,
        defer(lambda: _new_metrics(settings)),
        # Only distributes load; needs no cryptographic randomness.
        random.Random(secrets.randbits(SEED_BITS)),  # noqa: S311
    )
    heartbeats = Heartbeats(
        coordination.members,
        instance.link_port,
        coordination.changed.set,
        do_nothing,
        coordination.lock,
        open_socket(instance.host, instance.link_port),
    )
    return Process(relay, adapter, heartbeats, stream_log)


def _new_metrics(settings: RelaySettings) -> RelayMetrics:
    module = importlib.import_module('gypsumrelay_relay.metrics')
    metrics: RelayMetrics = module.RelayMetrics(new_metrics(settings.telemetry))
    return metrics


def _coordination(
    settings: RelaySettings, adapter: PlatformAdapter, stream_log: StreamLog
) -> Coordination:
    instance = settings.instance
    incarnation = secrets.token_hex(INCARNATION_BYTES)
    coordination = Coordination(
        instance.name,
        Members(_own_member(instance, incarnation)),
        OperatorRecords(adapter.reader),
        instance.link_port,
        settings=settings.dispatch,
    )
    coordination.actor = Coordinator.start(
        SchedulerState(settings.dispatch),
        coordination.deliver_answer,
        coordination.publish_crash,
        StartKeeper(stream_log.save, stream_log.request_read),
    )
    stream_log.tell = coordination.actor.tell
    coordination.endpoint = Endpoint(
        Identity(instance.name, incarnation, 'relay'),
        settings.shared_secret.encode(),
        coordination.on_message,
        coordination.on_close,
    )
    return coordination


def _own_member(instance: RelayInstance, incarnation: str) -> Member:
    few_cores = instance.processor_cores < MIN_COORDINATOR_CORES
    slow_link = instance.link_mbps < MIN_COORDINATOR_MBPS
    return Member(
        instance.name,
        incarnation,
        instance.host,
        is_small=few_cores or slow_link,
        # Until the first read of the list of upstreams; its first heartbeat
        # would make this relay the coordinator of a fleet that only starts.
        is_stale=True,
    )
