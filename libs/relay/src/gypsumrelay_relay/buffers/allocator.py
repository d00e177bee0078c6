"""Settings of the C library's allocator."""

from __future__ import annotations

import importlib
from typing import Final

# Parameter of `mallopt` for the number of heaps (`M_ARENA_MAX` in malloc.h).
ARENA_MAX: Final = -8


def use_one_heap() -> None:
    """Let all threads allocate from one heap.

    By default, the GNU C library has eight for each core, and what one of them
    has freed is of no use to the others. Python's threads hardly ever allocate
    at the same time. Other C libraries keep their settings. The module is
    imported here, since instances of unknown memory need not wait for it.
    """
    try:
        importlib.import_module('ctypes').CDLL(None).mallopt(ARENA_MAX, 1)
    except (AttributeError, OSError):
        return
