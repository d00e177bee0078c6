"""Starts and stops the systems that the process-level scenarios use."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any


def before_scenario(context: Any, scenario: Any) -> None:
    """Give each scenario a folder of its own."""
    context.folder = tempfile.TemporaryDirectory(prefix='gypsumrelay-')
    context.path = Path(context.folder.name)
    context.system = None


def after_scenario(context: Any, scenario: Any) -> None:
    """Stop what the scenario started; show logs of a failed one."""
    if context.system is not None:
        context.system.stop()
    if scenario.status.name != 'passed':
        for log in sorted(context.path.glob('*.log')):
            text = log.read_text(errors='replace')
            if text.strip():
                print(f'--- {log.name}\n{text[-3000:]}')
    context.folder.cleanup()
