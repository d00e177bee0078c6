"""Choose the agent that proposes itself as the holder of a share.

The agent is chosen by rendezvous hashing in three steps: availability zone,
group of agents, agent. With 6 zones, 32 groups and 1,300 agents per zone
this takes about 80 hashes instead of 7,600. Only shares without a live
holder are checked.
"""

from __future__ import annotations

import heapq
import zlib
from collections.abc import Iterable
from hashlib import blake2b
from typing import TYPE_CHECKING, Final

import attrs

from gypsumrelay_limits.messages import Member

if TYPE_CHECKING:
    from gypsumrelay_configuration import Share
    from gypsumrelay_settings import EvidenceSettings

_GROUPS: Final = 32
_HASH_BYTES: Final = 8

ShareKey = tuple[str, int]


@attrs.frozen
class Agent:
    """An agent of the platform's list.

    Attributes:
        member: Name and incarnation.
        availability_zone: Availability zone of the agent.
        leaving: Whether the platform is about to stop the agent.
    """

    member: Member
    availability_zone: str
    leaving: bool = False


@attrs.frozen
class Proposal:
    """Assignment of a share to this agent, at an epoch, for the log."""

    client_account: str
    number: int
    epoch: int


@attrs.frozen
class PlacementSettings:
    """Rate limits of the placement.

    Attributes:
        checks_per_tick: Shares checked in one tick. When a fleet starts, no
            share has a holder, and the log accepts only a few hundred
            records per second.
        round_seconds: Seconds without a holder after which another agent is
            chosen for a share, since the first may be unable to write.
    """

    checks_per_tick: int = 50
    round_seconds: float = 5


@attrs.define
class Placement:
    """Shares, their holders and the agents of the newest list.

    Times are in seconds.

    Attributes:
        member: This agent.
        evidence: Evidence period and upper bound of the list's lag.
        settings: Rate limits of the placement.
        agents: Agents of the newest list.
        zones: Names of agents that may become holders, by zone and group.
        accounts: Number of shares of each client account.
        shares: Newest log record of each share.
        shares_by_holder: Shares of each holder.
        vacant_since: Time at which each share without a live holder became
            vacant.
        departed_since: Time of the first read of a list without the holder.
        never_listed: Holders that were never in a list that was read, with the
            time from which a read of the list proves that they are gone.
        check_queue: Heap of the times at which shares are checked.
        next_check: Time of the valid entry of each share in `check_queue`;
            all its other entries are outdated.
    """

    member: Member
    evidence: EvidenceSettings
    settings: PlacementSettings = attrs.field(factory=PlacementSettings)
    agents: dict[Member, Agent] = attrs.field(factory=dict)
    zones: dict[str, dict[int, list[str]]] = attrs.field(factory=dict)
    accounts: dict[str, int] = attrs.field(factory=dict)
    shares: dict[ShareKey, Share] = attrs.field(factory=dict)
    shares_by_holder: dict[Member, set[ShareKey]] = attrs.field(factory=dict)
    vacant_since: dict[ShareKey, float] = attrs.field(factory=dict)
    departed_since: dict[Member, float] = attrs.field(factory=dict)
    never_listed: dict[Member, float] = attrs.field(factory=dict)
    check_queue: list[tuple[float, ShareKey]] = attrs.field(factory=list)
    next_check: dict[ShareKey, float] = attrs.field(factory=dict)


def apply_list(
    placement: Placement,
    agents: Iterable[Agent],
    started_at: float,
    now: float,
) -> None:
    """Apply a newer list, from a read that started at `started_at`."""
    listed = {agent.member: agent for agent in agents}
    departed = placement.agents.keys() - listed.keys()
    placement.agents = listed
    _index_agents(placement)
    for member in listed.keys() & placement.departed_since.keys():
        placement.departed_since.pop(member)
    for member in departed & placement.shares_by_holder.keys():
        _mark_departed(placement, member, now)
    confirm_list(placement, started_at, now)


def confirm_list(
    placement: Placement,
    started_at: float,
    now: float,
) -> None:
    """Apply a read, started at `started_at`, that returned the same list."""
    for member, proof_from in list(placement.never_listed.items()):
        if member in placement.agents:
            placement.never_listed.pop(member)
        elif started_at >= proof_from:
            placement.never_listed.pop(member)
            _mark_departed(placement, member, now)


def apply_account(
    placement: Placement,
    account: str,
    shares: int,
    now: float,
) -> None:
    """Set the number of shares of a client account; zero if it was removed."""
    before = placement.accounts.pop(account, 0)
    if shares:
        placement.accounts[account] = shares
    for number in range(shares, before):
        placement.vacant_since.pop((account, number), None)
    for number in range(before, shares):
        share = placement.shares.get((account, number))
        if share is None or not share.holder:
            placement.vacant_since[account, number] = now
            _schedule_check(placement, (account, number), now)
        else:
            _watch_holder(placement, share, now)


def apply_share(placement: Placement, share: Share, now: float) -> None:
    """Apply an assignment or a release of a share from the log."""
    share_key = (share.client_account, share.number)
    previous = placement.shares.get(share_key)
    if previous is not None and previous.holder:
        _remove_holder(placement, previous)
    placement.shares[share_key] = share
    placement.vacant_since.pop(share_key, None)
    if share.holder:
        holder = Member(share.holder, share.incarnation)
        placement.shares_by_holder.setdefault(holder, set()).add(share_key)
        _watch_holder(placement, share, now)
    else:
        placement.vacant_since[share_key] = now
        _schedule_check(placement, share_key, now)


