"""Claims, what a committer is told, and the actions that it returns."""

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
        client_account: The account that the key is scoped to.
        key_digest: Digest of the idempotency key.
        request_digest: Digest of what the request asks for.
        request_id: Used for one claim at one committer; an entry that turns
            to another committer releases the claim and takes a new id.
        agent: The agent that will run the request.
        durable: Whether the claim must survive its committer.
        deadline: Until when an answer is of use.
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
        """The account and the digest of the idempotency key."""
        return (self.client_account, self.key_digest)


@attrs.frozen
class LogRead:
    """The response to one read of the log.

    Attributes:
        start: The offset that the read asked for.
        entries: Readable records with their offsets.
        next_offset: From where to read on.
        oldest: The oldest offset that the log keeps.
        at_end: Whether the read reached the end of the log.
    """

    start: int
    entries: tuple[tuple[int, Record], ...]
    next_offset: int
    oldest: int
    at_end: bool


class AppendResult(enum.Enum):
    """What is known about an append."""

    recorded = 'recorded'
    not_recorded = 'not_recorded'
    unknown = 'unknown'


@attrs.frozen
class Granted:
    """The request holds the key and may be dispatched once."""

    request_id: str


@attrs.frozen
class Taken:
    """Another request holds the key, or holds its body."""

    request_id: str
    holder_request_id: str
    holder_agent: str
    same_body: bool


@attrs.frozen
class Unavailable:
    """The request gets no claim and must not be dispatched."""

    request_id: str
    failure: ClaimUnavailable


@attrs.frozen
class Append:
    """Append these records to the log in one operation and in this order."""

    append_id: str
    records: tuple[Record, ...]


@attrs.frozen
class ReadLog:
    """Read the log now, from the committer's next offset on."""


Action = Granted | Taken | Unavailable | Append | ReadLog


def entry_of(claim: Claim) -> ClaimEntry:
    """Return the form in which a claim goes into the log."""
    return ClaimEntry(
        claim.client_account,
        claim.key_digest,
        claim.request_digest,
        claim.request_id,
        claim.agent,
    )
