"""Clients of the platform's log and instance list, and their poller."""

from .follower import (
    Follower,
    FollowerCallbacks,
)
from .http import (
    exchange,
    new_pool,
)
from .listclient import (
    ListClient,
    ListedInstance,
    Listing,
    parse_address,
)
from .logclient import (
    Batch,
    Entry,
    LogClient,
)
from .publishing import (
    Unknown,
    apply_batch,
    catch_up,
    publish,
    write_snapshot,
)
from .snapshotwriter import (
    SnapshotWriter,
)

__all__ = (
    'Batch',
    'Entry',
    'Follower',
    'FollowerCallbacks',
    'ListClient',
    'ListedInstance',
    'Listing',
    'LogClient',
    'SnapshotWriter',
    'Unknown',
    'apply_batch',
    'catch_up',
    'exchange',
    'new_pool',
    'parse_address',
    'publish',
    'write_snapshot',
)
