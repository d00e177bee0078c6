"""Command line of the demonstration: `demo`, `up` and `chaos`.

Each command starts the whole system on loopback.
"""

from __future__ import annotations

import argparse
import json
import signal
import sys
import tempfile
import threading
from pathlib import Path
from typing import Final

from gypsumrelay_demo.chaos import engines_are_free, run_chaos
from gypsumrelay_demo.deployment import (
    Deployment,
    read_deployment,
    smallest_deployment,
)
from gypsumrelay_demo.description import describe
from gypsumrelay_demo.load import Tally, make_load, run_load
from gypsumrelay_demo.system import System

BUILD_FOLDER: Final = Path('build')
DEFAULT_REQUESTS: Final = 300
DEFAULT_SEED: Final = 1
PROGRESS_INTERVAL_SECONDS: Final = 0.5
DEFAULT_CHAOS_SECONDS: Final = 60.0


def main() -> int:
    """Run one command of the demonstration and return its exit code."""
    parser = argparse.ArgumentParser(prog='gypsumrelay-demo')
    parser.add_argument('command', choices=('demo', 'up', 'chaos'))
    parser.add_argument('--deployment', type=Path)
    parser.add_argument('--requests', type=int, default=DEFAULT_REQUESTS)
    parser.add_argument('--seconds', type=float, default=DEFAULT_CHAOS_SECONDS)
    parser.add_argument('--seed', type=int, default=DEFAULT_SEED)
    arguments = parser.parse_args()
    deployment = _load_deployment(arguments.deployment)
    signal.signal(signal.SIGTERM, _raise_interrupt)
    with tempfile.TemporaryDirectory(prefix='gypsumrelay-') as folder:
        system = System(deployment, Path(folder))
        try:
            system.start()
            if arguments.command == 'up':
                return _run_until_stopped(system)
            if arguments.command == 'chaos':
                return _run_chaos(system, arguments.seconds, arguments.seed)
            return _demonstrate(system, arguments.requests, arguments.seed)
        except KeyboardInterrupt:
            return 0
        finally:
            system.stop()
            (BUILD_FOLDER / 'demo.json').unlink(missing_ok=True)


def _load_deployment(path: Path | None) -> Deployment:
    return smallest_deployment() if path is None else read_deployment(path)


def _demonstrate(system: System, requests: int, seed: int) -> int:
    print(
        f'{len(system.entries)} entries, {len(system.agents)} agents, '
        f'{len(system.upstreams)} upstreams are up.',
    )
    tally = Tally()
    finished = threading.Event()
    threading.Thread(
        target=_show_progress,
        args=(tally, finished),
        daemon=True,
    ).start()
    run_load(system, make_load(system, requests, seed), tally)
    finished.set()
    for code, count in sorted(tally.codes.items()):
        print(f'refused with {code}: {count}')
    print(tally.line())
    return 0 if tally.is_clean and tally.accepted else 1


def _show_progress(tally: Tally, finished: threading.Event) -> None:
    while not finished.wait(PROGRESS_INTERVAL_SECONDS):
        print(tally.progress(), flush=True)


def _run_chaos(system: System, seconds: float, seed: int) -> int:
    """Inject random faults and return 0 if all guarantees held."""
    tally, chaos = run_chaos(system, seconds, seed)
    for fault in chaos.history:
        print(f'fault: {fault}')
    for code, count in sorted(tally.codes.items()):
        print(f'refused with {code}: {count}')
    memory_freed = engines_are_free(system)
    print(
        f'chaos: seed {seed}, {len(chaos.history)} faults, '
        f'{tally.accepted} accepted, {tally.answered} answered, '
        f'{tally.lost} lost, {tally.wrong} wrong, {tally.doubled} doubled, '
        f'{tally.false_not_run} wrongly not run, '
        f'memory {"freed" if memory_freed else "held"}',
    )
    return 0 if tally.guarantees_held and memory_freed else 1


def _run_until_stopped(system: System) -> int:
    BUILD_FOLDER.mkdir(exist_ok=True)
    path = BUILD_FOLDER / 'demo.json'
    temporary_path = path.with_suffix('.tmp')
    temporary_path.write_text(json.dumps(describe(system), indent=2))
    temporary_path.rename(path)
    print(f'System is running; description written to {path}.', flush=True)
    threading.Event().wait()
    return 0


def _raise_interrupt(signal_number: int, stack_frame: object) -> None:
    raise KeyboardInterrupt


if __name__ == '__main__':
    sys.exit(main())
