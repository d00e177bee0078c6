"""Crashes that a relay knows of, reported to a new coordinator."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

import attrs
from gypsumrelay_attribution import (
    Crash,
    CrashHistory,
    Loss,
    completions_of_suspects,
    merge_crash,
    record_completion,
    record_crash,
)
from gypsumrelay_dispatch import (
    Ending,
    content_of,
    is_completion,
)

from gypsumrelay_relay.coordination.messages import (
    CompletionsReported,
    CrashReported,
)
from gypsumrelay_relay.crash_reports import crash_from_wire

if TYPE_CHECKING:
    from gypsumrelay_settings import DispatchSettings
    from gypsumrelay_wire import UpstreamCrashed

    from gypsumrelay_relay.placement import Placement


@attrs.define(eq=False)
class KnownCrashes:
    """Crashes and completed runs that this relay observed or was told of.

    A coordinator may die before it has reported a crash, so that each relay
    also records those that it observes itself.

    Attributes:
        history: The crashes and the completed runs of this relay.
    """

    history: CrashHistory = attrs.field(factory=CrashHistory)

    def record_end(
        self, placement: Placement, ending: Ending, now: float, *, began: bool
    ) -> None:
        """Record the end of an attempt of this relay."""
        content = content_of(placement.request)
        if is_completion(placement.request, ending, began=began):
            record_completion(self.history, content, placement.granted_at)
        if ending is Ending.crashed:
            started_at = placement.granted_at
            loss = Loss(placement.upstream, content, began, started_at, now)
            record_crash(self.history, loss)

    def merge(self, message: UpstreamCrashed, now: float) -> None:
        """Merge a crash that the coordinator reports."""
        crash = crash_from_wire(message, now)
        merge_crash(self.history, crash)

    def reports(
        self, settings: DispatchSettings, now: float
    ) -> Iterator[CrashReported | CompletionsReported]:
        """Yield what a new coordinator is told."""
        oldest = now - settings.blame_seconds
        completed = completions_of_suspects(self.history)
        if completed:
            yield CompletionsReported(completed)
        for crash in self.history.crashes:
            if crash.at > oldest:
                yield CrashReported(_copy(crash))


def _copy(crash: Crash) -> Crash:
    """Return a copy for the coordinator, which runs in another thread."""
    return attrs.evolve(
        crash, started=dict(crash.started), answered=dict(crash.answered)
    )
