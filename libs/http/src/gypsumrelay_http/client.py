"""The library of HTTP clients, imported when it is first needed."""

from __future__ import annotations

import importlib
import threading
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from types import ModuleType

_import_lock = threading.Lock()


def client_library() -> Any:
    """Return `urllib3`.

    Its import, with those of `http.client`, `email` and `ssl`, takes a third of
    the processor time of a start, which a relay spends while it waits for the
    first messages of the others. Threads that import parts of a package at the
    same time can see incomplete modules, so that all of them import it here.
    """
    with _import_lock:
        library: ModuleType = importlib.import_module('urllib3')
    return library
