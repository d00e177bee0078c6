"""Records, requests and messages of the size that a large fleet has."""

from __future__ import annotations

import hashlib
import json
from typing import Any, Final

from gypsumrelay_claims import (
    Committer,
    CommitterSettings,
    LogRead,
    apply_read,
)
from gypsumrelay_configuration import (
    ClaimBatch,
    ClaimEntry,
    Contract,
    ContractPut,
    FenceTaken,
    KeyGranted,
    Record,
    ShareAssigned,
    record_from_json,
    record_to_json,
)

MODELS: Final = ('model-a', 'model-b', 'model-c', 'model-d', 'model-e')


def digest_of(number: int) -> str:
    """Return the digest of a number in the form that the log keeps."""
    return hashlib.sha256(str(number).encode()).hexdigest()


def account_of(number: int) -> str:
    """Return the name of an account."""
    return f'client-account-{number:06d}'


def contract_record(number: int) -> ContractPut:
    """Return the record that creates an account."""
    contract = Contract(account_of(number), 1318, 60_000, MODELS)
    return ContractPut(f'operator-1/{number}', 0, contract)


def key_record(number: int) -> KeyGranted:
    """Return the record that grants a key to the first account."""
    return KeyGranted(
        f'operator-1/key/{number}',
        f'key-{number:06d}',
        account_of(0),
        digest_of(number),
    )


def share_record(number: int) -> ShareAssigned:
    """Return the record that assigns a share."""
    return ShareAssigned(
        f'agent-{number:05d}/share/{number}',
        account_of(number // 2),
        number % 2,
        1,
        f'agent-{number:05d}',
        digest_of(number)[:16],
    )


def fence_record(number: int) -> FenceTaken:
    """Return the record that takes an upstream's fencing token."""
    return FenceTaken(
        f'agent-{number:05d}/fence',
        f'upstream-{number:05d}',
        1,
        f'agent-{number:05d}',
        digest_of(number)[:16],
    )


def claim_batch(first: int, count: int) -> ClaimBatch:
    """Return a committer's record of some claims."""
    entries = tuple(
        ClaimEntry(
            account_of(number % 22_000),
            digest_of(number),
            digest_of(-number),
            f'entry-001/{number}',
            f'agent-{number % 7600:05d}',
        )
        for number in range(first, first + count)
    )
    return ClaimBatch(f'agent-1/{first}', 'agent-1/1', entries)


def as_read(record: Record) -> Any:
    """Return the record as a reader of the log gets it."""
    return record_from_json(json.loads(json.dumps(record_to_json(record))))


def json_bytes(record: Record) -> int:
    """Return the size of a record in the log's protocol."""
    return len(json.dumps(record_to_json(record)))


def new_committer() -> Committer:
    """Return a committer that has read an empty log to its end."""
    committer = Committer('agent-1', 'agent-1/1', CommitterSettings(86_400))
    read_log(committer, ())
    return committer


def read_log(
    committer: Committer,
    records: tuple[Record, ...],
) -> list[Any]:
    """Let a committer read records at the end of the log."""
    start = committer.next_offset
    entries = tuple(enumerate(records, start))
    read = LogRead(start, entries, start + len(records), 0, at_end=True)
    return list(apply_read(committer, read, now=1))
