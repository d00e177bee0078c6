"""Reducer of the log: applies each record to the state, deterministically.

All readers run this code, so that their states at one offset are equal.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import attrs

from gypsumrelay_configuration import records
from gypsumrelay_configuration.documents import Drain, Fence, Key, Share
from gypsumrelay_configuration.snapshots import buffer_part, track_part
from gypsumrelay_configuration.state import State, drain_id, share_id

# Number of records for which a tombstone of a removal is kept, and maximum
# age of a record in records. At 500 records per second it is 100 s, ten
# times the deadline of a publication; at about 150 bytes for each tombstone
# it is at most 7.5 MB.
MEMORY_RECORDS: Final = 50_000


@attrs.frozen
class Accepted:
    """The record takes effect from its offset on."""

    version: int = 0


@attrs.frozen
class Rejected:
    """The record has no effect, since `version` is the current version."""

    version: int
    sentence: str


@attrs.frozen
class Skipped:
    """The record is of no concern to the reducer or was applied before."""


Verdict = Accepted | Rejected | Skipped


def apply(state: State, offset: int, record: records.Record) -> Verdict:
    """Apply the record at an offset to the state.

    An offset that the state already covers is skipped, so that a part of
    the log can be read twice. After a gap only snapshots are applied, since
    the result of later records depends on the missing ones.
    """
    if offset <= state.offset:
        return Skipped()
    contiguous = offset == state.offset + 1
    skip_offset(state, offset)
    if isinstance(record, records.SnapshotPart):
        return _apply_part(state, offset, record, contiguous)
    if not contiguous:
        return Skipped()
    _expire_tombstones(state)
    if (
        isinstance(record, _AGE_LIMITED)
        and offset - record.as_of > MEMORY_RECORDS
    ):
        return Rejected(0, 'the writer is too far behind the log')
    handler = _HANDLERS.get(type(record))
    return handler(state, record) if handler else Skipped()


def skip_offset(state: State, offset: int) -> None:
    """Advance the state past an offset without applying its entry."""
    state.read_position.last_read = max(state.read_position.last_read, offset)
    if offset == state.offset + 1:
        state.offset = offset


def note_oldest(state: State, oldest: int) -> None:
    """Set the oldest offset that the log still holds; it never decreases."""
    state.read_position.oldest = max(state.read_position.oldest, oldest)


def is_ready(state: State) -> bool:
    """Return whether the state covers all records that the log has dropped."""
    return state.offset + 1 >= state.read_position.oldest


def next_offset(state: State) -> int:
    """Return the offset of the next record to read.

    A reader that is not ready reads ahead to find a snapshot, and then
    reads again from the offset after the one that the snapshot covers.
    """
    if is_ready(state):
        return state.offset + 1
    return max(state.read_position.last_read + 1, state.read_position.oldest)


def replace(state: State, newer: State) -> bool:
    """Replace the state by a newer one and return whether it was newer."""
    if newer.offset <= state.offset:
        return False
    for field in attrs.fields(State):
        if field.name != 'read_position':
            setattr(state, field.name, getattr(newer, field.name))
    state.read_position.clear()
    return True


def _apply_part(
    state: State,
    offset: int,
    part: records.SnapshotPart,
    contiguous: bool,
) -> Verdict:
    if contiguous:
        track_part(state, offset, part)
        return Skipped()
    newer = buffer_part(state, offset, part)
    return Accepted() if newer and replace(state, newer) else Skipped()


def _expire_tombstones(state: State) -> None:
    """Expire the tombstones that no acceptable record can refer to.

    A tombstone of a removed contract, a withdrawn key or a lifted drain is
    kept for as long as a late copy of an older record could restore it.
    `MEMORY_RECORDS` also limits the age of a record.
    """
    horizon = state.offset - MEMORY_RECORDS
    for name in _pop_expired(state.removals, horizon):
        if name not in state.contracts:
            state.contract_versions.pop(name, None)
    for key_id in _pop_expired(state.withdrawals, horizon):
        state.keys.pop(state.key_ids.pop(key_id, ''), None)
    for drain in _pop_expired(state.undrains, horizon):
        state.drains.pop(drain, None)


def _pop_expired(offsets: dict[str, int], horizon: int) -> list[str]:
    popped = []
    while offsets:
        name = next(iter(offsets))
        if offsets[name] >= horizon:
            break
        offsets.pop(name)
        popped.append(name)
    return popped


def _set_last(offsets: dict[str, int], name: str, offset: int) -> None:
    """Set the offset of a name, as the last entry of the mapping."""
    offsets.pop(name, None)
    offsets[name] = offset


def _publish_configuration(
    state: State, record: records.ConfigurationPublished
) -> Verdict:
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
        if key.client_account == name and not key.withdrawn:
            state.keys[digest] = attrs.evolve(key, withdrawn=True)
            _set_last(state.withdrawals, key.key_id, state.offset)
    _set_last(state.removals, name, state.offset)
    return Accepted(current + 1)


def _grant_key(state: State, record: records.KeyGranted) -> Verdict:
    if record.client_account not in state.contracts:
        return Rejected(0, 'there is no such contract')
    if record.as_of < state.removals.get(record.client_account, -1):
        return Rejected(0, 'the contract was removed since')
    if not record.digest:
        return Rejected(0, 'the digest is empty')
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
    """Withdraw a key, or reserve the id of one that was not granted yet.

    A grant with this id that arrives later is rejected.
    """
    if record.key_id in state.withdrawals:
        return Accepted()
    _set_last(state.withdrawals, record.key_id, state.offset)
    digest = state.key_ids.setdefault(record.key_id, '')
    if digest:
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
    state.undrains.pop(name, None)
    if not record.drained:
        state.undrains[name] = state.offset
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


_AGE_LIMITED: Final = (
    records.ContractPut,
    records.ContractRemoved,
    records.KeyGranted,
    records.KeyWithdrawn,
    records.DrainSet,
)
_HANDLERS: Final[dict[type[records.Record], Callable[..., Verdict]]] = {
    records.ConfigurationPublished: _publish_configuration,
    records.ContractPut: _put_contract,
    records.ContractRemoved: _remove_contract,
    records.KeyGranted: _grant_key,
    records.KeyWithdrawn: _withdraw_key,
    records.DrainSet: _set_drain,
    records.ShareAssigned: _assign_share,
    records.ShareReleased: _release_share,
    records.FenceTaken: _take_fence,
}
