"""Committer of this agent, which records claims of idempotency keys."""

from __future__ import annotations

import threading
from concurrent.futures import Executor
from functools import partial
from typing import TYPE_CHECKING

import attrs
from gypsumrelay_claims import (
    Action,
    Append,
    AppendResult,
    Claim,
    ClaimKey,
    Committer,
    CommitterSettings,
    Granted,
    LogRead,
    ReadLog,
    Taken,
    Unavailable,
    apply_read,
    complete,
    flush,
    next_flush_at,
    on_append_result,
    release,
    run_maintenance,
    submit,
)
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure, Outcome
from gypsumrelay_wire import Claim as ClaimMessage
from gypsumrelay_wire import (
    Claimed,
    ClaimTaken,
    Failed,
    Link,
    ReleaseClaim,
    to_deadline,
    to_retry_ms,
)

from gypsumrelay_agent import events

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumrelay_limits import Member
    from gypsumrelay_platform import Batch, LogClient

    from gypsumrelay_agent.runs import PostEvent


@attrs.define(eq=False)
class Claims:
    """Claims that this agent records for entries.

    Attributes:
        member: Name and incarnation of this agent.
        claim_seconds: Retention of a claim in seconds.
        log_client: Client of the log.
        executor: Threads for reads of the log and appends.
        post_event: Sends an event to the actor.
        committer: State of the committer. Set when the list names this agent
            as a committer, or when an entry that read the list earlier sends
            a claim; then kept until the process ends.
        waiting_links: Links that wait for the reply to a claim, by request id.
        is_reading: Whether a read of the log is in progress.
        read_again: Whether the log must be read again after that read.
        timer_due_at: Time in seconds at which the pending timer expires,
            infinity if there is none.
    """

    member: Member
    claim_seconds: float
    log_client: LogClient
    executor: Executor
    post_event: PostEvent
    committer: Committer | None = None
    waiting_links: dict[str, Link] = attrs.field(factory=dict)
    is_reading: bool = False
    read_again: bool = False
    timer_due_at: float = float('inf')


def claim_key_of(client_account: str, digest: bytes) -> ClaimKey:
    """Return the key of a claim from the fields of a message."""
    return (client_account, digest.hex())


def observe_committers(
    claims: Claims,
    names: Iterable[str],
    now: float,
) -> None:
    """Apply the names of the deployment's committers from the list."""
    committer_names = tuple(names)
    if claims.committer is not None:
        claims.committer.committers = committer_names
    elif claims.member.name in committer_names:
        _start_committer(claims, committer_names, now)


def receive_claim(
    claims: Claims,
    link: Link,
    message: ClaimMessage,
    now: float,
) -> None:
    """Process a claim of an entry.

    If this agent is not a committer yet, the entry has read a newer list, so
    the agent becomes one.
    """
    committer = claims.committer or _start_committer(claims, (), now)
    claim = Claim(
        message.client_account,
        message.key_digest.hex(),
        message.request_digest.hex(),
        message.request_id,
        message.agent,
        message.durable,
        to_deadline(message.remaining_ms, now),
    )
    if message.replaces and not message.durable:
        # Ends a claim that is only in memory, if that request still holds it.
        complete(committer, claim.key, message.replaces, now)
    claims.waiting_links[message.request_id] = link
    _perform(claims, submit(committer, claim, now), now)


def receive_release(
    claims: Claims,
    message: ReleaseClaim,
    now: float,
) -> None:
    """Release the claim of a request that its entry will not dispatch."""
    if claims.committer is None:
        return
    key = claim_key_of(message.client_account, message.key_digest)
    release(claims.committer, key, message.request_id, now)
    claims.waiting_links.pop(message.request_id, None)
    _perform(claims, [], now)


def process_log_read(
    claims: Claims,
    batch: Batch | Failure,
    now: float,
    *,
    by_committer: bool,
) -> None:
    """Process a read of the log by the follower or by the committer.

    The follower skips records that are included in a peer's copy of the
    configuration, so the committer itself reads the records that it lacks.

    Args:
        claims: State of the claims.
        batch: Records that were read, or the failure of the read.
        now: Current time in seconds.
        by_committer: Whether the committer started the read.
    """
    committer = claims.committer
    if committer is None:
        return
    new_actions: list[Action] = []
    if by_committer:
        claims.is_reading = False
        if claims.read_again:
            claims.read_again = False
            new_actions.append(ReadLog())
    if isinstance(batch, Failure):
        _perform(claims, new_actions, now)
        return
    new_actions.extend(apply_read(committer, _to_log_read(batch), now))
    if by_committer and not batch.at_end:
        new_actions.append(ReadLog())
    _perform(claims, new_actions, now)


