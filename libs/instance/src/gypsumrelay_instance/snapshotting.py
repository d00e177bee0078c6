"""Writes snapshots of the configuration before the log drops records."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

import attrs
from gypsumrelay_configuration import (
    SnapshotDuty,
    SnapshotPolicy,
    new_duty,
    should_write,
    split_state,
)
from gypsumrelay_platform import LogClient, write_snapshot
from logbook import Logger

if TYPE_CHECKING:
    from collections.abc import Collection

    from gypsumrelay_configuration import SnapshotPart

    from gypsumrelay_instance.keeper import Keeper

log = Logger('configuration')


@attrs.define(eq=False)
class SnapshotWriter:
    """One process's turn at writing snapshots."""

    keeper: Keeper
    log_client: LogClient
    duty: SnapshotDuty
    stopped: threading.Event = attrs.field(factory=threading.Event)

    def tick(self, members: Collection[str]) -> None:
        """Write a snapshot in a thread where it is this process's turn."""
        now = time.monotonic()
        with self.keeper.lock:
            if not should_write(self.duty, self.keeper.state, members, now):
                return
            parts = split_state(self.keeper.state)
        threading.Thread(target=self._write, args=(parts,), daemon=True).start()

    def _write(self, parts: list[SnapshotPart]) -> None:
        fault = write_snapshot(self.log_client, parts, self.stopped)
        if fault is None:
            log.info('Wrote a snapshot of {} parts.', len(parts))
        else:
            log.warning('Wrote no snapshot: {}.', fault.sentence)


def new_snapshot_writer(
    name: str,
    keeper: Keeper,
    log_client: LogClient,
) -> SnapshotWriter:
    """Return the snapshot writer of a process that has just started."""
    duty = new_duty(name, SnapshotPolicy(), time.monotonic())
    return SnapshotWriter(keeper, log_client, duty)
