"""Settings of each program; names of durations end in their unit."""

from __future__ import annotations

from typing import Any

import attrs

PORT_RANGE = (0, 65535)
MAX_THREADS = 4096


@attrs.frozen
class Range:
    """Allowed range of a number, with inclusive bounds."""

    low: float
    high: float


def bounded(low: float, high: float, default: Any = attrs.NOTHING) -> Any:
    """Return an attrs field with a range that the loader checks."""
    return attrs.field(default=default, metadata={'range': Range(low, high)})


def one_of(*allowed: str) -> Any:
    """Return an attrs field for one of several strings; default: the first."""
    return attrs.field(default=allowed[0], metadata={'one_of': allowed})


@attrs.frozen
class InstanceSettings:
    """Identity and listening addresses of an instance.

    Attributes:
        name: Name in the platform's list of instances.
        availability_zone: Availability zone of the instance.
        host: IP address that the instance listens on.
        admin_port: Port of the administration API.
        incarnation: Identifier of this start of the process, assigned by the
            platform; if empty, the process generates one.
    """

    name: str
    availability_zone: str
    host: str
    admin_port: int = bounded(*PORT_RANGE)
    incarnation: str = ''


@attrs.frozen
class PlatformSettings:
    """URLs of the platform's services.

    Attributes:
        log_url: URL of the log.
        list_url: URL of the list of instances.
        weights_url: URL of the weights service; may be empty.
    """

    log_url: str
    list_url: str
    weights_url: str = ''


@attrs.frozen
class TelemetrySettings:
    """Output of logs and metrics.

    Attributes:
        log_level: Lowest level of the log records that are written.
        log_json: Whether log records are written as JSON.
        statsd_host: Host of the statsd collector; empty to send no metrics.
        statsd_port: UDP port of the statsd collector.
        events_kept: Maximum number of timeline events in memory.
    """

    log_level: str = 'INFO'
    log_json: bool = False
    statsd_host: str = ''
    statsd_port: int = bounded(*PORT_RANGE, default=8125)
    events_kept: int = bounded(100, 1_000_000, default=20_000)


@attrs.frozen
class EvidenceSettings:
    """How long data from the log and the platform's list stays valid.

    Attributes:
        key_staleness_seconds: Time after the last update from the log or a
            peer from which API keys are rejected.
        share_evidence_seconds: Time after the last evidence of ownership
            from which a holder grants no more tokens from its shares.
        list_lag_seconds: Upper bound of the lag of the platform's list.
    """

    key_staleness_seconds: float = bounded(1, 600, default=10)
    share_evidence_seconds: float = bounded(0.5, 60, default=5)
    list_lag_seconds: float = bounded(0, 60, default=3)


@attrs.frozen
class CallerSettings:
    """Port and limits of the caller API.

    Attributes:
        port: Port that callers connect to.
        max_open_requests: Maximum number of concurrent requests.
        max_body_bytes: Maximum size of a request body.
        max_header_bytes: Maximum size of the headers of a request.
        body_seconds: Time without activity after which the connection of a
            request is closed.
    """

    port: int = bounded(*PORT_RANGE)
    max_open_requests: int = bounded(1, MAX_THREADS, default=256)
    max_body_bytes: int = bounded(1024, 10_485_760, default=8_388_608)
    max_header_bytes: int = bounded(1024, 1_048_576, default=65_536)
    body_seconds: float = bounded(0.1, 600, default=30)


@attrs.frozen
class RoutingSettings:
    """Routing policy of an entry.

    Attributes:
        policy: Name of the routing policy.
        max_attempts: Maximum number of attempts for a request.
        progress_seconds: Time without progress after which an attempt fails.
        subset: Number of agents in the entry's subset of each pool.
        queue_seconds: Queue time-out of a request whose upstream failed,
            unless its latency target allows a longer time.
    """

    policy: str = one_of(
        'gypsumrelay',
        'round_robin',
        'least_outstanding',
        'prefix_affinity',
    )
    max_attempts: int = bounded(1, 20, default=4)
    progress_seconds: float = bounded(0.1, 60, default=3)
    subset: int = bounded(2, 10_000, default=64)
    queue_seconds: float = bounded(0.1, 600, default=10)


@attrs.frozen
class EntrySettings:
    """Settings of `gypsumrelay entry`."""

    instance: InstanceSettings
    platform: PlatformSettings
    shared_secret: str
    caller: CallerSettings
    routing: RoutingSettings = RoutingSettings()
    evidence: EvidenceSettings = EvidenceSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
    shutdown_seconds: float = bounded(0, 3600, default=60)
    committers: int = bounded(1, 1000, default=3)


