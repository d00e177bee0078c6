"""Responses of keyed runs: stored here and passed on to entries."""

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

# The claim's holder may still be about to send its request.
RESUME_WAIT_SECONDS: Final = 2.0
# Runs end within ten minutes; what is still kept as running is lost then.
RUNNING_SECONDS: Final = 700.0
RETRY_SECONDS: Final = 1.0
PROMPT_TOKENS: Final = 'prompt-tokens'
OK: Final = 200


@attrs.frozen
class Listener:
    """An entry's request that a response is passed on to."""

    link: Link
    request_id: str
    attempt: int

    def send(self, message: Message) -> None:
        """Send a message of the run as one of this request."""
        addressed = attrs.evolve(
            message,  # type: ignore[call-arg]
            request_id=self.request_id,
            attempt=self.attempt,
        )
        self.link.send(addressed)


@attrs.define
class KeptRun:
    """A run whose response is stored."""

    key: Key
    claim_key: ClaimKey
    listeners: list[Listener]


@attrs.frozen
class WaitingResume:
    """A question for a response that is not known here yet."""

    listener: Listener
    message: Resume
    until: float


@attrs.define(eq=False)
class Keeping:
    """Stored responses and the runs that they come from.

    Attributes:
        runs: Runs that may still produce output, by attempt.
        waiting: Questions for responses that are not known yet.
    """

    store: StoredResponses
    keep_seconds: float
    runs: dict[Key, KeptRun] = attrs.field(factory=dict)
    waiting: list[WaitingResume] = attrs.field(factory=list)


@attrs.frozen
class KeptOutput:
    """Takes the output of a keyed run in place of a link."""

    key: Key
    tell: events.Tell

    def send(self, message: Message) -> None:
        """Give output to the actor, which stores it and passes it on."""
        self.tell(events.RunOutput(self.key, message))


def keep_run(
    keeping: Keeping,
    key: Key,
    claim_key: ClaimKey,
    link: Link,
    now: float,
) -> Failure | None:
    """Store the response of a run; return why it must not run."""
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
    """Store what earlier steps of the request elsewhere have produced."""
    kept = keeping.runs.get(key)
    if kept is None or kept.claim_key not in keeping.store.running:
        return
    store, claim_key = keeping.store, kept.claim_key
    if order.first_index:
        # An earlier attempt here may have stored tokens that its entry never
        # got; the response begins anew with those that the caller has.
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
    """Store a message of a run and pass it on."""
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
    """Send what is known of a response; return the run that goes on."""
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
    """Send a response no longer to a request; return the run it followed."""
    for key, kept in keeping.runs.items():
        for listener in kept.listeners:
            if (listener.request_id, listener.attempt) == (request_id, attempt):
                kept.listeners.remove(listener)
                return key
    return None


def drop_link(keeping: Keeping, link: Link) -> None:
    """Send responses no longer to a link that closed."""
    for kept in keeping.runs.values():
        kept.listeners = [
            listener for listener in kept.listeners if listener.link is not link
        ]


def tick_responses(keeping: Keeping, now: float) -> None:
    """Drop old responses and answer questions that waited too long."""
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
    """Keep the prompt's token count, which the usage of a repeat needs."""
    head = ResponseHead(OK, ((PROMPT_TOKENS, str(tokens)),))
    set_head(keeping.store, kept.claim_key, kept.key.request_id, head)


def _is_last(message: Message) -> bool:
    if isinstance(message, AnswerBody):
        return message.last
    return isinstance(message, (Finished, Failed))
