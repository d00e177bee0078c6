"""Crashes of upstreams, and what upstreams completed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from gypsumrelay_attribution.causes import Cause, find_causes

if TYPE_CHECKING:
    from collections.abc import Iterable

# Bounds of the memory; the oldest entry is evicted first.
MAX_CRASHES: Final = 64
MAX_CONTENTS: Final = 64
MAX_COMPLETED: Final = 8192
MAX_REJECTED: Final = 4096
# Number of subjects above which causes are found at intervals, and that
# interval in seconds.
MANY_SUBJECTS: Final = 500
REFRESH_SECONDS: Final = 0.1
# Seconds within which reports of a crash of one upstream concern the same
# crash; an upstream takes longer to restart.
SAME_CRASH_SECONDS: Final = 1.0


@attrs.frozen
class AttributionLimits:
    """Limits of the attribution.

    Attributes:
        crashes: Number of crashes from which on a content or part is rejected.
        crashes_of_known: The same for one that an upstream has completed.
        instant_seconds: Time between crashes that count as different ones for
            a content or part that an upstream has completed.
        trial_seconds: Time after the last crash until one request may run
            again; doubled with each crash more.
        max_doublings: Maximum number of these doublings.
        retention_seconds: Time for which crashes are attributed.
    """

    crashes: int = 3
    crashes_of_known: int = 5
    instant_seconds: float = 0.5
    trial_seconds: float = 10
    max_doublings: int = 4
    retention_seconds: float = 120


@attrs.frozen
class Content:
    """A request's content.

    Attributes:
        digest: Digest of the whole content.
        parts: Digests of the prompt's shared parts, in order.
    """

    digest: bytes
    parts: tuple[bytes, ...] = ()

    @property
    def subjects(self) -> tuple[bytes, ...]:
        """Return the digests that crashes may be attributed to."""
        return (self.digest, *self.parts)


@attrs.define(eq=False)
class Crash:
    """A crash of an upstream.

    Attributes:
        upstream: Name of the upstream.
        at: Instant at which the first connection was lost.
        started: Contents without an event of their answer, by digest.
        answered: Contents that the upstream was answering, by digest.
    """

    upstream: str
    at: float
    started: dict[bytes, Content] = attrs.field(factory=dict)
    answered: dict[bytes, Content] = attrs.field(factory=dict)

    @property
    def candidates(self) -> list[Content]:
        """Return the contents that may have caused the crash.

        An upstream that had sent a part of an answer survived the start of
        that request, so that another one is the likelier cause.
        """
        return list((self.started or self.answered).values())

    def add(self, content: Content, *, began: bool) -> bool:
        """Add a content that ran; return whether it was not known.

        Args:
            content: The content.
            began: Whether the upstream had sent an event of the answer.
        """
        known = self.answered if began else self.started
        if content.digest in known or len(known) >= MAX_CONTENTS:
            return False
        known[content.digest] = content
        return True


@attrs.define(eq=False)
class CrashHistory:
    """Recent crashes and their causes.

    Attributes:
        crashes: Recent crashes, the oldest first.
        completed: Start of the newest completed run by part, and by content
            for those that ran at a crash; the least recent one first.
        rejected: Expiry by digest of contents that another process rejected.
        suspected_at: Instants of the crashes at which each subject ran.
        causes: The causes of the crashes, by subject.
        is_stale: Whether something changed since the causes were found.
        found_at: Instant at which the causes were found.
        causes_expire_at: Instant at which the causes have to be found anew.
        trials: Instant until which no further trial starts, by subject.
        changed: Crashes that were not yet reported to other processes.
    """

    crashes: list[Crash] = attrs.field(factory=list)
    completed: dict[bytes, float] = attrs.field(factory=dict)
    rejected: dict[bytes, float] = attrs.field(factory=dict)
    suspected_at: dict[bytes, list[float]] = attrs.field(factory=dict)
    causes: dict[bytes, Cause] = attrs.field(factory=dict)
    is_stale: bool = False
    found_at: float = float('-inf')
    causes_expire_at: float = float('inf')
    trials: dict[bytes, float] = attrs.field(factory=dict)
    changed: list[Crash] = attrs.field(factory=list)


def merge_crash(history: CrashHistory, crash: Crash) -> None:
    """Merge a report of a crash; reports of the same crash are joined."""
    known = same_crash(history, crash.upstream, crash.at)
    if known is None:
        known = Crash(crash.upstream, crash.at)
        history.crashes.append(known)
        history.crashes.sort(key=lambda one: one.at)
        if len(history.crashes) > MAX_CRASHES:
            history.crashes.pop(0)
            history.suspected_at = _index(history.crashes)
    join_crash(history, known, crash)


def join_crash(history: CrashHistory, known: Crash, crash: Crash) -> None:
    """Add what another report of a known crash says."""
    for ran, began in ((crash.started, False), (crash.answered, True)):
        for content in ran.values():
            if known.add(content, began=began):
                note_changed(history, known)
                _index_content(history.suspected_at, content, known.at)


def same_crash(history: CrashHistory, upstream: str, at: float) -> Crash | None:
    """Return the known crash that a loss at an upstream belongs to, if any."""
    for crash in history.crashes:
        is_near = abs(crash.at - at) < SAME_CRASH_SECONDS
        if crash.upstream == upstream and is_near:
            return crash
    return None


def note_changed(history: CrashHistory, crash: Crash) -> None:
    """Note that a crash has changed what is known.

    It has to be reported to other processes.
    """
    history.is_stale = True
    if crash not in history.changed:
        history.changed.append(crash)
        # Only a coordinator takes them out.
        del history.changed[:-MAX_CRASHES]


def take_changed(history: CrashHistory) -> list[Crash]:
    """Return the crashes that changed since the last call."""
    changed = history.changed
    history.changed = []
    return changed


def record_completion(
    history: CrashHistory, content: Content, started_at: float
) -> None:
    """Record that an upstream completed a request.

    It clears the crashes before the start of the run.

    Args:
        history: The recent crashes.
        content: The request's content.
        started_at: Instant at which the run started.
    """
    history.rejected.pop(content.digest, None)
    subjects = content.parts
    if content.digest in history.suspected_at:
        subjects = content.subjects
    for subject in subjects:
        restore_completion(history, subject, started_at)


def restore_completion(
    history: CrashHistory, subject: bytes, started_at: float
) -> None:
    """Record a completed run with a subject, also of another process."""
    previous = history.completed.pop(subject, float('-inf'))
    history.completed[subject] = max(previous, started_at)
    if len(history.completed) > MAX_COMPLETED:
        history.completed.pop(next(iter(history.completed)))
    suspected_at = history.suspected_at.get(subject, ())
    if any(previous <= at < started_at for at in suspected_at):
        history.is_stale = True


def restore_rejection(
    history: CrashHistory, digest: bytes, expires_at: float
) -> None:
    """Reject a content that another process rejected.

    It has no effect while crashes with the content are known. Coordinators of
    earlier builds report no crashes.
    """
    latest = max(history.rejected.pop(digest, 0), expires_at)
    history.rejected[digest] = latest
    if len(history.rejected) > MAX_REJECTED:
        history.rejected.pop(next(iter(history.rejected)))


def completions_of_suspects(history: CrashHistory) -> dict[bytes, float]:
    """Return the newest completed runs of what ran at crashes, by subject."""
    return {
        subject: history.completed[subject]
        for subject in history.suspected_at
        if subject in history.completed
    }


def refresh_causes(
    history: CrashHistory, limits: AttributionLimits, now: float
) -> None:
    """Find the causes anew if something has changed.

    While an outage loses many connections, they are found at intervals.
    """
    if now >= history.causes_expire_at:
        history.is_stale = True
    if not history.is_stale:
        return
    subjects = len(history.suspected_at)
    interval = REFRESH_SECONDS if subjects > MANY_SUBJECTS else 0
    if now >= history.found_at + interval:
        _find_causes(history, limits, now)


def _find_causes(
    history: CrashHistory, limits: AttributionLimits, now: float
) -> None:
    """Drop expired crashes, and find the causes of the others."""
    oldest = now - limits.retention_seconds
    if history.crashes and history.crashes[0].at <= oldest:
        history.crashes = [
            crash for crash in history.crashes if crash.at > oldest
        ]
        history.suspected_at = _index(history.crashes)
    history.causes = find_causes(history.crashes, history.completed, limits)
    history.trials = {
        subject: until
        for subject, until in history.trials.items()
        if subject in history.causes
    }
    history.is_stale = False
    history.found_at = now
    history.causes_expire_at = float('inf')
    if history.crashes:
        first = history.crashes[0].at
        history.causes_expire_at = first + limits.retention_seconds


def _index(crashes: Iterable[Crash]) -> dict[bytes, list[float]]:
    index: dict[bytes, list[float]] = {}
    for crash in crashes:
        for content in (*crash.started.values(), *crash.answered.values()):
            _index_content(index, content, crash.at)
    return index


def _index_content(
    index: dict[bytes, list[float]], content: Content, at: float
) -> None:
    for subject in content.subjects:
        index.setdefault(subject, []).append(at)
