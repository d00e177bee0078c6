"""Client of the coordinator: requests placements here or on another relay."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import (
    Decision,
    Departures,
    Pauses,
    PlacementRequest,
    Rejection,
)
from gypsumrelay_errors import Failure, LinkClosed, RequestQuarantined
from gypsumrelay_settings import DispatchSettings
from gypsumrelay_wire import (
    Endpoint,
    Heartbeat,
    Link,
    Message,
    PlaceGranted,
    PlaceRefused,
    RecordsCopy,
    RecordsRequest,
    UpstreamCrashed,
    UpstreamLeaving,
)
from logbook import Logger

from gypsumrelay_relay.answer_statements import (
    learn_leaving,
    send_departures,
)
from gypsumrelay_relay.coordination import messages
from gypsumrelay_relay.coordination.conversion import from_wire, to_wire
from gypsumrelay_relay.coordination.links import (
    awaits_others,
    complete_report,
    link_heartbeat,
    open_link,
    report_state,
)
from gypsumrelay_relay.crash_reports import crash_to_wire
from gypsumrelay_relay.events import state as state_events
from gypsumrelay_relay.known_crashes import KnownCrashes
from gypsumrelay_relay.membership import (
    Members,
    coordinator,
    is_heard,
    mark_unreachable,
    note_followed,
)
from gypsumrelay_relay.operator_records import OperatorRecords
from gypsumrelay_relay.pending_requests import (
    Answer,
    PendingRequest,
    return_unusable,
)
from gypsumrelay_relay.performance.history import PerformanceHistory
from gypsumrelay_relay.placement import (
    Placement,
    answer_from_message,
    answer_message,
    granted_placement,
)
from gypsumrelay_relay.quarantine import Quarantine, record_rejection
from gypsumrelay_relay.records_exchange import exchange_records
from gypsumrelay_relay.stated_limits import StatedLimits
from gypsumrelay_relay.stream_history import StreamHistory
from gypsumrelay_relay.usage_history import (
    UsageHistory,
    drop_old_uses,
    record_use,
)

if TYPE_CHECKING:
    import pykka
    from gypsumrelay_attribution import Crash

log = Logger('coordination')


def do_nothing() -> None:
    """Do nothing; the default callback until the parts are started."""


@attrs.define(eq=False)
class Coordination:
    """This relay's connection to the coordinator of the fleet.

    All attributes that change are guarded by `lock`.

    Attributes:
        name: Name of this relay.
        members: The other relays.
        operator_records: The operator configuration.
        actor: This relay's own coordinator, used while this relay coordinates.
        endpoint: Identity and shared secret for links.
        link_port: TCP port for links, the same on all relays.
        pending: Placement requests without an answer, by request id and
            attempt.
        active: Granted placements in use, by request id and attempt.
        uses: Use of limits that was granted to this relay recently.
        quarantine: Contents that were rejected for their crashes.
        known_crashes: Crashes of upstreams that this relay knows of.
        stated_limits: Rate limits of upstreams that this relay knows.
        departures: Upstreams that stated to this relay that they are leaving.
        pauses: Pauses that upstreams asked this relay for.
        streams: Streams that began at this relay recently.
        measured: Performance of upstreams that this relay measured.
        settings: Policy of the coordinator, with the window of the retry
            budget.
        leader: Name of the current coordinator; empty if there is none.
        leader_id: Name and incarnation of the last coordinator.
        link: Link to the coordinator; None if this relay coordinates.
        incoming: Links that other relays opened to this one, by relay.
        records_due_at: Instant from which operator records may be requested
            again.
        on_elected: Called when this relay becomes the coordinator.
        changed: Set when the choice of the coordinator has to be checked.
        stopped: Ends the thread that follows the coordinator.
        on_coordinated: Called when the coordinator is known.
        on_granted: Called with each placement that is granted to this relay.
        announce: Sends a heartbeat at once.
    """

    name: str
    members: Members
    operator_records: OperatorRecords
    link_port: int
    lock: threading.RLock = attrs.field(factory=threading.RLock)
    actor: pykka.ActorRef[Any] = attrs.field(init=False)
    endpoint: Endpoint = attrs.field(init=False)
    pending: dict[tuple[str, int], PendingRequest] = attrs.field(factory=dict)
    active: dict[tuple[str, int], Placement] = attrs.field(factory=dict)
    uses: UsageHistory = attrs.field(factory=UsageHistory)
    quarantine: Quarantine = attrs.field(factory=Quarantine)
    known_crashes: KnownCrashes = attrs.field(factory=KnownCrashes)
    stated_limits: StatedLimits = attrs.field(factory=StatedLimits)
    departures: Departures = attrs.field(factory=dict)
    pauses: Pauses = attrs.field(factory=dict)
    streams: StreamHistory = attrs.field(factory=StreamHistory)
    measured: PerformanceHistory = attrs.field(factory=PerformanceHistory)
    settings: DispatchSettings = attrs.field(factory=DispatchSettings)
    leader: str = ''
    leader_id: str = ''
    link: Link | None = None
    incoming: dict[str, Link] = attrs.field(factory=dict)
    records_due_at: float = 0
    on_elected: Callable[[], None] = do_nothing
    changed: threading.Event = attrs.field(factory=threading.Event)
    stopped: threading.Event = attrs.field(factory=threading.Event)
    on_coordinated: Callable[[], None] = do_nothing
    on_granted: Callable[[], None] = do_nothing
    announce: Callable[[], None] = do_nothing

    def request_placement(self, request: PlacementRequest) -> PendingRequest:
        """Request a placement; the answer is put into the returned queue.

        Without a coordinator the request waits until one is chosen. This
        relay's own coordinator knows neither what other relays' callers have
        used of their contracts nor what runs at the upstreams.
        """
        pending = PendingRequest(request)
        with self.lock:
            self.pending[request.key] = pending
            if self.leader:
                self.tell(messages.PlacementRequested(request))
        return pending

    def deliver_answer(self, decision: Decision) -> None:
        """Send an answer of the own coordinator to the requesting relay."""
        request = decision.request
        if request.entry == self.name:
            answer = (
                decision.failure
                if isinstance(decision, Rejection)
                else granted_placement(decision)
            )
            with self.lock:
                if self.link is None:
                    self._answer(request.key, answer)
            return
        with self.lock:
            link = self.incoming.get(request.entry)
        if link is not None:
            link.send(answer_message(decision, monotonic()))

    def publish_crash(self, crash: Crash, relay: str) -> None:
        """Report a crash that the own coordinator counts.

        Args:
            crash: The crash.
            relay: Name of the relay that it is reported to; empty for all.
        """
        now = monotonic()
        message = crash_to_wire(crash, now)
        with self.lock:
            if self.link is not None:
                return
            self.known_crashes.merge(message, now)
            links = [
                link
                for name, link in self.incoming.items()
                if relay in {'', name}
            ]
        for link in links:
            link.send(message)

    def start(self) -> None:
        """Start the thread that follows the coordinator.

        Opening a link can block for seconds, which must not delay heartbeats.
        """
        threading.Thread(target=self.run, name='leader', daemon=True).start()

    def run(self) -> None:
        """Switch to the new coordinator whenever the membership changes."""
        while not self.stopped.is_set():
            self.changed.wait()
            self.changed.clear()
            while self.switch_coordinator() and not self.stopped.is_set():
                log.debug('Coordinator unreachable; choosing another one.')

    def on_message(self, link: Link, message: Message) -> None:
        """Handle a message from another relay."""
        now = monotonic()
        sender = link.peer.name
        match message:
            case PlaceGranted() | PlaceRefused():
                self._handle_answer(link, message, now)
            case UpstreamCrashed() if link is self.link:
                with self.lock:
                    self.known_crashes.merge(message, now)
            case UpstreamLeaving():
                learn_leaving(self, message, link)
            case Heartbeat(places_told=1):
                complete_report(self, sender, now)
                # A relay that started later got no earlier statement.
                send_departures(self, [link])
            case RecordsRequest() | RecordsCopy():
                exchange_records(self.operator_records, link, message)
            case _:
                local = from_wire(message, sender, now)
                if local is not None:
                    self.actor.tell(local)

    def on_link(self, link: Link) -> None:
        """Accept a link that another relay opened.

        It replaces an older link from the same relay, which may be dead without
        having been closed.
        """
        with self.lock:
            if link.peer.name in self.incoming:
                self.actor.tell(messages.RelayUnreachable(link.peer.name))
            self.incoming[link.peer.name] = link

    def on_close(self, link: Link, reason: Failure) -> None:
        """Handle a closed link, to the coordinator or from another relay."""
        state_events.report(
            log, state_events.LinkClosed(link.peer.name, reason.sentence)
        )
        with self.lock:
            if self.incoming.get(link.peer.name) is link:
                self.incoming.pop(link.peer.name)
                self.actor.tell(messages.RelayUnreachable(link.peer.name))
            if self.link is not link:
                return
            self.leader = ''
            now = monotonic()
            # If the link cannot be opened again, the coordinator counts as
            # unreachable then. Another coordinator beside a sound one would
            # overfill upstreams.
            if not is_heard(self.members, link.peer.name, now):
                mark_unreachable(self.members, link.peer.name, now)
        self.changed.set()

    def send_heartbeats(self) -> None:
        """Send a heartbeat on each link, so that no peer times it out."""
        with self.lock:
            links = [*self.incoming.values(), *filter(None, (self.link,))]
        for link in links:
            link.send(link_heartbeat(self))

    def switch_coordinator(self) -> bool:
        """Switch to the current coordinator.

        Returns:
            True if that coordinator was unreachable, so that another one has to
            be chosen.
        """
        now = monotonic()
        with self.lock:
            chosen = coordinator(self.members, now)
            if chosen.name == self.leader:
                return False
            is_self = chosen.name == self.name
            is_first = not self.leader_id
        if is_first and awaits_others(self, chosen, now):
            return False
        link = None if is_self else open_link(self, chosen.host, chosen.name)
        if link is None and not is_self:
            return True
        with self.lock:
            old = self.link
            self.link = link
            if old is None and link is not None:
                # The new coordinator counts this relay's placements now; this
                # relay's own coordinator must not count them, too.
                self.actor.tell(messages.RelayUnreachable(self.name))
            self.leader = chosen.name
            self.leader_id = f'{chosen.name}/{chosen.incarnation}'
            note_followed(self.members, chosen.name)
            change = state_events.CoordinatorChanged(
                chosen.name,
                chosen.seniority,
                len(self.active),
                len(self.pending),
            )
            state_events.report(log, change)
            self.on_coordinated()
            report_state(self, now)
        self.on_coordinated()
        if is_self or is_first:
            self.announce()
        if is_self:
            self.on_elected()
            with self.lock:
                followers = list(self.incoming.values())
            send_departures(self, followers)
        if old is not None and not old.closed.is_set():
            old.close(LinkClosed('switched to another coordinator'))
        return False

    def tell(self, message: Any) -> None:
        """Tell the coordinator, here or on another relay; needs `lock`."""
        if self.link is None:
            self.actor.tell(message)
        else:
            self.link.send(to_wire(message, monotonic()))

    def _handle_answer(
        self,
        link: Link,
        message: PlaceGranted | PlaceRefused,
        now: float,
    ) -> None:
        key = (message.request_id, message.attempt)
        with self.lock:
            # A grant of an earlier coordinator is counted by no coordinator and
            # must not be used.
            pending = self.pending.get(key) if link is self.link else None
        if pending is not None:
            self._answer(
                key, answer_from_message(message, pending.request, now)
            )

    def _answer(self, key: tuple[str, int], answer: Answer) -> None:
        with self.lock:
            pending = self.pending.get(key)
            if pending is None:
                return
            if return_unusable(self, pending, answer):
                return
            self.pending.pop(key)
            now = monotonic()
            if isinstance(answer, RequestQuarantined):
                seconds = self.settings.blame_seconds
                digest = pending.request.digest
                record_rejection(self.quarantine, digest, seconds, now)
            if isinstance(answer, Placement):
                answer = attrs.evolve(answer, granted_at=now)
                self.on_granted()
                self.active[key] = answer
                for upstream, per_second in answer.rate_limits.items():
                    self.stated_limits.learn(upstream, per_second, now)
                drop_old_uses(self.uses, self.settings, now)
                record_use(self.uses, answer, self.leader_id, now)
        pending.answers.put(answer)
