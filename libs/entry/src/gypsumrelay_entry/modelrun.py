"""Processing of a model request over all its attempts."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure, NoUpstream, Outcome
from gypsumrelay_routing import Attempted, PlacementRequest
from gypsumrelay_wire import Finished, Link, Tokens

from gypsumrelay_entry import events
from gypsumrelay_entry.attempts import (
    MS_PER_SECOND,
    Attempt,
    AttemptFailed,
    AttemptPlan,
    Progress,
)
from gypsumrelay_entry.failures import is_final, with_retry
from gypsumrelay_entry.prompts import ModelRequest, prefix_digests
from gypsumrelay_entry.response_replay import Following

if TYPE_CHECKING:
    from gypsumrelay_entry.callers import Caller
    from gypsumrelay_entry.context import Entry
    from gypsumrelay_entry.idempotency import KeyUse
    from gypsumrelay_entry.mailboxes import Mailbox

# Tokens in one block of an engine's KV cache.
PIECE_TOKENS: Final = 2000
# Pause between two placements of a retry.
REPLACE_SECONDS: Final = 0.1


@attrs.define
class ModelRun:
    """One accepted model request.

    Attributes:
        entry: The entry that accepted the request.
        caller: The caller of the request.
        request: The parsed request.
        box: Mailbox in which the agents' messages arrive.
        accepted_at: Monotonic time at which the request arrived.
        key_use: The claim of its idempotency key, if it has one.
        progress: Output so far.
        failed_upstreams: Upstreams that are excluded from placement.
        attempts: Number of attempts begun.
        completed: Whether the last attempt completed the response.
        alone: Whether the upstream must run no other request meanwhile,
            because this request is suspected of crashing upstreams.
        ran: Whether any attempt may have run.
        charged: Whether an attempt was charged for its tokens.
        last: The last attempt.
        measured: Durations of the completed attempt.
        upstream: Upstream of the last attempt.
        lost_upstream: Whether an attempt may have run and then failed.
    """

    entry: Entry
    caller: Caller
    request: ModelRequest
    box: Mailbox
    accepted_at: float
    key_use: KeyUse | None = None
    progress: Progress = attrs.field(factory=Progress)
    failed_upstreams: set[str] = attrs.field(factory=set)
    attempts: int = 0
    completed: bool = False
    alone: bool = False
    ran: bool = False
    charged: bool = False
    last: Attempt | None = None
    measured: events.Measured | None = None
    upstream: str = ''
    lost_upstream: bool = False

    def run(self) -> Iterator[Tokens | Finished | Failure]:
        """Yield token batches, then the end of the response or a failure."""
        while True:
            self.attempts += 1
            refused = self._admit()
            if refused is not None:
                yield refused
                return
            failed: AttemptFailed | None = None
            for event in self._watched_attempt():
                if isinstance(event, AttemptFailed):
                    failed = event
                else:
                    yield event
            if failed is None:
                return
            self.ran = self.ran or failed.failure.outcome is not Outcome.not_run
            if not self._may_retry(failed):
                self._give_up()
                yield self._final(failed.failure)
                return
            self.entry.metrics.count('entry.retries')
            refused = self.box.pause(
                self.entry.retries.resume_at(self.attempts)
            )
            if refused is not None:
                yield self._final(refused)
                return

    def _watched_attempt(
        self,
    ) -> Iterator[Tokens | Finished | AttemptFailed]:
        """Run an attempt and record its result for crash attribution.

        A trial also ends if the caller disconnects during the attempt.
        """
        succeeded = False
        try:
            for event in self._attempt():
                succeeded = isinstance(event, Finished)
                yield event
        finally:
            self.entry.suspicions.end(
                self.request.digest,
                succeeded=succeeded,
            )

    def _give_up(self) -> None:
        """Cancel the last attempt as final, so that agents refund tokens.

        A run with an idempotency key is not cancelled, because its caller may
        retry and read the response.
        """
        if self.last is not None and self.key_use is None:
            self.last.cancel(final=True)

    def _final(self, failure: Failure) -> Failure:
        """Return the failure with the outcome of the whole request.

        An outcome of `not_run` describes the last attempt only; it becomes
        `failed` if an earlier attempt may have run.
        """
        if self.ran and failure.outcome is Outcome.not_run:
            failure = attrs.evolve(failure, outcome=Outcome.failed)
        if self.key_use is not None and failure.outcome is Outcome.not_run:
            self.key_use.release()
        return with_retry(failure)

    def _admit(self) -> Failure | None:
        """Return a failure if the request is blamed for upstream crashes.

        Otherwise record whether the next attempt must run alone.
        """
        admitted = self.entry.suspicions.admit(self.request.digest)
        if isinstance(admitted, Failure):
            self._record('refused_as_suspect', code=admitted.code)
            return self._final(admitted)
        self.alone = admitted
        return None

    def queue_deadline(self) -> float:
        """Return the monotonic time at which queueing times out.

        This is the target of the request for its first token, because a
        later response is useless and occupies slots that other requests
        could use in time. A request whose upstream failed may wait longer.
        """
        target = self.request.first_token_ms / MS_PER_SECOND
        patience = self.entry.settings.routing.queue_seconds
        if self.progress.next_index:
            return monotonic() + patience
        if not self.lost_upstream:
            return self.accepted_at + target
        return self.accepted_at + max(target, patience)

    def _attempt(self) -> Iterator[Tokens | Finished | AttemptFailed]:
        prefixes = prefix_digests(self.request.prompt, PIECE_TOKENS)
        placed = self._place(prefixes)
        if isinstance(placed, Failure):
            yield AttemptFailed(placed, retryable=False)
            return
        self._note_upstream(placed.main.upstream)
        plan = self._plan(placed, prefixes)
        if isinstance(plan, AttemptFailed):
            yield plan
        elif self.key_use is None:
            yield from self._run_plan(placed, plan)
        else:
            yield from self._run_claimed(self.key_use, placed, plan)
        self._end(placed)

    def _note_upstream(self, upstream: str) -> None:
        self.upstream = upstream
        if self.attempts == 1:
            account = self.caller.contract.client_account
            self.entry.retries.count_first(account, upstream)

    def _run_claimed(
        self,
        key_use: KeyUse,
        placed: events.Placed,
        plan: AttemptPlan,
    ) -> Iterator[Tokens | Finished | AttemptFailed]:
        """Run the plan if the key can be claimed, else follow its holder."""
        taken = key_use.claim(placed.main.instance)
        if isinstance(taken, Failure):
            yield AttemptFailed(taken, retryable=False)
        elif taken is None:
            yield from self._run_plan(placed, plan)
        else:
            following = Following(key_use, self.progress, self.attempts)
            yield from following.run(taken)

    def _place(self, prefixes: list[bytes]) -> events.Placed | Failure:
        """Return a placement, for which a retry may wait.

        Directly after a failure the view may have no upstream, while links
        are reopened. If all upstreams have failed the request, each may be
        tried again, because it may have recovered; the number of attempts
        and the crash attribution limit these retries.
        """
        deadline = self.queue_deadline()
        while True:
            placed = self.entry.place(self._wanted(prefixes))
            if not isinstance(placed, Failure) or self.attempts == 1:
                return placed
            if isinstance(placed, NoUpstream):
                self.failed_upstreams.clear()
            pause_until = monotonic() + REPLACE_SECONDS
            if pause_until > deadline:
                return placed
            refused = self.box.pause(pause_until)
            if refused is not None:
                return refused

    def _run_plan(
        self,
        placed: events.Placed,
        plan: AttemptPlan,
    ) -> Iterator[Tokens | Finished | AttemptFailed]:
        attempt = self._new_attempt(plan)
        self.last = attempt
        self._record('attempt', placed.main.upstream)
        try:
            for event in attempt.run():
                if isinstance(event, AttemptFailed):
                    self._note(placed, plan, event)
                self.completed = isinstance(event, Finished)
                if self.completed:
                    self.measured = attempt.marks.measured(
                        self.request.model.name,
                        monotonic(),
                    )
                yield event
        except GeneratorExit:
            attempt.cancel(keep=self.key_use is not None, final=True)
            self._end(placed)
            raise

    def _record(self, name: str, upstream: str = '', **detail: str) -> None:
        self.entry.record(
            name,
            self.box.request_id,
            self.caller.contract.client_account,
            upstream,
            attempt=self.attempts,
            **detail,
        )

    def _end(self, placed: events.Placed) -> None:
        self.entry.actor.tell(
            events.AttemptEnded(
                placed.name,
                placed.upstreams,
                self.completed,
                self.measured,
            ),
        )

    def _wanted(self, prefixes: list[bytes]) -> PlacementRequest:
        done = self.progress.next_index
        return PlacementRequest(
            request_id=f'{self.box.request_id}.{self.attempts}',
            serves=self.request.model.name,
            deadline=self.queue_deadline(),
            prompt_tokens=self.request.prompt_tokens + done,
            max_tokens=self.request.max_tokens - done,
            prefixes=tuple(prefixes),
            excluded=frozenset(self.failed_upstreams),
        )

    def _plan(
        self,
        placed: events.Placed,
        prefixes: list[bytes],
    ) -> AttemptPlan | AttemptFailed:
        decode = self.entry.connect(placed.main)
        if isinstance(decode, Failure):
            self.failed_upstreams.add(placed.main.upstream)
            return AttemptFailed(decode)
        prefill = self.entry.connect(placed.prefill)
        if isinstance(prefill, Failure):
            self.failed_upstreams.add(placed.prefill.upstream)
            return AttemptFailed(prefill)

        def on_granted(link: Link) -> None:
            target = placed.main if link is decode else placed.prefill
            granted = events.AttemptGranted(placed.name, target.upstream)
            self.entry.actor.tell(granted)
            self.charged = self.charged or link is decode

        return AttemptPlan(
            number=self.attempts,
            decode=decode,
            prefill=prefill,
            prefixes=prefixes,
            reserve_deadline=self.queue_deadline() - placed.work_seconds,
            progress_seconds=self.entry.settings.routing.progress_seconds,
            weight=max(1, self.caller.contract.tokens_per_second),
            on_granted=on_granted,
            alone=self.alone,
            charged=self.charged,
            key_digest=(
                self.key_use.request.key_digest if self.key_use else b''
            ),
        )

    def _new_attempt(self, plan: AttemptPlan) -> Attempt:
        return Attempt(
            plan,
            self.box,
            self.request,
            self.caller.contract.client_account,
            self.progress,
        )

    def _note(
        self,
        placed: events.Placed,
        plan: AttemptPlan,
        failed: AttemptFailed,
    ) -> None:
        """Record a failed attempt and exclude its upstream from retries."""
        self._record(
            'attempt_failed',
            placed.main.upstream,
            code=failed.failure.code,
            sentence=failed.failure.sentence,
        )
        if failed.link is plan.decode:
            self.failed_upstreams.add(placed.main.upstream)
        elif failed.link is plan.prefill:
            self.failed_upstreams.add(placed.prefill.upstream)

    def _may_retry(self, failed: AttemptFailed) -> bool:
        if not failed.retryable or is_final(failed.failure):
            return False
        if self.attempts >= self.entry.settings.routing.max_attempts:
            return False
        if self.progress.next_index:
            return True
        if failed.failure.outcome is not Outcome.not_run:
            self.lost_upstream = True
        attempted = Attempted(
            idempotent=True,
            attempts=self.attempts,
            deadline=self.queue_deadline(),
        )
        return self.entry.retries.allow(
            failed.failure,
            attempted,
            self.caller.contract.client_account,
            self.upstream,
        )
