"""Command line of the programs."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from gypsumrelay_settings import (
    AgentSettings,
    EntrySettings,
    SettingsFaults,
    load_file,
)


def main() -> int:
    """Start the program that the command line names."""
    parser = argparse.ArgumentParser(prog='gypsumrelay')
    parser.add_argument('program', choices=('entry', 'agent'))
    parser.add_argument('--settings', type=Path, required=True)
    arguments = parser.parse_args()
    if arguments.program == 'entry':
        return _run_entry(arguments.settings)
    return _run_agent(arguments.settings)


def _run_entry(path: Path) -> int:
    from gypsumrelay_entry import run

    settings = load_file(path, EntrySettings)
    if isinstance(settings, SettingsFaults):
        return _report(settings)
    run(settings)
    return 0


def _run_agent(path: Path) -> int:
    from gypsumrelay_agent import run

    settings = load_file(path, AgentSettings)
    if isinstance(settings, SettingsFaults):
        return _report(settings)
    run(settings)
    return 0


def _report(faults: SettingsFaults) -> int:
    for fault in faults.faults:
        line = f'{fault.path}: found {fault.found}, allowed {fault.allowed}'
        sys.stderr.write(f'{line}\n')
    return 2


if __name__ == '__main__':
    sys.exit(main())
