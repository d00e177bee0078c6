"""Write JSON log lines to standard output without blocking the caller.

Lines are queued and written by a thread. Lines that don't fit into the queue
are dropped and counted.
"""

from __future__ import annotations

import json
import queue
import sys
import threading
import time
import zlib
from typing import TYPE_CHECKING, Any, Final, TextIO

import attrs
import logbook
from gypsumrelay_clock import monotonic

if TYPE_CHECKING:
    from gypsumrelay_settings import TelemetrySettings

# Maximum number of queued lines; about 2 MB.
MAX_QUEUED_LINES: Final = 4096
# Fraction of the queue above which routine lines are sampled.
SAMPLING_THRESHOLD: Final = 0.5
# Fraction of the queue above which all routine lines are dropped, so that the
# lines of rejections and failures still fit.
DROP_THRESHOLD: Final = 0.75
# Sampling ratio of requests: the routine lines of one in this many are written.
# All processes choose the same requests, so that their lines can be combined.
SAMPLING_RATIO: Final = 8
# Interval in seconds at which flush() checks the queue.
FLUSH_POLL_SECONDS: Final = 0.01
# Maximum number of lines per write.
MAX_BATCH_LINES: Final = 256


@attrs.define(eq=False)
class Output:
    """Queue of log lines with one writer thread.

    Attributes:
        instance: Name of this instance, which each line contains.
        stream: Stream that the lines are written to.
        lines: Queued lines.
        dropped: Number of lines dropped since the last report.
        lock: Lock for `dropped`.
    """

    instance: str
    stream: TextIO
    lines: queue.Queue[str] = attrs.field(
        factory=lambda: queue.Queue(MAX_QUEUED_LINES),
    )
    dropped: int = 0
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def start(self) -> None:
        """Start the writer thread."""
        threading.Thread(target=self.run, name='output', daemon=True).start()

    def decide(
        self,
        event: str,
        fields: dict[str, Any],
        *,
        routine: bool,
    ) -> None:
        """Log a decision about a request.

        Args:
            event: Name of the event.
            fields: Fields of the event.
            routine: Whether the line may be sampled or dropped while the
                queue is long.
        """
        if routine and not self._may_queue(str(fields.get('request_id', ''))):
            self._count_dropped()
            return
        self.put({'event': event} | fields)

    def put(self, fields: dict[str, Any]) -> None:
        """Queue one line, or count it as dropped if the queue is full."""
        try:
            self.lines.put_nowait(self._line(fields))
        except queue.Full:
            self._count_dropped()

    def reset_dropped(self) -> int:
        """Reset the number of dropped lines and return its previous value."""
        with self.lock:
            dropped = self.dropped
            self.dropped = 0
        return dropped

    def run(self) -> None:
        """Write queued lines until a write fails."""
        while True:
            batch = [self.lines.get()]
            while len(batch) < MAX_BATCH_LINES and not self.lines.empty():
                batch.append(self.lines.get())
            dropped = self.reset_dropped()
            if dropped:
                batch.append(self._line({'event': 'dropped', 'lines': dropped}))
            try:
                self._write(batch)
            except (OSError, ValueError):
                # The reader has closed the stream. The queue fills up, and
                # further lines are dropped.
                return

    def flush(self, deadline: float) -> None:
        """Wait until the queue is empty or the deadline has passed."""
        while not self.lines.empty() and monotonic() < deadline:
            time.sleep(FLUSH_POLL_SECONDS)

    def _line(self, fields: dict[str, Any]) -> str:
        line = {'time': round(time.time(), 3), 'instance': self.instance}
        return json.dumps(line | fields)

    def _count_dropped(self) -> None:
        with self.lock:
            self.dropped += 1

    def _write(self, batch: list[str]) -> None:
        self.stream.write('\n'.join(batch) + '\n')
        self.stream.flush()

    def _may_queue(self, request_id: str) -> bool:
        queued_count = self.lines.qsize()
        if queued_count < MAX_QUEUED_LINES * SAMPLING_THRESHOLD:
            return True
        if queued_count > MAX_QUEUED_LINES * DROP_THRESHOLD:
            return False
        return zlib.crc32(request_id.encode()) % SAMPLING_RATIO == 0


class OutputHandler(logbook.Handler):  # type: ignore[misc]
    """Writes log records to the output."""

    def __init__(self, output: Output, level: str) -> None:
        """Set the output and the lowest level that is written."""
        super().__init__(level=level)
        self.output = output

    def emit(self, record: Any) -> None:
        """Queue one log record."""
        fields = {
            'event': record.extra['event'] or 'log',
            'level': record.level_name,
            'part': record.channel,
            'message': record.message,
            **(record.extra['fields'] or {}),
        }
        if record.exc_info:
            fields['traceback'] = record.formatted_exception
        self.output.put(fields)


def set_up_output(settings: TelemetrySettings, instance: str) -> Output:
    """Write decisions and log records of this process to standard output."""
    output = Output(instance, sys.stdout)
    output.start()
    OutputHandler(output, settings.log_level).push_application()
    return output
