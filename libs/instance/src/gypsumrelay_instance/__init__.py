"""What every process of the system has."""

from gypsumrelay_instance.adminapi import (
    AdminCallbacks,
    Application,
    StartResponse,
    admin_application,
    start_admin,
    start_server,
)
from gypsumrelay_instance.committers import (
    listed_committers,
)
from gypsumrelay_instance.httpheaders import (
    HOP_BY_HOP,
    environ_headers,
    listed_headers,
)
from gypsumrelay_instance.keeper import (
    Keeper,
)
from gypsumrelay_instance.peers import (
    PeerCallbacks,
    Peers,
)
from gypsumrelay_instance.shutdown import (
    wait_for_signal,
)
from gypsumrelay_instance.startup import (
    new_peers,
    new_recorder,
)

__all__ = (
    'HOP_BY_HOP',
    'AdminCallbacks',
    'Application',
    'Keeper',
    'PeerCallbacks',
    'Peers',
    'StartResponse',
    'admin_application',
    'environ_headers',
    'listed_committers',
    'listed_headers',
    'new_peers',
    'new_recorder',
    'start_admin',
    'start_server',
    'wait_for_signal',
)
