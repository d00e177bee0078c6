"""Steps of clock.feature."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

from behave import then
from gypsumrelay_clock import monotonic

LIBRARIES = Path(__file__).resolve().parents[3]


@then('a reading lies between two readings of the boot-time clock')
def check_clock(context: Any) -> None:
    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    reading = monotonic()
    assert before <= reading <= time.clock_gettime(time.CLOCK_BOOTTIME)


@then("no module of the libraries reads the standard library's clock")
def check_sources(context: Any) -> None:
    sources = sorted(LIBRARIES.glob('*/src/*/*.py'))
    assert sources
    for source in sources:
        assert 'time.monotonic' not in source.read_text(), source
