"""An entry's view of its upstreams: their reports and its commitments."""

from __future__ import annotations

import enum
from collections.abc import Iterable

import attrs

from gypsumrelay_routing.nameset import NameSet
from gypsumrelay_routing.transfers import LinkBudget, LinkSettings


class UpstreamKind(enum.Enum):
    """The kind of work that an upstream does."""

    prefill = 'prefill'
    decode = 'decode'
    service = 'service'


@attrs.frozen
class ViewSettings:
    """Settings of an entry's view.

    Attributes:
        stale_seconds: Age of the last report after which an upstream gets
            no new work.
        retention_seconds: Age of the last report after which an upstream is
            removed from the view.
        report_lag_seconds: Longest time from sending a reservation to the
            arrival of a report that includes it.
        max_upstreams: Maximum number of upstreams in the view.
        max_prefixes: Maximum number of cached prefixes stored per upstream;
            the newest are kept.
        max_commitments: Maximum number of commitments per upstream.
        link: Settings of the network link into each upstream.
    """

    stale_seconds: float = 3
    retention_seconds: float = 30
    report_lag_seconds: float = 0.25
    max_upstreams: int = 1024
    max_prefixes: int = 1024
    max_commitments: int = 1024
    link: LinkSettings = attrs.field(factory=LinkSettings)


@attrs.frozen
class UpstreamReport:
    """Load report of an agent with the zone from the instance list.

    Attributes:
        upstream: Name of the upstream.
        kind: The kind of work that it does.
        serves: The model or service that it runs.
        availability_zone: Its availability zone.
        free_slots: Number of requests that it could start now.
        free_blocks: Number of cache blocks that it could allocate now.
        waiting: Number of requests in its agent's queue.
        slots: Maximum number of concurrent requests.
        decode_ms: Milliseconds between two output tokens, 0 if unknown.
        cold: Whether it is in cold start.
        draining: Whether it accepts no new work.
        prefixes: Digests of cached prefixes, oldest first. These are only
            hints, as they come from delayed cache events.
    """

    upstream: str
    kind: UpstreamKind
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
    """Work sent to an upstream that its reports may not include yet.

    Attributes:
        blocks: Cache blocks that the work needs.
        committed_at: Time of the commitment.
    """

    blocks: int
    committed_at: float


@attrs.define
class UpstreamView:
    """Last report of an upstream and the commitments made since.

    Attributes:
        report: The last report.
        reported_at: Time at which the report arrived.
        link: Bandwidth budget of the network link into the upstream.
        warm_since: Time at which a cold start was reported as finished,
            None if no cold start was seen.
        prefixes: Digests of the cached prefixes of the report.
        commitments: Commitments by name of the work, oldest first.
        confirmed: Names of the commitments that the agent has answered.
        committed_blocks: Cache blocks of all commitments.
    """

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

    def remove_commitment(self, name: str) -> None:
        """Remove a commitment if it is present."""
        commitment = self.commitments.pop(name, None)
        self.confirmed.discard(name)
        if commitment is not None:
            self.committed_blocks -= commitment.blocks


@attrs.define
class Pool:
    """The upstreams of one kind that serve the same model or service.

    Attributes:
        upstreams: Names of the upstreams.
        holders: Upstreams that cache a prefix, by its digest.
    """

    upstreams: NameSet = attrs.field(factory=NameSet)
    holders: dict[bytes, NameSet] = attrs.field(factory=dict)


