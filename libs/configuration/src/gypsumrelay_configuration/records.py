"""Records of the log and their JSON form."""

from __future__ import annotations

from typing import Any, Final

import attrs
import cattrs
from gypsumrelay_errors import BodyMalformed

from gypsumrelay_configuration.documents import Configuration, Contract


@attrs.frozen
class Record:
    """Base of all records.

    Attributes:
        record_id: Chosen by the writer, so that it recognizes its record
            when it reads the log back.
        as_of: Offset up to which the writer had read the log. The reducer
            rejects changes of contracts, keys and drains by a writer that
            is further behind than it remembers.
    """

    record_id: str
    as_of: int = attrs.field(default=-1, kw_only=True)


@attrs.frozen
class ConfigurationPublished(Record):
    """Replaces the configuration where `based_on` is its version."""

    based_on: int
    configuration: Configuration


@attrs.frozen
class ContractPut(Record):
    """Creates or replaces a contract where `based_on` is its version."""

    based_on: int
    contract: Contract


@attrs.frozen
class ContractRemoved(Record):
    """Removes a contract and its keys where `based_on` is its version."""

    based_on: int
    client_account: str


@attrs.frozen
class KeyGranted(Record):
    """Adds a key to a client account."""

    key_id: str
    client_account: str
    digest: str


@attrs.frozen
class KeyWithdrawn(Record):
    """Ends a key for good; its id is never granted again."""

    key_id: str


@attrs.frozen
class DrainSet(Record):
    """Takes a zone, instance or upstream out of service or back in."""

    based_on: int
    subject: str
    name: str
    drained: bool


@attrs.frozen
class ShareAssigned(Record):
    """Gives a share to a holder where `epoch` follows the current one."""

    client_account: str
    number: int
    epoch: int
    holder: str
    incarnation: str


@attrs.frozen
class ShareReleased(Record):
    """Gives up a share by its holder, which has stopped granting."""

    client_account: str
    number: int
    epoch: int


@attrs.frozen
class FenceTaken(Record):
    """Takes the next fencing token of an upstream."""

    upstream: str
    number: int
    agent: str
    incarnation: str


@attrs.frozen
class ClaimEntry:
    """One claim of an idempotency key, before its work is dispatched."""

    client_account: str
    key_digest: str
    request_digest: str
    request_id: str
    agent: str


@attrs.frozen
class ClaimBatch(Record):
    """Claims that one committer collected in one window."""

    committer: str
    claims: tuple[ClaimEntry, ...]


@attrs.frozen
class ClaimReference:
    """Names one claim; it has no effect on a claim of another request."""

    client_account: str
    key_digest: str
    request_id: str


@attrs.frozen
class ClaimsReleased(Record):
    """Frees claims whose requests were never dispatched and never will be."""

    committer: str
    claims: tuple[ClaimReference, ...]


@attrs.frozen
class ClaimsExpired(Record):
    """Ends claims that were remembered for the whole claim period."""

    committer: str
    claims: tuple[ClaimReference, ...]


@attrs.frozen
class CompactedClaim:
    """The state of one idempotency key.

    Attributes:
        claim: The newest claim that was first for the key.
        writer: The committer that wrote it.
        state: `held`, `released` or `expired`.
        void: Earlier requests whose claims were released.
        remaining_seconds: For how much longer the claim is remembered.
    """

    claim: ClaimEntry
    writer: str
    state: str
    void: tuple[str, ...]
    remaining_seconds: float


@attrs.frozen
class ClaimsCompacted(Record):
    """Repeats the state of keys before the log drops their first records.

    Attributes:
        committer: Who wrote the record.
        covers: Last offset that the repeated states include.
        claims: The states.
    """

    committer: str
    covers: int
    claims: tuple[CompactedClaim, ...]


@attrs.frozen
class SnapshotPart(Record):
    """One part of the reduced state up to and including an offset.

    Attributes:
        snapshot_id: Names the offset and the content of the whole state, so
            parts by two writers of the same state are interchangeable.
        covers: The offset.
        index: Position of the part; parts are written in this order.
        count: Number of parts.
        content: Members of the state; their union is the whole state.
    """

    snapshot_id: str
    covers: int
    index: int
    count: int
    content: dict[str, Any]


_KINDS: Final[dict[str, type[Record]]] = {
    'configuration_published': ConfigurationPublished,
    'contract_put': ContractPut,
    'contract_removed': ContractRemoved,
    'key_granted': KeyGranted,
    'key_withdrawn': KeyWithdrawn,
    'drain_set': DrainSet,
    'share_assigned': ShareAssigned,
    'share_released': ShareReleased,
    'fence_taken': FenceTaken,
    'claim_batch': ClaimBatch,
    'claims_released': ClaimsReleased,
    'claims_expired': ClaimsExpired,
    'claims_compacted': ClaimsCompacted,
    'snapshot_part': SnapshotPart,
}
_NAMES: Final = {kind: name for name, kind in _KINDS.items()}
_CONVERTER: Final = cattrs.Converter()


def record_to_json(record: Record) -> dict[str, Any]:
    """Return a record in the form that goes into the log."""
    fields: dict[str, Any] = _CONVERTER.unstructure(record)
    return {'type': _NAMES[type(record)], **fields}


def record_from_json(raw: object) -> Record | BodyMalformed:
    """Return the record of a log entry.

    Every reader refuses the same entries, so a faulty one changes no
    reader's state.
    """
    if not isinstance(raw, dict):
        return BodyMalformed('the log entry is not an object')
    kind = _KINDS.get(str(raw.get('type')))
    if kind is None:
        return BodyMalformed('the log entry has an unknown type')
    try:
        return _CONVERTER.structure(raw, kind)
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError):
        return BodyMalformed(f'the fields of the {raw["type"]} are faulty')
