"""The start of a relay process."""

from .early import (
    Startup,
)
from .signals import (
    handle_signals,
)

__all__ = ('Startup', 'handle_signals')
