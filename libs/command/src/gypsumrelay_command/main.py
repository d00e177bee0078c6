"""Entry point of the binary, which loads the command parser on demand."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from typing import Final

VERSION: Final = '0.1.0'
SETTINGS_OPTION: Final = '--settings'


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code.

    `version`, `entry --settings FILE` and `agent --settings FILE` run without
    importing cyclopts, whose import takes most of the start time.
    """
    command = list(sys.argv[1:] if arguments is None else arguments)
    if command in (['version'], ['--version']):
        print(VERSION)
        return 0
    if len(command) == 3 and command[1] == SETTINGS_OPTION:
        from gypsumrelay_command import programs

        if command[0] in programs.PROGRAMS:
            return programs.run_program(command[0], command[2])
    from gypsumrelay_command.application import run

    return run(command)
