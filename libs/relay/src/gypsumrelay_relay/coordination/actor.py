"""Actor that owns the state of this relay's coordinator."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, Final

import gypsumrelay_dispatch as dispatch
import pykka
from gypsumrelay_attribution import Cause, Crash, refresh_causes, take_changed
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import Rejection
from gypsumrelay_dispatch.explaining import explain
from gypsumrelay_rollouts import apply_orders
from gypsumrelay_wire import to_retry_ms
from logbook import Logger

from gypsumrelay_relay.capacity.events import transfer_event
from gypsumrelay_relay.coordination import messages
from gypsumrelay_relay.crash_reports import (
    crash_event,
    report_causes,
)
from gypsumrelay_relay.digests import short_digest
from gypsumrelay_relay.events.state import report
from gypsumrelay_relay.events.upstreams import PlacementRejected
from gypsumrelay_relay.performance.events import report_limits
from gypsumrelay_relay.performance.messages import (
    MeasurementsReported,
    apply_measurements,
)
from gypsumrelay_relay.rollouts import (
    ROLLOUT_UPDATES,
    TakeRolloutWork,
    apply_rollout_message,
    take_rollout_work,
)
from gypsumrelay_relay.store_epoch import epoch_of, offset_of
from gypsumrelay_relay.stream_messages import (
    SavedStartsLost,
    SavedStartsRead,
    SavedStartsUnavailable,
    StreamsReported,
    apply_saved_starts,
    apply_streams_report,
)

if TYPE_CHECKING:
    from gypsumrelay_dispatch import (
        Decision,
        SchedulerState,
    )

    from gypsumrelay_relay.stream_messages import StartKeeper
    from gypsumrelay_relay.topics import OperatorState

log = Logger('coordinator')

MS_PER_SECOND: Final = 1000

Deliver = Callable[['Decision'], None]
# Reports a crash to a relay, or to all relays if the name is empty.
Publish = Callable[[Crash, str], None]


# Observes the coordinator's state at an instant, for metrics.
Observe = Callable[['SchedulerState', float], None]


def publish_nothing(crash: Crash, relay: str) -> None:
    """Report nothing; the default without other relays."""


def observe_nothing(scheduler: SchedulerState, now: float) -> None:
    """Set no metrics."""


class Coordinator(pykka.ThreadingActor):
    """Applies messages to the coordinator's state and delivers the answers."""

    use_daemon_thread = True

    def __init__(
        self,
        scheduler: SchedulerState,
        deliver: Deliver,
        publish: Publish = publish_nothing,
        start_keeper: StartKeeper | None = None,
        observe: Observe = observe_nothing,
    ) -> None:
        """Set the state, the callbacks, and where starts are kept."""
        super().__init__()
        self.scheduler = scheduler
        self.deliver = deliver
        self.publish = publish
        self.logged_causes: dict[bytes, Cause] = {}
        self.start_keeper = start_keeper
        self.observe = observe

    def on_receive(self, message: Any) -> Any:
        """Handle one message."""
        now = monotonic()
        if isinstance(message, messages.GetFigures):
            return _figures(self.scheduler, now)
        if isinstance(message, messages.GetLimits):
            return dispatch.limits_in_force(self.scheduler)
        if isinstance(message, messages.ExplainPlacement):
            return explain(self.scheduler, message.request, now)
        if isinstance(message, messages.PlanPhaseChange):
            return dispatch.plan_phase_change(self.scheduler, now)
        if isinstance(message, TakeRolloutWork):
            return take_rollout_work(self.scheduler.rollouts)
        try:
            decisions = list(self._apply(message, now))
        except Exception:
            # An error in one message must not stop the coordinator for all
            # relays.
            log.exception(
                'Handling of coordinator message {} failed.',
                type(message).__name__,
            )
            if not isinstance(message, messages.PlacementRequested):
                return None
            decisions = [
                dispatch.reject_failed(self.scheduler, message.request)
            ]
        self._keep_starts()
        for decision in decisions:
            if isinstance(decision, Rejection):
                report(log, _rejection_event(decision, now))
            self.deliver(decision)
        if isinstance(message, messages.Tick):
            self._publish_crashes(now)
            report_limits(log, dispatch.take_limit_changes(self.scheduler))
            self.observe(self.scheduler, now)
            self._log_transfers(now)
        if isinstance(message, messages.ReportCompleted):
            # A relay that started later knows no earlier crash.
            for crash in self.scheduler.crash_history.crashes:
                self.publish(crash, message.entry)
        return None

    def _keep_starts(self) -> None:
        """Save new starts of streams, and read those that requests need."""
        keeper = self.start_keeper
        if keeper is None:
            return
        unsaved = dispatch.take_unsaved(self.scheduler.stream_starts)
        if unsaved:
            keeper.save(unsaved)
        if self.scheduler.unbound:
            keeper.request_read()

    def _publish_crashes(self, now: float) -> None:
        """Report the crashes since the last tick to all relays."""
        history = self.scheduler.crash_history
        for crash in take_changed(history):
            report(log, crash_event(crash, now))
            self.publish(crash, '')
        limits = dispatch.attribution_limits(self.scheduler.settings)
        refresh_causes(history, limits, now)
        self.logged_causes = report_causes(
            log, self.logged_causes, history.causes
        )

    def _log_transfers(self, now: float) -> None:
        """Log which links and upstreams have become slow or normal."""
        for change in dispatch.refresh_slow(self.scheduler.transfers, now):
            report(log, transfer_event(change))

    def _apply(self, message: Any, now: float) -> Iterable[Decision]:
        scheduler = self.scheduler
        match message:
            case messages.PlacementRequested(request):
                return dispatch.request_placement(scheduler, request, now)
            case (
                messages.PrefillEnded()
                | messages.PlacementEnded()
                | messages.RateLimitEndReported()
            ):
                return _apply_result(scheduler, message, now)
            case messages.ReportCompleted(entry, live):
                return dispatch.complete_report(scheduler, entry, live, now)
            case messages.RelayUnreachable(entry):
                return dispatch.remove_instance(scheduler, entry, now)
            case _ if isinstance(message, messages.REPORTS):
                # A report frees no capacity, so that the queue is not served.
                _apply_report(scheduler, message, now)
                return []
            case _:
                _apply_update(scheduler, message, now)
        return dispatch.tick(scheduler, now)


