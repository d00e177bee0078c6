"""Records of the log and their JSON representation."""

from __future__ import annotations

from typing import Any, Final

import attrs
import cattrs
from gypsumrelay_errors import BodyMalformed

from gypsumrelay_configuration.documents import Configuration, Contract


@attrs.frozen
class Record:
    """Base class of all records.

    Attributes:
        record_id: Id chosen by the writer, so that it recognizes its record
            when it reads the log.
        as_of: Offset up to which the writer had read the log. The reducer
            rejects a change of a contract, key or drain that is appended
            more than `reducer.MEMORY_RECORDS` records later.
    """

    record_id: str
    as_of: int = attrs.field(default=-1, kw_only=True)


@attrs.frozen
class ConfigurationPublished(Record):
    """Replaces the configuration if `based_on` is its current version."""

    based_on: int
    configuration: Configuration


@attrs.frozen
class ContractPut(Record):
    """Creates or replaces a contract if `based_on` is its current version."""

    based_on: int
    contract: Contract


@attrs.frozen
class ContractRemoved(Record):
    """Removes a contract, and withdraws its keys, if `based_on` is current."""

    based_on: int
    client_account: str


@attrs.frozen
class KeyGranted(Record):
    """Adds an API key to a client account."""

    key_id: str
    client_account: str
    digest: str


@attrs.frozen
class KeyWithdrawn(Record):
    """Withdraws an API key permanently; its id cannot be granted again."""

    key_id: str


@attrs.frozen
class DrainSet(Record):
    """Takes a zone, instance or upstream out of service, or back into it."""

    based_on: int
    subject: str
    name: str
    drained: bool


@attrs.frozen
class ShareAssigned(Record):
    """Assigns a share to a holder if `epoch` is the current epoch plus one."""

    client_account: str
    number: int
    epoch: int
    holder: str
    incarnation: str


@attrs.frozen
class ShareReleased(Record):
    """Releases a share; its holder has stopped granting from it."""

    client_account: str
    number: int
    epoch: int


@attrs.frozen
class FenceTaken(Record):
    """Takes the next fencing token of an upstream for an agent."""

    upstream: str
    number: int
    agent: str
    incarnation: str


@attrs.frozen
class ClaimEntry:
    """A claim of an idempotency key, written before its request is dispatched.

    Attributes:
        client_account: Client account of the request.
        key_digest: Digest of the idempotency key.
        request_digest: Digest of the request, to recognize a repetition.
        request_id: Id of the request.
        agent: Agent that has asked for the claim.
    """

    client_account: str
    key_digest: str
    request_digest: str
    request_id: str
    agent: str


@attrs.frozen
class ClaimBatch(Record):
    """Claims that one committer has collected and writes in one record."""

    committer: str
    claims: tuple[ClaimEntry, ...]


@attrs.frozen
class ClaimReference:
    """A reference to one claim by its idempotency key and its request.

    A record has no effect where the key is claimed by another request.
    """

    client_account: str
    key_digest: str
    request_id: str


@attrs.frozen
class ClaimsReleased(Record):
    """Releases claims whose requests will never be dispatched."""

    committer: str
    claims: tuple[ClaimReference, ...]


@attrs.frozen
class ClaimsExpired(Record):
    """Expires claims that have been held for the whole claim period."""

    committer: str
    claims: tuple[ClaimReference, ...]


@attrs.frozen
class CompactedClaim:
    """The state of one idempotency key.

    Attributes:
        claim: Newest claim that has won the key.
        writer: Committer that wrote the claim.
        state: `held`, `released` or `expired`.
        void: Ids of earlier requests whose claims were released.
        remaining_seconds: Seconds until the claim expires.
    """

    claim: ClaimEntry
    writer: str
    state: str
    void: tuple[str, ...]
    remaining_seconds: float


@attrs.frozen
class ClaimsCompacted(Record):
    """Repeats the state of keys before the log drops the original records.

    Attributes:
        committer: Committer that wrote the record.
        covers: Last offset that the repeated states include.
        claims: State of each key.
    """

    committer: str
    covers: int
    claims: tuple[CompactedClaim, ...]


@attrs.frozen
class SnapshotPart(Record):
    """One part of a snapshot of the reduced state.

    Attributes:
        snapshot_id: Id derived from the offset and the content of the whole
            state, so that parts by two writers of the same state are
            interchangeable.
        covers: Offset up to and including which the state was reduced.
        index: Position of the part; parts are written in this order.
        count: Number of parts.
        content: Members of the state; their union is the whole state.
    """

    snapshot_id: str
    covers: int
    index: int
    count: int
    content: dict[str, Any]


_RECORD_TYPES: Final[dict[str, type[Record]]] = {
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
_TYPE_NAMES: Final = {
    record_type: name for name, record_type in _RECORD_TYPES.items()
}
_CONVERTER: Final = cattrs.Converter()


def record_to_json(record: Record) -> dict[str, Any]:
    """Return the JSON representation of a record, as it is in the log."""
    fields: dict[str, Any] = _CONVERTER.unstructure(record)
    return {'type': _TYPE_NAMES[type(record)], **fields}


def record_from_json(raw: object) -> Record | BodyMalformed:
    """Return the record of a log entry, or why it is malformed.

    The result depends on the entry alone, so that all readers skip the same
    malformed entries and keep identical states.
    """
    if not isinstance(raw, dict):
        return BodyMalformed('the log entry is not an object')
    record_type = _RECORD_TYPES.get(str(raw.get('type')))
    if record_type is None:
        return BodyMalformed('the log entry has an unknown type')
    try:
        return _CONVERTER.structure(raw, record_type)
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError):
        return BodyMalformed(f'the fields of the {raw["type"]} are faulty')
