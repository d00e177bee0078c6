"""Writes snapshots for one process when it is its turn."""

from __future__ import annotations

import threading
from collections.abc import Collection

import attrs
from gypsumrelay_configuration import (
    SnapshotDuty,
    State,
    copy_state,
    should_write,
    split_state,
)
from logbook import Logger

from gypsumrelay_platform.logclient import LogClient
from gypsumrelay_platform.publishing import write_snapshot

log = Logger('platform')


@attrs.define(eq=False)
class SnapshotKeeper:
    """Decides on the owner's thread and writes on one of its own.

    Attributes:
        stopped: Set at shutdown; ends a snapshot between two parts, which
            readers then ignore.
        writer: The thread of the newest snapshot, if there was one.
    """

    client: LogClient
    duty: SnapshotDuty
    stopped: threading.Event = attrs.field(factory=threading.Event)
    writer: threading.Thread | None = None

    def consider(
        self,
        state: State,
        members: Collection[str],
        now: float,
    ) -> bool:
        """Start to write a snapshot if it is this process's turn.

        Called about once a second by the thread that owns the state, with
        the names of the live processes.
        """
        if self.writer is not None and self.writer.is_alive():
            return False
        if not should_write(self.duty, state, members, now):
            return False
        # The copy takes milliseconds; the split takes about a second at
        # 22,000 accounts and would hold up the owner.
        self.writer = threading.Thread(
            target=self._write,
            args=(copy_state(state),),
            name='snapshot',
            daemon=True,
        )
        self.writer.start()
        return True

    def _write(self, state: State) -> None:
        parts = split_state(state)
        fault = write_snapshot(self.client, parts, self.stopped)
        if fault is None:
            log.info(
                'Wrote a snapshot up to offset {} in {} parts.',
                state.offset,
                len(parts),
            )
        else:
            log.warning('A snapshot was not finished: {}.', fault.sentence)
