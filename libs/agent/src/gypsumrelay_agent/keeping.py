"""Responses to requests with an idempotency key.

The agent stores them and forwards them to entries.
"""

from __future__ import annotations

from typing import Final

import attrs
from gypsumrelay_claims import (
    ClaimKey,
    Part,
    ResponseHead,
    ResponseRead,
    ResponseState,
    StoredResponses,
    append_part,
    begin_response,
    expire_responses,
    fail_response,
    finish_response,
    lose_response,
    read_response,
    set_head,
)
from gypsumrelay_errors import (
    Failure,
    IdempotencyKeyRunning,
    Outcome,
    OutcomeUnknown,
    Overloaded,
)
from gypsumrelay_upstreams import Key
from gypsumrelay_wire import (
    AnswerBody,
    AnswerStart,
    Decode,
    Failed,
    Finished,
    Link,
    Message,
    Prefilled,
    Resume,
    Tokens,
    to_deadline,
)

from gypsumrelay_agent import events
from gypsumrelay_agent.replies import failed_from, failure_of_message

# Time for which a `Resume` message waits for an unknown response. The request
# that holds the claim may not have arrived yet.
RESUME_WAIT_SECONDS: Final = 2.0
# Retention of a response whose run has not ended. The time limit of runs is ten
# minutes; a response that is incomplete after this time counts as lost.
RUNNING_SECONDS: Final = 700.0
RETRY_SECONDS: Final = 1.0
PROMPT_TOKENS: Final = 'prompt-tokens'
OK: Final = 200


@attrs.frozen
class Listener:
    """Request of an entry to which a response is forwarded."""

    link: Link
    request_id: str
    attempt: int

    def send(self, message: Message) -> None:
        """Send a message of the run under the ids of this request."""
        addressed = attrs.evolve(
            message,  # type: ignore[call-arg]
            request_id=self.request_id,
            attempt=self.attempt,
        )
        self.link.send(addressed)


@attrs.define
class KeptRun:
    """A run whose response is stored.

    Attributes:
        key: Attempt that the run belongs to.
        claim_key: Idempotency key and its client account.
        listeners: Requests to which the response is forwarded.
    """

    key: Key
    claim_key: ClaimKey
    listeners: list[Listener]


@attrs.frozen
class WaitingResume:
    """A `Resume` message for a response that is not known yet.

    Attributes:
        listener: Request to which the response is forwarded.
        message: The message.
        until: Time in seconds after which the request fails.
    """

    listener: Listener
    message: Resume
    until: float


@attrs.define(eq=False)
class Keeping:
    """Stored responses and the runs that produce them.

    Attributes:
        store: The stored responses.
        keep_seconds: Retention of a complete response in seconds.
        runs: Runs that may still produce output, by attempt.
        waiting: `Resume` messages for responses that are not known yet.
    """

    store: StoredResponses
    keep_seconds: float
    runs: dict[Key, KeptRun] = attrs.field(factory=dict)
    waiting: list[WaitingResume] = attrs.field(factory=list)


@attrs.frozen
class KeptOutput:
    """Output of a run with an idempotency key, used in place of a link."""

    key: Key
    tell: events.Tell

    def send(self, message: Message) -> None:
        """Send output to the actor, which stores and forwards it."""
        self.tell(events.RunOutput(self.key, message))


def keep_run(
    keeping: Keeping,
    key: Key,
    claim_key: ClaimKey,
    link: Link,
    now: float,
) -> Failure | None:
    """Register a run whose response is stored.

    Returns:
        The failure with which the run must be rejected, or None.
    """
    keep_until = now + RUNNING_SECONDS
    store = keeping.store
    if not begin_response(store, claim_key, key.request_id, keep_until):
        if claim_key in store.running:
            return IdempotencyKeyRunning(
                'a request with this idempotency key runs',
                retry_at=now + RETRY_SECONDS,
            )
        return Overloaded(
            'the memory for stored responses is full',
            retry_at=now + RETRY_SECONDS,
        )
    listener = Listener(link, key.request_id, key.attempt)
    older = [
        known for known in keeping.runs if known.request_id == key.request_id
    ]
    kept = KeptRun(key, claim_key, [listener])
    for gone in older:
        kept.listeners.extend(keeping.runs.pop(gone).listeners[1:])
    keeping.runs[key] = kept
    _answer_waiting(keeping, now)
    return None


