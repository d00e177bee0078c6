"""Processing of a request to a plain service over all its attempts."""

from __future__ import annotations

from collections.abc import Generator, Iterator
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import (
    Failure,
    Outcome,
    OutcomeUnknown,
    UpstreamFailed,
)
from gypsumrelay_routing import PlacementRequest
from gypsumrelay_wire import (
    AnswerBody,
    AnswerStart,
    Call,
    Cancel,
    ClaimTaken,
    Failed,
    Link,
    Resume,
    to_remaining_ms,
    to_retry_at,
)

from gypsumrelay_entry import events
from gypsumrelay_entry.failures import failure_from, is_final, with_retry
from gypsumrelay_entry.mailboxes import Delivery, LinkLost, Mailbox

if TYPE_CHECKING:
    from gypsumrelay_configuration import Route

    from gypsumrelay_entry.context import Entry
    from gypsumrelay_entry.idempotency import KeyUse

MS_PER_SECOND: Final = 1000

Part = AnswerStart | AnswerBody
Attempting = Generator[Part | Failure, None, Failure | None]


@attrs.frozen
class ServiceRequest:
    """A request to a plain service, ready to be forwarded.

    Attributes:
        route: The route that the request matches.
        client_account: Client account of the caller; empty on open routes.
        method: HTTP method.
        path: Path with query.
        headers: Forwarded headers as pairs of name and value.
        body: Body of the request.
        digest: Digest of client account, path and body.
    """

    route: Route
    client_account: str
    method: str
    path: str
    headers: list[list[str]]
    body: bytes
    digest: bytes


