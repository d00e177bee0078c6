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
    complete,
    expire,
    flush,
    next_due,
    observe_read,
    on_append_result,
    release,
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

    from gypsumrelay_agent.runs import Tell


@attrs.define(eq=False)
class Claiming:
    """Claims that this agent records for entries.

    Attributes:
        member: Name and incarnation of this agent.
        claim_seconds: Retention of a claim in seconds.
        log_client: Client of the log.
        executor: Threads for reads of the log and appends.
        tell: Sends an event to the actor.
        committer: State of the committer. Set when the list names this agent
            as a committer, or when an entry that read the list earlier sends
            a claim; then kept until the process ends.
        waiting: Links that wait for the reply to a claim, by request id.
        reading: Whether a read of the log is in progress.
        reads_again: Whether the log must be read again after that read.
        timer_due: Time in seconds at which the pending timer expires,
            infinity if there is none.
    """

    member: Member
    claim_seconds: float
    log_client: LogClient
    executor: Executor
    tell: Tell
    committer: Committer | None = None
    waiting: dict[str, Link] = attrs.field(factory=dict)
    reading: bool = False
    reads_again: bool = False
    timer_due: float = float('inf')


def key_of_message(client_account: str, digest: bytes) -> ClaimKey:
    """Return the key of a claim from the fields of a message."""
    return (client_account, digest.hex())


def observe_committers(
    claiming: Claiming,
    names: Iterable[str],
    now: float,
) -> None:
    """Apply the names of the deployment's committers from the list."""
    known = tuple(names)
    if claiming.committer is not None:
        claiming.committer.committers = known
    elif claiming.member.name in known:
        _start_committer(claiming, known, now)


def receive_claim(
    claiming: Claiming,
    link: Link,
    message: ClaimMessage,
    now: float,
) -> None:
    """Process a claim of an entry.

    If this agent is not a committer yet, the entry has read a newer list, so
    the agent becomes one.
    """
    committer = claiming.committer or _start_committer(claiming, (), now)
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
    claiming.waiting[message.request_id] = link
    _carry_out(claiming, submit(committer, claim, now), now)


def receive_release(
    claiming: Claiming,
    message: ReleaseClaim,
    now: float,
) -> None:
    """Release the claim of a request that its entry will not dispatch."""
    if claiming.committer is None:
        return
    key = key_of_message(message.client_account, message.key_digest)
    release(claiming.committer, key, message.request_id, now)
    claiming.waiting.pop(message.request_id, None)
    _carry_out(claiming, [], now)


def take_read(
    claiming: Claiming,
    batch: Batch | Failure,
    now: float,
    *,
    own: bool,
) -> None:
    """Process a read of the log by the follower or by the committer.

    The follower skips records that are included in a peer's copy of the
    configuration, so the committer itself reads the records that it lacks.

    Args:
        claiming: State of the claims.
        batch: Records that were read, or the failure of the read.
        now: Current time in seconds.
        own: Whether the committer started the read.
    """
    committer = claiming.committer
    if committer is None:
        return
    found: list[Action] = []
    if own:
        claiming.reading = False
        if claiming.reads_again:
            claiming.reads_again = False
            found.append(ReadLog())
    if isinstance(batch, Failure):
        _carry_out(claiming, found, now)
        return
    found.extend(observe_read(committer, _log_read(batch), now))
    if own and not batch.at_end:
        found.append(ReadLog())
    _carry_out(claiming, found, now)


def take_append_result(
    claiming: Claiming,
    append_id: str,
    result: AppendResult,
    now: float,
) -> None:
    """Process the result of an append."""
    if claiming.committer is not None:
        found = on_append_result(claiming.committer, append_id, result, now)
        _carry_out(claiming, found, now)


def tick_claims(claiming: Claiming, now: float) -> None:
    """Expire claims and perform the actions that are due."""
    if claiming.committer is not None:
        expire(claiming.committer, now)
        _carry_out(claiming, [], now)


def forget_link(claiming: Claiming, link: Link) -> None:
    """Discard the pending replies to a closed link."""
    for request_id, known in list(claiming.waiting.items()):
        if known is link:
            claiming.waiting.pop(request_id)


def _start_committer(
    claiming: Claiming,
    known: tuple[str, ...],
    now: float,
) -> Committer:
    """Create the committer and start to read the log from its start."""
    member = claiming.member
    committer = Committer(
        member.name,
        f'{member.name}.{member.incarnation}',
        CommitterSettings(claiming.claim_seconds),
        known,
    )
    claiming.committer = committer
    _carry_out(claiming, [ReadLog()], now)
    return committer


def _carry_out(
    claiming: Claiming,
    actions: list[Action],
    now: float,
) -> None:
    """Perform actions and due appends, then set the timer."""
    if claiming.committer is None:
        return
    actions.extend(flush(claiming.committer, now))
    for action in actions:
        if isinstance(action, Append):
            claiming.executor.submit(partial(_append, claiming, action))
        elif isinstance(action, ReadLog):
            _read(claiming, claiming.committer.next_offset)
        else:
            _answer(claiming, action, now)
    _set_timer(claiming, claiming.committer, now)


def _answer(
    claiming: Claiming,
    action: Granted | Taken | Unavailable,
    now: float,
) -> None:
    link = claiming.waiting.pop(action.request_id, None)
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
        link.send(_refusal(action.request_id, action.failure, now))


def _refusal(request_id: str, failure: Failure, now: float) -> Failed:
    return Failed(
        request_id,
        0,
        failure.code,
        failure.sentence,
        failure.outcome.value,
        to_retry_ms(failure.retry_at, now),
    )


def _append(claiming: Claiming, action: Append) -> None:
    """Append records and send the result to the actor; blocks."""
    answer = claiming.log_client.append(list(action.records))
    result = AppendResult.recorded
    if isinstance(answer, Failure):
        result = AppendResult.unknown
        if answer.outcome is Outcome.not_run:
            result = AppendResult.not_recorded
    claiming.tell(events.ClaimsAppended(action.append_id, result))


def _read(claiming: Claiming, offset: int) -> None:
    """Read the log in another thread, with at most one read in progress."""
    if claiming.reading:
        claiming.reads_again = True
        return
    claiming.reading = True
    claiming.executor.submit(partial(_read_from, claiming, offset))


def _read_from(claiming: Claiming, offset: int) -> None:
    batch = claiming.log_client.read(offset)
    claiming.tell(events.LogRead(batch, own=True))


def _log_read(batch: Batch) -> LogRead:
    """Convert a read for the committer, without malformed records."""
    first = batch.entries[0].offset if batch.entries else batch.next_offset
    entries = tuple(
        (entry.offset, entry.record)
        for entry in batch.entries
        if not isinstance(entry.record, Failure)
    )
    return LogRead(
        first,
        entries,
        batch.next_offset,
        batch.oldest,
        batch.at_end,
    )


def _set_timer(claiming: Claiming, committer: Committer, now: float) -> None:
    """Set a timer for the next due action, since ticks are too coarse."""
    due = next_due(committer)
    if due is None:
        return
    if now < claiming.timer_due <= due:
        return
    claiming.timer_due = due

    def wake() -> None:
        claiming.tell(events.ClaimsDue())

    timer = threading.Timer(max(0, due - monotonic()), wake)
    timer.daemon = True
    timer.start()


def claims_due(claiming: Claiming, now: float) -> None:
    """Perform the actions that are due when the timer expires."""
    claiming.timer_due = float('inf')
    _carry_out(claiming, [], now)