def process_append_result(
    claims: Claims,
    append_id: str,
    result: AppendResult,
    now: float,
) -> None:
    """Process the result of an append."""
    if claims.committer is not None:
        new_actions = on_append_result(claims.committer, append_id, result, now)
        _perform(claims, new_actions, now)


def tick_claims(claims: Claims, now: float) -> None:
    """Expire claims and perform the actions that are due."""
    if claims.committer is not None:
        run_maintenance(claims.committer, now)
        _perform(claims, [], now)


def remove_link(claims: Claims, link: Link) -> None:
    """Discard the pending replies to a closed link."""
    for request_id, waiting_link in list(claims.waiting_links.items()):
        if waiting_link is link:
            claims.waiting_links.pop(request_id)


def _start_committer(
    claims: Claims,
    committer_names: tuple[str, ...],
    now: float,
) -> Committer:
    """Create the committer and start to read the log from its start."""
    member = claims.member
    committer = Committer(
        member.name,
        f'{member.name}.{member.incarnation}',
        CommitterSettings(claims.claim_seconds),
        committer_names,
    )
    claims.committer = committer
    _perform(claims, [ReadLog()], now)
    return committer


def _perform(
    claims: Claims,
    actions: list[Action],
    now: float,
) -> None:
    """Perform actions and due appends, then set the timer."""
    if claims.committer is None:
        return
    actions.extend(flush(claims.committer, now))
    for action in actions:
        if isinstance(action, Append):
            claims.executor.submit(partial(_append, claims, action))
        elif isinstance(action, ReadLog):
            _start_read(claims, claims.committer.next_offset)
        else:
            _send_reply(claims, action, now)
    _set_timer(claims, claims.committer, now)


def _send_reply(
    claims: Claims,
    action: Granted | Taken | Unavailable,
    now: float,
) -> None:
    link = claims.waiting_links.pop(action.request_id, None)
    if link is None:
        return
    if isinstance(action, Granted):
        link.send(Claimed(action.request_id))
    elif isinstance(action, Taken):
        link.send(
            ClaimTaken(
                action.request_id,
                action.holder_request_id,
                action.holder_agent,
                action.same_body,
            ),
        )
    else:
        link.send(_failed_message(action.request_id, action.failure, now))


def _failed_message(request_id: str, failure: Failure, now: float) -> Failed:
    return Failed(
        request_id,
        0,
        failure.code,
        failure.sentence,
        failure.outcome.value,
        to_retry_ms(failure.retry_at, now),
    )


def _append(claims: Claims, action: Append) -> None:
    """Append records and send the result to the actor; blocks."""
    response = claims.log_client.append(list(action.records))
    result = AppendResult.recorded
    if isinstance(response, Failure):
        result = AppendResult.unknown
        if response.outcome is Outcome.not_run:
            result = AppendResult.not_recorded
    claims.post_event(events.AppendFinished(action.append_id, result))


def _start_read(claims: Claims, offset: int) -> None:
    """Read the log in another thread, with at most one read in progress."""
    if claims.is_reading:
        claims.read_again = True
        return
    claims.is_reading = True
    claims.executor.submit(partial(_read_log, claims, offset))


def _read_log(claims: Claims, offset: int) -> None:
    batch = claims.log_client.read(offset)
    claims.post_event(events.LogRead(batch, by_committer=True))


def _to_log_read(batch: Batch) -> LogRead:
    """Convert a read for the committer, without malformed records."""
    start_offset = (
        batch.entries[0].offset if batch.entries else batch.next_offset
    )
    entries = tuple(
        (entry.offset, entry.record)
        for entry in batch.entries
        if not isinstance(entry.record, Failure)
    )
    return LogRead(
        start_offset,
        entries,
        batch.next_offset,
        batch.oldest,
        batch.at_end,
    )


def _set_timer(claims: Claims, committer: Committer, now: float) -> None:
    """Set a timer for the next due action, since ticks are too coarse."""
    due_at = next_flush_at(committer)
    if due_at is None:
        return
    if now < claims.timer_due_at <= due_at:
        return
    claims.timer_due_at = due_at

    def post_timer_event() -> None:
        claims.post_event(events.ClaimTimerExpired())

    timer = threading.Timer(max(0, due_at - monotonic()), post_timer_event)
    timer.daemon = True
    timer.start()


def process_timer(claims: Claims, now: float) -> None:
    """Perform the actions that are due when the timer expires."""
    claims.timer_due_at = float('inf')
    _perform(claims, [], now)
