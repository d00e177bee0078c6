"""Registration in the store, which determines a relay's seniority."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure
from logbook import Logger

from gypsumrelay_relay.events.state import (
    Registered,
    RegistrationRestored,
    StoreRestored,
    report,
)
from gypsumrelay_relay.membership import UNRANKED, add_hosts, is_address
from gypsumrelay_relay.topics import Snapshot, Topic

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gypsumrelay_relay.membership import Members
    from gypsumrelay_relay.startup.parts import Process

log = Logger('registration')

# Delay in seconds before a failed registration is tried again.
REGISTER_RETRY_SECONDS: Final = 0.5
# Time in seconds after a restore of the store over which the relays of a fleet
# spread their reads of the registrations.
RESTORE_SPREAD_SECONDS: Final = 5.0


def update_own_member(process: Process, **changes: Any) -> None:
    """Change what this relay's heartbeats say, and send one at once."""
    coordination = process.relay.coordination
    with coordination.lock:
        members = coordination.members
        members.own = attrs.evolve(members.own, **changes)
    process.heartbeats.send_round(monotonic())


def give_up_rank(process: Process) -> None:
    """Rank last at once and register again.

    A heartbeat with the old rank would make this relay the coordinator again
    after another one has taken over.
    """
    update_own_member(process, seniority=UNRANKED)
    register_again(process)


def register_again(process: Process) -> threading.Thread:
    """Start and return a thread that registers this relay again."""
    thread = threading.Thread(
        target=_register_with_retries,
        args=(process,),
        daemon=True,
    )
    thread.start()
    return thread


def register_and_discover(process: Process) -> None:
    """Register in the store and read the addresses of the other members.

    They are read while the registration is written, so that the coordinator is
    found early, and once more if that read may lack relays which registered
    before this one.
    """
    found: list[int] = []
    reading = threading.Thread(
        target=lambda: found.append(_discover_and_announce(process)),
        daemon=True,
    )
    reading.start()
    _register_with_retries(process)
    coordination = process.relay.coordination
    reading.join()
    if max(found, default=-1) < coordination.members.own.seniority:
        while _discover_and_announce(process) < 0:
            if process.stopped.wait(REGISTER_RETRY_SECONDS):
                return
    coordination.members.election.is_registered = True
    if coordination.members.own.seniority == UNRANKED:
        # The rank was given up while the registrations were read.
        register_again(process)
    coordination.changed.set()


def follow_restores(process: Process) -> None:
    """Write this relay's registration again if a restore has lost it."""
    store = process.adapter.store

    def on_restore(epoch: int) -> None:
        report(log, StoreRestored(epoch))
        threading.Thread(
            target=restore_registration,
            args=(process, epoch),
            daemon=True,
        ).start()

    store.epoch.listeners.append(on_restore)


def restore_registration(process: Process, epoch: int) -> None:
    """Write this relay's registration again if the store lacks it.

    Relays that start later find the others by their registrations. The
    seniority stays as it is: no other relay gets the same, since a position of
    a later epoch is greater.

    Args:
        process: The process.
        epoch: Epoch of the store that began with the restore; a later one ends
            the attempts.
    """
    store = process.adapter.store
    delay = process.relay.random.uniform(0, RESTORE_SPREAD_SECONDS)
    while not process.stopped.wait(delay) and store.epoch.newest == epoch:
        if _write_again(process):
            return
        delay = REGISTER_RETRY_SECONDS


def _write_again(process: Process) -> bool:
    """Write the registration if it is missing; return whether it is there."""
    own = process.relay.coordination.members.own
    registered = _discover(process)
    if registered is None or registered.get(own.name) == own.host.encode():
        return registered is not None
    position = process.adapter.store.append(
        Topic.members,
        own.name,
        own.host.encode(),
        None,
    )
    # A relay that registered after the first read may have read the
    # registrations before this one was written.
    if isinstance(position, Failure) or _discover(process) is None:
        return False
    report(log, RegistrationRestored(own.seniority))
    return True


def _discover_and_announce(process: Process) -> int:
    """Read the members' addresses and send them a heartbeat.

    Returns:
        Position up to which the registrations were read; -1 if the store fails.
    """
    snapshot = _read_members(process)
    if snapshot is None:
        return -1
    process.heartbeats.send_round(monotonic())
    return snapshot.position


def _discover(process: Process) -> Mapping[str, bytes] | None:
    """Read the members' addresses; return None if the store fails."""
    snapshot = _read_members(process)
    return None if snapshot is None else snapshot.records


def _read_members(process: Process) -> Snapshot | None:
    """Read the members' addresses; return None if the store fails."""
    snapshot = process.adapter.store.snapshot(Topic.members)
    if not isinstance(snapshot, Snapshot):
        return None
    coordination = process.relay.coordination
    found = [record.decode('latin-1') for record in snapshot.records.values()]
    with coordination.lock:
        add_hosts(coordination.members, filter(is_address, found), monotonic())
    return snapshot


def _register_with_retries(process: Process) -> None:
    """Try to register until the store accepts it or the process stops."""
    while not process.stopped.is_set() and not _register(process):
        process.stopped.wait(REGISTER_RETRY_SECONDS)


def _register(process: Process) -> bool:
    own = process.relay.coordination.members.own
    position = process.adapter.store.append(
        Topic.members,
        own.name,
        own.host.encode(),
        None,
    )
    if isinstance(position, Failure):
        log.warning('Registration in the store failed: {}.', position.sentence)
        return False
    coordination = process.relay.coordination
    with coordination.lock:
        if _is_ahead_of_leader(coordination.members, position):
            return False
        coordination.members.own = attrs.evolve(
            coordination.members.own, seniority=position
        )
    process.heartbeats.send_round(monotonic())
    report(log, Registered(position))
    return True


def _is_ahead_of_leader(members: Members, position: int) -> bool:
    """Return whether a rank would replace a coordinator that took over since.

    The store orders two registrations before either relay has its answer.
    """
    leader = members.known.get(members.own.leader)
    return leader is not None and position < leader.seniority < UNRANKED
