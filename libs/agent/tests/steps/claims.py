"""Steps of claims.feature."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
from behave import given, then, when
from gypsumrelay_agent import claims, events
from gypsumrelay_limits import Member
from gypsumrelay_platform import Batch
from gypsumrelay_wire import Claim, Claimed, ClaimTaken, Failed

AGENT = 'agent-1'
NOW = 100.0
DIGEST = b'k' * 32


@attrs.define(eq=False)
class FakeLog:
    """An empty log that stores the appended records."""

    appended: list[Any] = attrs.field(factory=list)
    reads: int = 0

    def append(self, records: list[Any]) -> int:
        """Store records."""
        self.appended.extend(records)
        return 0

    def read(self, offset: int) -> Batch:
        """Return an empty batch at the end of the log."""
        self.reads += 1
        return Batch((), offset, 0, at_end=True)


@attrs.define(eq=False)
class FakeExecutor:
    """Executor that runs each call immediately."""

    def submit(self, call: Callable[[], None]) -> None:
        """Run a call."""
        call()


@attrs.define(eq=False)
class FakeLink:
    """Link that stores the sent messages."""

    sent: list[Any] = attrs.field(factory=list)

    def send(self, message: Any) -> None:
        """Store a message."""
        self.sent.append(message)


@given('an agent that has read no list')
def create_agent(context: Any) -> None:
    context.log = FakeLog()
    context.posted_events = []
    context.link = FakeLink()
    context.claims = claims.Claims(
        Member(AGENT, 'first'),
        claim_seconds=60,
        log_client=context.log,
        executor=FakeExecutor(),
        post_event=context.posted_events.append,
    )


def send_claim(context: Any, request_id: str, *, durable: bool) -> None:
    message = Claim(
        request_id=request_id,
        client_account='account',
        key_digest=DIGEST,
        request_digest=b'body',
        durable=durable,
        agent=AGENT,
        remaining_ms=3000,
        replaces='',
    )
    claims.receive_claim(context.claims, context.link, message, NOW)


@when('an entry sends a claim in memory')
def claim_in_memory(context: Any) -> None:
    send_claim(context, 'first', durable=False)


@when('an entry sends a durable claim')
def claim_in_log(context: Any) -> None:
    send_claim(context, 'first', durable=True)


@when('another request claims the same key')
def claim_again(context: Any) -> None:
    send_claim(context, 'second', durable=False)


@when('the list names the agent as a committer')
def name_committer(context: Any) -> None:
    claims.observe_committers(context.claims, (AGENT,), NOW)


@when('the read reaches the end of the log')
def process_reads(context: Any) -> None:
    for event in list(context.posted_events):
        if isinstance(event, events.LogRead):
            claims.process_log_read(
                context.claims, event.batch, NOW, by_committer=True
            )
    claims.tick_claims(context.claims, NOW + 1)


@then('the claim is granted')
def check_granted(context: Any) -> None:
    assert context.link.sent == [Claimed('first')], context.link.sent


@then('the log is read')
def check_log_read(context: Any) -> None:
    assert context.log.reads, 'the log was not read'


@then('the claim is appended')
def check_appended(context: Any) -> None:
    assert len(context.log.appended) == 1, context.log.appended


@then('the claim is not refused')
def check_not_refused(context: Any) -> None:
    refused = [
        sent_message
        for sent_message in context.link.sent
        if isinstance(sent_message, Failed)
    ]
    assert not refused, refused


@then('the reply names the request that holds the key')
def check_holder(context: Any) -> None:
    reply = context.link.sent[-1]
    assert isinstance(reply, ClaimTaken), reply
    assert reply.holder_request_id == 'first', reply
