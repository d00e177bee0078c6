"""Processing of a model request over all its attempts."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure, NoUpstream, Outcome
from gypsumrelay_routing import AttemptState, PlacementRequest
from gypsumrelay_wire import Finished, Link, Tokens

from gypsumrelay_entry import events
from gypsumrelay_entry.attempts import (
    MS_PER_SECOND,
    Attempt,
    AttemptFailed,
    AttemptPlan,
    Progress,
)
from gypsumrelay_entry.failures import is_final, with_retry_time
from gypsumrelay_entry.prompts import ModelRequest, prefix_digests
from gypsumrelay_entry.response_replay import ResponseReplay

if TYPE_CHECKING:
    from gypsumrelay_entry.callers import Caller
    from gypsumrelay_entry.context import Entry
    from gypsumrelay_entry.idempotency import KeyClaim
    from gypsumrelay_entry.mailboxes import Mailbox

# Tokens in one block of an engine's KV cache.
BLOCK_TOKENS: Final = 2000
# Interval at which a retry without an available upstream asks for a placement.
PLACEMENT_RETRY_SECONDS: Final = 0.1


@attrs.define
class ModelRun:
    """One accepted model request.

    Attributes:
        entry: The entry that accepted the request.
        caller: The caller of the request.
        request: The parsed request.
        mailbox: Mailbox in which the agents' messages arrive.
        accepted_at: Monotonic time at which the request arrived.
        key_claim: The claim of its idempotency key, if it has one.
        progress: Output so far.
        failed_upstreams: Upstreams that are excluded from placement.
        attempts: Number of attempts begun.
        completed: Whether the last attempt completed the response.
        alone: Whether the upstream must run no other request meanwhile,
            because this request is suspected of crashing upstreams.
        may_have_run: Whether any attempt may have run.
        charged: Whether an attempt was charged for its tokens.
        last_attempt: The last attempt.
        durations: Durations of the completed attempt.
        upstream: Upstream of the last attempt.
        lost_upstream: Whether an attempt may have run and then failed.
    """

    entry: Entry
    caller: Caller
    request: ModelRequest
    mailbox: Mailbox
    accepted_at: float
    key_claim: KeyClaim | None = None
    progress: Progress = attrs.field(factory=Progress)
    failed_upstreams: set[str] = attrs.field(factory=set)
    attempts: int = 0
    completed: bool = False
    alone: bool = False
    may_have_run: bool = False
    charged: bool = False
    last_attempt: Attempt | None = None
    durations: events.AttemptDurations | None = None
    upstream: str = ''
    lost_upstream: bool = False

    def run(self) -> Iterator[Tokens | Finished | Failure]:
        """Yield token batches, then the end of the response or a failure."""
        while True:
            self.attempts += 1
            rejection = self._check_crashes()
            if rejection is not None:
                yield rejection
                return
            failed: AttemptFailed | None = None
            for event in self._run_attempt():
                if isinstance(event, AttemptFailed):
                    failed = event
                else:
                    yield event
            if failed is None:
                return
            self.may_have_run = (
                self.may_have_run
                or failed.failure.outcome is not Outcome.not_run
            )
            if not self._may_retry(failed):
                self._cancel_last_attempt()
                yield self._final_failure(failed.failure)
                return
            self.entry.metrics.count('entry.retries')
            rejection = self.mailbox.pause(
                self.entry.retry_policy.next_attempt_at(self.attempts)
            )
            if rejection is not None:
                yield self._final_failure(rejection)
                return

    def _run_attempt(
        self,
    ) -> Iterator[Tokens | Finished | AttemptFailed]:
        """Run an attempt and record its result for crash attribution.

        A trial also ends if the caller disconnects during the attempt.
        """
        succeeded = False
        try:
            for event in self._place_and_run():
                succeeded = isinstance(event, Finished)
                yield event
        finally:
            self.entry.crash_tracker.record_result(
                self.request.digest,
                succeeded=succeeded,
            )

    def _cancel_last_attempt(self) -> None:
        """Cancel the last attempt as final, so that agents refund tokens.

        A run with an idempotency key is not cancelled, because its caller may
        retry and read the response.
        """
        if self.last_attempt is not None and self.key_claim is None:
            self.last_attempt.cancel(final=True)

    def _final_failure(self, failure: Failure) -> Failure:
        """Return the failure with the outcome of the whole request.

        An outcome of `not_run` describes the last attempt only; it becomes
        `failed` if an earlier attempt may have run.
        """
        if self.may_have_run and failure.outcome is Outcome.not_run:
            failure = attrs.evolve(failure, outcome=Outcome.failed)
        if self.key_claim is not None and failure.outcome is Outcome.not_run:
            self.key_claim.release()
        return with_retry_time(failure)

    def _check_crashes(self) -> Failure | None:
        """Return a failure if the request is blamed for upstream crashes.

        Otherwise record whether the next attempt must run alone.
        """
        admission = self.entry.crash_tracker.admit(self.request.digest)
        if isinstance(admission, Failure):
            self._record('refused_as_suspect', code=admission.code)
            return self._final_failure(admission)
        self.alone = admission
        return None

    def queue_deadline(self) -> float:
        """Return the monotonic time at which queueing times out.

        This is the target of the request for its first token, because a
        later response is useless and occupies slots that other requests
        could use in time. A request whose upstream failed may wait longer.
        """
        target = self.request.first_token_ms / MS_PER_SECOND
        queue_seconds = self.entry.settings.routing.queue_seconds
        if self.progress.next_index:
            return monotonic() + queue_seconds
        if not self.lost_upstream:
            return self.accepted_at + target
        return self.accepted_at + max(target, queue_seconds)

    def _place_and_run(self) -> Iterator[Tokens | Finished | AttemptFailed]:
        prefixes = prefix_digests(self.request.prompt, BLOCK_TOKENS)
        placement = self._place(prefixes)
        if isinstance(placement, Failure):
            yield AttemptFailed(placement, retryable=False)
            return
        self._record_upstream(placement.main.upstream)
        plan = self._new_plan(placement, prefixes)
        if isinstance(plan, AttemptFailed):
            yield plan
        elif self.key_claim is None:
            yield from self._run_plan(placement, plan)
        else:
            yield from self._run_claimed(self.key_claim, placement, plan)
        self._end_attempt(placement)

    def _record_upstream(self, upstream: str) -> None:
        self.upstream = upstream
        if self.attempts == 1:
            client_account = self.caller.contract.client_account
            self.entry.retry_policy.record_first_attempt(
                client_account, upstream
            )

    def _run_claimed(
        self,
        key_claim: KeyClaim,
        placement: events.AttemptPlacement,
        plan: AttemptPlan,
    ) -> Iterator[Tokens | Finished | AttemptFailed]:
        """Run the plan if the key can be claimed, else follow its holder."""
        claim_result = key_claim.claim(placement.main.instance)
        if isinstance(claim_result, Failure):
            yield AttemptFailed(claim_result, retryable=False)
        elif claim_result is None:
            yield from self._run_plan(placement, plan)
        else:
            replay = ResponseReplay(key_claim, self.progress, self.attempts)
            yield from replay.run(claim_result)

    def _place(
        self, prefixes: list[bytes]
    ) -> events.AttemptPlacement | Failure:
        """Return a placement, for which a retry may wait.

        Directly after a failure the view may have no upstream, while links
        are reopened. If all upstreams have failed the request, each may be
        tried again, because it may have recovered; the number of attempts
        and the crash attribution limit these retries.
        """
        deadline = self.queue_deadline()
        while True:
            placement = self.entry.place(self._placement_request(prefixes))
            if not isinstance(placement, Failure) or self.attempts == 1:
                return placement
            if isinstance(placement, NoUpstream):
                self.failed_upstreams.clear()
            pause_until = monotonic() + PLACEMENT_RETRY_SECONDS
            if pause_until > deadline:
                return placement
            rejection = self.mailbox.pause(pause_until)
            if rejection is not None:
                return rejection

    def _run_plan(
        self,
        placement: events.AttemptPlacement,
        plan: AttemptPlan,
    ) -> Iterator[Tokens | Finished | AttemptFailed]:
        attempt = self._new_attempt(plan)
        self.last_attempt = attempt
        self._record('attempt', placement.main.upstream)
        try:
            for event in attempt.run():
                if isinstance(event, AttemptFailed):
                    self._record_failure(placement, plan, event)
                self.completed = isinstance(event, Finished)
                if self.completed:
                    self.durations = attempt.timestamps.durations(
                        self.request.model.name,
                        monotonic(),
                    )
                yield event
        except GeneratorExit:
            attempt.cancel(keep=self.key_claim is not None, final=True)
            self._end_attempt(placement)
            raise

    def _record(self, name: str, upstream: str = '', **detail: str) -> None:
        self.entry.record(
            name,
            self.mailbox.request_id,
            self.caller.contract.client_account,
            upstream,
            attempt=self.attempts,
            **detail,
        )

    def _end_attempt(self, placement: events.AttemptPlacement) -> None:
        self.entry.actor.tell(
            events.AttemptEnded(
                placement.name,
                placement.upstreams,
                self.completed,
                self.durations,
            ),
        )

    def _placement_request(self, prefixes: list[bytes]) -> PlacementRequest:
        generated_tokens = self.progress.next_index
        return PlacementRequest(
            request_id=f'{self.mailbox.request_id}.{self.attempts}',
            serves=self.request.model.name,
            deadline=self.queue_deadline(),
            prompt_tokens=self.request.prompt_tokens + generated_tokens,
            max_tokens=self.request.max_tokens - generated_tokens,
            prefixes=tuple(prefixes),
            excluded=frozenset(self.failed_upstreams),
        )

    def _new_plan(
        self,
        placement: events.AttemptPlacement,
        prefixes: list[bytes],
    ) -> AttemptPlan | AttemptFailed:
        decode = self.entry.connect(placement.main)
        if isinstance(decode, Failure):
            self.failed_upstreams.add(placement.main.upstream)
            return AttemptFailed(decode)
        prefill = self.entry.connect(placement.prefill)
        if isinstance(prefill, Failure):
            self.failed_upstreams.add(placement.prefill.upstream)
            return AttemptFailed(prefill)

        def on_granted(link: Link) -> None:
            target = placement.main if link is decode else placement.prefill
            granted = events.AttemptGranted(placement.name, target.upstream)
            self.entry.actor.tell(granted)
            self.charged = self.charged or link is decode

        return AttemptPlan(
            number=self.attempts,
            decode=decode,
            prefill=prefill,
            prefixes=prefixes,
            reserve_deadline=self.queue_deadline() - placement.work_seconds,
            progress_seconds=self.entry.settings.routing.progress_seconds,
            weight=max(1, self.caller.contract.tokens_per_second),
            on_granted=on_granted,
            alone=self.alone,
            charged=self.charged,
            key_digest=(
                self.key_claim.request.key_digest if self.key_claim else b''
            ),
        )

    def _new_attempt(self, plan: AttemptPlan) -> Attempt:
        return Attempt(
            plan,
            self.mailbox,
            self.request,
            self.caller.contract.client_account,
            self.progress,
        )

    def _record_failure(
        self,
        placement: events.AttemptPlacement,
        plan: AttemptPlan,
        failed: AttemptFailed,
    ) -> None:
        """Record a failed attempt and exclude its upstream from retries."""
        self._record(
            'attempt_failed',
            placement.main.upstream,
            code=failed.failure.code,
            sentence=failed.failure.sentence,
        )
        if failed.link is plan.decode:
            self.failed_upstreams.add(placement.main.upstream)
        elif failed.link is plan.prefill:
            self.failed_upstreams.add(placement.prefill.upstream)

    def _may_retry(self, failed: AttemptFailed) -> bool:
        if not failed.retryable or is_final(failed.failure):
            return False
        if self.attempts >= self.entry.settings.routing.max_attempts:
            return False
        if self.progress.next_index:
            return True
        if failed.failure.outcome is not Outcome.not_run:
            self.lost_upstream = True
        attempt_state = AttemptState(
            idempotent=True,
            attempts=self.attempts,
            deadline=self.queue_deadline(),
        )
        return self.entry.retry_policy.allow(
            failed.failure,
            attempt_state,
            self.caller.contract.client_account,
            self.upstream,
        )
