"""Requests that may have crashed the upstream.

Which digests are rejected is decided at the entry; this side reports what
it saw and says what has to run alone.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs


@attrs.frozen
class SuspectSettings:
    """Bounds of the memory of crashes.

    Attributes:
        max_suspects: Digests remembered; 40 bytes each.
        memory_seconds: Time after its newest crash that a digest is kept.
    """

    max_suspects: int = 1000
    memory_seconds: float = 3600


@attrs.frozen
class Suspect:
    """What is known of a digest.

    Attributes:
        crashes: Crashes while it ran.
        alone_crashes: Crashes while it ran alone.
    """

    digest: bytes
    crashes: int
    alone_crashes: int
    newest_at: float


@attrs.frozen
class CrashFact:
    """One crash as seen by one request, for its entry.

    Attributes:
        crashes: Crashes here while the digest ran, this one included.
        alone_crashes: Those in which nothing else ran.
        beside: Other requests that ran in this crash.
        cold: Whether the engine was cold, so that load may be the cause.
    """

    digest: bytes
    crashes: int
    alone_crashes: int
    beside: int
    cold: bool


@attrs.define
class Suspects:
    """Digests under suspicion, the earliest first.

    Attributes:
        crash_id: Incarnation of the engine that crashed last.
    """

    settings: SuspectSettings = attrs.field(factory=SuspectSettings)
    known: dict[bytes, Suspect] = attrs.field(factory=dict)
    crash_id: str = ''


def observe_crash(
    suspects: Suspects,
    crash_id: str,
    running: Iterable[bytes],
    now: float,
    *,
    cold: bool = False,
) -> list[CrashFact]:
    """Suspect all that ran; a crash that is reported again is ignored.

    Args:
        suspects: The state.
        crash_id: Incarnation of the engine that crashed.
        running: Digest of each run, one for each of them.
        now: The present instant.
        cold: Whether the engine was cold.
    """
    if crash_id == suspects.crash_id:
        return []
    suspects.crash_id = crash_id
    runs = list(running)
    alone = len(runs) == 1
    crashed = [
        _suspect(suspects, digest, now, alone=alone)
        for digest in dict.fromkeys(runs)
    ]
    _keep_bounds(suspects, now)
    beside = len(runs) - 1
    return [_fact(suspect, beside, cold=cold) for suspect in crashed]


def observe_success(suspects: Suspects, digest: bytes) -> bool:
    """Clear a digest that ran to its end; return whether it was known."""
    return suspects.known.pop(digest, None) is not None


def must_run_alone(suspects: Suspects, digest: bytes, now: float) -> bool:
    """Return whether nothing may run beside a request."""
    _keep_bounds(suspects, now)
    return digest in suspects.known


def next_alone(
    suspects: Suspects,
    waiting: Collection[bytes],
    now: float,
) -> bytes | None:
    """Return the digest to run alone next: the earliest that waits."""
    _keep_bounds(suspects, now)
    return next(filter(set(waiting).__contains__, suspects.known), None)


def _suspect(
    suspects: Suspects,
    digest: bytes,
    now: float,
    *,
    alone: bool,
) -> Suspect:
    known = suspects.known.get(digest, Suspect(digest, 0, 0, now))
    suspect = Suspect(
        digest,
        known.crashes + 1,
        known.alone_crashes + int(alone),
        now,
    )
    suspects.known[digest] = suspect
    return suspect


def _keep_bounds(suspects: Suspects, now: float) -> None:
    oldest = now - suspects.settings.memory_seconds
    for digest, suspect in list(suspects.known.items()):
        if suspect.newest_at <= oldest:
            suspects.known.pop(digest)
    excess = len(suspects.known) - suspects.settings.max_suspects
    by_age = sorted(suspects.known.values(), key=_newest_at)
    for dropped in by_age[: max(0, excess)]:
        suspects.known.pop(dropped.digest)


def _newest_at(suspect: Suspect) -> float:
    return suspect.newest_at


def _fact(suspect: Suspect, beside: int, *, cold: bool) -> CrashFact:
    return CrashFact(
        suspect.digest,
        suspect.crashes,
        suspect.alone_crashes,
        beside,
        cold,
    )
