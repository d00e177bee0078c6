"""The one rule by which every reader applies the log."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import attrs

from gypsumrelay_configuration import records
from gypsumrelay_configuration.documents import Drain, Fence, Key, Share
from gypsumrelay_configuration.state import (
    State,
    drain_id,
    load_state,
    share_id,
)


@attrs.frozen
class Accepted:
    """The record is in force from its offset on."""

    version: int = 0


@attrs.frozen
class Rejected:
    """The record changed nothing; `version` is the one that came first."""

    version: int
    sentence: str


@attrs.frozen
class Skipped:
    """The record is not for this reducer or is already covered."""


Verdict = Accepted | Rejected | Skipped


def apply(state: State, offset: int, record: records.Record) -> Verdict:
    """Apply the record at an offset to the state.

    An offset that the state covers already is skipped, so that reading a
    part of the log twice changes nothing. A snapshot is taken only where
    it covers more than the state, so one by a paused writer undoes nothing.
    """
    if isinstance(record, records.SnapshotWritten):
        return _restore(state, offset, record)
    if offset <= state.offset:
        return Skipped()
    state.offset = offset
    rule = _RULES.get(type(record))
    return rule(state, record) if rule else Skipped()


def skip(state: State, offset: int) -> None:
    """Pass over an offset whose entry is faulty."""
    state.offset = max(state.offset, offset)


def replace(state: State, newer: State) -> bool:
    """Take over a newer state; return whether it was newer."""
    if newer.offset <= state.offset:
        return False
    for field in attrs.fields(State):
        setattr(state, field.name, getattr(newer, field.name))
    return True


def _restore(
    state: State,
    offset: int,
    record: records.SnapshotWritten,
) -> Verdict:
    newer = load_state(record.state)
    taken = newer.offset == record.covers and replace(state, newer)
    skip_to = offset if offset == state.offset + 1 else state.offset
    skip(state, skip_to)
    return Accepted() if taken else Skipped()


def _publish(state: State, record: records.ConfigurationPublished) -> Verdict:
    current = state.configuration.version
    if record.based_on != current:
        return Rejected(current, 'another configuration came first')
    state.configuration = attrs.evolve(
        record.configuration,
        version=current + 1,
    )
    return Accepted(current + 1)


def _put_contract(state: State, record: records.ContractPut) -> Verdict:
    name = record.contract.client_account
    current = state.contract_versions.get(name, 0)
    if record.based_on != current:
        return Rejected(current, 'another change of the contract came first')
    state.contracts[name] = attrs.evolve(record.contract, version=current + 1)
    state.contract_versions[name] = current + 1
    return Accepted(current + 1)


def _remove_contract(
    state: State,
    record: records.ContractRemoved,
) -> Verdict:
    name = record.client_account
    current = state.contract_versions.get(name, 0)
    if name not in state.contracts:
        return Rejected(current, 'there is no such contract')
    if record.based_on != current:
        return Rejected(current, 'another change of the contract came first')
    state.contracts.pop(name)
    state.contract_versions[name] = current + 1
    for digest, key in list(state.keys.items()):
        if key.client_account == name:
            state.keys[digest] = attrs.evolve(key, withdrawn=True)
    return Accepted(current + 1)


def _grant_key(state: State, record: records.KeyGranted) -> Verdict:
    if record.client_account not in state.contracts:
        return Rejected(0, 'there is no such contract')
    if record.key_id in state.key_ids or record.digest in state.keys:
        return Rejected(0, 'the key or its id was granted before')
    state.key_ids[record.key_id] = record.digest
    state.keys[record.digest] = Key(
        record.key_id,
        record.client_account,
        record.digest,
    )
    return Accepted()


def _withdraw_key(state: State, record: records.KeyWithdrawn) -> Verdict:
    digest = state.key_ids.get(record.key_id)
    if digest is None:
        return Rejected(0, 'there is no such key')
    state.keys[digest] = attrs.evolve(state.keys[digest], withdrawn=True)
    return Accepted()


def _set_drain(state: State, record: records.DrainSet) -> Verdict:
    name = drain_id(record.subject, record.name)
    known = state.drains.get(name)
    current = known.version if known else 0
    if record.based_on != current:
        return Rejected(current, 'another change of the drain came first')
    state.drains[name] = Drain(
        record.subject,
        record.name,
        record.drained,
        current + 1,
    )
    return Accepted(current + 1)


def _assign_share(state: State, record: records.ShareAssigned) -> Verdict:
    name = share_id(record.client_account, record.number)
    known = state.shares.get(name)
    current = known.epoch if known else 0
    if record.epoch != current + 1:
        return Rejected(current, 'another holder came first')
    state.shares[name] = Share(
        record.client_account,
        record.number,
        record.epoch,
        record.holder,
        record.incarnation,
    )
    return Accepted(record.epoch)


def _release_share(state: State, record: records.ShareReleased) -> Verdict:
    name = share_id(record.client_account, record.number)
    known = state.shares.get(name)
    if known is None or known.epoch != record.epoch:
        return Rejected(known.epoch if known else 0, 'the share has moved on')
    state.shares[name] = attrs.evolve(known, holder='', incarnation='')
    return Accepted(record.epoch)


def _take_fence(state: State, record: records.FenceTaken) -> Verdict:
    known = state.fences.get(record.upstream)
    current = known.number if known else 0
    if record.number != current + 1:
        return Rejected(current, 'another agent took the token')
    state.fences[record.upstream] = Fence(
        record.upstream,
        record.number,
        record.agent,
        record.incarnation,
    )
    return Accepted(record.number)


_RULES: Final[dict[type[records.Record], Callable[..., Verdict]]] = {
    records.ConfigurationPublished: _publish,
    records.ContractPut: _put_contract,
    records.ContractRemoved: _remove_contract,
    records.KeyGranted: _grant_key,
    records.KeyWithdrawn: _withdraw_key,
    records.DrainSet: _set_drain,
    records.ShareAssigned: _assign_share,
    records.ShareReleased: _release_share,
    records.FenceTaken: _take_fence,
}