def _apply_result(
    scheduler: SchedulerState,
    message: messages.PrefillEnded
    | messages.PlacementEnded
    | messages.RateLimitEndReported,
    now: float,
) -> list[Decision]:
    match message:
        case messages.PrefillEnded(key, ending):
            return dispatch.end_prefill(scheduler, key, ending, now)
        case messages.PlacementEnded(key, ending, began, events, stream_ms):
            return dispatch.end_attempt(
                scheduler,
                key,
                ending,
                now,
                began=began,
                pace=dispatch.StreamPace(events, stream_ms),
                transfer_ms=message.transfer_ms,
            )
        case messages.RateLimitEndReported(upstream, key):
            return dispatch.end_rate_limit(scheduler, upstream, key, now)


def _apply_report(
    scheduler: SchedulerState,
    message: Any,
    now: float,
) -> None:
    match message:
        case messages.PlacementReported(placement):
            dispatch.restore_placement(scheduler, placement)
        case messages.RetriesReported(service, count, total):
            dispatch.restore_retries(scheduler, service, count, total, now)
        case messages.SendsReported(upstream, sent_at):
            dispatch.restore_sends(scheduler, upstream, sent_at, now)
        case messages.ChargesReported(client_account, charges):
            dispatch.restore_charges(scheduler, client_account, charges, now)
        case (
            messages.QuarantineReported()
            | messages.CrashReported()
            | messages.CompletionsReported()
        ):
            _apply_crash_report(scheduler, message, now)
        case StreamsReported() | MeasurementsReported():
            _apply_learned(scheduler, message)
        case (
            messages.RateLimitReported()
            | messages.LeavingReported()
            | messages.PauseReported()
        ):
            _apply_statement(scheduler, message, now)


def _apply_learned(
    scheduler: SchedulerState, message: StreamsReported | MeasurementsReported
) -> None:
    match message:
        case StreamsReported():
            apply_streams_report(scheduler, message)
        case MeasurementsReported():
            apply_measurements(scheduler, message)


