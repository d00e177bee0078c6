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

from gypsumrelay_command.exits import DONE, INVALID, REJECTED, Result, failure
from gypsumrelay_command.session import (
    Reading,
    faults_result,
    new_record_id,
    publish_records,
)

Work = Callable[[Reading], Result]
# Kinds of drained subjects: as given on the command line, and as in records.
SUBJECTS: Final = types.MappingProxyType(
    {
        'zone': 'availability_zone',
        'instance': 'instance',
        'upstream': 'upstream',
    },
)
KEY_ID_LETTERS: Final = 12
_KEY_ID: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,63}')


def publish_configuration(
    path: Path,
    based_on: int | None,
    force: bool,
) -> Work:
    """Return a callable that publishes a configuration file.

    Args:
        path: The configuration file.
        based_on: Version that the change is based on. The default is the
            version in the file, or else the current one.
        force: Whether to publish a configuration without models or routes
            that contracts refer to.
    """

    def work(reading: Reading) -> Result:
        raw = read_json(path)
        if isinstance(raw, SettingsFaults):
            return faults_result(raw, str(path))
        checked = check_configuration(raw)
        if isinstance(checked, SettingsFaults):
            return faults_result(checked, str(path))
        missing = check_references(checked, reading.state.contracts.values())
        if missing and not force:
            return faults_result(SettingsFaults(tuple(missing)), str(path))
        base = based_on
        if base is None:
            base = raw.get('version', reading.state.configuration.version)
        record = ConfigurationPublished(new_record_id(), base, checked)
        return publish_records(reading, [record])

    return work


def put_contracts(path: Path) -> Work:
    """Return a callable that publishes one contract or several."""

    def work(reading: Reading) -> Result:
        raw = read_json(path)
        if isinstance(raw, SettingsFaults):
            return faults_result(raw, str(path))
        listed = raw if isinstance(raw, list) else [raw]
        checked = check_contracts(listed, reading.state.configuration)
        if isinstance(checked, SettingsFaults):
            return faults_result(checked, str(path))
        versions = reading.state.contract_versions
        records = [
            ContractPut(
                new_record_id(),
                element.get(
                    'version', versions.get(contract.client_account, 0)
                ),
                contract,
            )
            for element, contract in zip(listed, checked, strict=True)
        ]
        return publish_records(reading, records)

    return work


def remove_contract(account: str) -> Work:
    """Return a callable that removes a contract and its keys."""

    def work(reading: Reading) -> Result:
        version = reading.state.contract_versions.get(account, 0)
        record = ContractRemoved(new_record_id(), version, account)
        return publish_records(reading, [record])

    return work


def grant_key(account: str, key_id: str) -> Work:
    """Return a callable that grants a new key.

    Its result contains the secret, which is not stored.
    """

    def work(reading: Reading) -> Result:
        secret = new_secret()
        digest = digest_of_key(secret)
        named = key_id or digest[:KEY_ID_LETTERS]
        if not _KEY_ID.fullmatch(named):
            allowed = (
                'a key id must start with a letter or digit and have at most '
                '64 letters, digits, dots, underscores and hyphens'
            )
            return failure(INVALID, 'key_id', allowed)
        record = KeyGranted(new_record_id(), named, account, digest)
        published = publish_records(reading, [record])
        if published.code == REJECTED:
            return published
        # After an unknown outcome the key may have been granted, so the
        # operator needs its id to revoke it.
        document: dict[str, Any] = {'key_id': named, **published.document}
        lines = [*published.lines, f'key id: {named}']
        if published.code == DONE:
            document['secret'] = secret
            lines.append(f'secret (shown only now): {secret}')
        return attrs.evolve(published, document=document, lines=lines)

    return work


def withdraw_key(key_id: str) -> Work:
    """Return a callable that revokes a key, which may be unknown."""

    def work(reading: Reading) -> Result:
        record = KeyWithdrawn(new_record_id(), key_id)
        known = key_id in reading.state.key_ids
        published = publish_records(reading, [record])
        if known or published.code != DONE:
            return published
        note = 'the key was unknown and can no longer be granted'
        return attrs.evolve(published, lines=[*published.lines, note])

    return work


def set_drain(subject: str, name: str, undo: bool) -> Work:
    """Return a callable that starts or ends a drain.

    Args:
        subject: Kind of subject: zone, instance or upstream.
        name: Name of the zone, instance or upstream.
        undo: Whether to end the drain.
    """

    def work(reading: Reading) -> Result:
        if subject not in SUBJECTS:
            allowed = f'subject must be one of: {", ".join(SUBJECTS)}'
            return failure(INVALID, 'subject', allowed)
        kind = SUBJECTS[subject]
        known = reading.state.drains.get(drain_id(kind, name))
        version = known.version if known else 0
        record = DrainSet(new_record_id(), version, kind, name, not undo)
        return publish_records(reading, [record])

    return work


def check_document(path: Path, raw: Any) -> Result | None:
    """Return the validation result of a configuration or contracts.

    None is returned for a document of another kind.
    """
    first = raw[0] if isinstance(raw, list) and raw else raw
    if isinstance(first, dict) and 'client_account' in first:
        listed = raw if isinstance(raw, list) else [raw]
        return _checked(path, check_contracts(listed, None), 'contracts')
    if isinstance(raw, dict) and raw.keys() & _CONFIGURATION_NAMES:
        return _checked(path, check_configuration(raw), 'configuration')
    return None


def _checked(path: Path, found: object, kind: str) -> Result:
    if isinstance(found, SettingsFaults):
        return faults_result(found, str(path))
    return Result(DONE, {'kind': kind}, (f'{path}: {kind} without faults',))


_CONFIGURATION_NAMES: Final = frozenset(
    field.name for field in attrs.fields(Configuration)
)