@attrs.define
class View:
    """An entry's view of the upstreams in its subset.

    Attributes:
        availability_zone: Availability zone of the entry.
        settings: Settings of the view.
        upstreams: Reports and commitments by upstream.
        pools: Upstreams by kind and by model or service.
    """

    availability_zone: str
    settings: ViewSettings = attrs.field(factory=ViewSettings)
    upstreams: dict[str, UpstreamView] = attrs.field(factory=dict)
    pools: dict[tuple[UpstreamKind, str], Pool] = attrs.field(factory=dict)

    def apply_report(self, report: UpstreamReport, now: float) -> None:
        """Store a report and remove the commitments that it includes.

        A report includes all confirmed commitments, since a link delivers
        the confirmation and the report in order. It also includes
        commitments that are older than the report lag. Newer unconfirmed
        ones may be counted twice, which underestimates the free capacity
        and never overestimates it.
        """
        upstream_view = self.upstreams.get(report.upstream)
        if upstream_view is None:
            upstream_view = self._add(report, now)
        if upstream_view.report.cold and not report.cold:
            upstream_view.warm_since = now
        self._index(upstream_view, report)
        upstream_view.report = report
        upstream_view.reported_at = now
        covered_until = now - self.settings.report_lag_seconds
        covered = [
            name
            for name, commitment in upstream_view.commitments.items()
            if name in upstream_view.confirmed
            or commitment.committed_at < covered_until
        ]
        for name in covered:
            upstream_view.remove_commitment(name)
        upstream_view.link.expire(now)

    def commit(
        self,
        name: str,
        upstream: str,
        blocks: int,
        now: float,
    ) -> None:
        """Add a commitment for work that is being sent to an upstream."""
        upstream_view = self.upstreams.get(upstream)
        if upstream_view is None:
            return
        upstream_view.remove_commitment(name)
        if len(upstream_view.commitments) >= self.settings.max_commitments:
            # The next report most probably includes the oldest commitment.
            upstream_view.remove_commitment(
                next(iter(upstream_view.commitments))
            )
        upstream_view.commitments[name] = Commitment(blocks, now)
        upstream_view.committed_blocks += blocks

    def confirm(self, name: str, upstream: str) -> None:
        """Mark a commitment whose reservation the agent has answered."""
        upstream_view = self.upstreams.get(upstream)
        if upstream_view is not None and name in upstream_view.commitments:
            upstream_view.confirmed.add(name)

    def finish_transfer(self, name: str, upstream: str) -> None:
        """Free the link budget of a transfer that ended; its work goes on."""
        upstream_view = self.upstreams.get(upstream)
        if upstream_view is not None:
            upstream_view.link.finish(name)

    def release(self, name: str, upstreams: Iterable[str]) -> None:
        """Remove the commitments of work that ended or was not granted."""
        for upstream in upstreams:
            upstream_view = self.upstreams.get(upstream)
            if upstream_view is not None:
                upstream_view.remove_commitment(name)
                upstream_view.link.finish(name)

    def remove_upstream(self, upstream: str) -> None:
        """Remove an upstream, for example after it left the subset."""
        upstream_view = self.upstreams.get(upstream)
        if upstream_view is not None:
            self._unindex(upstream_view)
            self.upstreams.pop(upstream)

    def expire(self, now: float) -> tuple[str, ...]:
        """Remove the upstreams whose last report has expired.

        Returns:
            Names of the removed upstreams.
        """
        oldest = now - self.settings.retention_seconds
        gone = tuple(
            name
            for name, upstream_view in self.upstreams.items()
            if upstream_view.reported_at < oldest
        )
        for name in gone:
            self.remove_upstream(name)
        return gone

    def accepts_work(self, upstream: str, now: float) -> bool:
        """Return whether an upstream has a fresh report and is not draining."""
        upstream_view = self.upstreams.get(upstream)
        if upstream_view is None or upstream_view.report.draining:
            return False
        return now - upstream_view.reported_at <= self.settings.stale_seconds

    def pool(self, kind: UpstreamKind, serves: str) -> Pool:
        """Return the pool of a kind and a model or service."""
        return self.pools.get((kind, serves)) or Pool()

    def _add(self, report: UpstreamReport, now: float) -> UpstreamView:
        if len(self.upstreams) >= self.settings.max_upstreams:
            stalest = min(
                self.upstreams,
                key=lambda name: self.upstreams[name].reported_at,
            )
            self.remove_upstream(stalest)
        upstream_view = UpstreamView(
            report, now, LinkBudget(self.settings.link)
        )
        self.upstreams[report.upstream] = upstream_view
        return upstream_view

    def _index(
        self, upstream_view: UpstreamView, report: UpstreamReport
    ) -> None:
        key = (report.kind, report.serves)
        if key != (upstream_view.report.kind, upstream_view.report.serves):
            self._unindex(upstream_view)
        pool = self.pools.setdefault(key, Pool())
        pool.upstreams.add(report.upstream)
        kept = report.prefixes[-self.settings.max_prefixes :]
        prefixes = frozenset(kept)
        # Iterates in the order of the report, as the order of a set differs
        # between runs with the same seed.
        for added in kept:
            if added not in upstream_view.prefixes:
                holders = pool.holders.setdefault(added, NameSet())
                holders.add(report.upstream)
        for removed in upstream_view.prefixes - prefixes:
            _remove_holder(pool, removed, report.upstream)
        upstream_view.prefixes = prefixes

    def _unindex(self, upstream_view: UpstreamView) -> None:
        key = (upstream_view.report.kind, upstream_view.report.serves)
        name = upstream_view.report.upstream
        pool = self.pools.get(key)
        if pool is None:
            return
        pool.upstreams.discard(name)
        for digest in upstream_view.prefixes:
            _remove_holder(pool, digest, name)
        upstream_view.prefixes = frozenset()
        if not pool.upstreams:
            self.pools.pop(key)


def _remove_holder(pool: Pool, digest: bytes, upstream: str) -> None:
    holders = pool.holders.get(digest)
    if holders is None:
        return
    holders.discard(upstream)
    if not holders:
        pool.holders.pop(digest)
