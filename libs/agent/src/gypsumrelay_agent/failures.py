"""Messages that report the failure of an attempt."""

from __future__ import annotations

from typing import Final

from gypsumrelay_clock import monotonic
from gypsumrelay_errors import (
    Failure,
    Outcome,
    OutcomeUnknown,
    UpstreamFailed,
)
from gypsumrelay_upstreams import Ended, EndReason, Key
from gypsumrelay_wire import Call, Failed, to_retry_at, to_retry_ms

from gypsumrelay_agent.engine import UpstreamFault
from gypsumrelay_agent.runs import Run

_BY_CODE: Final = {kind.code: kind for kind in Failure.__subclasses__()}
# Reasons for which no failure is sent to the entry, because it caused the end
# or is notified in another way. A failed run is reported by its fault.
UNREPORTED_ENDS: Final = frozenset(
    (
        EndReason.finished,
        EndReason.cancelled,
        EndReason.superseded,
        EndReason.link_lost,
        EndReason.run_failed,
    ),
)


def failed_message(
    key: Key, failure: Failure, *, crashed: bool = False
) -> Failed:
    """Return the message that reports a failure."""
    return Failed(
        key.request_id,
        key.attempt,
        failure.code,
        failure.sentence,
        failure.outcome.value,
        to_retry_ms(failure.retry_at, monotonic()),
        crashed,
    )


def failure_from_message(message: Failed, now: float) -> Failure:
    """Return the failure that a message to an entry reports."""
    kind = _BY_CODE.get(message.code, UpstreamFailed)
    retry_at = to_retry_at(message.retry_ms, now)
    return kind(message.sentence, Outcome(message.outcome), retry_at)


def failed_message_for_fault(run: Run, fault: UpstreamFault) -> Failed:
    """Return the message that reports a fault of the upstream in a run."""
    failure = failure_from_fault(run, fault)
    return failed_message(run.key, failure, crashed=fault.crashed)


def failure_from_fault(run: Run, fault: UpstreamFault) -> Failure:
    """Return the failure of a run, with the outcome that is certain."""
    if not fault.reached:
        return UpstreamFailed(fault.sentence, Outcome.not_run)
    start_message = run.start_message
    if isinstance(start_message, Call) and not start_message.idempotent:
        return OutcomeUnknown(fault.sentence, Outcome.unknown)
    return UpstreamFailed(fault.sentence, Outcome.failed)


def failed_message_for_end(ended: Ended, run: Run | None) -> Failed:
    """Return the message that reports an attempt ended by the ledger."""
    fault = UpstreamFault(
        f'the attempt ended: {ended.reason.value}',
        reached=ended.started,
        crashed=ended.reason is EndReason.engine_restarted,
    )
    if run is not None:
        return failed_message_for_fault(run, fault)
    outcome = Outcome.unknown if ended.started else Outcome.not_run
    return failed_message(ended.key, UpstreamFailed(fault.sentence, outcome))
