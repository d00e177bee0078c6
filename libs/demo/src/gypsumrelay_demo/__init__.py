"""The demonstration system on loopback."""

from gypsumrelay_demo.callers import (
    Reply,
    call,
    complete,
)
from gypsumrelay_demo.deployment import (
    Deployment,
    EntryPlace,
    UpstreamPlace,
    read_deployment,
    smallest_deployment,
    two_zone_deployment,
)
from gypsumrelay_demo.load import (
    Sent,
    Tally,
    count_doubled,
    is_right,
    make_load,
    run_load,
    send,
)
from gypsumrelay_demo.processes import (
    ManagedProcess,
    accepts,
    free_port,
    get_json,
    post_json,
    wait_until,
)
from gypsumrelay_demo.relay import (
    Pair,
    Relay,
)
from gypsumrelay_demo.system import (
    CallerKey,
    Node,
    System,
)

__all__ = (
    'CallerKey',
    'Deployment',
    'EntryPlace',
    'ManagedProcess',
    'Node',
    'Pair',
    'Relay',
    'Reply',
    'Sent',
    'System',
    'Tally',
    'UpstreamPlace',
    'accepts',
    'call',
    'complete',
    'count_doubled',
    'free_port',
    'get_json',
    'is_right',
    'make_load',
    'post_json',
    'read_deployment',
    'run_load',
    'send',
    'smallest_deployment',
    'two_zone_deployment',
    'wait_until',
)
