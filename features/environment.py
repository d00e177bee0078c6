"""Starts and stops the systems of the process-level scenarios."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any


def before_scenario(context: Any, scenario: Any) -> None:
    """Create a temporary folder for the scenario."""
    context.folder = tempfile.TemporaryDirectory(prefix='gypsumrelay-')
    context.path = Path(context.folder.name)
    context.system = None


def after_scenario(context: Any, scenario: Any) -> None:
    """Stop the scenario's system; print its logs if the scenario failed."""
    if context.system is not None:
        context.system.stop()
    if scenario.status.name != 'passed':
        for log in sorted(context.path.glob('*.log')):
            text = log.read_text(errors='replace')
            if text.strip():
                print(f'--- {log.name}\n{text[-3000:]}')
    context.folder.cleanup()
