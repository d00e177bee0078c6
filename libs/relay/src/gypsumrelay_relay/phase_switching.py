"""Orders to upstreams to switch phase, from one relay at a time."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import PhaseChange
from gypsumrelay_errors import Failure
from logbook import Logger

from gypsumrelay_relay.cancellation import Cancellation
from gypsumrelay_relay.coordination import messages
from gypsumrelay_relay.events.state import report
from gypsumrelay_relay.events.upstreams import PhaseSwitchOrdered
from gypsumrelay_relay.sending import Reply, SendFailed, io_errors, send
from gypsumrelay_relay.topics import Topic, TopicCopy, refresh

if TYPE_CHECKING:
    from gypsumrelay_relay.context import Relay
    from gypsumrelay_relay.protocol import UpstreamRequest
    from gypsumrelay_relay.topics import Store

log = Logger('ordering')

# Interval in seconds between checks for a due phase change.
CHECK_SECONDS: Final = 1.0
# Time in seconds without an order from another relay before this one sends any;
# longer than the lease that upstreams give to the sender of an order.
OTHER_HOLDER_SECONDS: Final = 6.0
# Time in seconds for which a relay has to be the coordinator before it sends
# orders.
COORDINATING_SECONDS: Final = 2.0
# Time in seconds after its grant in which a fencing token may be used.
TOKEN_SECONDS: Final = 0.5
# Time limit in seconds for the answer to an order.
ANSWER_SECONDS: Final = 1.0
HOLDER_KEY: Final = 'holder'
ACCEPTED: Final = frozenset((200, 202))


@attrs.define(eq=False)
class PhaseSwitcher:
    """Sends the phase changes that this relay's coordinator plans.

    The store issues the fencing tokens: the position of a record that is
    appended only if the topic still ends where this relay has read it. If two
    relays append at once, one of them gets no token. Tokens rise over restores
    of the store, as positions do.

    Attributes:
        relay: The shared parts of this relay.
        store: The store.
        copy: The copy of the orders' topic, which shows other senders.
        other_holder_at: Instant at which another relay's record was last read.
        coordinating_since: Instant since which this relay coordinates; infinite
            if it does not.
        stopped: Ends the thread.
    """

    relay: Relay
    store: Store
    copy: TopicCopy = attrs.field(factory=lambda: TopicCopy(Topic.orders))
    other_holder_at: float = float('-inf')
    coordinating_since: float = float('inf')
    stopped: threading.Event = attrs.field(factory=threading.Event)

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        """Send due phase changes until the process stops."""
        while not self.stopped.wait(CHECK_SECONDS):
            if self._may_send_orders(monotonic()):
                self._check()

    def _may_send_orders(self, now: float) -> bool:
        coordination = self.relay.coordination
        if coordination.leader != coordination.name:
            self.coordinating_since = float('inf')
            return False
        self.coordinating_since = min(self.coordinating_since, now)
        settled = now - self.coordinating_since >= COORDINATING_SECONDS
        return settled and not self.relay.draining.is_set()

    def _check(self) -> None:
        actor = self.relay.coordination.actor
        change: Any = actor.ask(messages.PlanPhaseChange())
        if not isinstance(change, PhaseChange):
            return
        token = self.take_token()
        if token is None:
            return
        granted_at = monotonic()
        request = self.relay.protocol.phase_change_request(
            change.upstream,
            change.phase,
            self.relay.coordination.name,
            token,
        )
        if monotonic() - granted_at < TOKEN_SECONDS:
            self._send_order(change, request, token)

    def take_token(self) -> int | None:
        """Return a fencing token, or None if another relay may hold one.

        A restore of the store may lose the record of another holder, so that
        the first orders of an epoch wait as if such a record had been read.
        """
        outcome = refresh(self.copy, self.store, 0)
        now = monotonic()
        if isinstance(outcome, Failure):
            log.warning(
                'Cannot get a fencing token for a phase change: {}.',
                outcome.sentence,
            )
            return None
        name = self.relay.coordination.name.encode()
        if outcome and self.copy.records.get(HOLDER_KEY, name) != name:
            self.other_holder_at = now
        other_holder_at = max(self.other_holder_at, self.store.epoch.seen_at)
        if now - other_holder_at < OTHER_HOLDER_SECONDS:
            return None
        position = self.store.append(
            Topic.orders,
            HOLDER_KEY,
            name,
            self.copy.position,
        )
        if isinstance(position, Failure):
            log.warning(
                'Cannot get a fencing token for a phase change: {}.',
                position.sentence,
            )
            return None
        # Offsets start at 0; an upstream might treat the token 0 as missing.
        return position + 1

    def _send_order(
        self, change: PhaseChange, request: UpstreamRequest, token: int
    ) -> None:
        relay = self.relay
        deadline = monotonic() + ANSWER_SECONDS
        reply = send(
            relay.connections,
            change.address,
            request,
            Cancellation(deadline, relay.draining.is_set),
            fresh=True,
            deadline=deadline,
        )
        status = _read_status(reply, deadline)
        ordered = PhaseSwitchOrdered(
            change.upstream,
            change.phase.value,
            change.prefill,
            change.decode,
            change.wanted,
            token,
            str(status),
            change.is_pressed,
        )
        report(log, ordered)
        # An order without an answer may still be carried out later.
        if isinstance(status, str) or status in ACCEPTED:
            relay.coordination.actor.tell(messages.PhaseChangeSent(change))


def _read_status(reply: Reply | SendFailed, deadline: float) -> int | str:
    """Read an answer; return its status code, or the error."""
    if isinstance(reply, SendFailed):
        return reply.reason
    failures = io_errors()
    try:
        reply.read(deadline)
    except failures as error:
        reply.close()
        return str(error)
    reply.return_connection()
    return reply.status
