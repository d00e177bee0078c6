"""When a starting relay follows its first choice of a coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gypsumrelay_relay.membership import (
    DEFAULT_TIMEOUT_MS,
    HEARTBEAT_SECONDS,
    MS_PER_SECOND,
    alive,
)

if TYPE_CHECKING:
    from gypsumrelay_relay.membership import Member, Members

# Time in seconds after the start from which a relay follows its choice. Running
# relays answer its first heartbeat within some milliseconds.
HOLD_SECONDS: Final = HEARTBEAT_SECONDS
# Time in seconds after the start for which a relay does not choose itself while
# a running one has not answered. A relay on a busy machine may take longer than
# `HOLD_SECONDS` to answer, and two coordinators would both grant full budgets.
UNHEARD_SECONDS: Final = DEFAULT_TIMEOUT_MS / MS_PER_SECOND
# Maximum number of addresses that are probed at once; later checks probe the
# others.
MAX_PROBES: Final = 128


def may_follow(members: Members, chosen: Member, now: float) -> bool:
    """Return whether a starting relay may follow its choice now.

    Another relay is followed once it states that it coordinates; else it would
    grant from full budgets beside the coordinator. The relay coordinates
    itself once it knows that nobody else does.

    Args:
        members: The relay's view of the fleet.
        chosen: The member that it chooses by rank.
        now: The present instant.
    """
    is_own = chosen.name == members.own.name
    if now >= members.election.started_at + HOLD_SECONDS:
        if now >= members.election.started_at + UNHEARD_SECONDS:
            return True
        if is_own:
            return not _unheard(members, now)
        # A relay of an older version does not state that it is new.
        return chosen.leader == chosen.name or not chosen.is_new
    if not is_own:
        return chosen.leader == chosen.name
    return (
        _may_coordinate(members, now)
        and unknown_hosts(members, now) <= members.election.absent
    )


def hosts_to_probe(
    members: Members, chosen: Member, now: float
) -> frozenset[str]:
    """Return the addresses that have to be probed before a relay elects itself.

    Only a relay that is the first in rank probes, so that a fleet which starts
    does not probe each pair of its members.
    """
    is_own = chosen.name == members.own.name
    has_waited = now >= members.election.started_at + HOLD_SECONDS
    if not is_own or not (has_waited or _may_coordinate(members, now)):
        return frozenset()
    unprobed = unknown_hosts(members, now) - members.election.probed
    return frozenset(sorted(unprobed)[:MAX_PROBES])


def unknown_hosts(members: Members, now: float) -> frozenset[str]:
    """Return the addresses of which no relay has been heard."""
    heard = {member.host for member in alive(members, now)}
    return frozenset(members.hosts) - heard


def _may_coordinate(members: Members, now: float) -> bool:
    """Return whether the relay could decide, and nobody states a coordinator.

    Before its list is read it could grant nothing, and would be replaced by the
    first relay that has it.
    """
    is_ready = members.election.is_registered and not members.own.is_stale
    return is_ready and not any(one.leader for one in alive(members, now))


def _unheard(members: Members, now: float) -> frozenset[str]:
    """Return the addresses of running relays that have not been heard."""
    return members.election.running & unknown_hosts(members, now)
