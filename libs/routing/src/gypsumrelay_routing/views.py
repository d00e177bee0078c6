"""What an entry knows of its upstreams, with its own commitments."""

from __future__ import annotations

import enum
from collections.abc import Iterable

import attrs

from gypsumrelay_routing.names import NameSet
from gypsumrelay_routing.transfers import LinkBudget, LinkSettings


class Kind(enum.Enum):
    """The work an upstream does."""

    prefill = 'prefill'
    decode = 'decode'
    service = 'service'


@attrs.frozen
class ViewSettings:
    """Settings of an entry's view.

    Attributes:
        stale_seconds: Age of a report from which an upstream gets no new
            work.
        forget_seconds: Age of a report from which the upstream is dropped.
        report_lag_seconds: Longest time from sending a reservation until
            it shows in the reports that arrive.
        max_upstreams: Upstreams that are kept.
        max_prefixes: Cached prefixes kept per upstream, newest first.
        max_commitments: Commitments kept per upstream.
        link: The network link into each upstream.
    """

    stale_seconds: float = 3
    forget_seconds: float = 30
    report_lag_seconds: float = 0.25
    max_upstreams: int = 1024
    max_prefixes: int = 1024
    max_commitments: int = 1024
    link: LinkSettings = attrs.field(factory=LinkSettings)


@attrs.frozen
class UpstreamReport:
    """What an agent reported, with the zone that the instance list gives.

    Attributes:
        upstream: Name of the upstream.
        kind: The work it does.
        serves: The model or service it runs.
        availability_zone: Where it runs.
        free_slots: Requests that it could start now.
        free_blocks: Cache blocks that it could allocate now.
        waiting: Requests in its agent's queue.
        slots: Requests that it runs together at most.
        decode_ms: Time between two output tokens, 0 where unknown.
        cold: Whether it is in cold start.
        draining: Whether it takes no new work.
        prefixes: Digests of cached prefixes, oldest first, from late cache
            events; hints only.
    """

    upstream: str
    kind: Kind
    serves: str
    availability_zone: str
    free_slots: int
    free_blocks: int = 0
    waiting: int = 0
    slots: int = 1
    decode_ms: int = 0
    cold: bool = False
    draining: bool = False
    prefixes: tuple[bytes, ...] = ()


@attrs.frozen
class Commitment:
    """Work sent to an upstream that its reports may not show yet."""

    blocks: int
    made_at: float


@attrs.define
class UpstreamView:
    """One upstream's last report and the commitments made since."""

    report: UpstreamReport
    reported_at: float
    link: LinkBudget
    warm_since: float | None = None
    prefixes: frozenset[bytes] = frozenset()
    commitments: dict[str, Commitment] = attrs.field(factory=dict)
    confirmed: set[str] = attrs.field(factory=set)
    committed_blocks: int = 0

    @property
    def committed_slots(self) -> int:
        """Return the number of commitments."""
        return len(self.commitments)

    def drop(self, name: str) -> None:
        """Remove a commitment if it is there."""
        commitment = self.commitments.pop(name, None)
        self.confirmed.discard(name)
        if commitment is not None:
            self.committed_blocks -= commitment.blocks


@attrs.define
class Pool:
    """The upstreams of one kind that serve the same."""

    upstreams: NameSet = attrs.field(factory=NameSet)
    holders: dict[bytes, NameSet] = attrs.field(factory=dict)


