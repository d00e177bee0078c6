"""Components of an entry that are shared by all requests."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Any, Final, cast

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure
from gypsumrelay_wire import Link

from gypsumrelay_entry import events
from gypsumrelay_entry.crash_tracker import CrashTracker
from gypsumrelay_entry.idempotency import InstanceDirectory
from gypsumrelay_entry.mailboxes import Mailboxes
from gypsumrelay_entry.retry_policy import RetryPolicy

if TYPE_CHECKING:
    import pykka
    from gypsumrelay_instance import ConfigurationReplica, Peers
    from gypsumrelay_routing import PlacementRequest
    from gypsumrelay_settings import EntrySettings
    from gypsumrelay_telemetry import Metrics
    from gypsumrelay_timeline import Recorder

POLL_INTERVAL_SECONDS: Final = 0.02


@attrs.define
class OpenRequests:
    """Counter of open requests, for a graceful shutdown.

    Attributes:
        count: Number of open requests.
        draining: Whether new requests are rejected.
        lock: Protects `count`.
    """

    count: int = 0
    draining: bool = False
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def begin(self) -> None:
        """Count a request that begins."""
        with self.lock:
            self.count += 1

    def end(self) -> None:
        """Count a request that ends."""
        with self.lock:
            self.count -= 1

    def wait_until_none(self, deadline: float) -> bool:
        """Wait for all requests to end; return whether they did.

        Args:
            deadline: Monotonic time at which the wait times out.
        """
        while self.count and monotonic() < deadline:
            time.sleep(POLL_INTERVAL_SECONDS)
        return self.count == 0


@attrs.define(eq=False)
class Entry:
    """Components of one entry process.

    Attributes:
        settings: Settings of the entry.
        replica: Replica of the configuration.
        peers: Links to the other processes.
        actor: Actor that owns the view of the upstreams.
        metrics: Metrics of the process.
        recorder: Recorder of timeline events.
        mailboxes: Mailboxes of the open requests.
        open_requests: Counter of open requests.
        crash_tracker: Attribution of upstream crashes to requests.
        retry_policy: Retry budgets.
        directory: Agents and committers of the deployment.
    """

    settings: EntrySettings
    replica: ConfigurationReplica
    peers: Peers
    actor: pykka.ActorRef[Any]
    metrics: Metrics
    recorder: Recorder
    mailboxes: Mailboxes = attrs.field(factory=Mailboxes)
    open_requests: OpenRequests = attrs.field(factory=OpenRequests)
    crash_tracker: CrashTracker = attrs.field(factory=CrashTracker)
    retry_policy: RetryPolicy = attrs.field(factory=RetryPolicy)
    directory: InstanceDirectory = attrs.field(factory=InstanceDirectory)

    def record(
        self,
        name: str,
        request_id: str,
        client_account: str = '',
        upstream: str = '',
        **detail: Any,
    ) -> None:
        """Record an event of a request in the timeline."""
        self.recorder.record(
            'entry',
            name,
            request_id=request_id,
            client_account=client_account,
            upstream=upstream,
            detail=detail,
        )

    def place(
        self,
        request: PlacementRequest,
    ) -> events.AttemptPlacement | Failure:
        """Return a placement from the actor, or why there is none."""
        placement: Any = self.actor.ask(events.PlacementQuery(request))
        return cast('events.AttemptPlacement | Failure', placement)

    def connect(self, target: events.Target) -> Link | Failure:
        """Return a link to an agent.

        A failure to connect is also reported to the actor.
        """
        link = self.peers.connect(target.address)
        if isinstance(link, Failure):
            self.actor.tell(events.LinkFailed(target.instance))
        return link