def propose(placement: Placement, now: float) -> list[Proposal]:
    """Return proposals for the shares that this agent should hold.

    Must be called in each tick.
    """
    proposals = []
    for _ in range(placement.settings.checks_per_tick):
        if not placement.check_queue or placement.check_queue[0][0] > now:
            break
        due, share_key = heapq.heappop(placement.check_queue)
        if placement.next_check.get(share_key) != due:
            continue
        placement.next_check.pop(share_key)
        proposal = _check_share(placement, share_key, now)
        if proposal is not None:
            proposals.append(proposal)
    return proposals


def _check_share(
    placement: Placement,
    share_key: ShareKey,
    now: float,
) -> Proposal | None:
    if share_key[1] >= placement.accounts.get(share_key[0], 0):
        return None
    share = placement.shares.get(share_key)
    if share is not None and share.holder:
        if not _has_departed(placement, share, now):
            return None
    since = placement.vacant_since.setdefault(share_key, now)
    _schedule_check(
        placement,
        share_key,
        now + placement.settings.round_seconds,
    )
    round_number = int((now - since) / placement.settings.round_seconds)
    if not _is_chosen(placement, share_key, round_number):
        return None
    epoch = share.epoch + 1 if share else 1
    return Proposal(*share_key, epoch)


def _has_departed(placement: Placement, share: Share, now: float) -> bool:
    member = Member(share.holder, share.incarnation)
    since = placement.departed_since.get(member)
    return since is not None and now >= since + _takeover_delay(placement)


def _is_chosen(
    placement: Placement,
    share_key: ShareKey,
    round_number: int,
) -> bool:
    """Return whether this agent should hold a share.

    All agents compute the same result. An availability zone that holds
    another share of the client account is chosen only if there is no other.
    Most agents return after the first step, since another zone is chosen.
    """
    own = placement.agents.get(placement.member)
    if own is None or own.leaving:
        return False
    account, number = share_key
    groups = placement.zones[own.availability_zone]
    if (
        _choose_zone(placement, share_key, round_number)
        != own.availability_zone
    ):
        return False
    key = f'{account}/{number}/{round_number}'
    group = min(groups, key=lambda candidate: _score(key, candidate))
    if group != _group_of(own.member.name):
        return False
    name = min(groups[group], key=lambda candidate: _score(key, candidate))
    return name == own.member.name


def _choose_zone(
    placement: Placement,
    share_key: ShareKey,
    round_number: int,
) -> str:
    account, number = share_key
    used_zones = _zones_of_other_shares(placement, share_key)
    ranked = sorted(
        placement.zones,
        key=lambda zone: _score(f'{account}/{round_number}', zone),
    )
    candidates = [zone for zone in ranked if zone not in used_zones] or ranked
    vacant_before = sum(
        _is_vacant(placement, (account, earlier)) for earlier in range(number)
    )
    return candidates[vacant_before % len(candidates)]


def _zones_of_other_shares(
    placement: Placement,
    share_key: ShareKey,
) -> set[str]:
    account = share_key[0]
    zones = set()
    for number in range(placement.accounts.get(account, 0)):
        share = placement.shares.get((account, number))
        if share is None or number == share_key[1]:
            continue
        agent = placement.agents.get(Member(share.holder, share.incarnation))
        if agent is not None:
            zones.add(agent.availability_zone)
    return zones


def _is_vacant(placement: Placement, share_key: ShareKey) -> bool:
    share = placement.shares.get(share_key)
    if share is None:
        return True
    member = Member(share.holder, share.incarnation)
    return member not in placement.agents


def _watch_holder(placement: Placement, share: Share, now: float) -> None:
    """Schedule checks of a holder that is not in the list.

    Agents propose themselves only after they are listed. A holder that this
    process never saw listed is therefore gone once a list without it is read
    after the list's lag.
    """
    member = Member(share.holder, share.incarnation)
    if member in placement.departed_since:
        _mark_departed(placement, member, placement.departed_since[member])
    elif member not in placement.agents:
        proof_from = now + placement.evidence.list_lag_seconds
        placement.never_listed.setdefault(member, proof_from)


def _mark_departed(placement: Placement, member: Member, now: float) -> None:
    since = placement.departed_since.setdefault(member, now)
    for share_key in placement.shares_by_holder.get(member, ()):
        _schedule_check(
            placement,
            share_key,
            since + _takeover_delay(placement),
        )


def _takeover_delay(placement: Placement) -> float:
    evidence = placement.evidence
    return evidence.share_evidence_seconds + evidence.list_lag_seconds


def _schedule_check(
    placement: Placement,
    share_key: ShareKey,
    due: float,
) -> None:
    placement.next_check[share_key] = due
    heapq.heappush(placement.check_queue, (due, share_key))


def _remove_holder(placement: Placement, share: Share) -> None:
    holder = Member(share.holder, share.incarnation)
    share_keys = placement.shares_by_holder.get(holder, set())
    share_keys.discard((share.client_account, share.number))
    if not share_keys:
        placement.shares_by_holder.pop(holder, None)
        placement.departed_since.pop(holder, None)
        placement.never_listed.pop(holder, None)


def _index_agents(placement: Placement) -> None:
    placement.zones = {}
    for agent in placement.agents.values():
        if agent.leaving:
            continue
        name = agent.member.name
        group = _group_of(name)
        groups = placement.zones.setdefault(agent.availability_zone, {})
        groups.setdefault(group, []).append(name)


def _group_of(name: str) -> int:
    return zlib.crc32(name.encode()) % _GROUPS


def _score(key: str, candidate: object) -> bytes:
    text = f'{key}|{candidate}'
    return blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
