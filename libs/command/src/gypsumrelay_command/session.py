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

from gypsumrelay_command.exits import (
    DONE,
    INVALID,
    REJECTED,
    UNKNOWN,
    UNREACHABLE,
    Result,
    failure,
)


@attrs.frozen
class Session:
    """Clients of the platform's log and instance list."""

    log: LogClient
    instances: ListClient


@attrs.frozen
class Reading:
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


def read_state(settings: Path) -> Reading | Result:
    """Return the state at the end of the log, or a failure."""
    session = open_session(settings)
    if isinstance(session, Result):
        return session
    state = State()
    stale = catch_up(session.log, state)
    if stale is not None:
        return failure(UNREACHABLE, stale.code, stale.sentence)
    return Reading(session, state)


def with_state(settings: Path, work: Callable[[Reading], Result]) -> Result:
    """Call `work` with the current state and return its result.

    Returns:
        The result of `work`, or a failure to read the settings or the log.
    """
    reading = read_state(settings)
    return reading if isinstance(reading, Result) else work(reading)


def publish_records(reading: Reading, records: Sequence[Record]) -> Result:
    """Publish records and return their outcomes.

    The exit code is the highest one of all records.
    """
    found = publish(reading.session.log, reading.state, records)
    if isinstance(found, Failure):
        too_large = isinstance(found, BodyTooLarge)
        code = INVALID if too_large else UNREACHABLE
        return failure(code, found.code, found.sentence)
    outcomes = [found[record.record_id] for record in records]
    documents = [
        {
            'record_id': record.record_id,
            'outcome': type(outcome).__name__.lower(),
            **attrs.asdict(outcome),
        }
        for record, outcome in zip(records, outcomes, strict=True)
    ]
    codes = [_code(outcome) for outcome in outcomes]
    return Result(
        max(codes, default=DONE),
        {'records': documents},
        [_line(outcome) for outcome in outcomes],
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


def _code(outcome: Accepted | Rejected | Unknown) -> int:
    if isinstance(outcome, Accepted):
        return DONE
    return REJECTED if isinstance(outcome, Rejected) else UNKNOWN


def _line(outcome: Accepted | Rejected | Unknown) -> str:
    if isinstance(outcome, Accepted):
        return f'accepted, version {outcome.version}'
    if isinstance(outcome, Unknown):
        return f'unknown: {outcome.sentence} (record {outcome.record_id})'
    came_first = f'version {outcome.version} came first'
    return f'rejected: {outcome.sentence}; {came_first}'
