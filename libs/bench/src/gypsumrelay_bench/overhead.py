"""`make bench`: what forwarding costs, beside a minimal forwarder."""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from functools import partial
from pathlib import Path
from typing import Any, Final

import attrs
from gypsumrelay_configuration import Contract
from gypsumrelay_demo import (
    ManagedProcess,
    System,
    accepts,
    free_port,
    get_json,
    smallest_deployment,
    wait_until,
)

from gypsumrelay_bench.counting import quantile

DIRECT: Final = 'direct'
FORWARDER: Final = 'forwarder'
RELAY: Final = 'gypsumrelay'
ENGINE: Final = {
    'slots': 60,
    'pieces': 400,
    'piece_tokens': 2000,
    # An engine without any cost would show the noise of the machine as a
    # slow-down, after which its agent lowers the limit.
    'prefill_us': 50,
    'token_ms': 10,
    'transfer_us': 0,
    'cold_requests': 0,
}
CLIENTS: Final = 2
# Name, callers of each client program, tokens of each answer.
LOADS: Final = (('short', 20, 8), ('long', 8, 100), ('single', 1, 20))
PLENTY: Final = 1_000_000_000
WARM_SECONDS: Final = 4
START_SECONDS: Final = 20
TARGET: Final = 0.8
PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')
TICKS: Final = os.sysconf('SC_CLK_TCK')


@attrs.frozen
class Way:
    """One way to the engines, with the processes that it costs."""

    name: str
    url: str
    key: str
    pids: tuple[int, ...]


def main() -> int:
    """Measure all ways in turn, several times, and write the table."""
    parser = argparse.ArgumentParser(prog='gypsumrelay-bench')
    parser.add_argument('--seconds', type=float, default=5)
    parser.add_argument('--rounds', type=int, default=3)
    parser.add_argument('--report', type=Path, default=Path('build/bench.md'))
    arguments = parser.parse_args()
    contract = Contract('first', PLENTY, PLENTY, models=('model',))
    deployment = attrs.evolve(
        smallest_deployment(),
        engine=ENGINE,
        contracts=(contract,),
    )
    with tempfile.TemporaryDirectory(prefix='gypsumrelay-') as folder:
        system = System(deployment, Path(folder))
        forwarder = None
        try:
            system.start()
            start_engines(system)
            forwarder, port = start_forwarder(system)
            report = compare(system, ways(system, forwarder, port), arguments)
        finally:
            if forwarder is not None:
                forwarder.kill()
            system.stop()
    arguments.report.parent.mkdir(exist_ok=True)
    arguments.report.write_text(report)
    print(report)
    return 0


def start_forwarder(system: System) -> tuple[ManagedProcess, int]:
    """Start the minimal forwarder before the same engines."""
    port = free_port()
    engines = engine_urls(system)
    process = ManagedProcess(
        FORWARDER,
        ['-m', 'gypsumrelay_bench.forwarder', str(port), *engines],
        system.folder / 'forwarder.log',
    )
    process.start()
    wait_until(partial(accepts, f'http://127.0.0.1:{port}'), START_SECONDS)
    return process, port


def limits(system: System) -> dict[str, int]:
    """Return how many requests the agents let their engines run."""
    found = {}
    for name, agent in system.agents.items():
        status = get_json(system.pool, f'{agent.admin_url}/status')
        found[name] = int(status['concurrency_limit']) if status else 0
    return found


def engine_urls(system: System) -> tuple[str, str]:
    """Return the engines of the direct way and the forwarder.

    They are others than the agents', which take foreign runs at their own
    engine for another agent's and lower their limit.
    """
    upstreams = system.upstreams
    return (upstreams['prefill-bare'].url, upstreams['decode-bare'].url)


def start_engines(system: System) -> None:
    """Start the engines that have no agent."""
    for kind in ('prefill', 'decode'):
        name = f'{kind}-bare'
        options = ENGINE | {'kind': kind}
        node = system.start_stand_in(name, 'engine', options, '')
        system.upstreams[name] = node
        wait_until(partial(accepts, node.url), START_SECONDS)


def ways(system: System, forwarder: ManagedProcess, port: int) -> list[Way]:
    """Return the three ways that are compared."""
    entry = system.entries['entry-0']
    nodes = (
        entry,
        system.agents['agent-prefill-0'],
        system.agents['agent-decode-0'],
    )
    pids = tuple(node.process.pid or 0 for node in nodes)
    key = system.keys['first'].secret
    return [
        Way(DIRECT, DIRECT, '', ()),
        Way(
            FORWARDER,
            f'http://127.0.0.1:{port}',
            '',
            (forwarder.pid or 0,),
        ),
        Way(RELAY, entry.url, key, pids),
    ]


