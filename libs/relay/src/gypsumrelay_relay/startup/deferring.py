"""What a process does only once its start is complete."""

from __future__ import annotations

import gc
import threading
from collections.abc import Callable
from typing import TypeVar

from gypsumrelay_http import client_library

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


def import_in_background(build_metrics: Callable[[], object]) -> None:
    """Import what the first answer needs, in a thread of its own.

    The imports fit into the time in which a new relay waits for the others. The
    library of metrics takes 65 ms of a first request otherwise, on a machine
    where all imports before it take 270 ms. The client library comes first,
    since the configuration is read with it.

    Args:
        build_metrics: Builds the metrics, which imports their library.
    """

    def load() -> None:
        client_library()
        build_metrics()

    threading.Thread(target=load, name='imports', daemon=True).start()
