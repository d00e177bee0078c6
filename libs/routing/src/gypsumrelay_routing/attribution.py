"""Attribution of upstream crashes to the requests that cause them."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from typing import Final

import attrs
from gypsumrelay_errors import Outcome, RequestBlamed

# A single crash may be a coincidence. Two crashes, at least one of them while
# the request ran alone, are attributed to the request.
_CRASHES_TO_REJECT: Final = 2


class Evidence(enum.IntEnum):
    """How strongly a crash implicates a request digest.

    The larger value wins when evidence is merged. A request either ran
    `together` with others or `alone` when the upstream crashed, or a later
    success `cleared` the crash.
    """

    together = 1
    alone = 2
    cleared = 3


class Verdict(enum.Enum):
    """Whether a request runs beside others or alone, or has to wait."""

    together = 'together'
    alone = 'alone'
    wait = 'wait'


@attrs.frozen
class CrashAttributionSettings:
    """Settings of the crash attribution.

    Attributes:
        retention_seconds: Retention of a digest after its last crash.
        trial_seconds: Time after which a trial without a result expires.
        max_digests: Maximum number of digests that are stored.
        max_crashes: Maximum number of crashes stored per digest.
    """

    retention_seconds: float = 900
    trial_seconds: float = 60
    max_digests: int = 4096
    max_crashes: int = 8


@attrs.frozen
class CrashRecord:
    """Crashes of one digest, as one process reports them to another.

    Attributes:
        digest: Digest of the request.
        crashes: Name of each crash and the value of its `Evidence`.
        remaining_seconds: Time until the record expires.
    """

    digest: bytes
    crashes: tuple[tuple[str, int], ...]
    remaining_seconds: float


@attrs.define
class CrashHistory:
    """The crashes during which requests with one digest ran.

    Attributes:
        expires_at: Time at which the crashes expire.
        crashes: Evidence by name of the crash.
    """

    expires_at: float
    crashes: dict[str, Evidence] = attrs.field(factory=dict)

    @property
    def uncleared(self) -> list[Evidence]:
        """Return the evidence that was not cleared by a success."""
        return [
            evidence
            for evidence in self.crashes.values()
            if evidence != Evidence.cleared
        ]

    @property
    def blamed(self) -> bool:
        """Return whether the crashes are attributed to this digest."""
        uncleared = self.uncleared
        has_enough_crashes = len(uncleared) >= _CRASHES_TO_REJECT
        return has_enough_crashes and Evidence.alone in uncleared

    def add_evidence(self, crash: str, evidence: Evidence, limit: int) -> None:
        """Add evidence of a crash; adding the same evidence is idempotent.

        Args:
            crash: Name of the crash.
            evidence: Whether the request ran alone during the crash.
            limit: Maximum number of crashes to store.
        """
        existing = self.crashes.get(crash, evidence)
        self.crashes[crash] = max(existing, evidence)
        while len(self.crashes) > limit:
            self.crashes.pop(min(self.crashes, key=self._eviction_rank))

    def _eviction_rank(self, crash: str) -> int:
        # A rejection needs a crash during which the request ran alone, so
        # such a crash is evicted last and a cleared one first.
        return self.crashes[crash] % Evidence.cleared


@attrs.define
class CrashAttribution:
    """Crash history by request digest.

    A request that ran when an upstream crashed is a suspect. It runs alone
    on an upstream, as a trial, until it succeeds. A digest with two
    crashes, at least one of them while it ran alone, is rejected. Evidence
    is stored by the name of the crash, so that reports of several processes
    merge in any order and a repeated report counts once.

    Attributes:
        settings: Settings of the crash attribution.
        histories: Crashes by digest, the least recently changed first.
        trials: Time at which each running trial expires, by digest.
    """

    settings: CrashAttributionSettings = attrs.field(
        factory=CrashAttributionSettings
    )
    histories: dict[bytes, CrashHistory] = attrs.field(factory=dict)
    trials: dict[bytes, float] = attrs.field(factory=dict)

    def verdict(self, digest: bytes, now: float) -> Verdict | RequestBlamed:
        """Return how a request may run now, or its rejection.

        The outcome `not_run` of the rejection describes this attempt only.
        A caller must report another outcome if an earlier attempt of the
        same request may have run.
        """
        history = self._unexpired(digest, now)
        if history is None or not history.uncleared:
            return Verdict.together
        if history.blamed:
            sentence = 'The same request crashed upstreams and is not run.'
            return RequestBlamed(
                sentence,
                Outcome.not_run,
                history.expires_at,
            )
        if self.trials.get(digest, now) > now:
            return Verdict.wait
        return Verdict.alone

    def start_trial(self, digest: bytes, now: float) -> None:
        """Record that a suspect runs alone; further copies have to wait."""
        self.trials[digest] = now + self.settings.trial_seconds
        while len(self.trials) > self.settings.max_digests:
            self.trials.pop(next(iter(self.trials)))

    def end_trial(self, digest: bytes) -> None:
        """Remove a trial, also one without a result after a cancellation."""
        self.trials.pop(digest, None)

    def record_crash(
        self,
        crash: str,
        running: Iterable[bytes],
        now: float,
    ) -> None:
        """Record the crash of an upstream and the requests that it ran.

        Args:
            crash: Name of the crash, composed of upstream and incarnation,
                so that all processes use the same one.
            running: Digests of the running requests; several copies count
                as one.
            now: The current time.
        """
        digests = tuple(dict.fromkeys(running))
        alone = len(digests) == 1
        evidence = Evidence.alone if alone else Evidence.together
        expires_at = now + self.settings.retention_seconds
        if alone:
            # A trial runs alone, so a crash with several digests is not the
            # end of a trial of one of them.
            self.end_trial(digests[0])
        for digest in digests:
            self._add_evidence(digest, {crash: evidence}, expires_at, now)

    def record_success(self, digest: bytes, now: float) -> None:
        """Clear the evidence against a digest after a completed run."""
        self.end_trial(digest)
        history = self._unexpired(digest, now)
        if history is not None:
            for crash in history.crashes:
                history.crashes[crash] = Evidence.cleared

    def records(
        self,
        digests: Iterable[bytes],
        now: float,
    ) -> tuple[CrashRecord, ...]:
        """Return the stored crashes of digests, to send to another process."""
        histories = (
            (digest, self._unexpired(digest, now)) for digest in digests
        )
        return tuple(
            CrashRecord(
                digest,
                tuple(
                    (crash, int(evidence))
                    for crash, evidence in history.crashes.items()
                ),
                history.expires_at - now,
            )
            for digest, history in histories
            if history is not None
        )

    def merge(self, records: Iterable[CrashRecord], now: float) -> None:
        """Merge the records of another process."""
        for record in records:
            remaining = min(
                record.remaining_seconds,
                self.settings.retention_seconds,
            )
            crashes = {
                crash: Evidence(evidence) for crash, evidence in record.crashes
            }
            self._add_evidence(record.digest, crashes, now + remaining, now)

    def expire(self, now: float) -> None:
        """Remove expired crash histories and trials."""
        for digest in list(self.histories):
            self._unexpired(digest, now)
        ended = [name for name, end in self.trials.items() if end <= now]
        for trial in ended:
            self.end_trial(trial)

    def _unexpired(self, digest: bytes, now: float) -> CrashHistory | None:
        history = self.histories.get(digest)
        if history is not None and history.expires_at <= now:
            self.histories.pop(digest)
            return None
        return history

    def _add_evidence(
        self,
        digest: bytes,
        crashes: dict[str, Evidence],
        expires_at: float,
        now: float,
    ) -> None:
        history = self._unexpired(digest, now) or CrashHistory(expires_at)
        history.expires_at = max(history.expires_at, expires_at)
        for crash, evidence in crashes.items():
            history.add_evidence(crash, evidence, self.settings.max_crashes)
        # Reinsertion keeps the digests ordered by their last change, so that
        # the first one can be evicted.
        self.histories.pop(digest, None)
        self.histories[digest] = history
        if len(self.histories) > self.settings.max_digests:
            self.histories.pop(next(iter(self.histories)))