def compare(system: System, found: list[Way], arguments: Any) -> str:
    """Return the Markdown report of all rounds."""
    measured: dict[tuple[str, str], list[dict[str, float]]] = {}
    for way in found:
        run_load(system, way, (8, 8), WARM_SECONDS)
    print('Concurrency limits:', limits(system))
    for _ in range(arguments.rounds):
        for load, callers, tokens in LOADS:
            # Taken in turn, so that a disturbance meets all of them.
            for way in found:
                size = (callers, tokens)
                figures = run_load(system, way, size, arguments.seconds)
                measured.setdefault((load, way.name), []).append(figures)
    print('Concurrency limits:', limits(system))
    return '\n'.join(_report(measured))


def run_load(
    system: System,
    way: Way,
    size: tuple[int, int],
    seconds: float,
) -> dict[str, float]:
    """Run closed-loop callers on one way and return its figures."""
    prefill, decode = engine_urls(system)
    plan = {
        'url': way.url,
        'key': way.key,
        'prefill': prefill,
        'decode': decode,
        'model': 'model',
        'callers': size[0],
        'max_tokens': size[1],
        'seconds': seconds,
    }
    clients = CLIENTS if size[0] > 1 else 1
    command = [sys.executable, '-m', 'gypsumrelay_bench.overheadclient']
    resident = sum(map(resident_bytes, way.pids))
    used = sum(map(cpu_seconds, way.pids))
    programs = [
        subprocess.Popen(  # noqa: S603
            [*command, json.dumps(plan)],
            stdout=subprocess.PIPE,
        )
        for _ in range(clients)
    ]
    time.sleep(seconds * 0.8)
    grown = sum(map(resident_bytes, way.pids)) - resident
    reports = [json.loads(program.communicate()[0]) for program in programs]
    used = sum(map(cpu_seconds, way.pids)) - used
    requests = sum(report['requests'] for report in reports)
    tokens = sum(report['tokens'] for report in reports)
    firsts = [first for report in reports for first in report['first']]
    gaps = [gap for report in reports for gap in report['gaps']]
    return {
        'requests/s': requests / seconds,
        'tokens/s': tokens / seconds,
        'requests per CPU second': requests / used if used else 0,
        'tokens per CPU second': tokens / used if used else 0,
        'first byte p50 ms': quantile(firsts, 0.5) * 1000,
        'first byte p95 ms': quantile(firsts, 0.95) * 1000,
        'between tokens p50 ms': quantile(gaps, 0.5) * 1000,
        'between tokens p95 ms': quantile(gaps, 0.95) * 1000,
        'KiB grown per open request': grown / 1024 / (size[0] * clients),
        'failed': sum(report['failed'] for report in reports),
    }


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    stat = Path(f'/proc/{pid}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_bytes(pid: int) -> int:
    """Return the memory that a process holds."""
    pages = Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * PAGE_BYTES


def _report(
    measured: dict[tuple[str, str], list[dict[str, float]]],
) -> list[str]:
    names = [DIRECT, FORWARDER, RELAY]
    lines = [f'Measured {time.strftime("%Y-%m-%d")}, median (least to most).']
    for load, callers, tokens in LOADS:
        clients = CLIENTS if callers > 1 else 1
        title = f'{load}: {callers * clients} callers, {tokens} tokens each'
        heading = f'| {title} | {" | ".join(names)} |'
        lines.extend(('', heading, f'| --- |{" ---: |" * len(names)}'))
        for measure in measured[load, DIRECT][0]:
            cells = [
                _cell([run[measure] for run in measured[load, name]])
                for name in names
            ]
            lines.append(f'| {measure} | {" | ".join(cells)} |')
    lines.extend(('', _verdict(measured)))
    return lines


def _verdict(
    measured: dict[tuple[str, str], list[dict[str, float]]],
) -> str:
    own, least = (
        statistics.median(run['requests/s'] for run in measured['short', name])
        for name in (RELAY, FORWARDER)
    )
    ratio = own / least if least else 0
    verdict = 'reached' if ratio >= TARGET else 'not reached'
    return (
        f'requests/s of gypsumrelay / forwarder: {ratio:.2f}, wanted at '
        f'least {TARGET}: {verdict}'
    )


def _cell(numbers: list[float]) -> str:
    middle = statistics.median(numbers)
    return f'{middle:.1f} ({min(numbers):.1f} to {max(numbers):.1f})'


if __name__ == '__main__':
    sys.exit(main())
