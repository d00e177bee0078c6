"""Refusals, with the time to return and what they were decided from."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gypsumrelay_errors import Overloaded, RateExceeded, RequestQuarantined

from gypsumrelay_dispatch import accounts, blame, repeats
from gypsumrelay_dispatch.flow import seconds_per_grant
from gypsumrelay_dispatch.models import Need, RefusalFacts, Refused

if TYPE_CHECKING:
    from gypsumrelay_errors import Failure
    from gypsumrelay_settings import DispatchSettings

    from gypsumrelay_dispatch.board import Board

# Part of the overdraft that is used; the rest covers a change of the
# coordinator, after which all buckets are full again.
OVERDRAFT_SHARE: Final = 0.5
# Part of the usable overdraft up to which one request counts as cheap.
CHEAP_SHARE: Final = 0.02
# Part of the usable overdraft that is left to cheap requests; more than the
# largest request takes, since one may go beyond its limit.
REST_SHARE: Final = 0.3
# Seconds; a client that returns sooner would find the same queue.
MIN_RETRY_SECONDS: Final = 0.2
MAX_RETRY_SECONDS: Final = 4.0
# Seconds that a client waits where nothing says when room will come.
UNKNOWN_RETRY_SECONDS: Final = 1.0


def check_limits(board: Board, need: Need, now: float) -> Refused | None:
    """Charge a request, or refuse it by its account, content or repeats."""
    settings = board.settings
    if blame.losses(board.blame, need.digest, now) >= settings.blame_after:
        sentence = 'upstreams broke off while they ran this'
        return refuse(board, need, RequestQuarantined(sentence))
    if need.attempt > 1:
        budget = board.budget(need.service)
        count = repeats.repeats_of(need)
        if repeats.take_repeats(budget, board.repeat_limit, count, now):
            return None
        spent = Overloaded(
            'the retry budget is used up',
            retry_at=now + UNKNOWN_RETRY_SECONDS,
        )
        return refuse(board, need, spent)
    retry_at = accounts.retry_after(
        board.accounts,
        need.client_account,
        _overdraft(settings, need.cost_tokens),
        now,
    )
    if retry_at is not None:
        sentence = 'the rate is used up for now'
        return refuse(board, need, RateExceeded(sentence, retry_at=retry_at))
    accounts.charge(board.accounts, need.client_account, need.cost_tokens)
    return None


def refuse(board: Board, need: Need, failure: Failure) -> Refused:
    """Return a refusal with what it was decided from."""
    waiting = [
        other
        for other in board.queue
        if other.need.service == need.service and other.need.key != need.key
    ]
    facts = RefusalFacts(
        len(waiting),
        seconds_per_grant(board.flow(need.service)) or 0,
        accounts.level(board.accounts, need.client_account),
        board.list_position,
    )
    return Refused(need, failure, facts)


def refuse_overloaded(
    board: Board,
    need: Need,
    wait: float,
    now: float,
) -> Refused:
    """Refuse a request that would wait too long, with the time to return."""
    give_back(board, need)
    retry_at = now + min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))
    failure = Overloaded('no place comes free in time', retry_at=retry_at)
    return refuse(board, need, failure)


def give_back(board: Board, need: Need) -> None:
    """Refund a request that ran nowhere."""
    if need.attempt == 1:
        accounts.refund(board.accounts, need.client_account, need.cost_tokens)


def _overdraft(settings: DispatchSettings, cost_tokens: int) -> float:
    """Return by how much a request of a cost may overdraw its account.

    Cheap requests find a rest that costly ones leave. Otherwise a few
    prompts would have every plain request of their account refused.
    """
    overdraft = settings.overdraft_tokens * OVERDRAFT_SHARE
    if cost_tokens <= overdraft * CHEAP_SHARE:
        return overdraft
    return overdraft * (1 - REST_SHARE)
