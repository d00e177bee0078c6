"""Coordinator states for tests, with their answers."""

from __future__ import annotations

from collections import Counter
from typing import Any

import attrs
from gypsumrelay_dispatch import (
    AccountRules,
    Action,
    Board,
    Granted,
    Load,
    Need,
    Phase,
    Refused,
    ServiceRules,
    Upstream,
    ask,
    set_rules,
    set_upstreams,
)
from gypsumrelay_dispatch.forecast import peak
from gypsumrelay_dispatch.loads import growth_of
from gypsumrelay_settings import DispatchSettings

SERVICE = 'service'


@attrs.define
class Played:
    """A coordinator's state with its clock and its answers."""

    board: Board
    now: float = 100
    answers: dict[tuple[str, int], list[Action]] = attrs.field(factory=dict)
    asked: int = 0

    def take(self, actions: list[Action]) -> None:
        """Record answers by the key of their placement request."""
        for action in actions:
            self.answers.setdefault(action.need.key, []).append(action)

    def ask(self, **fields: Any) -> Need:
        """Send a new placement request and record the answers."""
        self.asked += 1
        need = new_need(f'r{self.asked}', self.now, **fields)
        self.take(ask(self.board, need, self.now))
        return need

    def granted(self) -> list[Granted]:
        """Return all grants."""
        return [one for one in self.all() if isinstance(one, Granted)]

    def refused(self) -> list[Refused]:
        """Return all rejections."""
        return [one for one in self.all() if isinstance(one, Refused)]

    def all(self) -> list[Action]:
        """Return all answers in the order of their first answer."""
        return [action for given in self.answers.values() for action in given]

    def by_upstream(self) -> Counter[str]:
        """Return the number of active placements by upstream."""
        return Counter(place.upstream for place in self.board.places.values())


def new_need(request_id: str, now: float, **fields: Any) -> Need:
    """Return a placement request with default values."""
    usual: dict[str, Any] = {
        'attempt': 1,
        'entry': 'entry',
        'availability_zone': 'zone-0',
        'service': SERVICE,
        'client_account': '',
        'cost_tokens': 0,
        'priority': 1,
        'aim_at': now + 0.9,
        'deadline': now + 14,
        'wait_until': now + 2.7,
    }
    return Need(request_id=request_id, **(usual | fields))


def upstream(number: int, phase: Phase, slots: int, **fields: Any) -> Upstream:
    """Return an upstream in a zone of its own number."""
    usual: dict[str, Any] = {'started_ms': 1}
    return Upstream(
        name=f'{phase.value}-{number}',
        service=SERVICE,
        address=f'10.0.0.{number}:80',
        availability_zone=f'zone-{number}',
        phase=phase,
        slots=slots,
        **(usual | fields),
    )


def plain_board(
    count: int,
    slots: int,
    cold_per_second: float = 0,
    **settings: Any,
) -> Played:
    """Return a state with plain upstreams."""
    played = Played(Board(DispatchSettings(**settings)))
    set_rules(
        played.board,
        [ServiceRules(SERVICE, cold_per_second)],
        [],
        played.now,
    )
    pool = [upstream(number, Phase.plain, slots) for number in range(count)]
    set_upstreams(played.board, pool, played.now)
    return played


def model_board(prefill: int, decode: int, memory: int) -> Played:
    """Return a state with the prefill and decode pools of a model."""
    played = Played(Board(DispatchSettings()))
    set_rules(
        played.board,
        [ServiceRules(SERVICE, memory_tokens=memory)],
        [],
        played.now,
    )
    pool = [
        *(upstream(number, Phase.prefill, 64) for number in range(prefill)),
        *(upstream(number, Phase.decode, 64) for number in range(decode)),
    ]
    set_upstreams(played.board, pool, played.now)
    return played


def forecast(played: Played, load: Load) -> float:
    """Return the forecast peak memory of an upstream in tokens."""
    pace_ms = played.board.pace_ms
    return peak(
        growth_of(place, pace_ms, played.now) for place in load.running.values()
    )


def limit_account(played: Played, rate: float, burst: float) -> None:
    """Set the limit of the account `account`."""
    rules = played.board.services.values()
    account = AccountRules('account', rate, burst)
    set_rules(played.board, rules, [account], played.now)


def prompt_fields(played: Played) -> dict[str, int]:
    """Return the token counts of a default request to the state's service."""
    if any(name.startswith('plain') for name in played.board.loads):
        return {}
    return sizes(3000, 800)


def sizes(prompt: int, expected: int) -> dict[str, int]:
    """Return the token counts of a model request."""
    return {
        'prompt_tokens': prompt,
        'output_tokens': 2700,
        'expected_tokens': expected,
    }


def change_listed(
    played: Played,
    only: str = '',
    keep: str = '',
    **fields: Any,
) -> None:
    """Change fields of all listed upstreams, or of those selected."""
    pool = [
        attrs.evolve(load.upstream, **fields)
        if (not only or name == only) and name != keep
        else load.upstream
        for name, load in played.board.loads.items()
    ]
    set_upstreams(played.board, pool, played.now)
