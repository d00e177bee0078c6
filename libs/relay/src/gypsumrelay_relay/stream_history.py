"""Streams that this relay's upstreams began, reported to a new coordinator."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

import attrs
from gypsumrelay_dispatch import AMBIGUOUS

from gypsumrelay_relay.stream_messages import StreamsReported

# Time in seconds for which the start of a stream is reported; longer than any
# stream lasts.
KEPT_SECONDS: Final = 60.0
# Maximum number of streams that are reported.
MAX_STREAMS: Final = 4096


@attrs.frozen
class StreamStart:
    """The start of a stream.

    Attributes:
        version: Software version that began it.
        kept_until: Instant until which it is reported.
    """

    version: str
    kept_until: float


@attrs.define(eq=False)
class StreamHistory:
    """The streams that began at this relay recently.

    Attributes:
        starts: Their starts by digest, oldest first.
    """

    starts: dict[bytes, StreamStart] = attrs.field(factory=dict)

    def record(
        self, digest: bytes, version: str, now: float
    ) -> StreamsReported:
        """Record a stream that begins now; return its report."""
        report = StreamsReported(version, (digest,))
        known = self.starts.get(digest)
        if known is not None and known.version != version:
            version = AMBIGUOUS
        self.starts[digest] = StreamStart(version, now + KEPT_SECONDS)
        if len(self.starts) > MAX_STREAMS:
            self.starts.pop(next(iter(self.starts)))
        return report

    def reports(self, now: float) -> Iterator[StreamsReported]:
        """Yield one report for each version, without old streams."""
        self.starts = {
            digest: start
            for digest, start in self.starts.items()
            if now < start.kept_until
        }
        digests = defaultdict(list)
        for digest, start in self.starts.items():
            digests[start.version].append(digest)
        for version, began in digests.items():
            yield StreamsReported(version, tuple(began))
