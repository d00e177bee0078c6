"""The target size, and the costs that the slopes give at that size."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

import attrs

from gypsumrelay_bench.capacity_budget import Cost, Unit

DAY_SECONDS: Final = 86_400


@attrs.frozen
class Scale:
    """The fleet of section 3 of the design, and what it leaves open.

    Attributes:
        entries: Nodes that run an entry.
        agents: Replicas, each with an agent.
        requests: Requests per second at peak.
        tokens: Output tokens per second at peak.
        accounts: Client accounts, with one key each.
        shares: Shares for each account, the default of the configuration.
        models: Models; each has a prefill pool and a decode pool.
        subset: Links of an entry into each pool, the default setting.
        changes: Configuration changes per day.
        restarts: Failures and restarts of instances per day.
        claims: Durable claims per second, 2 % of the requests.
        committers: Committer agents; section 8.3 of the design.
        claim_seconds: For how long a claim is kept, the default setting.
        prefixes: Prefix digests in a report: one for each of the 200
            blocks of the default settings.
        poll_seconds: Period of the followers.
        poll_bytes: HTTP request and answer of a poll without news, counted
            by hand from urllib3's and waitress's headers.
        stream_seconds: Time that a request is open: 1.5 s to the first
            token and 290 tokens 29 ms apart.
        process_bytes: Resident size of an entry with its imports only.
        thread_bytes: Resident size of a waiting thread.
        ring_events: Events kept, the default setting.
        append_limit: Appends per second that the log service takes.
    """

    entries: int = 660
    agents: int = 7600
    requests: int = 100_000
    tokens: int = 29_000_000
    accounts: int = 22_000
    shares: int = 2
    models: int = 5
    subset: int = 64
    changes: int = 27_000
    restarts: int = 1015
    claims: int = 2000
    committers: int = 12
    claim_seconds: int = DAY_SECONDS
    prefixes: int = 200
    poll_seconds: float = 0.5
    poll_bytes: int = 330
    stream_seconds: float = 9.9
    process_bytes: int = 34_600_000
    thread_bytes: int = 16_240
    ring_events: int = 20_000
    append_limit: int = 300

    @property
    def processes(self) -> int:
        """Return the number of entries and agents."""
        return self.entries + self.agents

    @property
    def links(self) -> int:
        """Return the links of an entry."""
        return min(self.agents, self.subset * self.models * 2)

    @property
    def agent_links(self) -> float:
        """Return the links from entries at an agent."""
        return self.entries * self.links / self.agents

    @property
    def live_claims(self) -> int:
        """Return the claims that are remembered at once."""
        return self.claims * self.claim_seconds


Slopes = Mapping[str, float]


def snapshot_bytes(scale: Scale, slopes: Slopes) -> float:
    """Return the size of a snapshot or of a copy from a peer."""
    return (
        scale.accounts * slopes['snapshot per account']
        + scale.accounts * slopes['snapshot per key']
        + scale.accounts * scale.shares * slopes['snapshot per share']
        + scale.agents * slopes['snapshot per fence']
    )


def costs(scale: Scale, slopes: Slopes) -> tuple[Cost, ...]:
    """Return the cost of each mechanism of each role."""
    entry = (*_common('entry', scale, slopes), *_entry(scale, slopes))
    agent = (*_common('agent', scale, slopes), *_agent(scale, slopes))
    log_service = _log(scale)
    return (
        *entry,
        *agent,
        *_holder(scale, slopes),
        *_committer(scale, slopes),
        *log_service,
    )


def _common(role: str, scale: Scale, slopes: Slopes) -> tuple[Cost, ...]:
    """Return what each entry and each agent pays alike."""
    polls = 1 / scale.poll_seconds
    listed = scale.processes
    configuration = (
        scale.accounts * slopes['account (contract)']
        + scale.accounts * slopes['key']
        + scale.accounts * scale.shares * slopes['share in the state']
        + scale.agents * slopes['fence in the state']
    )
    changes = scale.changes / DAY_SECONDS
    read = slopes['log record read and applied']
    skipped = slopes['claim read by a process that skips it']
    claim_bytes = slopes['claim record bytes per claim']
    table = (
        ('process', Unit.memory, scale.process_bytes, 'imports, no state'),
        ('configuration', Unit.memory, configuration, 'accounts, keys, shares'),
        (
            'instance list',
            Unit.memory,
            listed * slopes['instance in list'],
            'entries of the membership view',
        ),
        (
            'event ring',
            Unit.memory,
            scale.ring_events * slopes['ring event'],
            'events kept',
        ),
        (
            'list poll',
            Unit.network,
            polls * listed * slopes['list bytes per instance'],
            'whole list twice a second',
        ),
        (
            'list poll',
            Unit.core,
            polls * listed * slopes['instance of a list read'],
            'JSON and checks of each entry',
        ),
        ('log poll', Unit.network, polls * scale.poll_bytes, 'empty polls'),
        (
            'claims in the one log',
            Unit.network,
            scale.claims * claim_bytes,
            'every follower reads every claim',
        ),
        (
            'claims in the one log',
            Unit.core,
            scale.claims * skipped,
            'read, checked and skipped',
        ),
        (
            'configuration changes',
            Unit.network,
            changes * slopes['contract record'],
            'records read',
        ),
        ('configuration changes', Unit.core, changes * read, 'records applied'),
    )
    return tuple(
        Cost(role, name, unit, amount, 'computed', working)
        for name, unit, amount, working in table
    )


def _entry(scale: Scale, slopes: Slopes) -> tuple[Cost, ...]:
    links = scale.links
    frame = slopes['load report frame, both ends'] / 2
    beat = slopes['heartbeat']
    report = slopes['load report without prefixes']
    per_prefix = slopes['report bytes per prefix']
    prefix_seconds = (
        slopes['prefix of a report carried'] / 2
        + slopes['prefix of a report observed']
    )
    prefixes = links * scale.prefixes
    requests = scale.requests / scale.entries
    tokens = scale.tokens / scale.entries
    table = (
        (
            'view of upstreams',
            Unit.memory,
            links * slopes['upstream in view'],
            'links',
        ),
        (
            'link threads',
            Unit.memory,
            links * scale.thread_bytes,
            'one reader thread for each link',
        ),
        (
            'prefix index',
            Unit.memory,
            prefixes * slopes['prefix of an upstream'],
            'links x prefixes in a report',
        ),
        (
            'request threads',
            Unit.memory,
            requests * scale.stream_seconds * scale.thread_bytes,
            'one thread for each open request',
        ),
        ('heartbeats', Unit.network, links * beat * 2, 'both directions, 1/s'),
        ('heartbeats', Unit.core, links * frame * 2, 'send and receive, 1/s'),
        ('load reports', Unit.network, links * report, '1/s, no prefixes'),
        ('load reports', Unit.core, links * frame, 'receive, 1/s'),
        ('prefix digests', Unit.network, prefixes * per_prefix, 'each report'),
        ('prefix digests', Unit.core, prefixes * prefix_seconds, 'each report'),
        (
            'subset',
            Unit.core,
            scale.agents
            / scale.poll_seconds
            * slopes['member ranked for the subset'],
            'ranked again after each poll',
        ),
        (
            'placements',
            Unit.data,
            requests * slopes['placement (128 upstreams)'],
            'cores; request path',
        ),
        (
            'tokens',
            Unit.data,
            tokens * slopes['token frame, both ends'] / 2,
            'cores; codec and MAC only, one token a frame',
        ),
        (
            'tokens received',
            Unit.data,
            tokens * slopes['one token'],
            'bytes/s; one token a frame',
        ),
    )
    return _rows('entry', table)


def _agent(scale: Scale, slopes: Slopes) -> tuple[Cost, ...]:
    links = scale.agent_links
    frame = slopes['load report frame, both ends'] / 2
    report = (
        slopes['load report without prefixes']
        + scale.prefixes * slopes['report bytes per prefix']
    )
    report_seconds = (
        frame + scale.prefixes * slopes['prefix of a report carried'] / 2
    )
    table = (
        (
            'reservations',
            Unit.memory,
            20 * slopes['reservation'],
            '20 slots',
        ),
        (
            'link threads',
            Unit.memory,
            (links + scale.agents) * scale.thread_bytes,
            'links from entries and to holders',
        ),
        (
            'heartbeats to entries',
            Unit.network,
            links * slopes['heartbeat'] * 2,
            'both directions, 1/s',
        ),
        ('heartbeats to entries', Unit.core, links * frame * 2, '1/s'),
        (
            'load reports',
            Unit.network,
            links * report,
            'with prefixes, 1/s on each link',
        ),
        ('load reports', Unit.core, links * report_seconds, 'encoded per link'),
        (
            'heartbeats to holders',
            Unit.network,
            scale.agents * slopes['heartbeat'] * 2,
            'after a while a link to nearly every holder',
        ),
        (
            'heartbeats to holders',
            Unit.core,
            scale.agents * frame * 2,
            'the same links',
        ),
        (
            'tokens',
            Unit.data,
            scale.tokens
            / (scale.agents / 2)
            * slopes['token frame, both ends']
            / 2,
            'cores; half of the agents decode',
        ),
    )
    return _rows('agent', table)


def _holder(scale: Scale, slopes: Slopes) -> tuple[Cost, ...]:
    shares = scale.accounts * scale.shares / scale.agents
    draws = scale.requests / scale.agents
    exchange = slopes['draw'] + slopes['drawn'] + slopes['settle']
    table = (
        (
            'held shares',
            Unit.memory,
            shares * slopes['held share'],
            'shares evenly over agents',
        ),
        (
            'draws',
            Unit.memory,
            draws * (60 + scale.stream_seconds) * slopes['open draw'],
            'open, then remembered for 60 s',
        ),
        (
            'draws at the holder',
            Unit.core,
            draws
            * (
                slopes['draw and settlement at the holder']
                + 1.5 * slopes['load report frame, both ends']
            ),
            'grant, settle and three frames',
        ),
        (
            'draws',
            Unit.data,
            draws * exchange,
            'bytes/s; request path, one share for each draw',
        ),
    )
    return _rows('share holder', table)


def _committer(scale: Scale, slopes: Slopes) -> tuple[Cost, ...]:
    own = scale.claims / scale.committers
    table = (
        (
            'all claims of the deployment',
            Unit.memory,
            scale.live_claims * slopes['claim'],
            'claims/s x 24 h',
        ),
        (
            'claims of others read',
            Unit.core,
            scale.claims * slopes['claim read by another committer'],
            'every committer applies every claim',
        ),
        (
            'own claims',
            Unit.core,
            own * slopes['claim at its committer'],
            'submit, flush, observe',
        ),
        (
            'claims in the log',
            Unit.network,
            scale.claims * slopes['claim record bytes per claim'],
            'every committer reads every claim',
        ),
        (
            'claim messages',
            Unit.data,
            own * (slopes['claim message'] + slopes['claimed']),
            'bytes/s; request path',
        ),
    )
    return _rows('committer', table)


def _log(scale: Scale) -> tuple[Cost, ...]:
    window = 0.05
    groups = scale.committers / window
    moved = scale.accounts * scale.shares / scale.agents * 2
    # A claim 200,000 records behind the end is repeated; 500 in a record.
    span = 200_000 / groups
    table = (
        ('claim batches', Unit.appends, groups, 'committers / 50 ms window'),
        (
            'claims repeated before they expire',
            Unit.appends,
            scale.live_claims / span / 500,
            'all live claims each 200,000 records',
        ),
        (
            'claims expired',
            Unit.appends,
            scale.claims / 500,
            'references of 500, at best',
        ),
        (
            'shares and fences',
            Unit.appends,
            scale.restarts * (moved + 1) / DAY_SECONDS,
            'release, assignment and fence for each restart',
        ),
        (
            'configuration',
            Unit.appends,
            scale.changes / DAY_SECONDS,
            'one record for each change',
        ),
        (
            'polls of the log',
            Unit.data,
            scale.processes / scale.poll_seconds,
            'requests/s',
        ),
        (
            'polls of the list',
            Unit.data,
            scale.processes / scale.poll_seconds,
            'requests/s',
        ),
    )
    return _rows('log service', table)


def _rows(
    role: str,
    table: tuple[tuple[str, Unit, float, str], ...],
) -> tuple[Cost, ...]:
    return tuple(
        Cost(role, name, unit, amount, 'computed', working)
        for name, unit, amount, working in table
    )
