"""State of client accounts at an agent: shares held and draws open."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Executor
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_configuration import Contract, Share
from gypsumrelay_errors import Failure
from gypsumrelay_limits import Drawer, Holder, Member, Placement

if TYPE_CHECKING:
    from gypsumrelay_instance import Keeper, Peers
    from gypsumrelay_platform import LogClient
    from gypsumrelay_settings import EvidenceSettings
    from gypsumrelay_wire import Address

    from gypsumrelay_agent.runs import Tell

# A retry of the request elsewhere takes over its draw within this time. It
# exceeds the time that an entry looks for another upstream.
SETTLE_SECONDS: Final = 15.0

Decided = Callable[[Failure | None], None]


@attrs.define(eq=False)
class Accounts:
    """Shares that this agent holds and draws for the work it runs.

    Attributes:
        member: This agent's present life.
        addresses: Where the other agents listen for links.
        connecting: Agents that a link is being opened to.
        contracts: Contracts as far as the holder has applied them.
        shares: Records of shares as far as they were applied.
        waiting: What to do when a draw is decided, by draw id.
        unsettled: Draws of failed attempts, with the instant from which
            they count as spent and the tokens that ran; oldest first.
    """

    member: Member
    keeper: Keeper
    peers: Peers
    log_client: LogClient
    executor: Executor
    tell: Tell
    holder: Holder
    drawer: Drawer
    placement: Placement
    addresses: dict[Member, Address] = attrs.field(factory=dict)
    connecting: set[Member] = attrs.field(factory=set)
    contracts: dict[str, Contract] = attrs.field(factory=dict)
    shares: dict[str, Share] = attrs.field(factory=dict)
    shares_per_account: int = 0
    waiting: dict[str, Decided] = attrs.field(factory=dict)
    unsettled: dict[str, tuple[float, int]] = attrs.field(factory=dict)


@attrs.frozen
class AccountMeans:
    """What accounts need from the process around them."""

    keeper: Keeper
    peers: Peers
    log_client: LogClient
    executor: Executor
    tell: Tell


def new_accounts(
    member: Member,
    evidence: EvidenceSettings,
    means: AccountMeans,
) -> Accounts:
    """Return the accounts of an agent that has just started."""
    return Accounts(
        member=member,
        keeper=means.keeper,
        peers=means.peers,
        log_client=means.log_client,
        executor=means.executor,
        tell=means.tell,
        holder=Holder(evidence),
        drawer=Drawer(member),
        placement=Placement(member, evidence),
    )


def keep_unsettled(
    accounts: Accounts,
    draw_id: str,
    used: int,
    now: float,
) -> None:
    """Keep the draw of a failed attempt open for a retry elsewhere.

    Only the entry knows whether one follows. A retry may run on the charge
    of this draw without reaching its holder, so nothing is refunded unless
    the entry says that the request is over.
    """
    accounts.unsettled[draw_id] = (now + SETTLE_SECONDS, used)
