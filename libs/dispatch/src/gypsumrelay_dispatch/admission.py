"""Admission control and rejections with their retry times."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gypsumrelay_errors import Overloaded, RateExceeded, RequestQuarantined

from gypsumrelay_dispatch import accounts, crashes, retry_budget
from gypsumrelay_dispatch.grant_rate import seconds_per_grant
from gypsumrelay_dispatch.models import Need, RefusalFacts, Refused

if TYPE_CHECKING:
    from gypsumrelay_errors import Failure
    from gypsumrelay_settings import DispatchSettings

    from gypsumrelay_dispatch.scheduler_state import Board

# Usable part of the overdraft; the rest covers a change of the coordinator,
# after which all buckets are full again.
OVERDRAFT_SHARE: Final = 0.5
# Cost up to which a request counts as cheap, as a part of the usable
# overdraft.
CHEAP_SHARE: Final = 0.02
# Part of the usable overdraft reserved for cheap requests; larger than the
# largest request, since a single request may exceed the overdraft.
REST_SHARE: Final = 0.3
# Bounds of the retry time in seconds; an earlier retry would meet the same
# queue.
MIN_RETRY_SECONDS: Final = 0.2
MAX_RETRY_SECONDS: Final = 4.0
# Retry time in seconds where there is no estimate.
UNKNOWN_RETRY_SECONDS: Final = 1.0


def check_limits(board: Board, need: Need, now: float) -> Refused | None:
    """Charge a request, or reject it by content, retry budget or account."""
    settings = board.settings
    if crashes.losses(board.blame, need.digest, now) >= settings.blame_after:
        sentence = 'upstreams broke off while they ran this'
        return refuse(board, need, RequestQuarantined(sentence))
    if need.attempt > 1:
        budget = board.budget(need.service)
        count = retry_budget.repeats_of(need)
        if retry_budget.take_repeats(budget, board.repeat_limit, count, now):
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
    """Return a rejection with the facts behind it."""
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
    """Reject a request that would wait too long, with a retry time."""
    give_back(board, need)
    retry_at = now + min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))
    failure = Overloaded('no place comes free in time', retry_at=retry_at)
    return refuse(board, need, failure)


def give_back(board: Board, need: Need) -> None:
    """Refund the charge of a first attempt that no upstream ran."""
    if need.attempt == 1:
        accounts.refund(board.accounts, need.client_account, need.cost_tokens)


def _overdraft(settings: DispatchSettings, cost_tokens: int) -> float:
    """Return the tokens by which a request may overdraw its account.

    A part is reserved for cheap requests; otherwise a few long prompts would
    cause the rejection of all plain requests of their account.
    """
    overdraft = settings.overdraft_tokens * OVERDRAFT_SHARE
    if cost_tokens <= overdraft * CHEAP_SHARE:
        return overdraft
    return overdraft * (1 - REST_SHARE)
