"""Mixed load of the demonstration and the counts of its outcomes."""

from __future__ import annotations

import random
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Final

import attrs
import urllib3
from gypsumrelay_standins import expected_text

from gypsumrelay_demo.client import Reply, call, complete
from gypsumrelay_demo.processes import get_json
from gypsumrelay_demo.system import System

CALLER_THREADS: Final = 16
NOT_RUN: Final = 'not_run'


@attrs.frozen
class Sent:
    """Request of the load.

    Attributes:
        number: Position in the load.
        kind: `model` or `call`.
        account: Client account of the caller.
        marker: Text that is unique to this request.
        stream: Whether the model's response is streamed.
        prompt: Prompt of a model request.
        max_tokens: Number of requested tokens.
        method: HTTP method of a service call.
        path: Path of a service call.
        idempotent: Whether the request may be retried safely.
    """

    number: int
    kind: str
    account: str
    marker: str
    stream: bool = False
    prompt: str = ''
    max_tokens: int = 0
    method: str = ''
    path: str = ''
    idempotent: bool = True


@attrs.define
class Tally:
    """Counts of the outcomes of a load.

    Attributes:
        accepted: Requests that were not refused.
        answered: Requests with a complete and correct response.
        lost: Accepted requests with an incomplete response.
        doubled: Repeated runs of requests that are not idempotent.
        refused: Requests that were refused with an error.
        possibly_run: Refused requests that may have run.
        wrong: Accepted requests with a complete but wrong response.
        not_run: Markers of requests that were reported as not run.
        false_not_run: Requests that ran although reported as not run.
        codes: Number of refused requests by error code.
        failed_replies: Requests with a lost or wrong response, for diagnosis.
    """

    accepted: int = 0
    answered: int = 0
    lost: int = 0
    doubled: int = 0
    refused: int = 0
    possibly_run: int = 0
    wrong: int = 0
    not_run: list[str] = attrs.field(factory=list)
    false_not_run: int = 0
    codes: dict[str, int] = attrs.field(factory=dict)
    failed_replies: list[tuple[Sent, Reply]] = attrs.field(factory=list)
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def count_reply(self, sent: Sent, reply: Reply) -> None:
        """Count the outcome of one request."""
        with self.lock:
            if reply.outcome:
                self.refused += 1
                count = self.codes.get(reply.code, 0)
                self.codes[reply.code] = count + 1
                if reply.outcome == NOT_RUN:
                    self.not_run.append(sent.marker)
                self.possibly_run += int(reply.outcome != NOT_RUN)
                return
            self.accepted += 1
            if reply.whole and is_right(sent, reply):
                self.answered += 1
                return
            self.lost += int(not reply.whole)
            self.wrong += int(reply.whole)
            self.failed_replies.append((sent, reply))

    @property
    def guarantees_held(self) -> bool:
        """Return whether the guarantees held that also apply under faults.

        All accepted requests were answered, none ran more than once unless
        idempotent, and none ran that was reported as not run.
        """
        return (
            self.accepted == self.answered
            and not self.doubled
            and not self.false_not_run
        )

    @property
    def is_clean(self) -> bool:
        """Return whether all guarantees held that apply without faults.

        Every refused request must also have been reported as not run.
        """
        return (
            self.guarantees_held
            and not self.lost
            and not self.wrong
            and not self.possibly_run
        )

    def progress(self) -> str:
        """Return a line with the current counts, for progress output."""
        return (
            f'{self.accepted + self.refused} sent, {self.answered} answered, '
            f'{self.refused} refused'
        )

    def line(self) -> str:
        """Return the summary line of the demonstration."""
        outcome_text = 'all not run'
        if self.possibly_run:
            outcome_text = f'{self.possibly_run} not certainly unrun'
        return (
            f'demo: {self.accepted} accepted, {self.answered} answered, '
            f'{self.lost + self.wrong} lost, {self.doubled} doubled, '
            f'{self.refused} refused ({outcome_text})'
        )


def is_right(sent: Sent, reply: Reply) -> bool:
    """Return whether a complete response belongs to its request."""
    if sent.kind == 'model':
        return reply.text == expected_text(sent.prompt, sent.max_tokens)
    return sent.marker in reply.text


def make_load(system: System, count: int, seed: int) -> list[Sent]:
    """Return a mixed load that is determined by its seed.

    Args:
        system: System whose accounts, models and routes are used.
        count: Number of requests.
        seed: Seed of the random number generator.
    """
    rng = random.Random(seed)  # noqa: S311 - reproducible load
    return [_make_request(system, rng, number) for number in range(count)]


def send(system: System, sent: Sent, pool: urllib3.PoolManager) -> Reply:
    """Send one request to an entry and return the reply.

    Entries are selected round-robin, as by the platform's load balancer.
    """
    entries = list(system.entries.values())
    url = entries[sent.number % len(entries)].url
    key = system.keys[sent.account].secret
    if sent.kind == 'model':
        body = {
            'model': system.deployment.configuration.models[0].name,
            'prompt': sent.prompt,
            'max_tokens': sent.max_tokens,
            'stream': sent.stream,
        }
        return complete(pool, url, key, body)
    headers = {'Authorization': f'Bearer {key}'}
    payload = b'' if sent.method == 'GET' else sent.marker.encode()
    return call(pool, url + sent.path, sent.method, headers, payload)


def run_load(
    system: System,
    load: list[Sent],
    tally: Tally | None = None,
) -> Tally:
    """Send a load from concurrent callers and return the counts."""
    tally = tally or Tally()
    pool = urllib3.PoolManager(maxsize=CALLER_THREADS)

    def send_one(sent: Sent) -> None:
        tally.count_reply(sent, send(system, sent, pool))

    with ThreadPoolExecutor(CALLER_THREADS) as callers:
        list(callers.map(send_one, load))
    settle(system, load, tally)
    return tally


def settle(system: System, load: list[Sent], tally: Tally) -> None:
    """Count requests whose reported outcome differs from the actual one.

    The records of the simulated services show which requests ran.
    """
    runs = [
        run['body'] + run['path']
        for place in system.deployment.upstreams
        if place.kind == 'service'
        for run in _read_runs(system, place.name)
    ]
    tally.doubled = _count_doubled(runs, load)
    tally.false_not_run = sum(
        any(marker in run for run in runs) for marker in tally.not_run
    )


def _count_doubled(runs: list[str], load: list[Sent]) -> int:
    """Return the number of repeated runs of non-idempotent requests."""
    markers = [sent.marker for sent in load if not sent.idempotent]
    return sum(
        max(0, sum(marker in run for run in runs) - 1) for marker in markers
    )


def _read_runs(system: System, name: str) -> list[dict[str, Any]]:
    url = f'{system.upstreams[name].url}/record'
    record = get_json(system.pool, url)
    return record['runs'] if record else []


def _make_request(system: System, rng: random.Random, number: int) -> Sent:
    account = rng.choice(system.deployment.contracts).client_account
    marker = f'marker-{number}-{rng.getrandbits(32):08x}'
    if rng.random() < 0.6:
        words = [
            f'word{rng.randrange(1000)}' for _ in range(rng.randrange(400))
        ]
        return Sent(
            number,
            'model',
            account,
            marker,
            stream=rng.random() < 0.5,
            prompt=' '.join([marker, *words]),
            max_tokens=rng.randrange(1, 60),
        )
    routes = [
        route
        for route in system.deployment.configuration.routes
        if not route.open
    ]
    route = rng.choice(routes)
    return Sent(
        number,
        'call',
        account,
        marker,
        method=route.method,
        path=f'{route.path}/{marker}',
        idempotent=route.idempotent,
    )
