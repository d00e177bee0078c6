"""The relay program, which forwards requests unchanged to upstreams."""

from .building import (
    PlatformAdapter,
)
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
from .read_limits import (
    BoundedLink,
)
from .routes import (
    Account,
    CallerLimits,
    Configuration,
    Repeatability,
    Route,
    Target,
)
from .topics import (
    Changes,
    Expired,
    OperatorState,
    RecordReader,
    Snapshot,
    Store,
    Topic,
)

__all__ = (
    'LIVENESS_OPTIONS',
    'Account',
    'AddedHeaders',
    'BoundedLink',
    'CallerHeaders',
    'CallerLimits',
    'Changes',
    'Configuration',
    'Expired',
    'HttpProtocol',
    'OperatorState',
    'PlatformAdapter',
    'RecordReader',
    'Repeatability',
    'ReplyHeaders',
    'Route',
    'Snapshot',
    'Store',
    'Target',
    'Topic',
    'UpstreamRequest',
    'run',
)
