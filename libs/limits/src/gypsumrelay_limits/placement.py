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

from gypsumrelay_limits.exchange import Member

if TYPE_CHECKING:
    from gypsumrelay_configuration import Share
    from gypsumrelay_settings import EvidenceSettings

_GROUPS: Final = 32
_HASH_BYTES: Final = 8

Place = tuple[str, int]


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
class Propose:
    """Append the share's assignment to this agent, at an epoch, to the log."""

    client_account: str
    number: int
    epoch: int


@attrs.frozen
class PlacementSettings:
    """Rate limits of the placement.

    Attributes:
        looks_per_tick: Shares checked in one tick. When a fleet starts, no
            share has a holder, and the log accepts only a few hundred
            records per second.
        turn_seconds: Seconds without a holder after which another agent is
            chosen for a share, since the first may be unable to write.
    """

    looks_per_tick: int = 50
    turn_seconds: float = 5


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
        held_by: Shares of each holder.
        vacant_since: Time at which each share without a live holder became
            vacant.
        gone_since: Time at which a list without the holder was first read.
        unlisted: Holders that were never in a list that was read, with the
            time from which a read of the list proves that they are gone.
        due: Heap of the times at which shares are checked.
        next_look: Time of the valid entry of each share in `due`; all its
            other entries are outdated.
    """

    member: Member
    evidence: EvidenceSettings
    settings: PlacementSettings = attrs.field(factory=PlacementSettings)
    agents: dict[Member, Agent] = attrs.field(factory=dict)
    zones: dict[str, dict[int, list[str]]] = attrs.field(factory=dict)
    accounts: dict[str, int] = attrs.field(factory=dict)
    shares: dict[Place, Share] = attrs.field(factory=dict)
    held_by: dict[Member, set[Place]] = attrs.field(factory=dict)
    vacant_since: dict[Place, float] = attrs.field(factory=dict)
    gone_since: dict[Member, float] = attrs.field(factory=dict)
    unlisted: dict[Member, float] = attrs.field(factory=dict)
    due: list[tuple[float, Place]] = attrs.field(factory=list)
    next_look: dict[Place, float] = attrs.field(factory=dict)


def observe_list(
    placement: Placement,
    agents: Iterable[Agent],
    started_at: float,
    now: float,
) -> None:
    """Apply a newer list, from a read that started at `started_at`."""
    listed = {agent.member: agent for agent in agents}
    gone = placement.agents.keys() - listed.keys()
    placement.agents = listed
    _index(placement)
    for member in listed.keys() & placement.gone_since.keys():
        placement.gone_since.pop(member)
    for member in gone & placement.held_by.keys():
        _note_gone(placement, member, now)
    confirm_list(placement, started_at, now)


def confirm_list(
    placement: Placement,
    started_at: float,
    now: float,
) -> None:
    """Apply a read, started at `started_at`, that returned the same list."""
    for member, proof_from in list(placement.unlisted.items()):
        if member in placement.agents:
            placement.unlisted.pop(member)
        elif started_at >= proof_from:
            placement.unlisted.pop(member)
            _note_gone(placement, member, now)


def observe_account(
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
            _look_at(placement, (account, number), now)
        else:
            _watch(placement, share, now)


def observe_share(placement: Placement, share: Share, now: float) -> None:
    """Apply an assignment or a release of a share from the log."""
    place = (share.client_account, share.number)
    known = placement.shares.get(place)
    if known is not None and known.holder:
        _unhold(placement, known)
    placement.shares[place] = share
    placement.vacant_since.pop(place, None)
    if share.holder:
        holder = Member(share.holder, share.incarnation)
        placement.held_by.setdefault(holder, set()).add(place)
        _watch(placement, share, now)
    else:
        placement.vacant_since[place] = now
        _look_at(placement, place, now)


def propose(placement: Placement, now: float) -> list[Propose]:
    """Return proposals for the shares that this agent should hold.

    Must be called in each tick.
    """
    proposals = []
    for _ in range(placement.settings.looks_per_tick):
        if not placement.due or placement.due[0][0] > now:
            break
        due, place = heapq.heappop(placement.due)
        if placement.next_look.get(place) != due:
            continue
        placement.next_look.pop(place)
        proposal = _decide(placement, place, now)
        if proposal is not None:
            proposals.append(proposal)
    return proposals


def _decide(
    placement: Placement,
    place: Place,
    now: float,
) -> Propose | None:
    if place[1] >= placement.accounts.get(place[0], 0):
        return None
    share = placement.shares.get(place)
    if share is not None and share.holder:
        if not _is_gone(placement, share, now):
            return None
    since = placement.vacant_since.setdefault(place, now)
    _look_at(placement, place, now + placement.settings.turn_seconds)
    turn = int((now - since) / placement.settings.turn_seconds)
    if not _wins(placement, place, turn):
        return None
    epoch = share.epoch + 1 if share else 1
    return Propose(*place, epoch)


def _is_gone(placement: Placement, share: Share, now: float) -> bool:
    member = Member(share.holder, share.incarnation)
    since = placement.gone_since.get(member)
    return since is not None and now >= since + _wait(placement)


def _wins(placement: Placement, place: Place, turn: int) -> bool:
    """Return whether this agent should hold a share.

    All agents compute the same result. An availability zone that holds
    another share of the client account is chosen only if there is no other.
    Most agents return after the first step, since another zone is chosen.
    """
    own = placement.agents.get(placement.member)
    if own is None or own.leaving:
        return False
    account, number = place
    groups = placement.zones[own.availability_zone]
    if _zone_of(placement, place, turn) != own.availability_zone:
        return False
    key = f'{account}/{number}/{turn}'
    group = min(groups, key=lambda candidate: _score(key, candidate))
    if group != _group(own.member.name):
        return False
    name = min(groups[group], key=lambda candidate: _score(key, candidate))
    return name == own.member.name


def _zone_of(placement: Placement, place: Place, turn: int) -> str:
    account, number = place
    taken = _zones_held(placement, place)
    ranked = sorted(
        placement.zones,
        key=lambda zone: _score(f'{account}/{turn}', zone),
    )
    free = [zone for zone in ranked if zone not in taken] or ranked
    vacant_before = sum(
        _is_vacant(placement, (account, earlier)) for earlier in range(number)
    )
    return free[vacant_before % len(free)]


def _zones_held(placement: Placement, place: Place) -> set[str]:
    account = place[0]
    zones = set()
    for number in range(placement.accounts.get(account, 0)):
        share = placement.shares.get((account, number))
        if share is None or number == place[1]:
            continue
        agent = placement.agents.get(Member(share.holder, share.incarnation))
        if agent is not None:
            zones.add(agent.availability_zone)
    return zones


def _is_vacant(placement: Placement, place: Place) -> bool:
    share = placement.shares.get(place)
    if share is None:
        return True
    member = Member(share.holder, share.incarnation)
    return member not in placement.agents


def _watch(placement: Placement, share: Share, now: float) -> None:
    """Schedule checks of a holder that is not in the list.

    Agents propose themselves only after they are listed. A holder that this
    process never saw listed is therefore gone once a list without it is read
    after the list's lag.
    """
    member = Member(share.holder, share.incarnation)
    if member in placement.gone_since:
        _note_gone(placement, member, placement.gone_since[member])
    elif member not in placement.agents:
        proof_from = now + placement.evidence.list_lag_seconds
        placement.unlisted.setdefault(member, proof_from)


def _note_gone(placement: Placement, member: Member, now: float) -> None:
    since = placement.gone_since.setdefault(member, now)
    for place in placement.held_by.get(member, ()):
        _look_at(placement, place, since + _wait(placement))


def _wait(placement: Placement) -> float:
    evidence = placement.evidence
    return evidence.share_evidence_seconds + evidence.list_lag_seconds


def _look_at(placement: Placement, place: Place, due: float) -> None:
    placement.next_look[place] = due
    heapq.heappush(placement.due, (due, place))


def _unhold(placement: Placement, share: Share) -> None:
    holder = Member(share.holder, share.incarnation)
    places = placement.held_by.get(holder, set())
    places.discard((share.client_account, share.number))
    if not places:
        placement.held_by.pop(holder, None)
        placement.gone_since.pop(holder, None)
        placement.unlisted.pop(holder, None)


def _index(placement: Placement) -> None:
    placement.zones = {}
    for agent in placement.agents.values():
        if agent.leaving:
            continue
        name = agent.member.name
        group = _group(name)
        groups = placement.zones.setdefault(agent.availability_zone, {})
        groups.setdefault(group, []).append(name)


def _group(name: str) -> int:
    return zlib.crc32(name.encode()) % _GROUPS


def _score(key: str, candidate: object) -> bytes:
    text = f'{key}|{candidate}'
    return blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
