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

KEY_HEADER: Final = 'HTTP_IDEMPOTENCY_KEY'
DIGEST_BYTES: Final = 32
# An append to the log takes about 20 ms. A slower log counts as unavailable, so
# that the caller can retry soon.
CLAIM_TIMEOUT_SECONDS: Final = 3.0
# The committer replies by the claim's deadline; this allows for the transfer of
# the reply.
REPLY_MARGIN_SECONDS: Final = 0.5
RETRY_SECONDS: Final = 1.0


@attrs.define(eq=False)
class InstanceDirectory:
    """Agents and committers of the deployment by name.

    The dictionaries are replaced and never changed, so readers need no lock.

    Attributes:
        agents: Agents by the name of their instance.
        committers: Committers by the name of their instance.
    """

    agents: dict[str, ListedInstance] = attrs.field(factory=dict)
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
class KeyClaim:
    """Claim of an idempotency key for one open request.

    Attributes:
        entry: The entry that accepted the request.
        mailbox: Mailbox of the request.
        request: The request with its key.
        deadline: Monotonic time after which the claim is no longer needed.
        committer: Link to the committer to which a claim was sent, if any.
        holder_request_id: Id of the request whose claim in memory is replaced.
    """

    entry: Entry
    mailbox: Mailbox
    request: KeyedRequest
    deadline: float
    committer: Link | None = None
    holder_request_id: str = ''

    @property
    def prevents_retry(self) -> bool:
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
        reply = self._claim_once(agent)
        while self._may_ask_next_committer(reply):
            self.committer = None
            reply = self._claim_once(agent)
        return reply

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
                request_id or self.mailbox.request_id,
                self.request.client_account,
                self.request.key_digest,
            ),
        )

    def connect_to_holder(self, claim_taken: ClaimTaken) -> Link | Failure:
        """Return a link to the agent that has the response."""
        holder = self.entry.directory.agents.get(claim_taken.holder_agent)
        if holder is None:
            return _outcome_unknown('the agent that ran the request is gone')
        link = self.entry.peers.connect(holder.address)
        if isinstance(link, Failure):
            return _outcome_unknown(link.sentence)
        return link

    def resume_message(self, attempt: int, next_index: int) -> Resume:
        """Return the message that requests the response from an index on."""
        return Resume(
            request_id=self.mailbox.request_id,
            attempt=attempt,
            client_account=self.request.client_account,
            key_digest=self.request.key_digest,
            next_index=next_index,
            remaining_ms=to_remaining_ms(self.deadline, monotonic()),
        )

    def _claim_once(self, agent: str) -> ClaimTaken | Failure | None:
        link = self.committer or self._connect()
        if link is None:
            return _claim_unavailable('no committer is in reach')
        self.committer = link
        now = monotonic()
        deadline = min(self.deadline, now + CLAIM_TIMEOUT_SECONDS)
        send_failure = link.send(self._claim_message(agent, deadline, now))
        if send_failure is not None:
            return self._release_failed(
                _claim_unavailable(send_failure.sentence)
            )
        reply = self._wait_for_reply(link, deadline + REPLY_MARGIN_SECONDS)
        if isinstance(reply, Failure):
            return self._release_failed(reply)
        if isinstance(reply, ClaimTaken):
            return self._check_holder(reply)
        self.holder_request_id = self.mailbox.request_id
        return None

    def _may_ask_next_committer(
        self, reply: ClaimTaken | Failure | None
    ) -> bool:
        """Return whether to send the claim to another committer.

        A durable claim is sent to one committer only, since it may be in the
        log even if the reply was lost. A claim in memory is lost when its
        committer stops, so another committer can grant it.
        """
        if self.request.durable or not isinstance(reply, ClaimUnavailable):
            return False
        if monotonic() >= self.deadline or self.committer is None:
            return False
        return self.committer.closed.is_set()

    def _connect(self) -> Link | None:
        """Return a link to the first reachable committer for the key.

        Committers that cannot be reached are skipped; None if there is no
        other one.
        """
        committers = dict(self.entry.directory.committers)
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

    def _claim_message(self, agent: str, deadline: float, now: float) -> Claim:
        request = self.request
        return Claim(
            request_id=self.mailbox.request_id,
            client_account=request.client_account,
            key_digest=request.key_digest,
            request_digest=request.request_digest,
            durable=request.durable,
            agent=agent,
            remaining_ms=to_remaining_ms(deadline, now),
            replaces=self.holder_request_id,
        )

    def _wait_for_reply(
        self,
        link: Link,
        deadline: float,
    ) -> Claimed | ClaimTaken | Failure:
        """Return the reply to the claim, or why there is none."""
        while True:
            incoming = self.mailbox.wait(deadline)
            if incoming is None:
                return _claim_unavailable('the claim was not answered in time')
            if isinstance(incoming, Failure):
                return incoming
            if isinstance(incoming, LinkLost):
                if incoming.link is link:
                    return _claim_unavailable('the committer was lost')
                continue
            reply = _reply_in(incoming)
            if reply is not None:
                return reply

    def _check_holder(self, claim_taken: ClaimTaken) -> ClaimTaken | Failure:
        self.holder_request_id = claim_taken.holder_request_id
        if claim_taken.same_body:
            return claim_taken
        return IdempotencyKeyReused(
            'the idempotency key came earlier with another request',
        )

    def _release_failed(self, failure: Failure) -> Failure:
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
    key = environ.get(KEY_HEADER, '').strip()
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


def _reply_in(incoming: Delivery) -> Claimed | ClaimTaken | Failure | None:
    message = incoming.message
    if isinstance(message, (Claimed, ClaimTaken)):
        return message
    if isinstance(message, Failed) and not message.attempt:
        retry_at = to_retry_at(message.retry_ms, monotonic())
        return failure_from(message, retry_at)
    return None


def _claim_unavailable(sentence: str) -> Failure:
    retry_at = monotonic() + RETRY_SECONDS
    return ClaimUnavailable(sentence, retry_at=retry_at)


def _outcome_unknown(sentence: str) -> Failure:
    return OutcomeUnknown(sentence, Outcome.unknown)