def _apply_statement(
    scheduler: SchedulerState,
    message: messages.RateLimitReported
    | messages.LeavingReported
    | messages.PauseReported,
    now: float,
) -> None:
    match message:
        case messages.LeavingReported(upstream, started_ms):
            dispatch.apply_departure(scheduler, upstream, started_ms)
        case messages.PauseReported(entry, upstream, started_ms, until):
            pause = dispatch.Pause(until, started_ms)
            dispatch.apply_pause(scheduler, entry, upstream, pause)
        case messages.RateLimitReported(upstream, per_second, is_new):
            apply_limit = (
                dispatch.apply_rate_limit
                if is_new
                else dispatch.restore_rate_limit
            )
            apply_limit(scheduler, upstream, per_second, now)


def _apply_crash_report(
    scheduler: SchedulerState,
    message: messages.QuarantineReported
    | messages.CrashReported
    | messages.CompletionsReported,
    now: float,
) -> None:
    match message:
        case messages.QuarantineReported(digest, since):
            dispatch.restore_quarantine(scheduler, digest, since, now)
        case messages.CrashReported(crash):
            dispatch.restore_crash(scheduler, crash)
        case messages.CompletionsReported(started_at):
            for subject, at in started_at.items():
                dispatch.restore_completed(scheduler, subject, at)


def _apply_update(scheduler: SchedulerState, message: Any, now: float) -> None:
    match message:
        case SavedStartsRead() | SavedStartsUnavailable() | SavedStartsLost():
            apply_saved_starts(scheduler, message, now)
        case _ if isinstance(message, ROLLOUT_UPDATES):
            apply_rollout_message(scheduler.rollouts, message, now)
        case messages.ConfigurationChanged(state):
            _apply_operator_state(scheduler, state, now)
        case messages.PhaseChangeSent(change):
            dispatch.record_phase_change(scheduler, change, now)
        case messages.SettingsChanged(settings):
            scheduler.settings = settings
        case messages.ListRead() | messages.ListMissed():
            _apply_list_age(scheduler, message)
        case messages.UpstreamsChanged(upstreams, position, store_recovered):
            scheduler.list_position = position
            dispatch.apply_upstreams(
                scheduler, upstreams, now, store_recovered=store_recovered
            )


def _apply_list_age(
    scheduler: SchedulerState, message: messages.ListRead | messages.ListMissed
) -> None:
    match message:
        case messages.ListRead(usable_until, versions_known):
            scheduler.list_expires_at = usable_until
            scheduler.versions_known = versions_known
        case messages.ListMissed():
            scheduler.versions_known = False


def _apply_operator_state(
    scheduler: SchedulerState, state: OperatorState, now: float
) -> None:
    configuration = state.configuration
    scheduler.evacuated = state.evacuated
    apply_orders(scheduler.rollouts, state.rollouts, now)
    dispatch.apply_configuration(
        scheduler,
        configuration.services.values(),
        configuration.account_limits,
        now,
    )


def _rejection_event(decision: Rejection, now: float) -> PlacementRejected:
    request, details = decision.request, decision.details
    return PlacementRejected(
        request.request_id,
        request.attempt,
        request.entry,
        request.service,
        request.client_account,
        decision.failure.code,
        decision.failure.sentence,
        details.waiting,
        int(details.grant_interval_seconds * MS_PER_SECOND),
        int(details.tokens_left),
        to_retry_ms(decision.failure.retry_at, now),
        epoch_of(details.list_position),
        offset_of(details.list_position),
        details.rejections,
    )


def _figures(scheduler: SchedulerState, now: float) -> dict[str, Any]:
    return {
        'competition': dispatch.fairness_figures(scheduler, now),
        'rate_limits': {
            name: limit.per_second
            for name, limit in scheduler.rate_limits.items()
        },
        'quarantined': sorted(
            short_digest(subject) for subject in scheduler.crash_history.causes
        ),
        'known_streams': len(scheduler.stream_starts.versions),
        'limits': dispatch.limits_in_force(scheduler),
        'known_transfers': len(scheduler.transfers.estimates),
        'slow_transfers': {
            ' '.join(subject): int(delay_ms)
            for subject, delay_ms in scheduler.transfers.slow.items()
        },
        'waiting': len(scheduler.queue),
        'places': len(scheduler.placements),
        'upstreams': {
            name: {
                'service': load.upstream.service,
                'phase': load.upstream.phase.value,
                'running': len(load.running),
                'backlog_ms': int(load.backlog_ms),
                'slowness': round(load.slowness, 2),
                'success': round(load.success, 2),
                'leaving': load.upstream.leaving,
            }
            for name, load in scheduler.loads.items()
        },
    }
