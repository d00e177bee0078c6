"""Thread-safe attribution of upstream crashes to requests."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure, Overloaded
from gypsumrelay_routing import CrashAttribution, Verdict

if TYPE_CHECKING:
    from gypsumrelay_wire import CrashReport

# A trial of the same request usually has a result within seconds.
TRIAL_RETRY_SECONDS: Final = 2.0


@attrs.define(eq=False)
class CrashTracker:
    """Crash attribution of this entry; safe for use by all threads.

    Attributes:
        attribution: Crash history by request digest.
        lock: Protects `attribution`.
    """

    attribution: CrashAttribution = attrs.field(factory=CrashAttribution)
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def admit(self, digest: bytes) -> bool | Failure:
        """Return whether a request must run alone, or why it is rejected.

        Starts a trial if the request must run alone.
        """
        now = monotonic()
        with self.lock:
            verdict = self.attribution.verdict(digest, now)
            if verdict is Verdict.alone:
                self.attribution.start_trial(digest, now)
        if isinstance(verdict, Failure):
            return verdict
        if verdict is Verdict.wait:
            return Overloaded(
                'another copy of this request is being tried alone',
                retry_at=now + TRIAL_RETRY_SECONDS,
            )
        return verdict is Verdict.alone

    def record_result(self, digest: bytes, *, succeeded: bool) -> None:
        """Record the result of an attempt and end its trial."""
        with self.lock:
            if succeeded:
                self.attribution.record_success(digest, monotonic())
            else:
                self.attribution.end_trial(digest)

    def record_crash(self, report: CrashReport) -> None:
        """Record a crash that an agent reported."""
        with self.lock:
            self.attribution.record_crash(
                report.crash,
                report.digests,
                monotonic(),
            )
