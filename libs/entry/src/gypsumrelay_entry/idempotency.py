"""Requests with an idempotency key: claims and replayed responses."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any, Final

import attrs
from gypsumrelay_claims import committer_of
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import (
    ClaimUnavailable,
    Failure,
    IdempotencyKeyReused,
    Outcome,
    OutcomeUnknown,
)
from gypsumrelay_wire import (
    Claim,
    Claimed,
    ClaimTaken,
    Failed,
    Link,
    ReleaseClaim,
    Resume,
    to_remaining_ms,
    to_retry_at,
)

from gypsumrelay_entry.failures import failure_from
from gypsumrelay_entry.mailboxes import Delivery, LinkLost, Mailbox

if TYPE_CHECKING:
    from gypsumrelay_platform import ListedInstance

    from gypsumrelay_entry.context import Entry

HEADER: Final = 'HTTP_IDEMPOTENCY_KEY'
DIGEST_BYTES: Final = 32
# An append to the log takes about 20 ms. A slower log counts as unavailable, so
# that the caller can retry soon.
CLAIM_SECONDS: Final = 3.0
# The committer replies by the claim's deadline; this allows for the transfer of
# the reply.
ANSWER_SECONDS: Final = 0.5
RETRY_SECONDS: Final = 1.0


@attrs.define(eq=False)
class Agents:
    """Agents and committers of the deployment by name.

    The dictionaries are replaced and never changed, so readers need no lock.

    Attributes:
        by_name: Agents by the name of their instance.
        committers: Committers by the name of their instance.
    """

    by_name: dict[str, ListedInstance] = attrs.field(factory=dict)
    committers: dict[str, ListedInstance] = attrs.field(factory=dict)


@attrs.frozen
class KeyedRequest:
    """A request with an idempotency key.

    Attributes:
        client_account: Client account of the caller.
        key_digest: Digest of the key, which is itself never sent.
        request_digest: Digest of method, path, query and body.
        durable: Whether the claim is written to the log.
    """

    client_account: str
    key_digest: bytes
    request_digest: bytes
    durable: bool


@attrs.define(eq=False)
class KeyUse:
    """Claim of an idempotency key for one open request.

    Attributes:
        entry: The entry that accepted the request.
        box: Mailbox of the request.
        request: The request with its key.
        deadline: Monotonic time after which the claim is no longer needed.
        committer: Link to the committer to which a claim was sent, if any.
        holder: Id of the request whose claim in memory is replaced.
    """

    entry: Entry
    box: Mailbox
    request: KeyedRequest
    deadline: float
    committer: Link | None = None
    holder: str = ''

    @property
    def is_spent(self) -> bool:
        """Return whether a durable claim prevents another attempt."""
        return self.request.durable and self.committer is not None

    def claim(self, agent: str) -> ClaimTaken | Failure | None:
        """Claim the key for a run at an agent.

        Args:
            agent: Name of the agent's instance.

        Returns:
            None if the request may be dispatched to the agent, otherwise
            the holder of the key or the reason for a rejection.
        """
        answer = self._claim_once(agent)
        while self._lost_committer(answer):
            self.committer = None
            answer = self._claim_once(agent)
        return answer

    def release(self, request_id: str = '') -> None:
        """Release the claim of a request that will never be dispatched.

        If the link to the committer is closed, the release is sent to
        another committer.

        Args:
            request_id: Id of the request that holds the claim; by default
                this request.
        """
        if self.committer is None:
            return
        if self.committer.closed.is_set():
            self.committer = self._connect() or self.committer
        self.committer.send(
            ReleaseClaim(
                request_id or self.box.request_id,
                self.request.client_account,
                self.request.key_digest,
            ),
        )

    def follow(self, taken: ClaimTaken) -> Link | Failure:
        """Return a link to the agent that has the response."""
        holder = self.entry.agents.by_name.get(taken.holder_agent)
        if holder is None:
            return _gone('the agent that ran the request is gone')
        link = self.entry.peers.connect(holder.address)
        if isinstance(link, Failure):
            return _gone(link.sentence)
        return link

    def resume_message(self, attempt: int, next_index: int) -> Resume:
        """Return the message that requests the response from an index on."""
        return Resume(
            request_id=self.box.request_id,
            attempt=attempt,
            client_account=self.request.client_account,
            key_digest=self.request.key_digest,
            next_index=next_index,
            remaining_ms=to_remaining_ms(self.deadline, monotonic()),
        )

    def _claim_once(self, agent: str) -> ClaimTaken | Failure | None:
        link = self.committer or self._connect()
        if link is None:
            return _unavailable('no committer is in reach')
        self.committer = link
        now = monotonic()
        deadline = min(self.deadline, now + CLAIM_SECONDS)
        sent = link.send(self._message(agent, deadline, now))
        if sent is not None:
            return self._give_up(_unavailable(sent.sentence))
        answer = self._answer(link, deadline + ANSWER_SECONDS)
        if isinstance(answer, Failure):
            return self._give_up(answer)
        if isinstance(answer, ClaimTaken):
            return self._taken(answer)
        self.holder = self.box.request_id
        return None

    def _lost_committer(self, answer: ClaimTaken | Failure | None) -> bool:
        """Return whether to send the claim to another committer.

        A durable claim is sent to one committer only, since it may be in the
        log even if the reply was lost. A claim in memory is lost when its
        committer stops, so another committer can grant it.
        """
        if self.request.durable or not isinstance(answer, ClaimUnavailable):
            return False
        if monotonic() >= self.deadline or self.committer is None:
            return False
        return self.committer.closed.is_set()

    def _connect(self) -> Link | None:
        """Return a link to the first reachable committer for the key.

        Committers that cannot be reached are skipped; None if there is no
        other one.
        """
        committers = dict(self.entry.agents.committers)
        request = self.request
        key = (request.client_account, request.key_digest.hex())
        while committers:
            name = committer_of(key, tuple(committers))
            if name is None:
                break
            link = self.entry.peers.connect(committers.pop(name).address)
            if not isinstance(link, Failure):
                return link
        return None

    def _message(self, agent: str, deadline: float, now: float) -> Claim:
        request = self.request
        return Claim(
            request_id=self.box.request_id,
            client_account=request.client_account,
            key_digest=request.key_digest,
            request_digest=request.request_digest,
            durable=request.durable,
            agent=agent,
            remaining_ms=to_remaining_ms(deadline, now),
            replaces=self.holder,
        )

    def _answer(
        self,
        link: Link,
        deadline: float,
    ) -> Claimed | ClaimTaken | Failure:
        """Return the reply to the claim, or why there is none."""
        while True:
            arrived = self.box.wait(deadline)
            if arrived is None:
                return _unavailable('the claim was not answered in time')
            if isinstance(arrived, Failure):
                return arrived
            if isinstance(arrived, LinkLost):
                if arrived.link is link:
                    return _unavailable('the committer was lost')
                continue
            answer = _answer_in(arrived)
            if answer is not None:
                return answer

    def _taken(self, taken: ClaimTaken) -> ClaimTaken | Failure:
        self.holder = taken.holder_request_id
        if taken.same_body:
            return taken
        return IdempotencyKeyReused(
            'the idempotency key came earlier with another request',
        )

    def _give_up(self, failure: Failure) -> Failure:
        """Release a claim that may still be recorded; return the failure."""
        self.release()
        return failure


def keyed_request(
    environ: dict[str, Any],
    client_account: str,
    body: bytes,
    *,
    durable: bool,
) -> KeyedRequest | None:
    """Return the request with its idempotency key.

    Args:
        environ: WSGI environment of the request.
        client_account: Client account of the caller; empty if unknown.
        body: Body of the request.
        durable: Whether the claim is written to the log.

    Returns:
        None without an `Idempotency-Key` header or a client account.
    """
    key = environ.get(HEADER, '').strip()
    if not key or not client_account:
        return None
    return KeyedRequest(
        client_account,
        _digest(client_account, key),
        _digest(
            environ['REQUEST_METHOD'],
            environ['PATH_INFO'],
            environ.get('QUERY_STRING', ''),
            body,
        ),
        durable,
    )


def _digest(*parts: str | bytes) -> bytes:
    """Return the digest of several parts.

    Each part is prefixed with its length, so that different divisions of
    the same bytes have different digests.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        encoded = part if isinstance(part, bytes) else part.encode()
        digest.update(b'%d:' % len(encoded))
        digest.update(encoded)
    return digest.digest()


def _answer_in(arrived: Delivery) -> Claimed | ClaimTaken | Failure | None:
    message = arrived.message
    if isinstance(message, (Claimed, ClaimTaken)):
        return message
    if isinstance(message, Failed) and not message.attempt:
        retry_at = to_retry_at(message.retry_ms, monotonic())
        return failure_from(message, retry_at)
    return None


def _unavailable(sentence: str) -> Failure:
    retry_at = monotonic() + RETRY_SECONDS
    return ClaimUnavailable(sentence, retry_at=retry_at)


def _gone(sentence: str) -> Failure:
    return OutcomeUnknown(sentence, Outcome.unknown)
