"""Claims, and the inputs and actions of a committer."""

from __future__ import annotations

import enum

import attrs
from gypsumrelay_configuration import ClaimEntry, Record
from gypsumrelay_errors import ClaimUnavailable

ClaimKey = tuple[str, str]


@attrs.frozen
class Claim:
    """A request's claim for its client account's idempotency key.

    Attributes:
        client_account: Client account that the key is scoped to.
        key_digest: Digest of the idempotency key.
        request_digest: Digest of the request's contents.
        request_id: Id of the request, for one claim at one committer. An
            entry that fails over to another committer releases the claim and
            uses a new id.
        agent: Agent that will run the request.
        durable: Whether the claim must survive a crash of its committer.
        deadline: Time in seconds by which the claim is answered.
    """

    client_account: str
    key_digest: str
    request_digest: str
    request_id: str
    agent: str
    durable: bool
    deadline: float

    @property
    def key(self) -> ClaimKey:
        """Client account and digest of the idempotency key."""
        return (self.client_account, self.key_digest)


@attrs.frozen
class LogRead:
    """The response to one read of the log.

    Attributes:
        start: Offset that was requested.
        entries: Readable records with their offsets.
        next_offset: Offset of the next read.
        oldest: Oldest offset that the log retains.
        at_end: Whether the read reached the end of the log.
    """

    start: int
    entries: tuple[tuple[int, Record], ...]
    next_offset: int
    oldest: int
    at_end: bool


class AppendResult(enum.Enum):
    """Result of an append."""

    recorded = 'recorded'
    not_recorded = 'not_recorded'
    unknown = 'unknown'


@attrs.frozen
class Granted:
    """The request holds its key and may be dispatched once."""

    request_id: str


@attrs.frozen
class Taken:
    """Another request holds the key, or the key is bound to another body.

    Attributes:
        request_id: Id of the request.
        holder_request_id: Id of the request that holds or last held the key.
        holder_agent: Agent that runs the holder's request.
        same_body: Whether both requests have the same body.
    """

    request_id: str
    holder_request_id: str
    holder_agent: str
    same_body: bool


@attrs.frozen
class Unavailable:
    """The claim is rejected; its request must not be dispatched."""

    request_id: str
    failure: ClaimUnavailable


@attrs.frozen
class Append:
    """Append records to the log, in one operation and in this order."""

    append_id: str
    records: tuple[Record, ...]


@attrs.frozen
class ReadLog:
    """Read the log at once, from the committer's next offset."""


Action = Granted | Taken | Unavailable | Append | ReadLog


def entry_of(claim: Claim) -> ClaimEntry:
    """Return the log entry of a claim."""
    return ClaimEntry(
        claim.client_account,
        claim.key_digest,
        claim.request_digest,
        claim.request_id,
        claim.agent,
    )
