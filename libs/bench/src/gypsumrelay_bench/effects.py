"""Measures how long operator changes and crashes take to take effect."""

from __future__ import annotations

import argparse
import secrets
import statistics
import tempfile
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import urllib3
from gypsumrelay_clock import monotonic
from gypsumrelay_configuration import (
    Configuration,
    ConfigurationPublished,
    DrainSet,
    KeyGranted,
    KeyWithdrawn,
    Record,
    digest_of_key,
    new_secret,
)
from gypsumrelay_demo import (
    Reply,
    System,
    complete,
    get_json,
    two_zone_deployment,
    wait_until,
)
from gypsumrelay_platform import LogClient

LIMIT_SECONDS: Final = 20.0
TOKENS: Final = 150
TOKEN_MS: Final = 20
MS: Final = 1000


def timed(act: Callable[[], None], is_done: Callable[[], bool]) -> float:
    """Run an action; return the seconds until a condition holds."""
    act()
    started = monotonic()
    if not wait_until(is_done, LIMIT_SECONDS):
        raise TimeoutError('the action had no effect before the time-out')
    return monotonic() - started


def append(system: System, *records: Record) -> None:
    """Append records to the log."""
    LogClient(system.platform['log'].url).append(list(records))


def measure_withdrawal(system: System, number: int) -> float:
    """Withdraw a new key; return the seconds until all entries reject it."""
    secret = new_secret()
    account = system.deployment.contracts[0].client_account
    key_id = f'measured-{number}'
    digest = digest_of_key(secret)
    append(system, KeyGranted(new_id(), key_id, account, digest))
    body = {'model': 'model', 'prompt': 'a', 'max_tokens': 1}

    def codes() -> set[str]:
        return {
            complete(system.pool, entry.url, secret, body).code
            for entry in system.entries.values()
        }

    wait_until(lambda: 'key_unknown' not in codes(), LIMIT_SECONDS)
    return timed(
        lambda: append(system, KeyWithdrawn(new_id(), key_id)),
        lambda: codes() == {'key_withdrawn'},
    )


def measure_drain(system: System, number: int) -> float:
    """Drain a zone; return the seconds until no entry uses its upstreams."""
    all_upstreams = len(system.deployment.upstreams)

    def usable() -> list[int]:
        return [
            system.known_upstreams(entry) for entry in system.entries.values()
        ]

    seconds = timed(
        lambda: append(system, drain(2 * number, drained=True)),
        lambda: max(usable()) == all_upstreams // 2,
    )
    append(system, drain(2 * number + 1, drained=False))
    wait_until(lambda: min(usable()) == all_upstreams, LIMIT_SECONDS)
    return seconds


def drain(version: int, *, drained: bool) -> DrainSet:
    """Return the record that drains zone b or undoes the drain."""
    return DrainSet(new_id(), version, 'availability_zone', 'b', drained)


def measure_publication(system: System, number: int) -> float:
    """Publish a configuration; return the seconds until all use it."""
    configuration: Configuration = system.deployment.configuration
    record = ConfigurationPublished(new_id(), number + 1, configuration)
    nodes = [*system.entries.values(), *system.agents.values()]

    def offsets() -> list[int]:
        statuses = [
            get_json(system.pool, f'{node.admin_url}/status') for node in nodes
        ]
        return [status['offset'] for status in statuses if status]

    log = get_json(system.pool, system.platform['log'].url) or {}
    end = int(log['next'])
    return timed(lambda: append(system, record), lambda: min(offsets()) >= end)


def measure_crash(system: System, number: int) -> float:
    """Kill a decode agent during a response; return the longest gap in s."""
    return _measure_gap(system, lambda name: system.agents[f'agent-{name}'])


def measure_engine_crash(system: System, number: int) -> float:
    """Kill a decode engine during a response; return the longest gap in s."""
    return _measure_gap(system, lambda name: system.upstreams[name])


def _measure_gap(system: System, choose: Callable[[str], Any]) -> float:
    key = next(iter(system.keys.values())).secret
    entry = next(iter(system.entries.values()))
    prompt = ' '.join(f'{secrets.token_hex(3)}' for _ in range(400))
    body = {
        'model': 'model',
        'prompt': prompt,
        'max_tokens': TOKENS,
        'stream': True,
    }
    replies: list[Reply] = []

    def stream() -> None:
        pool = urllib3.PoolManager()
        replies.append(complete(pool, entry.url, key, body))

    caller = threading.Thread(target=stream)
    caller.start()
    node = choose(system.running_decode(10))
    system.kill(node)
    caller.join()
    system.restart(node)
    system.wait_until_serving()
    if not replies[0].whole:
        raise RuntimeError(f'the response was not complete: {replies[0].code}')
    return max(replies[0].gaps)


def new_id() -> str:
    """Return a new record id."""
    return secrets.token_hex(8)


MEASURES: Final = (
    ('withdrawal of a key to refusal at all entries', measure_withdrawal),
    ('drain of a zone to no use by any entry', measure_drain),
    ('publication to all processes at its offset', measure_publication),
    ('kill of a decode agent to the next token', measure_crash),
    ('kill of a decode engine to the next token', measure_engine_crash),
)


# Each run uses a new system, since a restarted process starts cold.
FRESH: Final = (measure_crash, measure_engine_crash)


def _run(measure: Callable[[System, int], float], repeats: int) -> list[float]:
    """Return the results of repeated measurements in a new system."""
    deployment = two_zone_deployment(
        token_ms=TOKEN_MS,
        cold_requests=0,
        cold_limit=20,
    )
    with tempfile.TemporaryDirectory() as folder:
        system = System(deployment, Path(folder))
        try:
            system.start()
            return [measure(system, number) for number in range(repeats)]
        finally:
            system.stop()


def main() -> None:
    """Measure each effect several times and print a table."""
    parser = argparse.ArgumentParser(prog='effects')
    parser.add_argument('--repeats', type=int, default=7)
    repeats = parser.parse_args().repeats
    print('| from, to | runs | median ms | worst ms |')
    print('| --- | ---: | ---: | ---: |')
    for name, measure in MEASURES:
        found = []
        if measure in FRESH:
            for _ in range(repeats):
                found.extend(_run(measure, 1))
        else:
            found = _run(measure, repeats)
        median = statistics.median(found) * MS
        worst = max(found) * MS
        print(
            f'| {name} | {repeats} | {median:.0f} | {worst:.0f} |', flush=True
        )


if __name__ == '__main__':
    main()
