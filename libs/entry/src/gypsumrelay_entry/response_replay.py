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
from gypsumrelay_entry.idempotency import KeyUse
from gypsumrelay_entry.mailboxes import LinkLost, no_progress

Event = Tokens | Finished | AttemptFailed


@attrs.frozen
class Following:
    """Attempt that reads the running or stored response of the key's holder.

    If this fails, a new run may continue the response, because the holder's
    run has ended or its agent is unreachable.

    Attributes:
        key_use: The claim of the idempotency key.
        progress: Output of the request, shared by its attempts.
        attempt: Number of the attempt.
    """

    key_use: KeyUse
    progress: Progress
    attempt: int

    def run(self, taken: ClaimTaken) -> Iterator[Event]:
        """Yield the rest of the response after the progress so far."""
        link = self.key_use.follow(taken)
        if isinstance(link, Failure):
            yield _ended(link)
            return
        index = self.progress.next_index
        sent = link.send(self.key_use.resume_message(self.attempt, index))
        if sent is not None:
            yield _ended(sent, link)
            return
        try:
            yield from self._read(link)
        finally:
            cancel = Cancel(
                self.key_use.box.request_id, self.attempt, keep=True
            )
            link.send(cancel)

    def _read(self, link: Link) -> Iterator[Event]:
        while True:
            message = self._next(link)
            if isinstance(message, AttemptFailed):
                yield message
                return
            if isinstance(message, Prefilled):
                self._note_prompt(message)
            elif isinstance(message, Tokens):
                if message.first_index == self.progress.next_index:
                    self.progress.next_index += message.count
                    self.progress.texts.append(message.text)
                    yield message
            elif isinstance(message, Finished):
                yield message
                return

    def _note_prompt(self, prefilled: Prefilled) -> None:
        if not self.progress.prompt_tokens:
            self.progress.prompt_tokens = prefilled.prompt_tokens

    def _next(self, link: Link) -> Message | AttemptFailed:
        """Return the next message of the response, or why it failed."""
        while True:
            arrived = self.key_use.box.wait(self.key_use.deadline)
            if arrived is None:
                return AttemptFailed(no_progress('the response'))
            if isinstance(arrived, Failure):
                return AttemptFailed(arrived, retryable=False)
            if isinstance(arrived, LinkLost):
                if arrived.link is link:
                    lost = UpstreamFailed('the connection was lost')
                    return _ended(lost, link)
                continue
            message = arrived.message
            if getattr(message, 'attempt', None) != self.attempt:
                continue
            if isinstance(message, Failed):
                retry_at = to_retry_at(message.retry_ms, monotonic())
                return _ended(failure_from(message, retry_at), link)
            return message


def _ended(failure: Failure, link: Link | None = None) -> AttemptFailed:
    """Return a failed attempt that may be retried as a new run."""
    sentence = failure.sentence
    return AttemptFailed(UpstreamFailed(sentence, Outcome.failed), link)
