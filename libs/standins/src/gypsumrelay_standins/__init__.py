"""Simulated platform services and upstreams for tests and demonstrations."""

from gypsumrelay_standins.endless_answers import (
    ENDLESS,
)
from gypsumrelay_standins.engine import (
    Engine,
    EngineSettings,
    Kv,
    Run,
    chain,
    expected_text,
    prefix_digests,
    word_for,
)
from gypsumrelay_standins.faulty_service import (
    FaultyService,
)
from gypsumrelay_standins.http_server import (
    Handler,
    Request,
    Response,
    application,
    serve,
    start,
)
from gypsumrelay_standins.instance_list import (
    InstanceList,
)
from gypsumrelay_standins.log_service import (
    LogFaults,
    LogService,
)
from gypsumrelay_standins.odd_answers import (
    GROUPS,
    REST,
    odd_answer,
)
from gypsumrelay_standins.plain_service import (
    PlainService,
)
from gypsumrelay_standins.weight_store import (
    WeightStore,
)

__all__ = (
    'ENDLESS',
    'GROUPS',
    'REST',
    'Engine',
    'EngineSettings',
    'FaultyService',
    'Handler',
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
    'odd_answer',
    'prefix_digests',
    'serve',
    'start',
    'word_for',
)
