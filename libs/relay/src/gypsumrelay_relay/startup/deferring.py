"""What a process does only once its start is complete."""

from __future__ import annotations

import gc
import threading
from collections.abc import Callable
from typing import TypeVar

Part = TypeVar('Part')


def resume_collection() -> None:
    """Collect garbage from now on, but never look at what exists already.

    Modules, classes and the parts of the relay live as long as the process.
    """
    gc.freeze()
    gc.enable()


def defer(build: Callable[[], Part]) -> Callable[[], Part]:
    """Return a function that builds a part at its first call.

    Args:
        build: Builds the part; called once.
    """
    lock = threading.Lock()
    built: list[Part] = []

    def provide() -> Part:
        with lock:
            if not built:
                built.append(build())
        return built[0]

    return provide
