"""Runs all behave suites and prints the totals."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
KNOWN_RED_PREFIX = 'test: '
PARALLEL_SUITES = 4
# Features of a library above which they run in parallel: those of the largest
# one took four minutes one after the other.
FEATURES_PER_SUITE = 10
# Each suite starts up to 20 processes with deadlines in real time.
PARALLEL_SYSTEMS = 3
SUITE_TIMEOUT_SECONDS = 900
OUTPUT_SHOWN = 6000


def find_suites() -> list[Path]:
    """Return the test directories of the libraries.

    Each feature of a large directory is a suite of its own. The process-level
    suites run after these, since their real-time deadlines are missed on a busy
    machine.
    """
    found: dict[Path, list[Path]] = {}
    for feature in sorted(ROOT.glob('libs/*/tests/*.feature')):
        found.setdefault(feature.parent, []).append(feature)
    suites = []
    for directory, features in found.items():
        is_large = len(features) > FEATURES_PER_SUITE
        suites.extend(features if is_large else [directory])
    return suites


def find_process_suites() -> list[Path]:
    """Return the process-level feature files, each a suite of its own."""
    folders = ('features', 'platform/tests')
    return sorted(
        feature
        for name in folders
        for feature in (ROOT / name).glob('*.feature')
    )


def known_red() -> set[str]:
    """Return the names of the scenarios listed as known failures."""
    if not KNOWN_RED.exists():
        return set()
    return {
        line.removeprefix(KNOWN_RED_PREFIX).strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith(KNOWN_RED_PREFIX)
    }


def run_suite(suite: Path) -> list[tuple[str, str]]:
    """Run one suite and return its scenarios with their status."""
    with tempfile.TemporaryDirectory() as scratch:
        report = Path(scratch) / 'report.json'
        command = [
            *(sys.executable, '-m', 'behave', '--no-color'),
            *('-f', 'json', '-o', str(report)),
            *('-f', 'progress', str(suite)),
        ]
        started = time.monotonic()
        finished = subprocess.run(  # noqa: S603 - fixed command line
            command,
            cwd=ROOT,
            env=os.environ | {'PYTHONUNBUFFERED': '1'},
            capture_output=True,
            text=True,
            timeout=SUITE_TIMEOUT_SECONDS,
            check=False,
        )
        results = read_report(report, suite)
        show_errors(report)
    seconds = time.monotonic() - started
    name = suite.relative_to(ROOT)
    passed = sum(status == 'passed' for _, status in results)
    print(f'{name}: {passed} of {len(results)} passed, {seconds:.1f} s')
    if finished.returncode and passed == len(results):
        results.append((f'{name} :: behave itself', 'failed'))
    if finished.returncode:
        print(finished.stdout[-OUTPUT_SHOWN:])
        print(finished.stderr[-OUTPUT_SHOWN:])
    return results


def read_report(report: Path, suite: Path) -> list[tuple[str, str]]:
    """Return each scenario's name and status from a behave report."""
    name = suite.relative_to(ROOT)
    try:
        features = json.loads(report.read_text())
    except (OSError, ValueError):
        return [(f'{name} :: report missing', 'failed')]
    return [
        (
            f'{feature["location"].split(":")[0]} :: {element["name"]}'.strip(),
            element.get('status', 'undefined'),
        )
        for feature in features
        for element in feature.get('elements', ())
        if element['type'] != 'background'
    ]


def show_errors(report: Path) -> None:
    """Print the error messages of the failed steps of a report."""
    features = json.loads(report.read_text()) if report.exists() else []
    for feature in features:
        for element in feature.get('elements', ()):
            for step in element['steps']:
                message = step.get('result', {}).get('error_message')
                if message:
                    print(f'{element["name"]}: {step["name"]}')
                    print(as_text(message)[-OUTPUT_SHOWN:])


def as_text(message: str | list[str]) -> str:
    """Return an error message; behave reports several lines as a list."""
    return message if isinstance(message, str) else '\n'.join(message)


def main() -> int:
    """Run the suites; return 0 if all scenarios not known as red passed."""
    chosen = [Path(argument).resolve() for argument in sys.argv[1:]]
    with ThreadPoolExecutor(PARALLEL_SUITES) as pool:
        batches = list(pool.map(run_suite, chosen or find_suites()))
    if not chosen:
        with ThreadPoolExecutor(PARALLEL_SYSTEMS) as pool:
            batches.extend(pool.map(run_suite, find_process_suites()))
    results = [result for batch in batches for result in batch]
    red = known_red()
    counted = []
    for scenario, status in results:
        if scenario in red:
            print(f'known red: {scenario}: {status}')
            continue
        counted.append(status)
        if status != 'passed':
            print(f'{status}: {scenario}')
    passed = counted.count('passed')
    failed = len(counted) - passed
    print(f'{passed} passed, {failed} failed')
    return 1 if failed or not passed else 0


if __name__ == '__main__':
    sys.exit(main())