@attrs.define
class View:
    """An entry's view of the upstreams in its subset."""

    availability_zone: str
    settings: ViewSettings = attrs.field(factory=ViewSettings)
    upstreams: dict[str, UpstreamView] = attrs.field(factory=dict)
    pools: dict[tuple[Kind, str], Pool] = attrs.field(factory=dict)

    def observe(self, report: UpstreamReport, now: float) -> None:
        """Take in a report; it replaces the commitments it covers.

        Confirmed commitments are covered, since a link keeps the order of
        the confirmation and the report. Others are covered once they are
        older than the lag; until then they may count twice, which sends
        less work than there is room for, never more.
        """
        known = self.upstreams.get(report.upstream)
        if known is None:
            known = self._add(report, now)
        if known.report.cold and not report.cold:
            known.warm_since = now
        self._index(known, report)
        known.report = report
        known.reported_at = now
        covered_until = now - self.settings.report_lag_seconds
        covered = [
            name
            for name, commitment in known.commitments.items()
            if name in known.confirmed or commitment.made_at < covered_until
        ]
        for name in covered:
            known.drop(name)
        known.link.expire(now)

    def commit(
        self,
        name: str,
        upstream: str,
        blocks: int,
        now: float,
    ) -> None:
        """Count work that is being sent to an upstream."""
        known = self.upstreams.get(upstream)
        if known is None:
            return
        known.drop(name)
        if len(known.commitments) >= self.settings.max_commitments:
            # The oldest is the one that the next report covers.
            known.drop(next(iter(known.commitments)))
        known.commitments[name] = Commitment(blocks, now)
        known.committed_blocks += blocks

    def confirm(self, name: str, upstream: str) -> None:
        """Note that the agent has answered the reservation."""
        known = self.upstreams.get(upstream)
        if known is not None and name in known.commitments:
            known.confirmed.add(name)

    def finish_transfer(self, name: str, upstream: str) -> None:
        """Return the bytes of a transfer that ended while the work runs."""
        known = self.upstreams.get(upstream)
        if known is not None:
            known.link.finish(name)

    def release(self, name: str, upstreams: Iterable[str]) -> None:
        """Drop the commitments of work that ended or was not granted."""
        for upstream in upstreams:
            known = self.upstreams.get(upstream)
            if known is not None:
                known.drop(name)
                known.link.finish(name)

    def forget(self, upstream: str) -> None:
        """Remove an upstream, for instance when it left the subset."""
        known = self.upstreams.get(upstream)
        if known is not None:
            self._unindex(known)
            self.upstreams.pop(upstream)

    def expire(self, now: float) -> tuple[str, ...]:
        """Remove the upstreams that have not reported for long."""
        oldest = now - self.settings.forget_seconds
        gone = tuple(
            name
            for name, known in self.upstreams.items()
            if known.reported_at < oldest
        )
        for name in gone:
            self.forget(name)
        return gone

    def accepts_work(self, upstream: str, now: float) -> bool:
        """Return whether an upstream may get new work."""
        known = self.upstreams.get(upstream)
        if known is None or known.report.draining:
            return False
        return now - known.reported_at <= self.settings.stale_seconds

    def pool(self, kind: Kind, serves: str) -> Pool:
        """Return the upstreams that do this work."""
        return self.pools.get((kind, serves)) or Pool()

    def _add(self, report: UpstreamReport, now: float) -> UpstreamView:
        if len(self.upstreams) >= self.settings.max_upstreams:
            stalest = min(
                self.upstreams,
                key=lambda name: self.upstreams[name].reported_at,
            )
            self.forget(stalest)
        known = UpstreamView(report, now, LinkBudget(self.settings.link))
        self.upstreams[report.upstream] = known
        return known

    def _index(self, known: UpstreamView, report: UpstreamReport) -> None:
        key = (report.kind, report.serves)
        if key != (known.report.kind, known.report.serves):
            self._unindex(known)
        pool = self.pools.setdefault(key, Pool())
        pool.upstreams.add(report.upstream)
        kept = report.prefixes[-self.settings.max_prefixes :]
        prefixes = frozenset(kept)
        # The order of the report, not of the set, keeps runs repeatable.
        for added in kept:
            if added not in known.prefixes:
                holders = pool.holders.setdefault(added, NameSet())
                holders.add(report.upstream)
        for removed in known.prefixes - prefixes:
            _remove_holder(pool, removed, report.upstream)
        known.prefixes = prefixes

    def _unindex(self, known: UpstreamView) -> None:
        key = (known.report.kind, known.report.serves)
        name = known.report.upstream
        pool = self.pools.get(key)
        if pool is None:
            return
        pool.upstreams.discard(name)
        for digest in known.prefixes:
            _remove_holder(pool, digest, name)
        known.prefixes = frozenset()
        if not pool.upstreams:
            self.pools.pop(key)


def _remove_holder(pool: Pool, digest: bytes, upstream: str) -> None:
    holders = pool.holders.get(digest)
    if holders is None:
        return
    holders.discard(upstream)
    if not holders:
        pool.holders.pop(digest)