@attrs.frozen
class DispatchSettings:
    """Scheduling policy of the coordinator, which places requests.

    Attributes:
        prefill_backlog_ms: Maximum estimated prefill work at an upstream;
            further requests stay in the queue, where they can be reordered.
        prefill_tokens_per_ms: Initial estimate of the prefill rate, replaced
            by measurements.
        memory_share: Maximum fraction of an engine's memory that its
            requests may need at once according to the forecast.
        cost_delay_seconds: Time by which a request of mean cost is ranked
            behind a request without cost.
        urgent_seconds: Remaining time to its latency objective below which a
            request with a prompt is urgent: it is served first, and capacity
            is reserved for it.
        prefill_weight: Weight of the prefill pool's load relative to that of
            the decode pool when upstreams are divided between the pools; a
            queued prompt costs less than a shortage of memory.
        usual_prompt_tokens: Initial estimate of a request's prompt tokens,
            replaced by measurements; 0 if unknown.
        usual_output_tokens: Initial estimate of a request's output tokens,
            replaced by measurements; 0 if unknown.
        queue_factor: Maximum queue time as a multiple of the time to the
            latency objective.
        queue_share: Maximum queue time as a fraction of the time to the
            deadline.
        repeat_ratio: Retries allowed per first attempt at a service.
        repeat_slack: Retries allowed for a service in addition to this ratio.
        repeat_window_seconds: Window in which attempts and retries are
            counted.
        suspend_seconds: Initial suspension of an upstream that timed out or
            was unreachable; doubled after each further failure.
        max_suspend_seconds: Maximum suspension of an upstream.
        blame_after: Number of upstream crashes after which requests with the
            same content, or the same part of a prompt, are rejected.
        blame_after_success: The same number for a content or part that an
            upstream has completed before.
        blame_trial_seconds: Time after the last of these crashes until one
            request with the content or part may run again; doubled with each
            further crash.
        blame_seconds: Time for which crashes are attributed.
        overdraft_tokens: Tokens that a client account may use beyond its
            rate and burst while capacity is free.
        lapse_seconds: Time for which an upstream that left the list during
            an outage of the store is still used after the outage.
        learn_performance: Whether measurements of each upstream determine
            its limit on concurrent work and the choice between upstreams.
        learn_transfers: Whether measured transfer times of KV caches
            determine the choice of decode upstreams.
        queue_policy: Order of the queue: `strict` by rank and urgency, or
            `weighted` by what waiting costs each caller.
    """

    prefill_backlog_ms: float = bounded(1, 60_000, default=200)
    prefill_tokens_per_ms: float = bounded(0.01, 100_000, default=30)
    memory_share: float = bounded(0.1, 1, default=0.95)
    cost_delay_seconds: float = bounded(0, 60, default=0.6)
    urgent_seconds: float = bounded(0, 60, default=0.25)
    prefill_weight: float = bounded(0.01, 100, default=1)
    usual_prompt_tokens: int = bounded(0, 10_000_000, default=0)
    usual_output_tokens: int = bounded(0, 10_000_000, default=0)
    queue_factor: float = bounded(0, 100, default=3)
    queue_share: float = bounded(0, 1, default=0.5)
    repeat_ratio: float = bounded(0, 10, default=0.15)
    repeat_slack: float = bounded(0, 100_000, default=10)
    repeat_window_seconds: float = bounded(0.1, 600, default=10)
    suspend_seconds: float = bounded(0, 60, default=0.5)
    max_suspend_seconds: float = bounded(0, 600, default=4)
    blame_after: int = bounded(1, 100, default=3)
    blame_after_success: int = bounded(1, 100, default=5)
    blame_trial_seconds: float = bounded(0.1, 3600, default=10)
    blame_seconds: float = bounded(1, 86_400, default=120)
    overdraft_tokens: float = bounded(0, 1_000_000_000, default=0)
    lapse_seconds: float = bounded(0, 60, default=2.5)
    learn_performance: bool = False
    learn_transfers: bool = False
    queue_policy: str = one_of('strict', 'weighted')


@attrs.frozen
class RolloutSettings:
    """Bounds of a roll-out of a new software version.

    Attributes:
        expose_share: Maximum share of a service's requests, from the order to
            its deadline, that a bad version may get.
        expose_slack: Requests that it may get in addition.
        rollback_ms: Time in milliseconds after its 50th bad answer from which
            a bad version gets no request.
        enabled: Whether orders of roll-outs are carried out. If so, a version
            that appears later gets requests only by an order.
    """

    expose_share: float = bounded(0, 1, default=0.1)
    expose_slack: float = bounded(0, 1_000_000, default=0)
    rollback_ms: float = bounded(100, 600_000, default=5000)
    enabled: bool = False


@attrs.frozen
class CapacitySettings:
    """Protection of an instance against more load than it can serve.

    Attributes:
        ready_by_load: Whether an instance near its limits fails readiness
            probes, so that it gets fewer new connections.
        memory_mb: Memory of the instance in MB, which bounds what bodies of
            requests and unsent answers hold; 0 if unknown.
    """

    ready_by_load: bool = False
    memory_mb: float = bounded(0, 100_000_000, default=0)