def keep_emitted(keeping: Keeping, key: Key, order: Decode) -> None:
    """Store output that the request produced at other agents."""
    kept = keeping.runs.get(key)
    if kept is None or kept.claim_key not in keeping.store.running:
        return
    store, claim_key = keeping.store, kept.claim_key
    if order.first_index:
        # An earlier attempt may have stored tokens here that its entry never
        # received. The response restarts with the tokens that the caller has.
        keep_until = store.running[claim_key].keep_until
        lose_response(store, claim_key, key.request_id)
        begin_response(store, claim_key, key.request_id, keep_until)
        text = order.emitted.decode('utf-8', 'replace')
        part = Part(0, order.first_index, text)
        append_part(store, claim_key, key.request_id, part)
    if order.counted_prompt:
        _store_prompt(keeping, kept, order.counted_prompt)


def take_output(
    keeping: Keeping,
    key: Key,
    message: Message,
    now: float,
) -> None:
    """Store a message of a run and forward it to all listeners."""
    kept = keeping.runs.get(key)
    if kept is None:
        return
    _store(keeping, kept, message, now)
    for listener in kept.listeners:
        listener.send(message)
    if _is_last(message):
        keeping.runs.pop(key)


def resume(
    keeping: Keeping,
    link: Link,
    message: Resume,
    now: float,
) -> Key | None:
    """Send the stored part of a response and subscribe to the rest.

    Returns:
        The attempt of the run if it is still running, else None.
    """
    listener = Listener(link, message.request_id, message.attempt)
    deadline = to_deadline(message.remaining_ms, now)
    until = min(deadline, now + RESUME_WAIT_SECONDS)
    waiting = WaitingResume(listener, message, until)
    if _answer(keeping, waiting):
        kept = _kept_run(keeping, _claim_key(message))
        return kept.key if kept else None
    keeping.waiting.append(waiting)
    return None


def drop_listener(
    keeping: Keeping,
    request_id: str,
    attempt: int,
) -> Key | None:
    """Stop forwarding a response to a request.

    Returns:
        The attempt of the run whose response was forwarded, or None.
    """
    for key, kept in keeping.runs.items():
        for listener in kept.listeners:
            if (listener.request_id, listener.attempt) == (request_id, attempt):
                kept.listeners.remove(listener)
                return key
    return None


def drop_link(keeping: Keeping, link: Link) -> None:
    """Stop forwarding responses to a closed link."""
    for kept in keeping.runs.values():
        kept.listeners = [
            listener for listener in kept.listeners if listener.link is not link
        ]


def tick_responses(keeping: Keeping, now: float) -> None:
    """Delete expired responses and fail `Resume` messages that timed out."""
    expire_responses(keeping.store, now)
    overdue = [one for one in keeping.waiting if one.until <= now]
    keeping.waiting = [one for one in keeping.waiting if one.until > now]
    for waiting in overdue:
        waiting.listener.send(_unknown(waiting.listener))


def _answer_waiting(keeping: Keeping, now: float) -> None:
    keeping.waiting = [
        one for one in keeping.waiting if not _answer(keeping, one)
    ]


def _answer(keeping: Keeping, waiting: WaitingResume) -> bool:
    message = waiting.message
    claim_key = _claim_key(message)
    read = read_response(keeping.store, claim_key, message.next_index)
    if read is None:
        return False
    listener = waiting.listener
    if read.state is ResponseState.lost:
        listener.send(_unknown(listener))
        return True
    _send_read(listener, read)
    if read.state is ResponseState.running:
        kept = _kept_run(keeping, claim_key)
        if kept is None:
            listener.send(_unknown(listener))
        else:
            kept.listeners.append(listener)
    return True


