"""Platform clients and the published state during one command."""

from __future__ import annotations

import uuid
from collections.abc import Callable, Sequence
from pathlib import Path

import attrs
from gypsumrelay_configuration import Accepted, Record, Rejected, State
from gypsumrelay_errors import BodyTooLarge, Failure
from gypsumrelay_platform import (
    ListClient,
    LogClient,
    Unknown,
    catch_up,
    publish,
)
from gypsumrelay_settings import OperatorSettings, SettingsFaults, load_file

from gypsumrelay_command.results import (
    DONE,
    INVALID,
    REJECTED,
    UNKNOWN,
    UNREACHABLE,
    Result,
    failure_result,
)


@attrs.frozen
class Session:
    """Clients of the platform's log and instance list."""

    log: LogClient
    instances: ListClient


@attrs.frozen
class CommandContext:
    """Published state at the end of the log, with the session to change it."""

    session: Session
    state: State


def open_session(settings: Path) -> Session | Result:
    """Return the platform clients, or the faults of the settings file."""
    loaded = load_file(settings, OperatorSettings)
    if isinstance(loaded, SettingsFaults):
        return faults_result(loaded, str(settings))
    platform = loaded.platform
    return Session(LogClient(platform.log_url), ListClient(platform.list_url))


def read_state(settings: Path) -> CommandContext | Result:
    """Return the state at the end of the log, or a failure."""
    session = open_session(settings)
    if isinstance(session, Result):
        return session
    state = State()
    log_failure = catch_up(session.log, state)
    if log_failure is not None:
        return failure_result(
            UNREACHABLE,
            log_failure.code,
            log_failure.sentence,
        )
    return CommandContext(session, state)


def with_state(
    settings: Path,
    operation: Callable[[CommandContext], Result],
) -> Result:
    """Call `operation` with the current state and return its result.

    Returns:
        The result of `operation`, or a failure to read the settings or the log.
    """
    context = read_state(settings)
    return context if isinstance(context, Result) else operation(context)


def publish_records(
    context: CommandContext,
    records: Sequence[Record],
) -> Result:
    """Publish records and return their outcomes.

    The exit code is the highest one of all records.
    """
    published = publish(context.session.log, context.state, records)
    if isinstance(published, Failure):
        too_large = isinstance(published, BodyTooLarge)
        code = INVALID if too_large else UNREACHABLE
        return failure_result(code, published.code, published.sentence)
    outcomes = [published[record.record_id] for record in records]
    documents = [
        {
            'record_id': record.record_id,
            'outcome': type(outcome).__name__.lower(),
            **attrs.asdict(outcome),
        }
        for record, outcome in zip(records, outcomes, strict=True)
    ]
    codes = [_exit_code(outcome) for outcome in outcomes]
    return Result(
        max(codes, default=DONE),
        {'records': documents},
        [_outcome_line(outcome) for outcome in outcomes],
    )


def new_record_id() -> str:
    """Return a unique record id."""
    return uuid.uuid4().hex


def faults_result(faults: SettingsFaults, name: str) -> Result:
    """Return the result of a command whose input file has faults."""
    documents = [attrs.asdict(fault) for fault in faults.faults]
    lines = [
        f'{name}: {fault.path}: found {fault.found}, allowed {fault.allowed}'
        for fault in faults.faults
    ]
    return Result(INVALID, {'faults': documents}, lines)


def _exit_code(outcome: Accepted | Rejected | Unknown) -> int:
    if isinstance(outcome, Accepted):
        return DONE
    return REJECTED if isinstance(outcome, Rejected) else UNKNOWN


def _outcome_line(outcome: Accepted | Rejected | Unknown) -> str:
    if isinstance(outcome, Accepted):
        return f'accepted, version {outcome.version}'
    if isinstance(outcome, Unknown):
        return f'unknown: {outcome.sentence} (record {outcome.record_id})'
    conflict = f'version {outcome.version} came first'
    return f'rejected: {outcome.sentence}; {conflict}'