@attrs.define
class ServiceRun:
    """One accepted request to a plain service.

    Attributes:
        entry: The entry that accepted the request.
        request: The request to forward.
        box: Mailbox in which the agents' messages arrive.
        deadline: Monotonic time at which the request times out.
        key_use: The claim of its idempotency key, if it has one.
        attempts: Number of attempts begun.
        started: Whether a part of the response has arrived.
        alone: Whether the upstream must run no other request meanwhile,
            because this request is suspected of crashing upstreams.
        ran: Whether any attempt may have run.
        failed_upstreams: Upstreams that are excluded from placement.
    """

    entry: Entry
    request: ServiceRequest
    box: Mailbox
    deadline: float
    key_use: KeyUse | None = None
    attempts: int = 0
    received: int = 0
    started: bool = False
    alone: bool = False
    ran: bool = False
    failed_upstreams: set[str] = attrs.field(factory=set)

    def run(self) -> Iterator[Part | Failure]:
        """Yield the parts of the response; a final failure ends them."""
        while True:
            self.attempts += 1
            admitted = self.entry.suspicions.admit(self.request.digest)
            if isinstance(admitted, Failure):
                yield self._final(admitted)
                return
            self.alone = admitted
            failure = yield from self._attempt()
            self.entry.suspicions.end(
                self.request.digest,
                succeeded=failure is None,
            )
            if failure is None:
                return
            self.ran = self.ran or failure.outcome is not Outcome.not_run
            if not self._may_retry(failure):
                yield self._final(failure)
                return
            self.entry.metrics.count('entry.retries')

    def _attempt(self) -> Attempting:
        placed = self.entry.place(self._wanted())
        if isinstance(placed, Failure):
            return placed
        link = self.entry.connect(placed.main)
        if isinstance(link, Failure):
            self.failed_upstreams.add(placed.main.upstream)
            return UpstreamFailed(link.sentence)
        try:
            failure = yield from self._dispatch(placed.main.instance, link)
        finally:
            self.entry.actor.tell(
                events.AttemptEnded(
                    placed.name,
                    placed.upstreams,
                    completed=self.started,
                ),
            )
        if failure is not None:
            self.failed_upstreams.add(placed.main.upstream)
        return failure

    def _wanted(self) -> PlacementRequest:
        return PlacementRequest(
            request_id=f'{self.box.request_id}.{self.attempts}',
            serves=self.request.route.service,
            deadline=self.deadline,
            service=True,
            excluded=frozenset(self.failed_upstreams),
        )

    def _dispatch(self, agent: str, link: Link) -> Attempting:
        """Send the request to its agent if its key can be claimed.

        If another request holds the key, yield the response to that one.
        """
        if self.key_use is None:
            return (yield from self._exchange(link, self._message()))
        taken = self.key_use.claim(agent)
        if isinstance(taken, Failure):
            return taken
        if taken is not None:
            return (yield from self._follow(self.key_use, taken))
        return (yield from self._exchange(link, self._message()))

    def _follow(self, key_use: KeyUse, taken: ClaimTaken) -> Attempting:
        """Yield the response to the request that holds the key."""
        link = key_use.follow(taken)
        if isinstance(link, Failure):
            return self._broken(link.sentence)
        message = key_use.resume_message(self.attempts, 0)
        failure = yield from self._exchange(link, message)
        if isinstance(failure, OutcomeUnknown):
            return self._broken(failure.sentence)
        if failure is not None and failure.outcome is Outcome.not_run:
            # The holder was rejected before it ran and its entry does not
            # send it again, so its claim would block the key for no reason.
            key_use.release(taken.holder_request_id)
        return failure

    def _exchange(self, link: Link, message: Call | Resume) -> Attempting:
        sent = link.send(message)
        if sent is not None:
            return self._broken('the request could not be sent')
        try:
            return (yield from self._pass_parts(link))
        except GeneratorExit:
            self._cancel(link)
            raise

    def _pass_parts(self, link: Link) -> Attempting:
        while True:
            part = self._next_part(link)
            if isinstance(part, Failure):
                self._cancel(link)
                return part
            yield part
            if isinstance(part, AnswerBody) and part.last:
                return None
            self.started = True

    def _cancel(self, link: Link) -> None:
        """Cancel the attempt; one with an idempotency key continues."""
        keep = self.key_use is not None
        link.send(Cancel(self.box.request_id, self.attempts, keep))

    def _next_part(self, link: Link) -> Part | Failure:
        """Return the next part of this attempt's response, or a failure."""
        while True:
            arrived = self.box.wait(self.deadline)
            if arrived is None:
                return self._broken('the upstream gave no answer in time')
            if isinstance(arrived, Failure):
                return arrived
            if isinstance(arrived, LinkLost):
                if arrived.link is link:
                    return self._broken('the connection was lost')
                continue
            part = self._part_of(arrived)
            if part is not None:
                return part

    def _part_of(self, arrived: Delivery) -> Part | Failure | None:
        """Return the part or failure in a delivery.

        Returns None for messages of other attempts and of other types.
        """
        message = arrived.message
        if getattr(message, 'attempt', None) != self.attempts:
            return None
        if isinstance(message, Failed):
            retry_at = to_retry_at(message.retry_ms, monotonic())
            return failure_from(message, retry_at)
        if isinstance(message, (AnswerStart, AnswerBody)):
            return message
        return None

    def _message(self) -> Call:
        request = self.request
        return Call(
            request_id=self.box.request_id,
            attempt=self.attempts,
            client_account=request.client_account,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            idempotent=request.route.idempotent,
            cost=request.route.cost_tokens,
            remaining_ms=to_remaining_ms(self.deadline, monotonic()),
            key_digest=(
                self.key_use.request.key_digest if self.key_use else b''
            ),
            request_digest=request.digest,
            alone=self.alone,
        )

    def _broken(self, sentence: str) -> Failure:
        """Return the failure of an attempt that may have run.

        On routes that are not idempotent its outcome is unknown.
        """
        if self.request.route.idempotent:
            return UpstreamFailed(sentence, Outcome.failed)
        return OutcomeUnknown(sentence, Outcome.unknown)

    def _final(self, failure: Failure) -> Failure:
        """Return the failure with the outcome of the whole request."""
        if self.ran and failure.outcome is Outcome.not_run:
            failure = attrs.evolve(failure, outcome=Outcome.failed)
        if self.key_use is not None and failure.outcome is Outcome.not_run:
            self.key_use.release()
        return with_retry(failure)

    def _may_retry(self, failure: Failure) -> bool:
        if self.started or is_final(failure):
            return False
        if monotonic() >= self.deadline:
            return False
        if self.attempts >= self.entry.settings.routing.max_attempts:
            return False
        if self.key_use is not None and self.key_use.is_spent:
            return False
        return self.request.route.idempotent or failure.outcome is (
            Outcome.not_run
        )
