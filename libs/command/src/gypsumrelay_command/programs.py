"""Starts the entry and the agent program."""

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

from gypsumrelay_command.exits import DONE, finish
from gypsumrelay_command.session import faults_result

PROGRAMS: Final[dict[str, type[Any]]] = {
    'entry': EntrySettings,
    'agent': AgentSettings,
}


def run_program(name: str, settings: str | Path) -> int:
    """Run a program until it is terminated and return the exit code."""
    loaded = load_file(Path(settings), PROGRAMS[name])
    if isinstance(loaded, SettingsFaults):
        return finish(faults_result(loaded, str(settings)), as_json=False)
    # Each program imports a part of the system that the other never needs.
    program = importlib.import_module(f'gypsumrelay_{name}')
    program.run(loaded)
    return DONE
