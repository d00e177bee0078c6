"""Shares that this agent holds: assignment, evidence and release."""

from __future__ import annotations

import secrets
from functools import partial
from typing import TYPE_CHECKING, Final

from gypsumrelay_configuration import Record, ShareAssigned, ShareReleased
from gypsumrelay_limits import (
    Agent,
    ListRead,
    LogRead,
    Member,
    add_share,
    apply_account,
    apply_list,
    apply_share,
    close_charges,
    confirm_list,
    delete_expired_charges,
    drop_share,
    propose,
    renew_evidence,
    resize,
    share_size,
    stop_granting,
)
from logbook import Logger

if TYPE_CHECKING:
    from gypsumrelay_configuration import Share
    from gypsumrelay_platform import ListedInstance, Listing

    from gypsumrelay_agent.accounts import Accounts

log = Logger('limits')

RECORD_ID_BYTES: Final = 8


def apply_configuration(accounts: Accounts, now: float) -> None:
    """Apply changes of the contracts and shares."""
    replica = accounts.replica
    with replica.lock:
        contracts = dict(replica.state.contracts)
        shares = dict(replica.state.shares)
        per_account = replica.state.configuration.shares_per_account
    count_changed = per_account != accounts.shares_per_account
    accounts.shares_per_account = per_account
    for name in accounts.contracts.keys() - contracts.keys():
        apply_account(accounts.placement, name, 0, now)
    for name, contract in contracts.items():
        previous_contract = accounts.contracts.get(name)
        if previous_contract is None or count_changed:
            apply_account(accounts.placement, name, per_account, now)
        if previous_contract is not None and (
            previous_contract != contract or count_changed
        ):
            resize(accounts.holder, contract, per_account, now)
    accounts.contracts = contracts
    for name, share in shares.items():
        if accounts.shares.get(name) != share:
            _apply_share(accounts, share, accounts.shares.get(name), now)
    accounts.shares = shares


def apply_listing(
    accounts: Accounts,
    listing: Listing,
    asked_at: float,
    now: float,
) -> None:
    """Apply a read of the list: live agents and evidence for the shares."""
    agents = [
        instance for instance in listing.instances if instance.role == 'agent'
    ]
    members = {_to_member(agent): agent for agent in agents}
    for removed in accounts.addresses.keys() - members.keys():
        close_charges(accounts.holder, removed)
    accounts.addresses = {
        member: agent.address for member, agent in members.items()
    }
    is_listed = accounts.member in members
    renew_evidence(accounts.holder, ListRead(asked_at, is_listed), now)
    apply_list(
        accounts.placement,
        [_to_agent(agent) for agent in agents],
        asked_at,
        now,
    )
    confirm_list(accounts.placement, asked_at, now)


def record_log_read(accounts: Accounts, asked_at: float, now: float) -> None:
    """Record a read of the log to its end as evidence for the shares."""
    renew_evidence(accounts.holder, LogRead(asked_at), now)


def propose_shares(accounts: Accounts, now: float) -> None:
    """Propose this agent as the holder of unassigned shares."""
    delete_expired_charges(accounts.holder, now)
    if accounts.member not in accounts.addresses or accounts.holder.draining:
        return
    proposals: list[Record] = [
        ShareAssigned(
            secrets.token_hex(RECORD_ID_BYTES),
            proposal.client_account,
            proposal.number,
            proposal.epoch,
            accounts.member.name,
            accounts.member.incarnation,
        )
        for proposal in propose(accounts.placement, now)
    ]
    if proposals:
        accounts.executor.submit(
            partial(accounts.log_client.append, proposals),
        )


def release_shares(accounts: Accounts) -> list[Record]:
    """Stop granting tokens; return records that release the shares."""
    stop_granting(accounts.holder)
    return [
        ShareReleased(
            secrets.token_hex(RECORD_ID_BYTES),
            client_account,
            number,
            held_share.epoch,
        )
        for (
            client_account,
            number,
        ), held_share in accounts.holder.shares.items()
    ]


def _apply_share(
    accounts: Accounts,
    share: Share,
    previous_share: Share | None,
    now: float,
) -> None:
    apply_share(accounts.placement, share, now)
    holder = Member(share.holder, share.incarnation)
    if holder != accounts.member:
        drop_share(accounts.holder, share)
        return
    contract = accounts.contracts.get(share.client_account)
    if contract is None:
        return
    per_account = accounts.shares_per_account
    released = share.epoch == 1 or (
        previous_share is not None and not previous_share.holder
    )
    size = share_size(contract, per_account, share.number)
    add_share(accounts.holder, share, size, now, released=released)
    log.info(
        'This agent holds share {} of client account {}.',
        share.number,
        share.client_account,
    )


def _to_member(instance: ListedInstance) -> Member:
    return Member(instance.name, instance.incarnation)


def _to_agent(instance: ListedInstance) -> Agent:
    return Agent(
        _to_member(instance),
        instance.availability_zone,
        instance.leaving,
    )
