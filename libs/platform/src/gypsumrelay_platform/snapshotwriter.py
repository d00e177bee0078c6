"""Background writer of snapshots for one process."""

from __future__ import annotations

import threading
from collections.abc import Collection

import attrs
from gypsumrelay_configuration import (
    SnapshotSchedule,
    State,
    copy_state,
    is_writer_now,
    split_state,
)
from logbook import Logger

from gypsumrelay_platform.logclient import LogClient
from gypsumrelay_platform.publishing import write_snapshot

log = Logger('platform')


@attrs.define(eq=False)
class SnapshotWriter:
    """Decides on the calling thread and writes on a thread of its own.

    Attributes:
        client: Client of the log service.
        schedule: Data from which the process decides whether to write.
        stopped: Set at shutdown; stops a snapshot between two parts.
            Readers ignore an unfinished snapshot.
        writer: Thread that writes, or wrote, the newest snapshot.
    """

    client: LogClient
    schedule: SnapshotSchedule
    stopped: threading.Event = attrs.field(factory=threading.Event)
    writer: threading.Thread | None = None

    def write_if_due(
        self,
        state: State,
        members: Collection[str],
        now: float,
    ) -> bool:
        """Start to write a snapshot if this process is the one to do so.

        To be called about once a second by the thread that owns the state.

        Args:
            state: Reduced state of this process.
            members: Names of the live processes.
            now: Monotonic time in seconds.

        Returns:
            Whether a snapshot was started.
        """
        if self.writer is not None and self.writer.is_alive():
            return False
        if not is_writer_now(self.schedule, state, members, now):
            return False
        # With 22,000 accounts, the copy takes milliseconds. The split takes
        # about a second, which would block the calling thread.
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
                'Wrote a snapshot that covers offset {}, in {} parts.',
                state.offset,
                len(parts),
            )
        else:
            log.warning('The snapshot is incomplete: {}.', fault.sentence)
