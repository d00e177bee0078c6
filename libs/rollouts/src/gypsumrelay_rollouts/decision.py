"""Decisions about one roll-out: who gets requests, and when it ends."""

from __future__ import annotations

from typing import Final

from gypsumrelay_rollouts.evidence import (
    Comparison,
    compare,
    find_bad,
    summarize,
    suspects,
    worst,
)
from gypsumrelay_rollouts.exposure import (
    Bounds,
    allowance,
    total_allowance,
)
from gypsumrelay_rollouts.rollout import Change, Rollout, Situation, Stage
from gypsumrelay_rollouts.schedule import (
    DRAIN_SECONDS,
    MIN_CANARY_SENDS,
    SHARES,
    canary_limit,
    complete_at,
    drain_at,
    raise_at,
    raise_limit,
    step_seconds,
)
from gypsumrelay_rollouts.significance import (
    DOUBT_SCORE,
    find_doubt,
    is_confirmed,
    is_suspicious,
)
from gypsumrelay_rollouts.traffic import record_request

# Answers of the new version without which it is not raised or completed.
MIN_ANSWERS: Final = 10
# Score from which the canary gets more, so that doubt is settled sooner.
SUSPICION_SCORE: Final = 1.5
# Requests that run at the new version until it has given `MIN_ANSWERS`.
PROBE_REQUESTS: Final = 8
# Sends for which the canary waits after its allowance was used up. Sent close
# together they load an upstream as full traffic does.
BURST_SENDS: Final = 8
# Interval in seconds between two judgements of the evidence.
JUDGE_SECONDS: Final = 0.2
# Time in seconds before the deadline at which a roll-out without enough
# evidence is reverted, so that the status is written in time.
WRITE_SECONDS: Final = 1.5
# The same for a roll-out that is being drained. It is less than the shortest
# time between completion and deadline (0.8 s), so that a good version whose
# last old request ends late is still completed.
LAST_SECONDS: Final = 0.5
# Bad answers above the expectation after which a version that stays doubtful
# is reverted, and the time in seconds that requests take which were granted
# before; both from the rule that `Bounds.rollback_seconds` belongs to.
ROLLBACK_ANSWERS: Final = 50
ARRIVAL_SECONDS: Final = 1.0
# Reasons of reversals.
STORE_AWAY: Final = 'the store does not answer'
DEADLINE_REACHED: Final = 'the deadline is reached'


def wants_new(
    rollout: Rollout,
    bounds: Bounds,
    sends: int,
    running_new: int,
    now: float,
) -> bool:
    """Return whether the next request should go to the new version.

    Args:
        rollout: The roll-out.
        bounds: Bounds of the exposure.
        sends: Sends that the request needs.
        running_new: Requests that run at the new version.
        now: The present instant.
    """
    if rollout.is_trusted:
        return rollout.stage is Stage.draining
    is_within = _left(rollout, bounds) >= sends
    if rollout.stage is Stage.draining:
        return is_within
    if now >= rollout.deadline:
        # The decision waits for the store or the next judgement.
        return False
    if rollout.stage is Stage.raising and not rollout.in_doubt:
        total, new = rollout.granted
        limit = raise_limit(rollout, bounds, now)
        is_reserved = rollout.exposure.sent + sends <= limit
        return is_within and is_reserved and new < rollout.share * (total + 1)
    if rollout.stage not in {Stage.canary, Stage.raising}:
        return False
    answers = sum(rollout.evidence.counted.values())
    if answers < MIN_ANSWERS and running_new >= PROBE_REQUESTS:
        return False
    allowed = _canary_allowance(rollout, bounds, now)
    # The last sends of the least number need not be a whole burst.
    rest = MIN_CANARY_SENDS - rollout.exposure.sent
    burst = min(BURST_SENDS, rest) if rest > 0 else BURST_SENDS
    if allowed < sends:
        rollout.is_paused = True
    elif allowed >= burst:
        rollout.is_paused = False
    return not rollout.is_paused


def count_grant(
    rollout: Rollout,
    *,
    to_new: int,
    sends: int,
    is_first: bool,
    now: float,
) -> None:
    """Count a granted request.

    Args:
        rollout: The roll-out.
        to_new: Its sends to the new version.
        sends: All its sends.
        is_first: Whether it is the first attempt of a request.
        now: The present instant.
    """
    total, new = rollout.granted
    rollout.granted = (total + 1, new + (to_new > 0))
    # The bound counts the requests up to the deadline only.
    rollout.exposure.requests += is_first and now < rollout.deadline
    rollout.exposure.sent += to_new
    record_request(rollout.traffic, sends, now, is_first=is_first)


