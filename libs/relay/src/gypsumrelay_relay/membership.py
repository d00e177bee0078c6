"""Membership of the fleet and election of the coordinator."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

# Interval in seconds between heartbeats of a member that is a candidate for
# coordinator; after four lost ones, in under a second, another member takes
# over.
HEARTBEAT_SECONDS: Final = 0.2
# Number of members, the first in rank, that send heartbeats at the full rate.
CANDIDATE_COUNT: Final = 3
# Fleet size up to which all members send heartbeats at the full rate. In larger
# fleets the members that are no candidates send fewer, so that each member
# receives the same number of heartbeats per second in a fleet of any size.
FULL_RATE_MEMBERS: Final = 12
# Heartbeat intervals without a heartbeat after which a member counts as dead:
# three lost ones, with half an interval of delay for the next one.
TIMEOUT_HEARTBEATS: Final = 3.5
# Time in seconds for which heartbeats are still sent to a dead member, so that
# both sides rediscover each other after a network partition.
ADDRESS_SECONDS: Final = 120.0
# Interval in seconds between heartbeats to a member that does not answer.
PROBE_SECONDS: Final = 2.0
# Minimum processor cores and Mbit/s of a coordinator, which handles the traffic
# of all relays; a smaller instance coordinates only if no larger one is alive.
MIN_COORDINATOR_CORES: Final = 0.7
MIN_COORDINATOR_MBPS: Final = 50
# Time in seconds by which a read of the list of upstreams may be overdue.
# Together with the read interval and a change of the coordinator it is less
# than the two seconds within which an upstream that is leaving must stop
# receiving work.
OVERDUE_SECONDS: Final = 0.5
# Time in seconds for which the list has to be readable again before a member
# may coordinate, so that an intermittent store causes no repeated changes of
# the coordinator.
FRESH_SECONDS: Final = 3.0
MS_PER_SECOND: Final = 1000
# Time in milliseconds without a heartbeat after which a member that sends at
# the full rate counts as dead.
DEFAULT_TIMEOUT_MS: Final = int(
    HEARTBEAT_SECONDS * TIMEOUT_HEARTBEATS * MS_PER_SECOND
)
# Time in seconds for which an unreachable member is not chosen as the
# coordinator.
EXCLUSION_SECONDS: Final = 1.0
# Time in seconds after a heartbeat of the coordinator within which a closed
# link is opened again to it: two intervals, as one heartbeat may be lost.
HEARD_SECONDS: Final = 0.45
# Maximum number of addresses to which heartbeats are sent; far above the size
# of a fleet.
MAX_HOSTS: Final = 4096
# Seniority of a member that has no registration in the store yet; it ranks
# last.
UNRANKED: Final = 9_007_199_254_740_992


@attrs.frozen
class Member:
    """A relay as its heartbeats describe it.

    Attributes:
        name: Name of the instance.
        incarnation: Id that differs for each start of the process.
        host: IP address of its links and heartbeats.
        seniority: Position of its registration in the store; each new
            registration gets a higher one.
        is_small: Whether it is too small to coordinate a fleet.
        leaving: Whether it is shutting down.
        is_stale: Whether its list of upstreams is too old.
        position: Position of its operator records.
        silence_ms: Time in milliseconds without a heartbeat after which it
            counts as dead.
        version: Version of the configuration that is in force at it.
        availability_zone: Its availability zone; empty if it is of an older
            version.
        is_loaded: Whether it is near its instance's capacity.
        leader: Name of the coordinator that it uses; empty if it has none or
            is of an older version.
        is_new: Whether it has had no coordinator since its start, so that it
            has no placements; not stated by older versions.
    """

    name: str
    incarnation: str
    host: str
    seniority: int = UNRANKED
    is_small: bool = False
    leaving: bool = False
    is_stale: bool = False
    position: int = -1
    silence_ms: int = DEFAULT_TIMEOUT_MS
    version: int = -1
    availability_zone: str = ''
    is_loaded: bool = False
    leader: str = ''
    is_new: bool = False

    @property
    def rank(self) -> tuple[bool, bool, bool, int, str]:
        """Return the sort key of the election; the lowest coordinates.

        A member that cannot read the list of upstreams ranks last, because it
        would go on sending work to upstreams that are leaving. One without a
        coordinator since its start ranks after the others, so that a relay
        which starts a little later does not replace the first coordinator.
        """
        return (
            self.is_stale,
            self.is_small,
            self.is_new,
            self.seniority,
            self.name,
        )


@attrs.define
class Election:
    """What a relay knows of the others before its first coordinator.

    Attributes:
        started_at: Instant at which it began to send heartbeats; negative
            infinity for a relay that follows its choice at once.
        is_registered: Whether it is registered and has read the registrations
            of the others after that. Of two relays that start together, at
            least one then knows of the other.
        absent: Addresses that refused a connection, where no relay runs.
        running: Addresses that accepted a connection.
        probed: Addresses that were probed; some answer neither way.
    """

    started_at: float = float('-inf')
    is_registered: bool = False
    absent: frozenset[str] = frozenset()
    running: frozenset[str] = frozenset()
    probed: frozenset[str] = frozenset()


@attrs.define
class Members:
    """A relay's view of the fleet.

    Attributes:
        own: This relay.
        known: Latest heartbeat of each other member, by name.
        received_at: Instant at which that heartbeat arrived.
        hosts: Addresses to which heartbeats are sent, with the instant at which
            each one expires.
        probed_at: Instant of the last heartbeat to an address that does not
            answer.
        unreachable_until: Unreachable members, with the instant until which
            they are not chosen as the coordinator.
        election: What this relay knows before its first coordinator.
    """

    own: Member
    known: dict[str, Member] = attrs.field(factory=dict)
    received_at: dict[str, float] = attrs.field(factory=dict)
    hosts: dict[str, float] = attrs.field(factory=dict)
    probed_at: dict[str, float] = attrs.field(factory=dict)
    unreachable_until: dict[str, float] = attrs.field(factory=dict)
    election: Election = attrs.field(factory=Election)


def record_heartbeat(members: Members, member: Member, now: float) -> bool:
    """Record a heartbeat; return whether its sender is new or restarted."""
    if member.name == members.own.name:
        return False
    previous = members.known.get(member.name)
    members.known[member.name] = member
    members.received_at[member.name] = now
    members.hosts[member.host] = now + ADDRESS_SECONDS
    return previous is None or previous.incarnation != member.incarnation


def changes_choice(previous: Member | None, member: Member) -> bool:
    """Return whether a heartbeat may change the choice of the coordinator."""
    if previous is None:
        return True
    return (previous.rank, previous.leaving, previous.leader) != (
        member.rank,
        member.leaving,
        member.leader,
    )


def stated_leader(members: Members, now: float) -> str:
    """Return the live member that coordinates as it states, else nothing."""
    leaders = [one for one in alive(members, now) if one.leader == one.name]
    leaders.sort(key=lambda member: member.rank)
    return leaders[0].name if leaders else ''


def add_hosts(members: Members, hosts: Iterable[str], now: float) -> None:
    """Add addresses at which members may be running, up to `MAX_HOSTS`."""
    for host in hosts:
        if host != members.own.host and len(members.hosts) < MAX_HOSTS:
            members.hosts.setdefault(host, now + ADDRESS_SECONDS)


def is_address(host: str) -> bool:
    """Return whether a host is an IPv4 address.

    Anything else would be resolved each time, which may block or raise.
    """
    try:
        IPv4Address(host)
    except ValueError:
        return False
    return True


def alive(members: Members, now: float) -> list[Member]:
    """Return the other members whose last heartbeat has not timed out."""
    return [
        member
        for name, member in members.known.items()
        if now - members.received_at[name] < member.silence_ms / MS_PER_SECOND
    ]


def others_read_list(members: Members, now: float) -> bool:
    """Return whether another member may read the list of upstreams.

    If no other member is alive, this relay may be cut off from them, so that
    the last heartbeats of those that were heard recently count.
    """
    others = alive(members, now) or [
        member
        for member in members.known.values()
        if members.hosts.get(member.host, 0) > now
    ]
    return not all(member.is_stale for member in others)


def is_heard(members: Members, name: str, now: float) -> bool:
    """Return whether a member's last heartbeat is as recent as expected.

    Its links may have gone silent while the member itself is sound.
    """
    received_at = members.received_at.get(name, float('-inf'))
    return now - received_at < HEARD_SECONDS


def mark_unreachable(members: Members, name: str, now: float) -> None:
    """Mark a member as unreachable, and as dead until its next heartbeat.

    The next heartbeat of a member that is no candidate may be seconds away.
    """
    members.unreachable_until[name] = now + EXCLUSION_SECONDS
    members.received_at[name] = float('-inf')


def heartbeat_interval(members: Members, now: float) -> float:
    """Return the interval in seconds between heartbeats of this relay."""
    if is_among_first(members, now, CANDIDATE_COUNT):
        return HEARTBEAT_SECONDS
    return HEARTBEAT_SECONDS * fleet_factor(members, now)


def fleet_factor(members: Members, now: float) -> float:
    """Return the fleet size in units of `FULL_RATE_MEMBERS`, at least 1.

    What each member does at intervals longer by this factor costs the fleet the
    same at any size.
    """
    return max(1, (len(alive(members, now)) + 1) / FULL_RATE_MEMBERS)


def with_timeout(member: Member, interval: float) -> Member:
    """Return a member with the heartbeat time-out for an interval.

    Args:
        member: The member.
        interval: Interval in seconds until its next heartbeat.
    """
    silence_ms = int(interval * TIMEOUT_HEARTBEATS * MS_PER_SECOND)
    return attrs.evolve(member, silence_ms=silence_ms)


def coordinator(members: Members, now: float) -> Member:
    """Return the member that coordinates in this relay's view.

    A member that is shutting down is not chosen, but still uses the coordinator
    for its open requests.
    """
    candidates = [
        member
        for member in alive(members, now)
        if not member.leaving
        and members.unreachable_until.get(member.name, 0) <= now
    ]
    if not members.own.leaving or not candidates:
        candidates.append(members.own)
    return min(candidates, key=lambda member: member.rank)


def must_give_up_rank(members: Members, leader: str) -> bool:
    """Return whether this relay has to give up its rank.

    A relay whose list of upstreams was stale would, once it can read the list
    again, replace the coordinator that took over. Each change of the
    coordinator costs requests their positions in the queue.
    """
    if leader == members.own.name:
        return False
    current = members.known.get(leader)
    if current is None:
        return False
    fresh = attrs.evolve(members.own, is_stale=False, is_new=False)
    return fresh.rank < current.rank


def note_followed(members: Members, leader: str) -> None:
    """Record the coordinator that this relay follows from now on.

    A relay that starts gives up the rank with which it would replace its first
    coordinator as soon as it is no longer new.
    """
    own = members.own
    gives_up = own.is_new and must_give_up_rank(members, leader)
    members.own = attrs.evolve(
        own,
        leader=leader,
        is_new=False,
        seniority=UNRANKED if gives_up else own.seniority,
    )


def is_among_first(members: Members, now: float, count: int) -> bool:
    """Return whether this relay is among the first in rank."""
    ahead = [
        member
        for member in alive(members, now)
        if not member.leaving and member.rank < members.own.rank
    ]
    return len(ahead) < count


def becomes_stale(
    is_stale: bool,
    due_at: float,
    failed_at: float,
    now: float,
) -> bool:
    """Return whether a member's list of upstreams counts as stale.

    Args:
        is_stale: Whether it counted as stale until now.
        due_at: Instant at which the next read of the list is due.
        failed_at: Instant of the last failed read.
        now: The current instant.
    """
    if now - due_at > OVERDUE_SECONDS:
        return True
    return is_stale and now - failed_at < FRESH_SECONDS


def heartbeat_targets(members: Members, now: float) -> list[str]:
    """Return the addresses that are due for a heartbeat; drop expired ones."""
    live = {member.host for member in alive(members, now)}
    targets = []
    for host, expires_at in list(members.hosts.items()):
        if host in live:
            targets.append(host)
        elif now >= expires_at:
            members.hosts.pop(host)
            members.probed_at.pop(host, None)
        elif now - members.probed_at.get(host, float('-inf')) >= PROBE_SECONDS:
            members.probed_at[host] = now
            targets.append(host)
    return targets
