"""Weighted fair queue of an agent with priorities and deadlines."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

import attrs
from gypsumrelay_errors import DeadlineUnreachable, Failure, Overloaded

from gypsumrelay_routing.heaps import KeyedHeap
from gypsumrelay_routing.priorityclass import PriorityClass, QueuedRequest

_PRIORITY_CLASSES: Final = 10


@attrs.frozen
class FairQueueSettings:
    """Settings of a fair queue.

    Attributes:
        max_waiting: Maximum number of waiting requests; excess requests are
            shed.
        background_share: Fraction of the service that all less urgent
            classes get together while more urgent requests wait, divided
            evenly among the classes.
        rate_window_seconds: Period over which the service rate is measured.
        min_retry_seconds: Shortest time from a rejection to a retry.
        max_retry_seconds: Longest time from a rejection to a retry.
    """

    max_waiting: int = 10_000
    background_share: float = 0.1
    rate_window_seconds: float = 1
    min_retry_seconds: float = 0.2
    max_retry_seconds: float = 10


@attrs.frozen
class Rejected:
    """A request that was removed from the queue, with the reason."""

    waiting: QueuedRequest
    failure: Failure


@attrs.frozen
class QueueSelection:
    """The next request to serve, and the requests that were rejected."""

    granted: QueuedRequest | None
    rejected: tuple[Rejected, ...] = ()


@attrs.define
class _Backlog:
    weight: int
    cost: int = 0
    # Order of shedding: the least urgent request with the latest deadline is
    # shed first.
    shed_order: KeyedHeap[tuple[float, float]] = attrs.field(factory=KeyedHeap)


@attrs.define
class _ServiceRate:
    window_start: float | None = None
    cost: int = 0
    per_second: float = 0

    def count(self, cost: int, window: float, now: float) -> None:
        if self.window_start is None:
            self.window_start = now
        self.cost += cost
        elapsed = now - self.window_start
        if elapsed >= window:
            self.per_second = self.cost / elapsed
            self.window_start = now
            self.cost = 0


@attrs.define
class FairQueue:
    """Queue of the requests that wait for one upstream.

    Within a priority class, the accounts share the service by weight, and
    requests of one account are served by earliest deadline. The most urgent
    class is served first. Each waiting less urgent class gets credit for a
    fraction of the cost that is served to other classes, and is served when
    its credit covers its next request.

    Attributes:
        settings: Settings of the queue.
        waiting: Waiting requests by id.
        classes: Priority classes, most urgent first.
        expiries: Request ids by the latest time of a useful grant.
        accounts_by_backlog: Accounts by queued cost per weight, largest first.
        backlogs: Queued cost and order of shedding by account.
        queued_cost: Cost of all waiting requests.
        rate: Measured service rate.
    """

    settings: FairQueueSettings = attrs.field(factory=FairQueueSettings)
    waiting: dict[str, QueuedRequest] = attrs.field(factory=dict)
    classes: tuple[PriorityClass, ...] = attrs.field(
        factory=lambda: tuple(
            PriorityClass() for _ in range(_PRIORITY_CLASSES)
        ),
    )
    expiries: KeyedHeap[float] = attrs.field(factory=KeyedHeap)
    accounts_by_backlog: KeyedHeap[float] = attrs.field(factory=KeyedHeap)
    backlogs: dict[str, _Backlog] = attrs.field(factory=dict)
    queued_cost: int = 0
    rate: _ServiceRate = attrs.field(factory=_ServiceRate)

    def push(self, waiting: QueuedRequest, now: float) -> tuple[Rejected, ...]:
        """Add a request; return the requests that are rejected.

        Adding a request id that already waits replaces the first request.
        """
        self.cancel(waiting.request_id)
        rejected = list(self.expire(now))
        if waiting.start_by < now:
            rejected.append(self._reject_late(waiting, now))
            return tuple(rejected)
        self._insert(waiting)
        if len(self.waiting) > self.settings.max_waiting:
            rejected.append(self._shed(now))
        return tuple(rejected)

    def peek(self, now: float) -> QueueSelection:
        """Return the next request without removing it from the queue."""
        rejected = self.expire(now)
        priority_class = _next_class(self)
        return QueueSelection(
            None if priority_class is None else _head(self, priority_class),
            rejected,
        )

    def pop(self, now: float) -> QueueSelection:
        """Remove the next request and charge its account."""
        rejected = self.expire(now)
        priority_class = _next_class(self)
        if priority_class is None:
            return QueueSelection(None, rejected)
        granted = _head(self, priority_class)
        _update_credits(self, priority_class, granted)
        priority_class.serve(granted)
        self._remove(granted)
        self.rate.count(
            granted.cost,
            self.settings.rate_window_seconds,
            now,
        )
        return QueueSelection(granted, rejected)

    def cancel(self, request_id: str) -> QueuedRequest | None:
        """Remove a request without charging its account, if it waits."""
        waiting = self.waiting.get(request_id)
        if waiting is not None:
            self.classes[waiting.priority].remove(waiting)
            self._remove(waiting)
        return waiting

    def expire(self, now: float) -> tuple[Rejected, ...]:
        """Reject the requests that can no longer meet their deadlines."""
        rejected = []
        first = self.expiries.first()
        while first is not None and first[0] < now:
            late = self.waiting[first[1]]
            self.cancel(late.request_id)
            rejected.append(self._reject_late(late, now))
            first = self.expiries.first()
        return tuple(rejected)

    def next_expiry(self) -> float | None:
        """Return the time after which `expire` rejects the next request."""
        first = self.expiries.first()
        return first and first[0]

    def retry_at(self, now: float) -> float:
        """Return the estimated time at which the queue will have drained."""
        settings = self.settings
        seconds = settings.max_retry_seconds
        if self.rate.per_second:
            seconds = min(seconds, self.queued_cost / self.rate.per_second)
        return now + max(settings.min_retry_seconds, seconds)

    def _insert(self, waiting: QueuedRequest) -> None:
        self.waiting[waiting.request_id] = waiting
        self.queued_cost += waiting.cost
        self.classes[waiting.priority].add(waiting)
        self.expiries.put(waiting.request_id, waiting.start_by)
        backlog = self.backlogs.setdefault(
            waiting.client_account,
            _Backlog(waiting.weight),
        )
        backlog.weight = waiting.weight
        backlog.cost += waiting.cost
        backlog.shed_order.put(
            waiting.request_id,
            (-waiting.priority, -waiting.deadline),
        )
        self._update_rank(waiting.client_account, backlog)

    def _remove(self, waiting: QueuedRequest) -> None:
        self.waiting.pop(waiting.request_id)
        self.queued_cost -= waiting.cost
        self.expiries.remove(waiting.request_id)
        backlog = self.backlogs[waiting.client_account]
        backlog.cost -= waiting.cost
        backlog.shed_order.remove(waiting.request_id)
        self._update_rank(waiting.client_account, backlog)

    def _update_rank(self, client_account: str, backlog: _Backlog) -> None:
        if backlog.shed_order:
            self.accounts_by_backlog.put(
                client_account, -backlog.cost / backlog.weight
            )
            return
        self.accounts_by_backlog.remove(client_account)
        self.backlogs.pop(client_account)

    def _shed(self, now: float) -> Rejected:
        # The account with the highest queued cost per weight exceeds its
        # fair share, unless all accounts are equal.
        account = _first_name(self.accounts_by_backlog)
        shed = self.waiting[_first_name(self.backlogs[account].shed_order)]
        self.cancel(shed.request_id)
        sentence = 'Too many requests wait; the account is above its share.'
        failure = Overloaded(sentence, retry_at=self.retry_at(now))
        return Rejected(shed, failure)

    def _reject_late(self, waiting: QueuedRequest, now: float) -> Rejected:
        sentence = 'No place became free in time for the latency target.'
        failure = DeadlineUnreachable(sentence, retry_at=self.retry_at(now))
        return Rejected(waiting, failure)


def _next_class(queue: FairQueue) -> PriorityClass | None:
    nonempty = list(_nonempty_classes(queue))
    with_credit = [
        priority_class
        for priority_class in nonempty[1:]
        if priority_class.credit >= _head(queue, priority_class).cost
    ]
    if with_credit:
        return max(with_credit, key=_credit)
    return nonempty[0] if nonempty else None


def _update_credits(
    queue: FairQueue, priority_class: PriorityClass, granted: QueuedRequest
) -> None:
    less_urgent = list(_nonempty_classes(queue))[1:]
    if priority_class in less_urgent:
        priority_class.credit -= granted.cost
    earned = queue.settings.background_share * granted.cost
    for waiting_class in less_urgent:
        if waiting_class is not priority_class:
            waiting_class.credit += earned / len(less_urgent)


def _nonempty_classes(queue: FairQueue) -> Iterator[PriorityClass]:
    return (
        priority_class
        for priority_class in queue.classes
        if priority_class.active
    )


def _head(queue: FairQueue, priority_class: PriorityClass) -> QueuedRequest:
    return queue.waiting[priority_class.head() or '']


def _credit(priority_class: PriorityClass) -> float:
    return priority_class.credit


def _first_name(heap: KeyedHeap[float] | KeyedHeap[tuple[float, float]]) -> str:
    first = heap.first()
    return first[1] if first else ''
