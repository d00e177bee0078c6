"""What every process of the system has."""

from gypsumrelay_instance.adminapi import (
    AdminCallbacks,
    Application,
    StartResponse,
    admin_application,
    start_admin,
    start_server,
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
from gypsumrelay_instance.snapshotting import (
    SnapshotWriter,
    new_snapshot_writer,
)

__all__ = (
    'AdminCallbacks',
    'Application',
    'Keeper',
    'PeerCallbacks',
    'Peers',
    'SnapshotWriter',
    'StartResponse',
    'admin_application',
    'new_snapshot_writer',
    'start_admin',
    'start_server',
    'wait_for_signal',
)
