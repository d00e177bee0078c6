"""Construction of the parts that every program builds from its settings."""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_timeline import Recorder, Ring, Stamp
from gypsumrelay_wire import Identity

from gypsumrelay_instance.peers import Peers
from gypsumrelay_instance.replica import ConfigurationReplica

if TYPE_CHECKING:
    from gypsumrelay_settings import InstanceSettings, TelemetrySettings

MS_PER_SECOND: Final = 1000
INCARNATION_BYTES: Final = 4


def new_recorder(
    instance: InstanceSettings,
    telemetry: TelemetrySettings,
) -> Recorder:
    """Return the event recorder of a process."""
    return Recorder(
        instance.name,
        Ring(telemetry.events_kept),
        lambda: int(time.time() * MS_PER_SECOND),
    )


def new_peers(
    instance: InstanceSettings,
    shared_secret: str,
    role: str,
    recorder: Recorder,
) -> Peers:
    """Return the peers of a process; the program sets their callbacks."""
    identity = Identity(
        instance.name,
        instance.incarnation or secrets.token_hex(INCARNATION_BYTES),
        role,
        instance.availability_zone,
    )
    return Peers(
        identity=identity,
        secret=shared_secret.encode(),
        replica=ConfigurationReplica(),
        stamp=lambda: attrs.astuple(recorder.stamp()),
        merge_stamp=lambda wall_ms, counter: recorder.observe(
            Stamp(wall_ms, counter),
        ),
    )
