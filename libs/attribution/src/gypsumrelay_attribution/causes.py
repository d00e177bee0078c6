"""The contents and parts that explain a set of crashes.

Each crash has one cause: a content, or a part that several contents share. The
causes are chosen greedily, the most plausible one first; the crashes that it
explains do not count against any other.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from gypsumrelay_attribution.history import (
        AttributionLimits,
        Content,
        Crash,
    )

# Start of a run that there never was.
NEVER: Final = float('-inf')


@attrs.frozen
class Cause:
    """A content or part that crashes upstreams.

    Attributes:
        subject: Digest of the content or part.
        is_part: Whether it is a part of prompts.
        crash_count: Number of crashes that it explains.
        trial_at: Instant from which one request with it may run again.
    """

    subject: bytes
    is_part: bool
    crash_count: int
    trial_at: float


@attrs.define
class Suspect:
    """A content or part that may explain crashes.

    Attributes:
        subject: Digest of the content or part.
        is_known: Whether an upstream has completed a request with it.
        depth: Position of a part in its prompts; 0 for a content.
        crashes: Crashes at which it was started, and not completed since.
        digests: Digests of the contents with it that were started then.
    """

    subject: bytes
    is_known: bool
    depth: int = 0
    crashes: list[Crash] = attrs.field(factory=list)
    digests: set[bytes] = attrs.field(factory=set)

    @property
    def is_part(self) -> bool:
        """Return whether this is a part, not a content."""
        return self.subject not in self.digests

    def rank(self) -> tuple[bool, int, int, int]:
        """Return the sort key of the plausibility; the highest is chosen."""
        return (
            not self.is_known,
            len(self.crashes),
            len(self.digests),
            self.depth,
        )


def find_causes(
    crashes: Iterable[Crash],
    completed: Mapping[bytes, float],
    limits: AttributionLimits,
) -> dict[bytes, Cause]:
    """Return the causes of crashes, by subject.

    Args:
        crashes: The crashes.
        completed: Start of the newest completed run, by subject.
        limits: Numbers of crashes from which on they are attributed.
    """
    remaining = list(crashes)
    causes: dict[bytes, Cause] = {}
    while True:
        suspects = [
            suspect
            for suspect in _suspects(remaining, completed, limits.crashes)
            if has_enough_crashes(suspect, limits)
        ]
        if not suspects:
            return causes
        chosen = _most_specific(max(suspects, key=Suspect.rank), suspects)
        causes[chosen.subject] = _cause(chosen, limits)
        remaining = [
            crash for crash in remaining if crash not in chosen.crashes
        ]


def has_enough_crashes(suspect: Suspect, limits: AttributionLimits) -> bool:
    """Return whether crashes are attributed to a suspect.

    A part that only one content has is not distinguished from that content.
    One that an upstream has completed before needs crashes at more instants,
    since many upstreams may fail together for another reason.
    """
    if suspect.is_part and len(suspect.digests) == 1:
        return False
    if suspect.is_known:
        instants = _count_instants(suspect.crashes, limits.instant_seconds)
        return instants >= limits.crashes_of_known
    return len(suspect.crashes) >= limits.crashes


def _most_specific(chosen: Suspect, suspects: list[Suspect]) -> Suspect:
    """Return the narrowest suspect that explains the same crashes.

    A part that starts many prompts is at all crashes of a part that few of
    them have. It is not the cause as long as the narrower one explains as
    much.
    """
    narrower = [
        suspect
        for suspect in suspects
        if suspect.is_known == chosen.is_known
        and len(suspect.crashes) == len(chosen.crashes)
        and suspect.is_part
        and suspect.digests < chosen.digests
    ]
    if not narrower:
        return chosen
    return _most_specific(max(narrower, key=Suspect.rank), suspects)


def _suspects(
    crashes: list[Crash],
    completed: Mapping[bytes, float],
    least: int,
) -> list[Suspect]:
    """Return what was started at a number of crashes, and not completed since.

    Args:
        crashes: The crashes.
        completed: Start of the newest completed run, by subject.
        least: Number of crashes below which nothing is a suspect.
    """
    frequent = _frequent_subjects(crashes, least)
    suspects: dict[bytes, Suspect] = {}
    for crash in crashes if frequent else ():
        for content in crash.candidates:
            for subject in frequent.intersection(content.subjects):
                if completed.get(subject, NEVER) <= crash.at:
                    suspect = suspects.setdefault(
                        subject, Suspect(subject, subject in completed)
                    )
                    _add_crash(suspect, crash, content)
    return list(suspects.values())


def _frequent_subjects(crashes: list[Crash], least: int) -> set[bytes]:
    """Return the subjects at a number of crashes; most are at one only."""
    counts: Counter[bytes] = Counter()
    for crash in crashes:
        counts.update(
            {
                subject
                for content in crash.candidates
                for subject in content.subjects
            }
        )
    return {subject for subject, count in counts.items() if count >= least}


def _add_crash(suspect: Suspect, crash: Crash, content: Content) -> None:
    depth = content.subjects.index(suspect.subject)
    suspect.depth = max(suspect.depth, depth)
    suspect.digests.add(content.digest)
    if not suspect.crashes or suspect.crashes[-1] is not crash:
        suspect.crashes.append(crash)


def _count_instants(crashes: list[Crash], apart: float) -> int:
    count = 0
    last = float('-inf')
    for at in sorted(crash.at for crash in crashes):
        if at - last >= apart:
            count += 1
            last = at
    return count


def _cause(suspect: Suspect, limits: AttributionLimits) -> Cause:
    count = len(suspect.crashes)
    needed = limits.crashes_of_known if suspect.is_known else limits.crashes
    doublings = min(max(0, count - needed), limits.max_doublings)
    last_at = max(crash.at for crash in suspect.crashes)
    trial_at = last_at + limits.trial_seconds * (1 << doublings)
    return Cause(suspect.subject, suspect.is_part, count, trial_at)
