"""Bandwidth budget of a network link with deadlines and stall detection."""

from __future__ import annotations

import attrs
from gypsumrelay_errors import DeadlineUnreachable, Overloaded


@attrs.frozen
class LinkSettings:
    """Settings of a network link.

    Attributes:
        bytes_per_second: Bandwidth that all transfers share.
        max_transfers: Maximum number of committed transfers.
        stall_seconds: Time without progress after which a transfer counts
            as stalled.
    """

    bytes_per_second: float = 10e9
    max_transfers: int = 64
    stall_seconds: float = 0.5


@attrs.define
class Transfer:
    """A committed transfer.

    Attributes:
        remaining_bytes: Bytes that were not transferred yet.
        deadline: Time by which the transfer has to be complete.
        progressed_at: Time of the last progress.
    """

    remaining_bytes: float
    deadline: float
    progressed_at: float


@attrs.define
class LinkBudget:
    """Committed transfers of one link, which share its bandwidth equally."""

    settings: LinkSettings = attrs.field(factory=LinkSettings)
    transfers: dict[str, Transfer] = attrs.field(factory=dict)
    committed_bytes: float = 0

    def seconds_for(self, size: float) -> float:
        """Return an upper bound in seconds for the time of a new transfer.

        The bound holds for any order in which the link carries its
        transfers.
        """
        committed = self.committed_bytes + size
        return committed / self.settings.bytes_per_second

    def admit(
        self,
        name: str,
        size: float,
        deadline: float,
        now: float,
    ) -> Transfer | Overloaded | DeadlineUnreachable:
        """Commit a transfer if all transfers still meet their deadlines."""
        self.finish(name)
        if now + size / self.settings.bytes_per_second > deadline:
            sentence = 'The transfer cannot meet its deadline on an idle link.'
            return DeadlineUnreachable(sentence, retry_at=now)
        retry_at = now + self.seconds_for(0)
        if len(self.transfers) >= self.settings.max_transfers:
            sentence = 'The link carries as many transfers as it may.'
            return Overloaded(sentence, retry_at=retry_at)
        transfer = Transfer(size, deadline, now)
        if self._misses_deadline(transfer, now):
            sentence = "The link's bandwidth is committed to other transfers."
            return Overloaded(sentence, retry_at=retry_at)
        self.transfers[name] = transfer
        self.committed_bytes += size
        return transfer

    def progress(self, name: str, remaining_bytes: float, now: float) -> None:
        """Record the remaining bytes of a transfer.

        A report that does not lower the remaining bytes is no progress and
        changes nothing.
        """
        transfer = self.transfers.get(name)
        if transfer is None or remaining_bytes >= transfer.remaining_bytes:
            return
        self.committed_bytes -= transfer.remaining_bytes - remaining_bytes
        transfer.remaining_bytes = remaining_bytes
        transfer.progressed_at = now

    def finish(self, name: str) -> None:
        """Remove a transfer that completed or failed, and free its bytes."""
        transfer = self.transfers.pop(name, None)
        if transfer is not None:
            self.committed_bytes -= transfer.remaining_bytes
        if not self.transfers:
            # Rounding errors of the float sums would accumulate otherwise.
            self.committed_bytes = 0

    def stalled(self, now: float) -> tuple[str, ...]:
        """Return the transfers without progress or past their deadlines."""
        limit = now - self.settings.stall_seconds
        return tuple(
            name
            for name, transfer in self.transfers.items()
            if transfer.progressed_at < limit or transfer.deadline < now
        )

    def expire(self, now: float) -> None:
        """Remove the transfers past their deadlines and free their bytes."""
        late = [
            name
            for name, transfer in self.transfers.items()
            if transfer.deadline < now
        ]
        for name in late:
            self.finish(name)

    def _misses_deadline(self, added: Transfer, now: float) -> bool:
        transfers = [*self.transfers.values(), added]
        return any(
            now + self._shared_seconds(transfer, transfers) > transfer.deadline
            for transfer in transfers
        )

    def _shared_seconds(
        self,
        transfer: Transfer,
        transfers: list[Transfer],
    ) -> float:
        # With equal shares, each other transfer delays this one by at most
        # this one's own size.
        own = transfer.remaining_bytes
        shared = sum(min(own, other.remaining_bytes) for other in transfers)
        return shared / self.settings.bytes_per_second
