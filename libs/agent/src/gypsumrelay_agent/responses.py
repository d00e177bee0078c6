"""Responses to requests with an idempotency key.

The agent stores them and forwards them to entries.
"""

from __future__ import annotations

from typing import Final

import attrs
from gypsumrelay_claims import (
    ClaimKey,
    ResponseHead,
    ResponsePart,
    ResponseRead,
    ResponseState,
    StoredResponses,
    append_part,
    begin_response,
    expire_responses,
    fail_response,
    finish_response,
    mark_response_lost,
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
from gypsumrelay_agent.failures import failed_message, failure_from_message

# Time for which a `Resume` message waits for an unknown response. The request
# that holds the claim may not have arrived yet.
RESUME_TIMEOUT_SECONDS: Final = 2.0
# Retention of a response whose run has not ended. The time limit of runs is ten
# minutes; a response that is incomplete after this time counts as lost.
RUNNING_RETENTION_SECONDS: Final = 700.0
RETRY_SECONDS: Final = 1.0
PROMPT_TOKENS: Final = 'prompt-tokens'
HTTP_OK: Final = 200


@attrs.frozen
class Subscriber:
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
class RecordedRun:
    """A run whose response is stored.

    Attributes:
        key: Attempt that the run belongs to.
        claim_key: Idempotency key and its client account.
        subscribers: Requests to which the response is forwarded.
    """

    key: Key
    claim_key: ClaimKey
    subscribers: list[Subscriber]


@attrs.frozen
class PendingResume:
    """A `Resume` message for a response that is not known yet.

    Attributes:
        subscriber: Request to which the response is forwarded.
        message: The message.
        expires_at: Time in seconds after which the request fails.
    """

    subscriber: Subscriber
    message: Resume
    expires_at: float


@attrs.define(eq=False)
class Responses:
    """Stored responses and the runs that produce them.

    Attributes:
        store: The stored responses.
        retention_seconds: Retention of a complete response in seconds.
        runs: Runs that may still produce output, by attempt.
        pending: `Resume` messages for responses that are not known yet.
    """

    store: StoredResponses
    retention_seconds: float
    runs: dict[Key, RecordedRun] = attrs.field(factory=dict)
    pending: list[PendingResume] = attrs.field(factory=list)


@attrs.frozen
class RecordedOutput:
    """Output of a run with an idempotency key, used in place of a link."""

    key: Key
    post_event: events.PostEvent

    def send(self, message: Message) -> None:
        """Send output to the actor, which stores and forwards it."""
        self.post_event(events.RunOutput(self.key, message))


def register_run(
    responses: Responses,
    key: Key,
    claim_key: ClaimKey,
    link: Link,
    now: float,
) -> Failure | None:
    """Register a run whose response is stored.

    Returns:
        The failure with which the run must be rejected, or None.
    """
    expires_at = now + RUNNING_RETENTION_SECONDS
    store = responses.store
    if not begin_response(store, claim_key, key.request_id, expires_at):
        if claim_key in store.running:
            return IdempotencyKeyRunning(
                'a request with this idempotency key runs',
                retry_at=now + RETRY_SECONDS,
            )
        return Overloaded(
            'the memory for stored responses is full',
            retry_at=now + RETRY_SECONDS,
        )
    subscriber = Subscriber(link, key.request_id, key.attempt)
    earlier_keys = [
        run_key
        for run_key in responses.runs
        if run_key.request_id == key.request_id
    ]
    recorded_run = RecordedRun(key, claim_key, [subscriber])
    for earlier_key in earlier_keys:
        recorded_run.subscribers.extend(
            responses.runs.pop(earlier_key).subscribers[1:]
        )
    responses.runs[key] = recorded_run
    _serve_pending(responses, now)
    return None


def store_emitted(
    responses: Responses, key: Key, decode_message: Decode
) -> None:
    """Store output that the request produced at other agents."""
    recorded_run = responses.runs.get(key)
    if (
        recorded_run is None
        or recorded_run.claim_key not in responses.store.running
    ):
        return
    store, claim_key = responses.store, recorded_run.claim_key
    if decode_message.first_index:
        # An earlier attempt may have stored tokens here that its entry never
        # received. The response restarts with the tokens that the caller has.
        expires_at = store.running[claim_key].expires_at
        mark_response_lost(store, claim_key, key.request_id)
        begin_response(store, claim_key, key.request_id, expires_at)
        text = decode_message.emitted.decode('utf-8', 'replace')
        part = ResponsePart(0, decode_message.first_index, text)
        append_part(store, claim_key, key.request_id, part)
    if decode_message.counted_prompt:
        _store_prompt(responses, recorded_run, decode_message.counted_prompt)


def process_output(
    responses: Responses,
    key: Key,
    message: Message,
    now: float,
) -> None:
    """Store a message of a run and forward it to all listeners."""
    recorded_run = responses.runs.get(key)
    if recorded_run is None:
        return
    _store_message(responses, recorded_run, message, now)
    for subscriber in recorded_run.subscribers:
        subscriber.send(message)
    if _is_last(message):
        responses.runs.pop(key)


def resume(
    responses: Responses,
    link: Link,
    message: Resume,
    now: float,
) -> Key | None:
    """Send the stored part of a response and subscribe to the rest.

    Returns:
        The attempt of the run if it is still running, else None.
    """
    subscriber = Subscriber(link, message.request_id, message.attempt)
    deadline = to_deadline(message.remaining_ms, now)
    expires_at = min(deadline, now + RESUME_TIMEOUT_SECONDS)
    pending = PendingResume(subscriber, message, expires_at)
    if _serve_resume(responses, pending):
        recorded_run = _find_run(responses, _claim_key(message))
        return recorded_run.key if recorded_run else None
    responses.pending.append(pending)
    return None


def remove_subscriber(
    responses: Responses,
    request_id: str,
    attempt: int,
) -> Key | None:
    """Stop forwarding a response to a request.

    Returns:
        The attempt of the run whose response was forwarded, or None.
    """
    for key, recorded_run in responses.runs.items():
        for subscriber in recorded_run.subscribers:
            if (subscriber.request_id, subscriber.attempt) == (
                request_id,
                attempt,
            ):
                recorded_run.subscribers.remove(subscriber)
                return key
    return None


def remove_subscriber_link(responses: Responses, link: Link) -> None:
    """Stop forwarding responses to a closed link."""
    for recorded_run in responses.runs.values():
        recorded_run.subscribers = [
            subscriber
            for subscriber in recorded_run.subscribers
            if subscriber.link is not link
        ]


def tick_responses(responses: Responses, now: float) -> None:
    """Delete expired responses and fail `Resume` messages that timed out."""
    expire_responses(responses.store, now)
    overdue = [item for item in responses.pending if item.expires_at <= now]
    responses.pending = [
        item for item in responses.pending if item.expires_at > now
    ]
    for pending in overdue:
        pending.subscriber.send(_outcome_unknown(pending.subscriber))


def _serve_pending(responses: Responses, now: float) -> None:
    responses.pending = [
        item for item in responses.pending if not _serve_resume(responses, item)
    ]


def _serve_resume(responses: Responses, pending: PendingResume) -> bool:
    message = pending.message
    claim_key = _claim_key(message)
    read = read_response(responses.store, claim_key, message.next_index)
    if read is None:
        return False
    subscriber = pending.subscriber
    if read.state is ResponseState.lost:
        subscriber.send(_outcome_unknown(subscriber))
        return True
    _send_response(subscriber, read)
    if read.state is ResponseState.running:
        recorded_run = _find_run(responses, claim_key)
        if recorded_run is None:
            subscriber.send(_outcome_unknown(subscriber))
        else:
            recorded_run.subscribers.append(subscriber)
    return True


def _find_run(responses: Responses, claim_key: ClaimKey) -> RecordedRun | None:
    for recorded_run in responses.runs.values():
        if recorded_run.claim_key == claim_key:
            return recorded_run
    return None


def _claim_key(message: Resume) -> ClaimKey:
    return (message.client_account, message.key_digest.hex())


def _outcome_unknown(subscriber: Subscriber) -> Failed:
    return failed_message(
        Key(subscriber.request_id, subscriber.attempt),
        OutcomeUnknown('the response was not kept', Outcome.unknown),
    )


def _send_response(subscriber: Subscriber, read: ResponseRead) -> None:
    request_id, attempt = subscriber.request_id, subscriber.attempt
    if read.head is not None:
        _send_head(subscriber, read.head)
    for part in read.parts:
        if isinstance(part.content, str):
            subscriber.link.send(
                Tokens(
                    request_id,
                    attempt,
                    part.first_index,
                    part.count,
                    part.content.encode(),
                ),
            )
        else:
            subscriber.link.send(
                AnswerBody(
                    request_id,
                    attempt,
                    part.first_index,
                    part.content,
                    last=False,
                ),
            )
    _send_end(subscriber, read)


def _send_end(subscriber: Subscriber, read: ResponseRead) -> None:
    request_id, attempt = subscriber.request_id, subscriber.attempt
    if read.state is ResponseState.failed and read.failure is not None:
        key = Key(request_id, attempt)
        subscriber.link.send(failed_message(key, read.failure))
    elif read.state is ResponseState.finished and read.reason:
        subscriber.link.send(
            Finished(request_id, attempt, read.next_index, read.reason),
        )
    elif read.state is ResponseState.finished:
        subscriber.link.send(
            AnswerBody(request_id, attempt, read.next_index, b'', last=True),
        )


def _send_head(subscriber: Subscriber, head: ResponseHead) -> None:
    if head.headers[:1] and head.headers[0][0] == PROMPT_TOKENS:
        prompt_tokens = int(head.headers[0][1])
        subscriber.link.send(
            Prefilled(
                subscriber.request_id,
                subscriber.attempt,
                '',
                '',
                prompt_tokens,
                0,
            ),
        )
        return
    subscriber.link.send(
        AnswerStart(
            subscriber.request_id,
            subscriber.attempt,
            head.status,
            [list(pair) for pair in head.headers],
        ),
    )


def _store_message(
    responses: Responses,
    recorded_run: RecordedRun,
    message: Message,
    now: float,
) -> None:
    store, key = responses.store, recorded_run.claim_key
    request_id = recorded_run.key.request_id
    expires_at = now + responses.retention_seconds
    if isinstance(message, Failed):
        failure = failure_from_message(message, now)
        fail_response(store, key, request_id, failure, expires_at)
    elif isinstance(message, Finished):
        finish_response(store, key, request_id, message.reason, expires_at)
    elif isinstance(message, AnswerBody) and message.last:
        _store_content(responses, recorded_run, message)
        finish_response(store, key, request_id, '', expires_at)
    elif isinstance(message, Prefilled):
        _store_prompt(responses, recorded_run, message.prompt_tokens)
    else:
        _store_content(responses, recorded_run, message)


def _store_content(
    responses: Responses, recorded_run: RecordedRun, message: Message
) -> None:
    store, key = responses.store, recorded_run.claim_key
    request_id = recorded_run.key.request_id
    if isinstance(message, AnswerStart):
        pairs = tuple((name, text) for name, text in message.headers)
        set_head(store, key, request_id, ResponseHead(message.status, pairs))
    elif isinstance(message, AnswerBody):
        piece = ResponsePart(
            message.first_byte, len(message.chunk), message.chunk
        )
        append_part(store, key, request_id, piece)
    elif isinstance(message, Tokens):
        text = message.text.decode('utf-8', 'replace')
        batch = ResponsePart(message.first_index, message.count, text)
        append_part(store, key, request_id, batch)


def _store_prompt(
    responses: Responses, recorded_run: RecordedRun, tokens: int
) -> None:
    """Store the prompt's token count for the usage field of a retry."""
    head = ResponseHead(HTTP_OK, ((PROMPT_TOKENS, str(tokens)),))
    set_head(
        responses.store,
        recorded_run.claim_key,
        recorded_run.key.request_id,
        head,
    )


def _is_last(message: Message) -> bool:
    if isinstance(message, AnswerBody):
        return message.last
    return isinstance(message, (Finished, Failed))