def _kept_run(keeping: Keeping, claim_key: ClaimKey) -> KeptRun | None:
    for kept in keeping.runs.values():
        if kept.claim_key == claim_key:
            return kept
    return None


def _claim_key(message: Resume) -> ClaimKey:
    return (message.client_account, message.key_digest.hex())


def _unknown(listener: Listener) -> Failed:
    return failed_from(
        Key(listener.request_id, listener.attempt),
        OutcomeUnknown('the response was not kept', Outcome.unknown),
    )


def _send_read(listener: Listener, read: ResponseRead) -> None:
    request_id, attempt = listener.request_id, listener.attempt
    if read.head is not None:
        _send_head(listener, read.head)
    for part in read.parts:
        if isinstance(part.content, str):
            listener.link.send(
                Tokens(
                    request_id,
                    attempt,
                    part.first,
                    part.count,
                    part.content.encode(),
                ),
            )
        else:
            listener.link.send(
                AnswerBody(
                    request_id,
                    attempt,
                    part.first,
                    part.content,
                    last=False,
                ),
            )
    _send_end(listener, read)


def _send_end(listener: Listener, read: ResponseRead) -> None:
    request_id, attempt = listener.request_id, listener.attempt
    if read.state is ResponseState.failed and read.failure is not None:
        key = Key(request_id, attempt)
        listener.link.send(failed_from(key, read.failure))
    elif read.state is ResponseState.finished and read.reason:
        listener.link.send(
            Finished(request_id, attempt, read.next_index, read.reason),
        )
    elif read.state is ResponseState.finished:
        listener.link.send(
            AnswerBody(request_id, attempt, read.next_index, b'', last=True),
        )


def _send_head(listener: Listener, head: ResponseHead) -> None:
    if head.headers[:1] and head.headers[0][0] == PROMPT_TOKENS:
        prompt_tokens = int(head.headers[0][1])
        listener.link.send(
            Prefilled(
                listener.request_id,
                listener.attempt,
                '',
                '',
                prompt_tokens,
                0,
            ),
        )
        return
    listener.link.send(
        AnswerStart(
            listener.request_id,
            listener.attempt,
            head.status,
            [list(pair) for pair in head.headers],
        ),
    )


def _store(
    keeping: Keeping,
    kept: KeptRun,
    message: Message,
    now: float,
) -> None:
    store, key = keeping.store, kept.claim_key
    request_id = kept.key.request_id
    keep_until = now + keeping.keep_seconds
    if isinstance(message, Failed):
        failure = failure_of_message(message, now)
        fail_response(store, key, request_id, failure, keep_until)
    elif isinstance(message, Finished):
        finish_response(store, key, request_id, message.reason, keep_until)
    elif isinstance(message, AnswerBody) and message.last:
        _store_content(keeping, kept, message)
        finish_response(store, key, request_id, '', keep_until)
    elif isinstance(message, Prefilled):
        _store_prompt(keeping, kept, message.prompt_tokens)
    else:
        _store_content(keeping, kept, message)


def _store_content(keeping: Keeping, kept: KeptRun, message: Message) -> None:
    store, key = keeping.store, kept.claim_key
    request_id = kept.key.request_id
    if isinstance(message, AnswerStart):
        pairs = tuple((name, text) for name, text in message.headers)
        set_head(store, key, request_id, ResponseHead(message.status, pairs))
    elif isinstance(message, AnswerBody):
        piece = Part(message.first_byte, len(message.chunk), message.chunk)
        append_part(store, key, request_id, piece)
    elif isinstance(message, Tokens):
        text = message.text.decode('utf-8', 'replace')
        batch = Part(message.first_index, message.count, text)
        append_part(store, key, request_id, batch)


def _store_prompt(keeping: Keeping, kept: KeptRun, tokens: int) -> None:
    """Store the prompt's token count for the usage field of a retry."""
    head = ResponseHead(OK, ((PROMPT_TOKENS, str(tokens)),))
    set_head(keeping.store, kept.claim_key, kept.key.request_id, head)


def _is_last(message: Message) -> bool:
    if isinstance(message, AnswerBody):
        return message.last
    return isinstance(message, (Finished, Failed))
