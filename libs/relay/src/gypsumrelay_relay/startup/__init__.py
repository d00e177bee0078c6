"""The start of a relay process."""

from .deferring import (
    defer,
    resume_collection,
)
from .early import (
    Startup,
)
from .signals import (
    handle_signals,
)

__all__ = (
    'Startup',
    'defer',
    'handle_signals',
    'resume_collection',
)
