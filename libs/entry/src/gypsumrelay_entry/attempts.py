"""One attempt of a model request: reservation, prefill and decode."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import (
    Failure,
    LinkClosed,
    Outcome,
    Overloaded,
    UpstreamFailed,
)
from gypsumrelay_wire import (
    Cancel,
    Decode,
    Failed,
    Finished,
    Link,
    Message,
    Prefill,
    Prefilled,
    Reserve,
    Reserved,
    Tokens,
    to_remaining_ms,
    to_retry_at,
)

from gypsumrelay_entry.events import AttemptDurations
from gypsumrelay_entry.failures import CallerDisconnected, failure_from
from gypsumrelay_entry.mailboxes import (
    Delivery,
    LinkLost,
    Mailbox,
    progress_timeout,
)
from gypsumrelay_entry.prompts import ModelRequest

MS_PER_SECOND: Final = 1000


@attrs.frozen
class AttemptPlan:
    """Upstreams and parameters of one attempt.

    Attributes:
        number: Number of the attempt within the request, from 1.
        decode: Link to the agent of the decode upstream.
        prefill: Link to the agent of the prefill upstream; the decode link
            if the decode upstream computes the prefill itself.
        prefixes: Digests of the prompt's prefixes, one per full cache block.
        reserve_deadline: Monotonic time at which pending reservations time
            out.
        progress_seconds: Time without progress after which a prefill or
            decode fails.
        weight: Weight of the client account in the agents' fair queues.
        on_granted: Called with the link of each granted reservation.
        alone: Whether the upstream must run no other request meanwhile.
        charged: Whether an earlier attempt was charged for its tokens.
        key_digest: Digest of the idempotency key, b'' without one.
    """

    number: int
    decode: Link
    prefill: Link
    prefixes: list[bytes]
    reserve_deadline: float
    progress_seconds: float
    weight: int
    on_granted: Callable[[Link], None]
    alone: bool = False
    charged: bool = False
    key_digest: bytes = b''


@attrs.define
class Progress:
    """Output of a request so far, from all its attempts.

    Attributes:
        next_index: Index of the next output token.
        prompt_tokens: Prompt tokens as counted by the engine, 0 if unknown.
        texts: Text of each batch of output tokens in UTF-8.
    """

    next_index: int = 0
    prompt_tokens: int = 0
    texts: list[bytes] = attrs.field(factory=list)

    def output_text(self) -> str:
        """Return the output text so far."""
        return b''.join(self.texts).decode('utf-8', 'replace')


@attrs.frozen
class AttemptFailed:
    """End of an attempt that did not complete the response.

    Attributes:
        failure: The failure to return to the caller if no retry follows.
        link: The link to the agent whose upstream failed, if any.
        crashed_upstream: Whether the upstream crashed during the attempt.
        retryable: Whether another attempt may succeed.
    """

    failure: Failure
    link: Link | None = None
    crashed_upstream: bool = False
    retryable: bool = True


@attrs.define
class AttemptTimestamps:
    """Timestamps of an attempt, from which its durations are computed.

    Attributes:
        decode_granted_at: Monotonic time of the decode reservation.
        prefill_granted_at: Monotonic time of the prefill reservation.
        prefill_sent_at: Monotonic time at which the prefill was sent.
        prefilled_at: Monotonic time at which its result arrived.
        computed_tokens: Prompt tokens that were not cached at the prefill.
    """

    decode_granted_at: float
    prefill_granted_at: float = 0
    prefill_sent_at: float = 0
    prefilled_at: float = 0
    computed_tokens: int = 0

    def record_granted(self, now: float, *, decode: bool) -> None:
        """Record the time at which a reservation was granted."""
        if decode:
            self.decode_granted_at = now
        else:
            self.prefill_granted_at = now

    def record_prefilled(self, prefilled: Prefilled, now: float) -> None:
        """Record the result of a prefill at a separate upstream."""
        self.prefilled_at = now
        computed_tokens = prefilled.prompt_tokens - prefilled.cached_tokens
        self.computed_tokens = computed_tokens

    def durations(self, serves: str, now: float) -> AttemptDurations:
        """Return the durations of an attempt that ends at `now`."""
        return AttemptDurations(
            serves,
            self.computed_tokens,
            self.prefilled_at - self.prefill_sent_at,
            self.prefilled_at - self.prefill_granted_at,
            now - self.decode_granted_at,
        )


def reservation_timeout() -> Overloaded:
    """Return the failure of an attempt whose reservation timed out."""
    return Overloaded('no upstream had a place within the latency target')


@attrs.define
class Attempt:
    """State of one attempt.

    Attributes:
        plan: Upstreams and parameters of the attempt.
        mailbox: Mailbox in which the agents' messages arrive.
        request: The model request.
        client_account: Client account of the caller.
        progress: Output of the request, shared by its attempts.
        prefill_reserved: Whether the prefill reservation is still held.
        timestamps: Timestamps of the attempt.
    """

    plan: AttemptPlan
    mailbox: Mailbox
    request: ModelRequest
    client_account: str
    progress: Progress
    prefill_reserved: bool = False
    timestamps: AttemptTimestamps = attrs.field(
        factory=lambda: AttemptTimestamps(monotonic())
    )

    def run(self) -> Iterator[Tokens | Finished | AttemptFailed]:
        """Yield token batches, then the end of the response or a failure."""
        failed = self._reserve()
        start_failure = failed or self._start()
        if start_failure is not None:
            self.cancel()
            yield start_failure
            return
        yield from self._stream()

    @property
    def prompt(self) -> str:
        """Return the prompt followed by the output so far."""
        return self.request.prompt + self.progress.output_text()

    def _start(self) -> AttemptFailed | None:
        """Send the decode, preceded by a prefill at a separate upstream.

        Without a separate prefill upstream, the decode upstream gets the
        prompt and computes the prefill itself.
        """
        if self.plan.prefill is self.plan.decode:
            send_failure = self._send_decode('', '', self.prompt)
        else:
            prefilled = self._prefill()
            if isinstance(prefilled, AttemptFailed):
                return prefilled
            self.prefill_reserved = True
            send_failure = self._send_decode(
                prefilled.handle, prefilled.source_url
            )
        return (
            AttemptFailed(send_failure, self.plan.decode)
            if send_failure
            else None
        )

    def cancel(self, *, keep: bool = False, final: bool = False) -> None:
        """Cancel the attempt at both agents, which then free its memory.

        Args:
            keep: Whether a decode with an idempotency key continues.
            final: Whether no other attempt follows.
        """
        for link in (self.plan.decode, self.plan.prefill):
            link.send(
                Cancel(self.mailbox.request_id, self.plan.number, keep, final),
            )

    def _reserve(self) -> AttemptFailed | None:
        pending = {self.plan.decode, self.plan.prefill}
        for link in tuple(pending):
            failure = link.send(self._reserve_message(link))
            if failure is not None:
                return AttemptFailed(failure, link)
        while pending:
            incoming = self._receive(self.plan.reserve_deadline, '')
            if isinstance(incoming, AttemptFailed):
                return incoming
            if isinstance(incoming.message, Reserved):
                pending.discard(incoming.link)
                self.plan.on_granted(incoming.link)
                is_decode = incoming.link is self.plan.decode
                self.timestamps.record_granted(monotonic(), decode=is_decode)
        return None

    def _reserve_message(self, link: Link) -> Reserve:
        is_decode = link is self.plan.decode
        request = self.request
        generated_tokens = self.progress.next_index
        # The decode reservation must remain valid until the prefill is done.
        reserved_until = self.plan.reserve_deadline + self.plan.progress_seconds
        remaining = to_remaining_ms(reserved_until, monotonic())
        return Reserve(
            request_id=self.mailbox.request_id,
            attempt=self.plan.number,
            client_account=self.client_account,
            purpose='decode' if is_decode else 'prefill',
            model=request.model.name,
            prompt_tokens=request.prompt_tokens + generated_tokens,
            max_tokens=request.max_tokens - generated_tokens
            if is_decode
            else 0,
            prefixes=self.plan.prefixes,
            priority=request.priority,
            remaining_ms=remaining,
            request_digest=request.digest,
            cost=request.prompt_tokens + request.max_tokens,
            weight=self.plan.weight,
            key_digest=self.plan.key_digest if is_decode else b'',
            alone=self.plan.alone,
            charged=self.plan.charged,
        )

    def _prefill(self) -> Prefilled | AttemptFailed:
        self.timestamps.prefill_sent_at = monotonic()
        deadline = self.timestamps.prefill_sent_at + self.plan.progress_seconds
        failure = self.plan.prefill.send(
            Prefill(
                self.mailbox.request_id,
                self.plan.number,
                self.request.model.name,
                self.prompt,
                to_remaining_ms(deadline, monotonic()),
            ),
        )
        if failure is not None:
            return AttemptFailed(failure, self.plan.prefill)
        while True:
            incoming = self._receive(deadline, 'the prefill', self.plan.prefill)
            if isinstance(incoming, AttemptFailed):
                return incoming
            if isinstance(incoming.message, Prefilled):
                self._record_prompt_tokens(incoming.message)
                self.timestamps.record_prefilled(incoming.message, monotonic())
                return incoming.message

    def _record_prompt_tokens(self, prefilled: Prefilled) -> None:
        if not self.progress.prompt_tokens:
            self.progress.prompt_tokens = prefilled.prompt_tokens

    def _send_decode(
        self,
        handle: str,
        source_url: str,
        prompt: str = '',
    ) -> LinkClosed | None:
        request = self.request
        now = monotonic()
        deadline = now + self.plan.progress_seconds
        return self.plan.decode.send(
            Decode(
                request_id=self.mailbox.request_id,
                attempt=self.plan.number,
                handle=handle,
                source_url=source_url,
                first_index=self.progress.next_index,
                max_tokens=request.max_tokens,
                priority=request.priority,
                remaining_ms=to_remaining_ms(deadline, now),
                prompt=prompt,
                emitted=self._output_to_store(),
                counted_prompt=self.progress.prompt_tokens,
            ),
        )

    def _output_to_store(self) -> bytes:
        """Return the output so far if the agent has to store the response.

        Agents store responses only for requests with an idempotency key.
        """
        return b''.join(self.progress.texts) if self.plan.key_digest else b''

    def _stream(self) -> Iterator[Tokens | Finished | AttemptFailed]:
        while True:
            deadline = monotonic() + self.plan.progress_seconds
            incoming = self._receive(deadline, 'the decode', self.plan.decode)
            if isinstance(incoming, AttemptFailed):
                disconnected = isinstance(incoming.failure, CallerDisconnected)
                self.cancel(keep=disconnected, final=not incoming.retryable)
                yield incoming
                return
            event = self._accept(incoming.message)
            if event is not None:
                self._free_prefill()
                yield event
            if isinstance(event, Finished):
                return

    def _free_prefill(self) -> None:
        """Cancel the prefill reservation once the decode has its result."""
        if self.prefill_reserved:
            self.prefill_reserved = False
            key = (self.mailbox.request_id, self.plan.number)
            self.plan.prefill.send(Cancel(*key))

    def _accept(self, message: Message) -> Tokens | Finished | None:
        """Return a message that continues the response, or None.

        Records the progress. Tokens and ends at another index are dropped.
        """
        if isinstance(message, Prefilled):
            self._record_prompt_tokens(message)
        if isinstance(message, Tokens):
            if message.first_index != self.progress.next_index:
                return None
            self.progress.next_index += message.count
            self.progress.texts.append(message.text)
            return message
        if isinstance(message, Finished):
            is_next = message.next_index == self.progress.next_index
            return message if is_next else None
        return None

    def _receive(
        self,
        deadline: float,
        operation: str,
        timeout_link: Link | None = None,
    ) -> Delivery | AttemptFailed:
        """Return the next message of this attempt, or why it failed.

        Args:
            deadline: Monotonic time at which the wait times out.
            operation: Operation named in the timeout's failure; empty while a
                reservation is pending.
            timeout_link: The link to which a timeout is attributed.
        """
        while True:
            incoming = self.mailbox.wait(deadline)
            if incoming is None:
                failure = (
                    progress_timeout(operation)
                    if operation
                    else reservation_timeout()
                )
                return AttemptFailed(failure, timeout_link)
            if isinstance(incoming, Failure):
                return AttemptFailed(incoming, retryable=False)
            if isinstance(incoming, LinkLost):
                link_failure = self._link_failure(incoming.link)
                if link_failure is not None:
                    return link_failure
            elif self._is_current(incoming.message):
                return self._convert_failed(incoming)

    def _link_failure(self, link: Link) -> AttemptFailed | None:
        if link not in {self.plan.decode, self.plan.prefill}:
            return None
        failure = UpstreamFailed(
            'the connection to the upstream was lost',
            Outcome.failed,
        )
        return AttemptFailed(failure, link)

    def _is_current(self, message: Message) -> bool:
        return getattr(message, 'attempt', None) == self.plan.number

    def _convert_failed(self, incoming: Delivery) -> Delivery | AttemptFailed:
        message = incoming.message
        if not isinstance(message, Failed):
            return incoming
        retry_at = to_retry_at(message.retry_ms, monotonic())
        failure = failure_from(message, retry_at)
        return AttemptFailed(
            failure,
            incoming.link,
            message.crashed_upstream,
        )
