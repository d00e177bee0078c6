"""Construction of a relay from its parts."""

from __future__ import annotations

import importlib
import random
import secrets
from typing import TYPE_CHECKING, Final

from gypsumrelay_dispatch import SchedulerState
from gypsumrelay_rollouts import Rollouts
from gypsumrelay_telemetry import new_metrics, set_up_output
from gypsumrelay_wire import Endpoint, Identity

from gypsumrelay_relay.cancellation import RequestWatcher
from gypsumrelay_relay.connections import Connections
from gypsumrelay_relay.context import Relay
from gypsumrelay_relay.coordination.actor import Coordinator
from gypsumrelay_relay.coordination.client import Coordination, do_nothing
from gypsumrelay_relay.fairness import fairness_gauges
from gypsumrelay_relay.heartbeats import Heartbeats, open_socket
from gypsumrelay_relay.membership import (
    MIN_COORDINATOR_CORES,
    MIN_COORDINATOR_MBPS,
    Member,
    Members,
)
from gypsumrelay_relay.operator_records import OperatorRecords
from gypsumrelay_relay.rollouts import bounds_of
from gypsumrelay_relay.rollouts.keeper import RolloutKeeper
from gypsumrelay_relay.startup import defer
from gypsumrelay_relay.startup.parts import PlatformAdapter, Process
from gypsumrelay_relay.stream_log import StreamLog
from gypsumrelay_relay.stream_messages import StartKeeper

if TYPE_CHECKING:
    from collections.abc import Callable

    from gypsumrelay_settings import RelayInstance, RelaySettings

    from gypsumrelay_relay.metrics import RelayMetrics

INCARNATION_BYTES: Final = 4
SEED_BITS: Final = 64


def build(settings: RelaySettings, adapter: PlatformAdapter) -> Process:
    """Build the parts of a relay without starting them."""
    instance = settings.instance
    output = set_up_output(settings.telemetry, instance.name)
    stream_log = StreamLog(adapter.store)
    metrics = defer(lambda: _new_metrics(settings))
    coordination = _coordination(settings, adapter, stream_log, metrics)
    relay = Relay(
        settings,
        adapter.protocol,
        coordination.operator_records,
        coordination,
        Connections(),
        RequestWatcher(),
        output,
        metrics,
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
    keeper = RolloutKeeper(relay, adapter.store, adapter.reader)
    return Process(relay, adapter, heartbeats, stream_log, keeper)


def _new_metrics(settings: RelaySettings) -> RelayMetrics:
    module = importlib.import_module('gypsumrelay_relay.metrics')
    metrics: RelayMetrics = module.RelayMetrics(new_metrics(settings.telemetry))
    return metrics


def _coordination(
    settings: RelaySettings,
    adapter: PlatformAdapter,
    stream_log: StreamLog,
    metrics: Callable[[], RelayMetrics],
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
        SchedulerState(
            settings.dispatch, rollouts=Rollouts(bounds_of(settings.rollouts))
        ),
        coordination.deliver_answer,
        coordination.publish_crash,
        StartKeeper(stream_log.save, stream_log.request_read),
        fairness_gauges(metrics),
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
        availability_zone=instance.availability_zone,
        is_new=True,
    )
