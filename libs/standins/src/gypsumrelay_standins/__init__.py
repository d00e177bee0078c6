"""Stand-ins of the platform and upstreams."""

from .engine import (
    Engine,
    EngineSettings,
    Kv,
    Run,
    chain,
    expected_text,
    prefix_digests,
    word_for,
)
from .instance_list import (
    InstanceList,
)
from .log_service import (
    LogFaults,
    LogService,
)
from .service import (
    PlainService,
)
from .serving import (
    Request,
    Response,
    application,
    serve,
    start,
)
from .weight_store import (
    WeightStore,
)

__all__ = (
    'Engine',
    'EngineSettings',
    'InstanceList',
    'Kv',
    'LogFaults',
    'LogService',
    'PlainService',
    'Request',
    'Response',
    'Run',
    'WeightStore',
    'application',
    'chain',
    'expected_text',
    'prefix_digests',
    'serve',
    'start',
    'word_for',
)
