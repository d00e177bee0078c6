"""What every process of the system has."""

from .adminapi import (
    AdminCallbacks,
    admin_application,
    start_admin,
    start_server,
)
from .committers import (
    listed_committers,
)
from .keeper import (
    Keeper,
)
from .peers import (
    PeerCallbacks,
    Peers,
)
from .shutdown import (
    wait_for_signal,
)

__all__ = (
    'AdminCallbacks',
    'Keeper',
    'PeerCallbacks',
    'Peers',
    'admin_application',
    'listed_committers',
    'start_admin',
    'start_server',
    'wait_for_signal',
)
