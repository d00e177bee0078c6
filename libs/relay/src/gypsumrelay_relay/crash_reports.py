"""Reports of crashes: messages between relays and log events."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING, Final

from gypsumrelay_attribution import Content, Crash
from gypsumrelay_wire import UpstreamCrashed

from gypsumrelay_relay.digests import short_digest
from gypsumrelay_relay.events.state import report
from gypsumrelay_relay.events.upstreams import (
    CauseCleared,
    CauseFound,
    CrashConfirmed,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gypsumrelay_attribution import Cause
    from logbook import Logger

MS_PER_SECOND: Final = 1000


def crash_to_wire(crash: Crash, now: float) -> UpstreamCrashed:
    """Return the message that reports a crash."""
    ran = [*crash.started.values(), *crash.answered.values()]
    age_ms = round((now - crash.at) * MS_PER_SECOND)
    return UpstreamCrashed(
        crash.upstream,
        max(0, age_ms),
        [content.digest for content in ran],
        [int(content.digest in crash.answered) for content in ran],
        [len(content.parts) for content in ran],
        [part for content in ran for part in content.parts],
    )


def crash_from_wire(message: UpstreamCrashed, now: float) -> Crash:
    """Return the crash that a message reports."""
    crash = Crash(
        message.upstream, now - max(0, message.age_ms) / MS_PER_SECOND
    )
    parts = iter(message.parts)
    rows = zip(
        message.digests, message.began, message.part_counts, strict=False
    )
    for digest, began, count in rows:
        own = tuple(islice(parts, max(0, count)))
        crash.add(Content(digest, own), began=bool(began))
    return crash


def crash_event(crash: Crash, now: float) -> CrashConfirmed:
    """Return the log event of a crash."""
    started = list(crash.started.values())
    parts = dict.fromkeys(part for content in started for part in content.parts)
    return CrashConfirmed(
        crash.upstream,
        len(crash.started) + len(crash.answered),
        ','.join(short_digest(content.digest) for content in started),
        ','.join(map(short_digest, parts)),
        int((now - crash.at) * MS_PER_SECOND),
    )


def report_causes(
    log: Logger, previous: Mapping[bytes, Cause], causes: Mapping[bytes, Cause]
) -> dict[bytes, Cause]:
    """Log the causes that were found or cleared; return the present ones."""
    for subject, cause in causes.items():
        if subject not in previous:
            digest = short_digest(subject)
            found = CauseFound(digest, cause.is_part, cause.crash_count)
            report(log, found)
    for cleared in previous.keys() - causes.keys():
        report(log, CauseCleared(short_digest(cleared)))
    return dict(causes)
