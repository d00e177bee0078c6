"""Clients of the platform's log and instance list, and their poller."""

from .follower import (
    Callbacks,
    Follower,
)
from .http import (
    exchange,
    new_pool,
    release,
)
from .keeper import (
    SnapshotKeeper,
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

__all__ = (
    'Batch',
    'Callbacks',
    'Entry',
    'Follower',
    'ListClient',
    'ListedInstance',
    'Listing',
    'LogClient',
    'SnapshotKeeper',
    'Unknown',
    'apply_batch',
    'catch_up',
    'exchange',
    'new_pool',
    'parse_address',
    'publish',
    'release',
    'write_snapshot',
)
