"""Commands that show the published state or validate a file."""

from __future__ import annotations

import difflib
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import attrs
from gypsumrelay_configuration import (
    Accepted,
    Configuration,
    ConfigurationPublished,
    Record,
    Rejected,
    State,
    Verdict,
    record_to_json,
)
from gypsumrelay_platform import catch_up
from gypsumrelay_settings import (
    AgentSettings,
    EntrySettings,
    OperatorSettings,
    RelaySettings,
    SettingsFaults,
    load,
    read_json,
)

from gypsumrelay_command.changes import check_document
from gypsumrelay_command.results import (
    DONE,
    INVALID,
    UNREACHABLE,
    Result,
    failure_result,
)
from gypsumrelay_command.session import (
    CommandContext,
    faults_result,
    open_session,
)

Changes = list[tuple[int, Record, Verdict]]
SETTINGS_KINDS: Final = (
    ('store', RelaySettings),
    ('caller', EntrySettings),
    ('upstream', AgentSettings),
    ('platform', OperatorSettings),
)


def check_file(path: Path) -> Result:
    """Return all faults of a settings file, configuration or contracts."""
    raw = read_json(path)
    if isinstance(raw, SettingsFaults):
        return faults_result(raw, str(path))
    checked = check_document(path, raw)
    if checked is not None:
        return checked
    for name, kind in SETTINGS_KINDS:
        if isinstance(raw, dict) and name in raw:
            return _check_settings(path, raw, kind)
    sentence = 'not a settings file, a configuration or contracts'
    return failure_result(INVALID, str(path), sentence)


def show_configuration(context: CommandContext) -> Result:
    """Return the published configuration."""
    document = attrs.asdict(context.state.configuration)
    return Result(DONE, document, json.dumps(document, indent=1).splitlines())


def list_contracts(context: CommandContext) -> Result:
    """Return all contracts, ordered by client account."""
    contracts = context.state.contracts
    sorted_contracts = [contracts[name] for name in sorted(contracts)]
    lines = [
        f'{contract.client_account}: {contract.tokens_per_second} tokens/s, '
        f'burst {contract.burst_tokens}, version {contract.version}, '
        f'models {", ".join(contract.models) or "none"}, '
        f'routes {", ".join(contract.routes) or "none"}'
        for contract in sorted_contracts
    ]
    return Result(
        DONE,
        [attrs.asdict(contract) for contract in sorted_contracts],
        lines,
    )


def list_keys(account: str) -> Callable[[CommandContext], Result]:
    """Return a callable that lists keys without their digests.

    Args:
        account: Client account of the keys; empty for all accounts.
    """

    def operation(context: CommandContext) -> Result:
        documents = [
            {
                'key_id': key.key_id,
                'client_account': key.client_account,
                'withdrawn': key.withdrawn,
            }
            for key in context.state.keys.values()
            if not account or key.client_account == account
        ]
        lines = [
            f'{key["key_id"]}: {key["client_account"]}, '
            f'{"withdrawn" if key["withdrawn"] else "valid"}'
            for key in documents
        ]
        return Result(DONE, documents, lines)

    return operation


def show_history(settings: Path) -> Result:
    """Return the changes retained in the log, with their outcomes."""
    history = _read_history(settings)
    if isinstance(history, Result):
        return history
    documents = []
    lines = []
    for offset, record, verdict in history:
        document = record_to_json(record)
        outcome = type(verdict).__name__.lower()
        documents.append({'offset': offset, 'outcome': outcome, **document})
        lines.append(
            f'{offset}: {document["type"]} {outcome}, '
            f'record {record.record_id}{_version_suffix(verdict)}',
        )
    return Result(DONE, documents, lines)


def show_diff(settings: Path, older: int, newer: int) -> Result:
    """Return the differences between two versions of the configuration."""
    history = _read_history(settings)
    if isinstance(history, Result):
        return history
    versions = {
        verdict.version: record.configuration
        for _, record, verdict in history
        if isinstance(record, ConfigurationPublished)
        and isinstance(verdict, Accepted)
    }
    versions[0] = Configuration()
    unknown = {older, newer} - versions.keys()
    if unknown:
        sentence = f'the log does not keep version {min(unknown)}'
        return failure_result(INVALID, 'version', sentence)
    diff = difflib.unified_diff(
        _json_lines(versions[older]),
        _json_lines(versions[newer]),
        f'version {older}',
        f'version {newer}',
        lineterm='',
    )
    lines = list(diff)
    return Result(DONE, {'diff': lines}, lines)


def _read_history(settings: Path) -> Changes | Result:
    session = open_session(settings)
    if isinstance(session, Result):
        return session
    history: Changes = []

    def append_change(offset: int, record: Record, verdict: Verdict) -> None:
        if isinstance(verdict, (Accepted, Rejected)):
            history.append((offset, record, verdict))

    log_failure = catch_up(session.log, State(), append_change)
    if log_failure is not None:
        return failure_result(
            UNREACHABLE,
            log_failure.code,
            log_failure.sentence,
        )
    return [
        change
        for change in history
        if record_to_json(change[1])['type'] in _CHANGE_TYPES
    ]


_CHANGE_TYPES: Final = frozenset(
    (
        'configuration_published',
        'contract_put',
        'contract_removed',
        'key_granted',
        'key_withdrawn',
        'drain_set',
    ),
)


def _check_settings(path: Path, raw: Any, kind: Any) -> Result:
    loaded = load(raw, kind)
    if isinstance(loaded, SettingsFaults):
        return faults_result(loaded, str(path))
    line = f'{path}: {kind.__name__} without faults'
    return Result(DONE, {'kind': kind.__name__}, (line,))


def _version_suffix(verdict: Verdict) -> str:
    version = getattr(verdict, 'version', 0)
    return f', version {version}' if version else ''


def _json_lines(configuration: Configuration) -> list[str]:
    document = attrs.asdict(attrs.evolve(configuration, version=0))
    return json.dumps(document, indent=1).splitlines()