def is_due(rollout: Rollout, now: float) -> bool:
    """Return whether the evidence should be judged again."""
    return now >= rollout.judged_at + JUDGE_SECONDS


def advance(
    rollout: Rollout, situation: Situation, bounds: Bounds, now: float
) -> Change | None:
    """Take the next decision, if one is due."""
    if not rollout.is_on_trial:
        return None
    rollout.judged_at = now
    rollout.summary = summarize(rollout.evidence)
    rollout.suspects = suspects(rollout.summary) & situation.alternatives
    failures = summarize(rollout.failures)
    lone = _lone(rollout)
    doubt = find_doubt(rollout.summary, failures, lone)
    score = _worst(rollout).score
    rollout.in_doubt = doubt is not None or score >= SUSPICION_SCORE
    rollout.is_suspicious = is_suspicious(rollout.summary, lone)
    rollout.is_failing = is_suspicious(failures, lone)
    if not rollout.is_trusted:
        names = situation.alternatives
        bad = find_bad(rollout.summary, names) or find_bad(failures, names)
        if bad and not is_confirmed(rollout.summary, bad.route, lone):
            bad = None
        if bad is None:
            bad = _rolled_back(rollout, bounds, now)
        if bad is not None:
            return move(rollout, Stage.reverted, 'bad answers', now, bad)
    if rollout.stage is Stage.canary:
        return _end_canary(rollout, situation, bounds, doubt, now)
    if rollout.stage is Stage.raising:
        return _raise_share(rollout, situation, bounds, doubt, now)
    return _complete(rollout, situation, bounds, doubt, now)


def move(
    rollout: Rollout,
    stage: Stage,
    reason: str,
    now: float,
    comparison: Comparison | None = None,
    share: float = 0,
) -> Change:
    """Change the stage or share, and return the change."""
    before = rollout.stage
    rollout.stage = stage
    rollout.share = share
    rollout.changed_at = now
    rollout.granted = (0, 0)
    found = comparison or compare(rollout.summary)
    return _change(rollout, before, reason, found)


def _change(
    rollout: Rollout, before: Stage, reason: str, comparison: Comparison
) -> Change:
    return Change(
        rollout.order,
        before,
        rollout.stage,
        rollout.share,
        reason,
        comparison,
        rollout.exposure.requests,
        rollout.exposure.sent,
    )


def note_refusal(rollout: Rollout) -> Change | None:
    """Return a change for the log if a later order was refused."""
    if not rollout.refusal or rollout.is_refusal_noted:
        return None
    rollout.is_refusal_noted = True
    return _change(
        rollout,
        rollout.stage,
        f'another order refused: {rollout.refusal}',
        compare(rollout.summary),
    )


def _end_canary(
    rollout: Rollout,
    situation: Situation,
    bounds: Bounds,
    doubt: Comparison | None,
    now: float,
) -> Change | None:
    if now < raise_at(rollout, bounds, now):
        return None
    obstacle = ''
    if not situation.is_ready:
        obstacle = 'the new version lacks upstreams'
    elif compare(rollout.summary).answers < MIN_ANSWERS:
        obstacle = 'too few answers'
    elif doubt is not None:
        obstacle = 'doubtful answers'
    if not obstacle and not situation.store_available:
        return None
    if not obstacle and now >= rollout.deadline - LAST_SECONDS:
        obstacle = DEADLINE_REACHED
    if not obstacle:
        share = SHARES[0]
        return move(rollout, Stage.raising, 'evidence', now, share=share)
    if now < rollout.deadline - WRITE_SECONDS:
        return None
    return move(rollout, Stage.reverted, obstacle, now, doubt)


def _raise_share(
    rollout: Rollout,
    situation: Situation,
    bounds: Bounds,
    doubt: Comparison | None,
    now: float,
) -> Change | None:
    if doubt is not None:
        return _revert_late(rollout, 'doubtful answers', now, doubt)
    if not situation.store_available:
        return _revert_late(rollout, STORE_AWAY, now)
    if now >= rollout.deadline - LAST_SECONDS:
        return move(rollout, Stage.reverted, DEADLINE_REACHED, now)
    if now >= drain_at(rollout, bounds, now):
        return move(rollout, Stage.draining, 'evidence', now, share=1)
    steps = [share for share in SHARES if share > rollout.share]
    if steps and now >= rollout.changed_at + step_seconds(rollout):
        share = steps[0]
        return move(rollout, Stage.raising, 'evidence', now, share=share)
    return None


