"""Steps for the placement of shares."""

from __future__ import annotations

from collections import Counter
from typing import Any

from behave import given, then, when
from gypsumrelay_configuration import Share
from gypsumrelay_limits import (
    Agent,
    Member,
    Placement,
    PlacementSettings,
    apply_account,
    apply_list,
    apply_share,
    confirm_list,
    propose,
)
from gypsumrelay_settings import EvidenceSettings

EVIDENCE = EvidenceSettings(share_evidence_seconds=5, list_lag_seconds=3)
ALL = PlacementSettings(checks_per_tick=100_000)


@given('{agents:d} agents in {zones:d} zones and {accounts:d} accounts')
def start(context: Any, agents: int, zones: int, accounts: int) -> None:
    context.now = 100.0
    context.agents = [
        Agent(Member(f'agent-{number}', '1'), f'zone-{number % zones}')
        for number in range(agents)
    ]
    context.zones = {
        agent.member: agent.availability_zone for agent in context.agents
    }
    # Small fleets have one view per agent, fleets of the maximum size one.
    views = agents if agents < 100 else 1
    context.views = [
        Placement(agent.member, EVIDENCE, ALL)
        for agent in context.agents[:views]
    ]
    for view in context.views:
        apply_list(view, context.agents, context.now, context.now)
        for number in range(accounts):
            apply_account(view, f'account-{number}', 2, context.now)


def proposals(context: Any) -> dict[tuple[str, int], list[Member]]:
    proposers: dict[tuple[str, int], list[Member]] = {}
    for view in context.views:
        for proposal in propose(view, context.now):
            share_key = (proposal.client_account, proposal.number)
            proposers.setdefault(share_key, []).append(view.member)
    return proposers


def assign_share(
    context: Any,
    share_key: tuple[str, int],
    member: Member,
) -> None:
    share = Share(*share_key, 1, member.name, member.incarnation)
    for view in context.views:
        apply_share(view, share, context.now)


@when('all agents propose')
def propose_all(context: Any) -> None:
    context.proposers = proposals(context)
    for share_key, members in context.proposers.items():
        assign_share(context, share_key, members[0])


@when('all agents propose but no record reaches the log')
def propose_without_log(context: Any) -> None:
    context.before = proposals(context)
    assert len(context.before) == 200


@when('all shares are held')
def hold_all(context: Any) -> None:
    for number in range(22_000):
        for share in range(2):
            agent = context.agents[(2 * number + share) % 7600]
            assign_share(context, (f'account-{number}', share), agent.member)
    assert not proposals(context)


@when('{seconds:g} seconds pass without updates')
def wait(context: Any, seconds: float) -> None:
    context.now += seconds


@when('{seconds:g} seconds pass and the list is read again')
def wait_and_confirm(context: Any, seconds: float) -> None:
    wait(context, seconds)
    for view in context.views:
        confirm_list(view, context.now, context.now)


@when('a holder leaves the list')
def leave_list(context: Any) -> None:
    # The account's other share may be in the zone that is ranked first.
    context.departed = context.proposers['account-0', 1][0]
    rest = [one for one in context.agents if one.member != context.departed]
    for view in context.views:
        apply_list(view, rest, context.now, context.now)


@when('a share is assigned to an agent that no list contains')
def assign_unlisted(context: Any) -> None:
    assign_share(context, ('account-0', 0), Member('unknown', '1'))


@then('each share is proposed by exactly one agent')
def check_once(context: Any) -> None:
    assert len(context.proposers) == 200
    assert {len(members) for members in context.proposers.values()} == {1}


@then('the shares of each account are in different zones')
def check_zones(context: Any) -> None:
    for number in range(100):
        first, second = (
            context.zones[context.proposers[f'account-{number}', share][0]]
            for share in range(2)
        )
        assert first != second, number


@then('no agent holds more than {most:d} shares')
def check_spread(context: Any, most: int) -> None:
    held = Counter(members[0] for members in context.proposers.values())
    assert max(held.values()) <= most, held.most_common(3)


@then('nothing is proposed')
def check_nothing(context: Any) -> None:
    assert not proposals(context)


@then('its shares are proposed in zones without shares of the same account')
def check_moved(context: Any) -> None:
    held = {
        share_key
        for share_key, members in context.proposers.items()
        if members == [context.departed]
    }
    moved = proposals(context)
    assert moved.keys() == held
    for (account, number), members in moved.items():
        other = context.proposers[account, 1 - number][0]
        assert context.zones[members[0]] != context.zones[other]


@then('its share is not proposed')
def check_kept(context: Any) -> None:
    assert ('account-0', 0) not in proposals(context)


@then('its share is proposed')
def check_replaced(context: Any) -> None:
    assert ('account-0', 0) in proposals(context)


@then('most shares are proposed by other agents than before')
def check_turn(context: Any) -> None:
    after = proposals(context)
    moved = [
        share_key
        for share_key in after
        if after[share_key] != context.before[share_key]
    ]
    assert len(after) == 200
    assert len(moved) > 150, len(moved)


@then('{ticks:d} ticks check no share')
def check_idle(context: Any, ticks: int) -> None:
    view = context.views[0]
    for _ in range(ticks):
        context.now += 0.1
        entries = len(view.check_queue)
        assert not propose(view, context.now)
        assert len(view.check_queue) == entries
    assert not view.next_check
