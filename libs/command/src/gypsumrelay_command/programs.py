"""Starts the entry and agent programs."""

from __future__ import annotations

import importlib
from pathlib import Path
from typing import Any, Final

from gypsumrelay_settings import (
    AgentSettings,
    EntrySettings,
    SettingsFaults,
    load_file,
)

from gypsumrelay_command.results import DONE, print_result
from gypsumrelay_command.session import faults_result

PROGRAMS: Final[dict[str, type[Any]]] = {
    'entry': EntrySettings,
    'agent': AgentSettings,
}


def run_program(name: str, settings: str | Path) -> int:
    """Run a program until it is terminated and return its exit code.

    Args:
        name: `entry` or `agent`.
        settings: The program's settings file.
    """
    loaded = load_file(Path(settings), PROGRAMS[name])
    if isinstance(loaded, SettingsFaults):
        return print_result(faults_result(loaded, str(settings)), as_json=False)
    # Import only the selected program; the other one's libraries are unused.
    program = importlib.import_module(f'gypsumrelay_{name}')
    program.run(loaded)
    return DONE
