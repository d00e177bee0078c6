"""Attribution of upstream crashes to the requests that were placed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gypsumrelay_attribution import (
    AttributionLimits,
    Content,
    Loss,
    admit,
    confirm_alive,
    confirm_crash,
    record_completion,
    record_loss,
    start_trial,
)
from gypsumrelay_errors import PartQuarantined, RequestQuarantined

from gypsumrelay_dispatch.models import Ending

if TYPE_CHECKING:
    from gypsumrelay_errors import Failure
    from gypsumrelay_settings import DispatchSettings

    from gypsumrelay_dispatch.loads import ActivePlacement, Load
    from gypsumrelay_dispatch.models import PlacementRequest
    from gypsumrelay_dispatch.scheduler_state import SchedulerState

# Endings that show that the upstream has ended.
ENDED: Final = frozenset((Ending.crashed, Ending.unreached, Ending.misdirected))


def attribution_limits(settings: DispatchSettings) -> AttributionLimits:
    """Return the limits of the attribution in the settings."""
    return AttributionLimits(
        crashes=settings.blame_after,
        crashes_of_known=settings.blame_after_success,
        trial_seconds=settings.blame_trial_seconds,
        retention_seconds=settings.blame_seconds,
    )


def content_of(request: PlacementRequest) -> Content:
    """Return the content of a request."""
    return Content(request.digest, request.parts)


def is_completion(
    request: PlacementRequest, ending: Ending, *, began: bool
) -> bool:
    """Return whether an upstream has run a request to its end.

    An answer to a prompt without an event is an error, for which the upstream
    may not have started the prompt.
    """
    has_run = began or not request.prompt_tokens
    return ending is Ending.answered and has_run and bool(request.digest)


def quarantine_failure(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> Failure | None:
    """Return why a request may not run for the crashes that it causes."""
    history = scheduler.crash_history
    if not history.crashes and not history.rejected:
        return None
    limits = attribution_limits(scheduler.settings)
    admission = admit(history, content_of(request), limits, now)
    retry_at = admission.rejected_until
    if retry_at is None:
        return None
    if admission.is_part:
        sentence = 'upstreams crashed as they started prompts with this part'
        return PartQuarantined(sentence, retry_at=retry_at)
    sentence = 'upstreams broke off while they ran this'
    return RequestQuarantined(sentence, retry_at=retry_at)


def note_placed(
    scheduler: SchedulerState, request: PlacementRequest, now: float
) -> None:
    """Note that a request is placed, which may be a trial."""
    if scheduler.crash_history.causes:
        limits = attribution_limits(scheduler.settings)
        start_trial(scheduler.crash_history, content_of(request), limits, now)


def attribute(
    scheduler: SchedulerState,
    placement: ActivePlacement,
    load: Load,
    ending: Ending,
    now: float,
    *,
    began: bool,
) -> None:
    """Attribute the end of an attempt to its content.

    Args:
        scheduler: The coordinator's state.
        placement: The placement of the attempt.
        load: The upstream that ran it.
        ending: How the attempt ended.
        now: The present instant.
        began: Whether the upstream had sent an event of the answer.
    """
    upstream = load.upstream
    request = placement.request
    if ending is Ending.answered and not placement.is_restored:
        confirm_alive(
            scheduler.losses, placement.upstream, placement.granted_at
        )
        if is_completion(request, ending, began=began):
            record_completion(
                scheduler.crash_history,
                content_of(request),
                placement.granted_at,
            )
    if upstream.leaving or not request.digest:
        # An upstream that leaves ends without a crash.
        return
    if ending in {Ending.lost, Ending.crashed}:
        started_at = placement.granted_at
        record_loss(
            scheduler.losses,
            scheduler.crash_history,
            Loss(upstream.name, content_of(request), began, started_at, now),
            now,
        )
    if ending in ENDED:
        confirm(scheduler, upstream.name, now)


def confirm(scheduler: SchedulerState, upstream: str, now: float) -> None:
    """Attribute the crash of an upstream to what it ran."""
    confirm_crash(scheduler.losses, scheduler.crash_history, upstream, now)
