"""Demonstration system that runs all processes on loopback."""

from gypsumrelay_demo.chaos import (
    Chaos,
    Undo,
    engines_are_free,
    run_chaos,
)
from gypsumrelay_demo.client import (
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
    is_right,
    make_load,
    run_load,
    send,
    settle,
)
from gypsumrelay_demo.processes import (
    ManagedProcess,
    accepts,
    free_port,
    get_json,
    post_json,
    wait_until,
)
from gypsumrelay_demo.system import (
    CallerKey,
    Node,
    System,
)
from gypsumrelay_demo.tcp_proxy import (
    Pair,
    Relay,
)

__all__ = (
    'CallerKey',
    'Chaos',
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
    'Undo',
    'UpstreamPlace',
    'accepts',
    'call',
    'complete',
    'engines_are_free',
    'free_port',
    'get_json',
    'is_right',
    'make_load',
    'post_json',
    'read_deployment',
    'run_chaos',
    'run_load',
    'send',
    'settle',
    'smallest_deployment',
    'two_zone_deployment',
    'wait_until',
)
