"""State of client accounts at an agent: shares and token reservations."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Executor
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_configuration import Contract, Share
from gypsumrelay_errors import Failure
from gypsumrelay_limits import Holder, Member, Placement, Requester

if TYPE_CHECKING:
    from gypsumrelay_instance import ConfigurationReplica, Peers
    from gypsumrelay_platform import LogClient
    from gypsumrelay_settings import EvidenceSettings
    from gypsumrelay_wire import Address

    from gypsumrelay_agent.runs import PostEvent

# Time within which a retry at another agent can reuse the token reservation
# of a failed attempt. Must exceed the time for which an entry looks for
# another upstream.
RETRY_WINDOW_SECONDS: Final = 15.0

DecisionCallback = Callable[[Failure | None], None]


@attrs.define(eq=False)
class Accounts:
    """Shares that this agent holds, and token reservations of its runs.

    Attributes:
        member: Name and incarnation of this agent.
        holder: Grants tokens of the shares that this agent holds.
        requester: Reserves tokens for the requests that this agent runs.
        placement: Decides which shares this agent proposes to hold.
        addresses: Link addresses of the listed agents.
        connecting: Agents to which a link is being opened.
        contracts: Contracts that were last applied to the holder.
        shares: Share records that were last applied.
        shares_per_account: Number of shares of each client account.
        callbacks: Callbacks for the decision on a token reservation, by
            reservation id.
        unsettled: Token reservations of failed attempts, by reservation id,
            oldest first. Each has the time in seconds from which all its
            tokens count as used, and the number of tokens used so far.
    """

    member: Member
    replica: ConfigurationReplica
    peers: Peers
    log_client: LogClient
    executor: Executor
    post_event: PostEvent
    holder: Holder
    requester: Requester
    placement: Placement
    addresses: dict[Member, Address] = attrs.field(factory=dict)
    connecting: set[Member] = attrs.field(factory=set)
    contracts: dict[str, Contract] = attrs.field(factory=dict)
    shares: dict[str, Share] = attrs.field(factory=dict)
    shares_per_account: int = 0
    callbacks: dict[str, DecisionCallback] = attrs.field(factory=dict)
    unsettled: dict[str, tuple[float, int]] = attrs.field(factory=dict)


@attrs.frozen
class AccountDependencies:
    """Dependencies of `Accounts` on other parts of the process."""

    replica: ConfigurationReplica
    peers: Peers
    log_client: LogClient
    executor: Executor
    post_event: PostEvent


def new_accounts(
    member: Member,
    evidence: EvidenceSettings,
    dependencies: AccountDependencies,
) -> Accounts:
    """Return the initial state of the accounts of an agent."""
    return Accounts(
        member=member,
        replica=dependencies.replica,
        peers=dependencies.peers,
        log_client=dependencies.log_client,
        executor=dependencies.executor,
        post_event=dependencies.post_event,
        holder=Holder(evidence),
        requester=Requester(member),
        placement=Placement(member, evidence),
    )


def defer_settlement(
    accounts: Accounts,
    draw_id: str,
    used: int,
    now: float,
) -> None:
    """Defer the settlement of a failed attempt's token reservation.

    Only the entry knows whether a retry at another agent follows. A retry
    may run on the tokens already charged without contacting the holder of
    the share, so tokens are refunded only after the entry reports the end of
    the request.

    Args:
        accounts: State of the accounts.
        draw_id: Id of the token reservation.
        used: Tokens used by the failed attempt.
        now: Current time in seconds.
    """
    accounts.unsettled[draw_id] = (now + RETRY_WINDOW_SECONDS, used)
