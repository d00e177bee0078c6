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
from gypsumrelay_entry.failures import failure_from, is_final, with_retry_time
from gypsumrelay_entry.mailboxes import Delivery, LinkLost, Mailbox

if TYPE_CHECKING:
    from gypsumrelay_configuration import Route

    from gypsumrelay_entry.context import Entry
    from gypsumrelay_entry.idempotency import KeyClaim

MS_PER_SECOND: Final = 1000

ResponsePart = AnswerStart | AnswerBody
PartGenerator = Generator[ResponsePart | Failure, None, Failure | None]


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
        mailbox: Mailbox in which the agents' messages arrive.
        deadline: Monotonic time at which the request times out.
        key_claim: The claim of its idempotency key, if it has one.
        attempts: Number of attempts begun.
        response_started: Whether a part of the response has arrived.
        alone: Whether the upstream must run no other request meanwhile,
            because this request is suspected of crashing upstreams.
        may_have_run: Whether any attempt may have run.
        failed_upstreams: Upstreams that are excluded from placement.
    """

    entry: Entry
    request: ServiceRequest
    mailbox: Mailbox
    deadline: float
    key_claim: KeyClaim | None = None
    attempts: int = 0
    received: int = 0
    response_started: bool = False
    alone: bool = False
    may_have_run: bool = False
    failed_upstreams: set[str] = attrs.field(factory=set)

    def run(self) -> Iterator[ResponsePart | Failure]:
        """Yield the parts of the response; a final failure ends them."""
        while True:
            self.attempts += 1
            admission = self.entry.crash_tracker.admit(self.request.digest)
            if isinstance(admission, Failure):
                yield self._final_failure(admission)
                return
            self.alone = admission
            failure = yield from self._attempt()
            self.entry.crash_tracker.record_result(
                self.request.digest,
                succeeded=failure is None,
            )
            if failure is None:
                return
            self.may_have_run = (
                self.may_have_run or failure.outcome is not Outcome.not_run
            )
            if not self._may_retry(failure):
                yield self._final_failure(failure)
                return
            self.entry.metrics.count('entry.retries')

    def _attempt(self) -> PartGenerator:
        placement = self.entry.place(self._placement_request())
        if isinstance(placement, Failure):
            return placement
        link = self.entry.connect(placement.main)
        if isinstance(link, Failure):
            self.failed_upstreams.add(placement.main.upstream)
            return UpstreamFailed(link.sentence)
        try:
            failure = yield from self._dispatch(placement.main.instance, link)
        finally:
            self.entry.actor.tell(
                events.AttemptEnded(
                    placement.name,
                    placement.upstreams,
                    completed=self.response_started,
                ),
            )
        if failure is not None:
            self.failed_upstreams.add(placement.main.upstream)
        return failure

    def _placement_request(self) -> PlacementRequest:
        return PlacementRequest(
            request_id=f'{self.mailbox.request_id}.{self.attempts}',
            serves=self.request.route.service,
            deadline=self.deadline,
            service=True,
            excluded=frozenset(self.failed_upstreams),
        )

    def _dispatch(self, agent: str, link: Link) -> PartGenerator:
        """Send the request to its agent if its key can be claimed.

        If another request holds the key, yield the response to that one.
        """
        if self.key_claim is None:
            return (
                yield from self._send_and_forward(link, self._call_message())
            )
        claim_result = self.key_claim.claim(agent)
        if isinstance(claim_result, Failure):
            return claim_result
        if claim_result is not None:
            return (
                yield from self._replay_response(self.key_claim, claim_result)
            )
        return (yield from self._send_and_forward(link, self._call_message()))

    def _replay_response(
        self, key_claim: KeyClaim, claim_taken: ClaimTaken
    ) -> PartGenerator:
        """Yield the response to the request that holds the key."""
        link = key_claim.connect_to_holder(claim_taken)
        if isinstance(link, Failure):
            return self._interrupted(link.sentence)
        message = key_claim.resume_message(self.attempts, 0)
        failure = yield from self._send_and_forward(link, message)
        if isinstance(failure, OutcomeUnknown):
            return self._interrupted(failure.sentence)
        if failure is not None and failure.outcome is Outcome.not_run:
            # The holder was rejected before it ran and its entry does not
            # send it again, so its claim would block the key for no reason.
            key_claim.release(claim_taken.holder_request_id)
        return failure

    def _send_and_forward(
        self, link: Link, message: Call | Resume
    ) -> PartGenerator:
        send_failure = link.send(message)
        if send_failure is not None:
            return self._interrupted('the request could not be sent')
        try:
            return (yield from self._forward_parts(link))
        except GeneratorExit:
            self._cancel(link)
            raise

    def _forward_parts(self, link: Link) -> PartGenerator:
        while True:
            part = self._next_part(link)
            if isinstance(part, Failure):
                self._cancel(link)
                return part
            yield part
            if isinstance(part, AnswerBody) and part.last:
                return None
            self.response_started = True

    def _cancel(self, link: Link) -> None:
        """Cancel the attempt; one with an idempotency key continues."""
        keep = self.key_claim is not None
        link.send(Cancel(self.mailbox.request_id, self.attempts, keep))

    def _next_part(self, link: Link) -> ResponsePart | Failure:
        """Return the next part of this attempt's response, or a failure."""
        while True:
            incoming = self.mailbox.wait(self.deadline)
            if incoming is None:
                return self._interrupted('the upstream gave no answer in time')
            if isinstance(incoming, Failure):
                return incoming
            if isinstance(incoming, LinkLost):
                if incoming.link is link:
                    return self._interrupted('the connection was lost')
                continue
            part = self._part_in(incoming)
            if part is not None:
                return part

    def _part_in(self, incoming: Delivery) -> ResponsePart | Failure | None:
        """Return the part or failure in a delivery.

        Returns None for messages of other attempts and of other types.
        """
        message = incoming.message
        if getattr(message, 'attempt', None) != self.attempts:
            return None
        if isinstance(message, Failed):
            retry_at = to_retry_at(message.retry_ms, monotonic())
            return failure_from(message, retry_at)
        if isinstance(message, (AnswerStart, AnswerBody)):
            return message
        return None

    def _call_message(self) -> Call:
        request = self.request
        return Call(
            request_id=self.mailbox.request_id,
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
                self.key_claim.request.key_digest if self.key_claim else b''
            ),
            request_digest=request.digest,
            alone=self.alone,
        )

    def _interrupted(self, sentence: str) -> Failure:
        """Return the failure of an attempt that may have run.

        On routes that are not idempotent its outcome is unknown.
        """
        if self.request.route.idempotent:
            return UpstreamFailed(sentence, Outcome.failed)
        return OutcomeUnknown(sentence, Outcome.unknown)

    def _final_failure(self, failure: Failure) -> Failure:
        """Return the failure with the outcome of the whole request."""
        if self.may_have_run and failure.outcome is Outcome.not_run:
            failure = attrs.evolve(failure, outcome=Outcome.failed)
        if self.key_claim is not None and failure.outcome is Outcome.not_run:
            self.key_claim.release()
        return with_retry_time(failure)

    def _may_retry(self, failure: Failure) -> bool:
        if self.response_started or is_final(failure):
            return False
        if monotonic() >= self.deadline:
            return False
        if self.attempts >= self.entry.settings.routing.max_attempts:
            return False
        if self.key_claim is not None and self.key_claim.prevents_retry:
            return False
        return self.request.route.idempotent or failure.outcome is (
            Outcome.not_run
        )