def _complete(
    rollout: Rollout,
    situation: Situation,
    bounds: Bounds,
    doubt: Comparison | None,
    now: float,
) -> Change | None:
    if rollout.is_trusted:
        return _complete_trusted(rollout, situation, now)
    is_last = now >= rollout.deadline - LAST_SECONDS
    is_drained = not situation.running_old and situation.is_ready
    is_over = now >= rollout.changed_at + DRAIN_SECONDS
    if doubt is not None:
        # All requests go to the version, and no time is left for more.
        return move(rollout, Stage.reverted, 'doubtful answers', now, doubt)
    is_used = _left(rollout, bounds) < _sends_each(rollout)
    if is_used and not is_drained:
        reason = 'draining exceeds the bound'
        return move(rollout, Stage.reverted, reason, now)
    is_over = is_over and now >= complete_at(rollout, bounds, now)
    # A completion that is not written leaves two versions in force if the
    # coordinator dies.
    can_complete = is_drained and situation.store_available
    if not can_complete and is_last:
        reason = STORE_AWAY if is_drained else 'not drained by the deadline'
        return move(rollout, Stage.reverted, reason, now)
    if not (is_over or is_used) or not can_complete:
        return None
    return move(rollout, Stage.completed, 'drained', now, share=1)


def _complete_trusted(
    rollout: Rollout, situation: Situation, now: float
) -> Change | None:
    """Complete an order that takes another one back, once it is drained."""
    # Nothing goes to the version on trial, so that a lost phase of the ordered
    # one does not delay the end beyond the deadline.
    is_last = now >= rollout.deadline - LAST_SECONDS
    is_drained = not situation.running_old and (situation.is_ready or is_last)
    is_over = now >= rollout.changed_at + DRAIN_SECONDS
    if not is_over or not is_drained or not situation.store_available:
        return None
    return move(rollout, Stage.completed, 'drained', now, share=1)


def _left(rollout: Rollout, bounds: Bounds) -> float:
    """Return the sends that the bound leaves to the new version."""
    return total_allowance(rollout.exposure, bounds) - rollout.exposure.sent


def _sends_each(rollout: Rollout) -> float:
    """Return the sends that a request needs."""
    spans = rollout.traffic.spans
    requests = sum(span.requests for span in spans)
    return max(1, sum(span.sends for span in spans) / max(1, requests))


def _canary_allowance(rollout: Rollout, bounds: Bounds, now: float) -> float:
    in_doubt = rollout.in_doubt
    allowed = allowance(rollout.exposure, bounds, in_doubt=in_doubt)
    if in_doubt:
        # Nothing is raised until the doubt is settled.
        return allowed
    limit = canary_limit(rollout, bounds, now) - rollout.exposure.sent
    return min(allowed, limit)


def _rolled_back(
    rollout: Rollout, bounds: Bounds, now: float
) -> Comparison | None:
    """Return the doubt that a version has not settled in its time."""
    found = compare(rollout.summary)
    is_excess = found.bad - found.expected >= ROLLBACK_ANSWERS
    if not is_excess or found.score < DOUBT_SCORE:
        rollout.rollback_at = float('inf')
        return None
    until = now + bounds.rollback_seconds - ARRIVAL_SECONDS
    rollout.rollback_at = min(rollout.rollback_at, until)
    return found if now >= rollout.rollback_at else None


def _lone(rollout: Rollout) -> frozenset[str]:
    return rollout.suspects if len(rollout.suspects) == 1 else frozenset()


def _worst(rollout: Rollout) -> Comparison:
    """Return the worst comparison, without a single bad upstream."""
    return worst(rollout.summary, _lone(rollout))


def _revert_late(
    rollout: Rollout,
    reason: str,
    now: float,
    found: Comparison | None = None,
) -> Change | None:
    """Revert a version that cannot be raised once no time is left."""
    if now < rollout.deadline - WRITE_SECONDS:
        return None
    return move(rollout, Stage.reverted, reason, now, found)