@attrs.frozen
class RelayInstance:
    """Identity and listening addresses of a relay.

    Attributes:
        name: Name of the instance.
        availability_zone: Availability zone of the instance.
        caller_address: `host:port` for callers.
        ready_address: `host:port` for the load balancer's readiness probe.
        host: IP address for links and metrics.
        link_port: Port of the links (TCP) and of the heartbeats (UDP).
        metrics_port: Port of the metrics page.
        seeds: Addresses of some instances; only the hosts are used, because
            all instances have the same link port.
        processor_cores: Number of processor cores available to the instance;
            may be fractional.
        link_mbps: Bandwidth of the instance's network link in Mbit/s.
    """

    name: str
    availability_zone: str
    caller_address: str
    ready_address: str
    host: str
    link_port: int = bounded(1, 65535)
    metrics_port: int = bounded(1, 65535)
    seeds: tuple[str, ...] = ()
    processor_cores: float = bounded(0.01, 1024, default=1)
    link_mbps: float = bounded(0.1, 1_000_000, default=1000)


@attrs.frozen
class StoreSettings:
    """Access to the platform's store.

    Attributes:
        address: `host:port` of the store.
        list_poll_seconds: Interval at which the coordinator reads the list
            of upstreams.
        idle_poll_seconds: Interval at which the next candidates for
            coordinator read the list; all other instances read it less
            often, depending on the size of the fleet.
        watch_seconds: Longest wait of one read of the configuration; longer
            for instances other than the coordinator in a large fleet.
    """

    address: str
    list_poll_seconds: float = bounded(0.05, 60, default=0.4)
    idle_poll_seconds: float = bounded(0.05, 60, default=1.5)
    watch_seconds: float = bounded(0.1, 30, default=4)


@attrs.frozen
class ShutdownSettings:
    """Time limits of a graceful shutdown, counted from the signal.

    Attributes:
        accept_seconds: Time for which new connections are still accepted, so
            that the load balancer can detect the shutdown. Afterwards, idle
            connections are closed.
        total_seconds: Time after which the process exits at the latest.
    """

    accept_seconds: float = bounded(0, 600, default=2.6)
    total_seconds: float = bounded(0, 3600, default=7.5)


@attrs.frozen
class RelaySettings:
    """Settings of `gypsumrelay relay`."""

    instance: RelayInstance
    store: StoreSettings
    shared_secret: str
    dispatch: DispatchSettings = DispatchSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
    max_open_requests: int = bounded(1, MAX_THREADS, default=128)
    rollouts: RolloutSettings = RolloutSettings()
    capacity: CapacitySettings = CapacitySettings()


@attrs.frozen
class UpstreamSettings:
    """The upstream that an agent controls.

    Attributes:
        name: Name of the upstream instance.
        kind: `prefill`, `decode` or `service`.
        serves: Name of the model or of the plain service.
        url: URL of the upstream's HTTP interface.
        slots: Maximum number of concurrent requests.
        pieces: Number of KV cache blocks of the engine.
        piece_tokens: Tokens per KV cache block.
        checks_fencing: Whether the upstream rejects commands with an
            outdated fencing token.
        cold_limit: Maximum number of concurrent requests in cold start.
    """

    name: str
    kind: str
    serves: str
    url: str
    slots: int = bounded(1, 10_000, default=20)
    pieces: int = bounded(1, 10_000_000, default=200)
    piece_tokens: int = bounded(1, 1_000_000, default=2000)
    checks_fencing: bool = True
    cold_limit: int = bounded(1, 10_000, default=1)


@attrs.frozen
class AgentSettings:
    """Settings of `gypsumrelay agent`.

    Attributes:
        grace_seconds: Time for which a run with an idempotency key continues
            after the link of its entry was lost.
        committers: Number of agents that record claims for idempotency keys;
            must be the same for all entries and agents of a deployment.
        stored_response_bytes: Memory limit for responses to requests with an
            idempotency key.
        stored_response_seconds: Retention period of such a response.
    """

    instance: InstanceSettings
    platform: PlatformSettings
    shared_secret: str
    upstream: UpstreamSettings
    link_port: int = bounded(*PORT_RANGE)
    evidence: EvidenceSettings = EvidenceSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
    shutdown_seconds: float = bounded(0, 3600, default=60)
    grace_seconds: float = bounded(0, 3600, default=20)
    claim_seconds: float = bounded(60, 604_800, default=86_400)
    committers: int = bounded(1, 1000, default=3)
    stored_response_bytes: int = bounded(
        65_536,
        17_179_869_184,
        default=268_435_456,
    )
    stored_response_seconds: float = bounded(1, 604_800, default=3600)


@attrs.frozen
class OperatorSettings:
    """Settings of the operator commands."""

    platform: PlatformSettings
