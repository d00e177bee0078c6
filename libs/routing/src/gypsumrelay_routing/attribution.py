"""Attribution of upstream crashes to the requests that cause them."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from typing import Final

import attrs
from gypsumrelay_errors import Outcome, RequestBlamed

# One crash may be a coincidence; a second one that a request runs into
# alone is taken for its doing.
_CRASHES_TO_BLAME: Final = 2


class Evidence(enum.IntEnum):
    """What a crash says about a digest; merging keeps the larger."""

    together = 1
    alone = 2
    cleared = 3


class Verdict(enum.Enum):
    """How a request may run."""

    together = 'together'
    alone = 'alone'
    wait = 'wait'


@attrs.frozen
class BlameSettings:
    """Settings of the attribution.

    Attributes:
        forget_seconds: Time after the last crash for which it is kept.
        trial_seconds: Time after which a trial without a result is over.
        max_digests: Digests that are kept.
        max_crashes: Crashes kept per digest, newest last.
    """

    forget_seconds: float = 900
    trial_seconds: float = 60
    max_digests: int = 4096
    max_crashes: int = 8


@attrs.frozen
class BlameRecord:
    """What one process passes on to another about a digest."""

    digest: bytes
    crashes: tuple[tuple[str, int], ...]
    remaining_seconds: float


@attrs.define
class Suspicion:
    """The crashes that a digest was part of."""

    forget_at: float
    crashes: dict[str, Evidence] = attrs.field(factory=dict)

    @property
    def standing(self) -> list[Evidence]:
        """Return the evidence that no success has cleared."""
        return [
            evidence
            for evidence in self.crashes.values()
            if evidence != Evidence.cleared
        ]

    @property
    def blamed(self) -> bool:
        """Return whether the crashes are this digest's doing."""
        standing = self.standing
        enough = len(standing) >= _CRASHES_TO_BLAME
        return enough and Evidence.alone in standing

    def learn(self, crash: str, evidence: Evidence, limit: int) -> None:
        """Add evidence; a repeat of known evidence changes nothing."""
        known = self.crashes.get(crash, evidence)
        self.crashes[crash] = max(known, evidence)
        while len(self.crashes) > limit:
            self.crashes.pop(min(self.crashes, key=self._usefulness))

    def _usefulness(self, crash: str) -> int:
        # A crash alone is what a rejection rests on.
        return self.crashes[crash] % Evidence.cleared


@attrs.define
class Blame:
    """Suspicions by request digest.

    A request that ran when an upstream crashed is a suspect and runs alone
    until it succeeds. A digest with two crashes, at least one of them
    alone, is rejected. The evidence of each crash has the crash's name, so
    that reports from several processes merge in any order and a repeated
    report counts once.
    """

    settings: BlameSettings = attrs.field(factory=BlameSettings)
    suspicions: dict[bytes, Suspicion] = attrs.field(factory=dict)
    trials: dict[bytes, float] = attrs.field(factory=dict)

    def verdict(self, digest: bytes, now: float) -> Verdict | RequestBlamed:
        """Return how a request may run now.

        The rejection's `not_run` is about this run; a caller whose earlier
        attempts of the same request ran has to say so instead.
        """
        suspicion = self._current(digest, now)
        if suspicion is None or not suspicion.standing:
            return Verdict.together
        if suspicion.blamed:
            sentence = 'The same request crashed upstreams and is not run.'
            return RequestBlamed(
                sentence,
                Outcome.not_run,
                suspicion.forget_at,
            )
        if self.trials.get(digest, now) > now:
            return Verdict.wait
        return Verdict.alone

    def start_trial(self, digest: bytes, now: float) -> None:
        """Note that a suspect starts alone; further copies have to wait."""
        self.trials[digest] = now + self.settings.trial_seconds
        while len(self.trials) > self.settings.max_digests:
            self.trials.pop(next(iter(self.trials)))

    def end_trial(self, digest: bytes) -> None:
        """Note that a trial ended without a result, as by cancellation."""
        self.trials.pop(digest, None)

    def crashed(
        self,
        crash: str,
        running: Iterable[bytes],
        now: float,
    ) -> None:
        """Record an upstream's crash with the requests that it ran.

        Args:
            crash: Name of the crash, the same at every process: upstream
                and incarnation.
            running: Digests of the requests; several copies count as one.
            now: The current instant.
        """
        digests = tuple(dict.fromkeys(running))
        alone = len(digests) == 1
        evidence = Evidence.alone if alone else Evidence.together
        forget_at = now + self.settings.forget_seconds
        if alone:
            # A crash in company is not the trial's: that one still runs.
            self.end_trial(digests[0])
        for digest in digests:
            self._learn(digest, {crash: evidence}, forget_at, now)

    def succeeded(self, digest: bytes, now: float) -> None:
        """Clear a digest that ran to its end."""
        self.end_trial(digest)
        suspicion = self._current(digest, now)
        if suspicion is not None:
            for crash in suspicion.crashes:
                suspicion.crashes[crash] = Evidence.cleared

    def records(
        self,
        digests: Iterable[bytes],
        now: float,
    ) -> tuple[BlameRecord, ...]:
        """Return what is known about some digests, for another process."""
        found = ((digest, self._current(digest, now)) for digest in digests)
        return tuple(
            BlameRecord(
                digest,
                tuple(
                    (crash, int(evidence))
                    for crash, evidence in suspicion.crashes.items()
                ),
                suspicion.forget_at - now,
            )
            for digest, suspicion in found
            if suspicion is not None
        )

    def merge(self, records: Iterable[BlameRecord], now: float) -> None:
        """Take in what another process knows."""
        for record in records:
            remaining = min(
                record.remaining_seconds,
                self.settings.forget_seconds,
            )
            crashes = {
                crash: Evidence(evidence) for crash, evidence in record.crashes
            }
            self._learn(record.digest, crashes, now + remaining, now)

    def expire(self, now: float) -> None:
        """Forget old suspicions and trials."""
        for digest in list(self.suspicions):
            self._current(digest, now)
        ended = [name for name, end in self.trials.items() if end <= now]
        for trial in ended:
            self.end_trial(trial)

    def _current(self, digest: bytes, now: float) -> Suspicion | None:
        suspicion = self.suspicions.get(digest)
        if suspicion is not None and suspicion.forget_at <= now:
            self.suspicions.pop(digest)
            return None
        return suspicion

    def _learn(
        self,
        digest: bytes,
        crashes: dict[str, Evidence],
        forget_at: float,
        now: float,
    ) -> None:
        suspicion = self._current(digest, now) or Suspicion(forget_at)
        suspicion.forget_at = max(suspicion.forget_at, forget_at)
        for crash, evidence in crashes.items():
            suspicion.learn(crash, evidence, self.settings.max_crashes)
        # Inserted again at the end, so that the oldest is first.
        self.suspicions.pop(digest, None)
        self.suspicions[digest] = suspicion
        if len(self.suspicions) > self.settings.max_digests:
            self.suspicions.pop(next(iter(self.suspicions)))
