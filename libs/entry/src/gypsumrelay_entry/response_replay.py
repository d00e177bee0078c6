"""Responses of requests whose idempotency key another request holds."""

from __future__ import annotations

from collections.abc import Iterator

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure, Outcome, UpstreamFailed
from gypsumrelay_wire import (
    Cancel,
    ClaimTaken,
    Failed,
    Finished,
    Link,
    Message,
    Prefilled,
    Tokens,
    to_retry_at,
)

from gypsumrelay_entry.attempts import AttemptFailed, Progress
from gypsumrelay_entry.failures import failure_from
from gypsumrelay_entry.idempotency import KeyClaim
from gypsumrelay_entry.mailboxes import LinkLost, progress_timeout

Event = Tokens | Finished | AttemptFailed


@attrs.frozen
class ResponseReplay:
    """Attempt that reads the running or stored response of the key's holder.

    If this fails, a new run may continue the response, because the holder's
    run has ended or its agent is unreachable.

    Attributes:
        key_claim: The claim of the idempotency key.
        progress: Output of the request, shared by its attempts.
        attempt: Number of the attempt.
    """

    key_claim: KeyClaim
    progress: Progress
    attempt: int

    def run(self, claim_taken: ClaimTaken) -> Iterator[Event]:
        """Yield the rest of the response after the progress so far."""
        link = self.key_claim.connect_to_holder(claim_taken)
        if isinstance(link, Failure):
            yield _retryable(link)
            return
        index = self.progress.next_index
        send_failure = link.send(
            self.key_claim.resume_message(self.attempt, index)
        )
        if send_failure is not None:
            yield _retryable(send_failure, link)
            return
        try:
            yield from self._read(link)
        finally:
            cancel = Cancel(
                self.key_claim.mailbox.request_id, self.attempt, keep=True
            )
            link.send(cancel)

    def _read(self, link: Link) -> Iterator[Event]:
        while True:
            message = self._next(link)
            if isinstance(message, AttemptFailed):
                yield message
                return
            if isinstance(message, Prefilled):
                self._record_prompt_tokens(message)
            elif isinstance(message, Tokens):
                if message.first_index == self.progress.next_index:
                    self.progress.next_index += message.count
                    self.progress.texts.append(message.text)
                    yield message
            elif isinstance(message, Finished):
                yield message
                return

    def _record_prompt_tokens(self, prefilled: Prefilled) -> None:
        if not self.progress.prompt_tokens:
            self.progress.prompt_tokens = prefilled.prompt_tokens

    def _next(self, link: Link) -> Message | AttemptFailed:
        """Return the next message of the response, or why it failed."""
        while True:
            incoming = self.key_claim.mailbox.wait(self.key_claim.deadline)
            if incoming is None:
                return AttemptFailed(progress_timeout('the response'))
            if isinstance(incoming, Failure):
                return AttemptFailed(incoming, retryable=False)
            if isinstance(incoming, LinkLost):
                if incoming.link is link:
                    link_failure = UpstreamFailed('the connection was lost')
                    return _retryable(link_failure, link)
                continue
            message = incoming.message
            if getattr(message, 'attempt', None) != self.attempt:
                continue
            if isinstance(message, Failed):
                retry_at = to_retry_at(message.retry_ms, monotonic())
                return _retryable(failure_from(message, retry_at), link)
            return message


def _retryable(failure: Failure, link: Link | None = None) -> AttemptFailed:
    """Return a failed attempt that may be retried as a new run."""
    sentence = failure.sentence
    return AttemptFailed(UpstreamFailed(sentence, Outcome.failed), link)
