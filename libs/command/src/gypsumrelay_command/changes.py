"""Commands that publish changes: configuration, contracts, keys, drains.

Each function returns a callable that performs the change on the current
state and returns the command's result.
"""

from __future__ import annotations

import re
import types
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import attrs
from gypsumrelay_configuration import (
    Configuration,
    ConfigurationPublished,
    ContractPut,
    ContractRemoved,
    DrainSet,
    KeyGranted,
    KeyWithdrawn,
    check_configuration,
    check_contracts,
    check_references,
    digest_of_key,
    drain_id,
    new_secret,
)
from gypsumrelay_settings import SettingsFaults, read_json

from gypsumrelay_command.results import (
    DONE,
    INVALID,
    REJECTED,
    Result,
    failure_result,
)
from gypsumrelay_command.session import (
    CommandContext,
    faults_result,
    new_record_id,
    publish_records,
)

Operation = Callable[[CommandContext], Result]
# Kinds of drained subjects: as given on the command line, and as in records.
SUBJECTS: Final = types.MappingProxyType(
    {
        'zone': 'availability_zone',
        'instance': 'instance',
        'upstream': 'upstream',
    },
)
KEY_ID_LENGTH: Final = 12
_KEY_ID_PATTERN: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,63}')


def publish_configuration(
    path: Path,
    based_on: int | None,
    force: bool,
) -> Operation:
    """Return a callable that publishes a configuration file.

    Args:
        path: The configuration file.
        based_on: Version that the change is based on. The default is the
            version in the file, or else the current one.
        force: Whether to publish a configuration without models or routes
            that contracts refer to.
    """

    def operation(context: CommandContext) -> Result:
        raw = read_json(path)
        if isinstance(raw, SettingsFaults):
            return faults_result(raw, str(path))
        checked = check_configuration(raw)
        if isinstance(checked, SettingsFaults):
            return faults_result(checked, str(path))
        missing = check_references(checked, context.state.contracts.values())
        if missing and not force:
            return faults_result(SettingsFaults(tuple(missing)), str(path))
        base = based_on
        if base is None:
            base = raw.get('version', context.state.configuration.version)
        record = ConfigurationPublished(new_record_id(), base, checked)
        return publish_records(context, [record])

    return operation


def put_contracts(path: Path) -> Operation:
    """Return a callable that publishes one contract or several."""

    def operation(context: CommandContext) -> Result:
        raw = read_json(path)
        if isinstance(raw, SettingsFaults):
            return faults_result(raw, str(path))
        documents = raw if isinstance(raw, list) else [raw]
        checked = check_contracts(documents, context.state.configuration)
        if isinstance(checked, SettingsFaults):
            return faults_result(checked, str(path))
        versions = context.state.contract_versions
        records = [
            ContractPut(
                new_record_id(),
                contract_document.get(
                    'version', versions.get(contract.client_account, 0)
                ),
                contract,
            )
            for contract_document, contract in zip(
                documents,
                checked,
                strict=True,
            )
        ]
        return publish_records(context, records)

    return operation


def remove_contract(account: str) -> Operation:
    """Return a callable that removes a contract and its keys."""

    def operation(context: CommandContext) -> Result:
        version = context.state.contract_versions.get(account, 0)
        record = ContractRemoved(new_record_id(), version, account)
        return publish_records(context, [record])

    return operation


def grant_key(account: str, key_id: str) -> Operation:
    """Return a callable that grants a new key.

    Its result contains the secret, which is not stored.
    """

    def operation(context: CommandContext) -> Result:
        secret = new_secret()
        digest = digest_of_key(secret)
        new_key_id = key_id or digest[:KEY_ID_LENGTH]
        if not _KEY_ID_PATTERN.fullmatch(new_key_id):
            requirement = (
                'a key id must start with a letter or digit and have at most '
                '64 letters, digits, dots, underscores and hyphens'
            )
            return failure_result(INVALID, 'key_id', requirement)
        record = KeyGranted(new_record_id(), new_key_id, account, digest)
        published = publish_records(context, [record])
        if published.code == REJECTED:
            return published
        # After an unknown outcome the key may have been granted, so the
        # operator needs its id to revoke it.
        document: dict[str, Any] = {'key_id': new_key_id, **published.document}
        lines = [*published.lines, f'key id: {new_key_id}']
        if published.code == DONE:
            document['secret'] = secret
            lines.append(f'secret (shown only now): {secret}')
        return attrs.evolve(published, document=document, lines=lines)

    return operation


def withdraw_key(key_id: str) -> Operation:
    """Return a callable that revokes a key, which may be unknown."""

    def operation(context: CommandContext) -> Result:
        record = KeyWithdrawn(new_record_id(), key_id)
        is_known = key_id in context.state.key_ids
        published = publish_records(context, [record])
        if is_known or published.code != DONE:
            return published
        note = 'the key was unknown and can no longer be granted'
        return attrs.evolve(published, lines=[*published.lines, note])

    return operation


def set_drain(subject: str, name: str, undo: bool) -> Operation:
    """Return a callable that starts or ends a drain.

    Args:
        subject: Kind of subject: zone, instance or upstream.
        name: Name of the zone, instance or upstream.
        undo: Whether to end the drain.
    """

    def operation(context: CommandContext) -> Result:
        if subject not in SUBJECTS:
            requirement = f'subject must be one of: {", ".join(SUBJECTS)}'
            return failure_result(INVALID, 'subject', requirement)
        kind = SUBJECTS[subject]
        known_drain = context.state.drains.get(drain_id(kind, name))
        version = known_drain.version if known_drain else 0
        record = DrainSet(new_record_id(), version, kind, name, not undo)
        return publish_records(context, [record])

    return operation


def check_document(path: Path, raw: Any) -> Result | None:
    """Return the validation result of a configuration or contracts.

    None is returned for a document of another kind.
    """
    first = raw[0] if isinstance(raw, list) and raw else raw
    if isinstance(first, dict) and 'client_account' in first:
        documents = raw if isinstance(raw, list) else [raw]
        return _validation_result(
            path,
            check_contracts(documents, None),
            'contracts',
        )
    if isinstance(raw, dict) and raw.keys() & _CONFIGURATION_FIELDS:
        return _validation_result(
            path,
            check_configuration(raw),
            'configuration',
        )
    return None


def _validation_result(path: Path, checked: object, kind: str) -> Result:
    if isinstance(checked, SettingsFaults):
        return faults_result(checked, str(path))
    return Result(DONE, {'kind': kind}, (f'{path}: {kind} without faults',))


_CONFIGURATION_FIELDS: Final = frozenset(
    field.name for field in attrs.fields(Configuration)
)
