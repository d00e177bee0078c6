"""Parts that all programs share: admin API, links, configuration, signals."""

from gypsumrelay_instance.adminapi import (
    AdminCallbacks,
    admin_application,
    start_admin,
)
from gypsumrelay_instance.committers import (
    listed_committers,
)
from gypsumrelay_instance.peers import (
    PeerCallbacks,
    Peers,
)
from gypsumrelay_instance.replica import (
    ConfigurationReplica,
)
from gypsumrelay_instance.shutdown import (
    wait_for_signal,
)
from gypsumrelay_instance.startup import (
    new_peers,
    new_recorder,
)

__all__ = (
    'AdminCallbacks',
    'ConfigurationReplica',
    'PeerCallbacks',
    'Peers',
    'admin_application',
    'listed_committers',
    'new_peers',
    'new_recorder',
    'start_admin',
    'wait_for_signal',
)
