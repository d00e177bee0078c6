"""The relay program, which forwards requests unchanged to upstreams."""

from .connections import (
    LIVENESS_OPTIONS,
)
from .process import (
    run,
)
from .protocol import (
    AddedHeaders,
    CallerHeaders,
    HttpProtocol,
    ReplyHeaders,
    UpstreamRequest,
)
from .routes import (
    Account,
    CallerLimits,
    Configuration,
    RetryPolicy,
    Route,
    Target,
)
from .startup.parts import (
    PlatformAdapter,
)
from .store_epoch import (
    StoreEpoch,
    epoch_of,
    offset_of,
    position_at,
)
from .topics import (
    Changes,
    OperatorState,
    RecordReader,
    RecordsExpired,
    Snapshot,
    Store,
    Topic,
)

__all__ = (
    'LIVENESS_OPTIONS',
    'Account',
    'AddedHeaders',
    'CallerHeaders',
    'CallerLimits',
    'Changes',
    'Configuration',
    'HttpProtocol',
    'OperatorState',
    'PlatformAdapter',
    'RecordReader',
    'RecordsExpired',
    'ReplyHeaders',
    'RetryPolicy',
    'Route',
    'Snapshot',
    'Store',
    'StoreEpoch',
    'Target',
    'Topic',
    'UpstreamRequest',
    'epoch_of',
    'offset_of',
    'position_at',
    'run',
)
