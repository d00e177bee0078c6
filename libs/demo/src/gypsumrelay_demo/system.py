"""Demonstration system that runs as separate processes on loopback."""

from __future__ import annotations

import json
import secrets
import signal
import subprocess
import sys
from collections.abc import Collection
from functools import partial
from pathlib import Path
from typing import Any, Final

import attrs
import urllib3
from gypsumrelay_clock import monotonic
from gypsumrelay_configuration import (
    ConfigurationPublished,
    ContractPut,
    KeyGranted,
    Record,
    digest_of_key,
    new_secret,
)
from gypsumrelay_platform import LogClient

from gypsumrelay_demo.deployment import Deployment, EntryPlace, UpstreamPlace
from gypsumrelay_demo.processes import (
    HOST,
    START_TIMEOUT_SECONDS,
    ManagedProcess,
    accepts,
    free_port,
    get_json,
    post_json,
    wait_until,
)

STOP_TIMEOUT_SECONDS: Final = 15.0
COMMAND_MODULE: Final = 'gypsumrelay_command'


@attrs.define
class Node:
    """Process of the system with its addresses.

    Attributes:
        process: The managed process.
        availability_zone: Its availability zone.
        url: URL for requests; empty for agents.
        admin_url: URL of the administration API; empty for simulated services.
        listed: Entry of the process in the platform's instance list.
        settings: Content of the settings file.
        settings_path: Path of the settings file.
    """

    process: ManagedProcess
    availability_zone: str
    url: str = ''
    admin_url: str = ''
    listed: dict[str, Any] = attrs.field(factory=dict)
    settings: dict[str, Any] = attrs.field(factory=dict)
    settings_path: Path = Path()


@attrs.define
class CallerKey:
    """API key of a client account in the demonstration."""

    client_account: str
    key_id: str
    secret: str


@attrs.define
class System:
    """All processes of a running deployment.

    Attributes:
        deployment: The deployment.
        folder: Directory of settings and log files.
        platform: Simulated platform services by kind.
        upstreams: Simulated upstreams by name.
        agents: Agents by name.
        entries: Entries by name.
        keys: API keys by client account.
        secret: Secret that entries and agents share.
        pool: HTTP connections to the processes.
    """

    deployment: Deployment
    folder: Path
    platform: dict[str, Node] = attrs.field(factory=dict)
    upstreams: dict[str, Node] = attrs.field(factory=dict)
    agents: dict[str, Node] = attrs.field(factory=dict)
    entries: dict[str, Node] = attrs.field(factory=dict)
    keys: dict[str, CallerKey] = attrs.field(factory=dict)
    secret: str = attrs.field(factory=lambda: secrets.token_hex(16))
    pool: urllib3.PoolManager = attrs.field(
        factory=lambda: urllib3.PoolManager(maxsize=32, block=False),
    )

    def start(self) -> None:
        """Start all processes and wait until the entries are ready."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.start_platform()
        for upstream_place in self.deployment.upstreams:
            self.start_upstream(upstream_place)
        self.wait_for_stand_ins()
        self.publish()
        for place in self.deployment.upstreams:
            self.add_agent(place)
        for entry_place in self.deployment.entries:
            self.add_entry(entry_place)
        self.wait_until_serving()

    def start_platform(self) -> None:
        """Start the simulated platform services."""
        for kind in ('log', 'instances', 'weights'):
            options = self.deployment.platform.get(kind, {})
            self.platform[kind] = self.start_stand_in(kind, kind, options, '')

    def start_upstream(self, place: UpstreamPlace) -> None:
        """Start one simulated upstream."""
        options = dict(self.deployment.service)
        kind = 'service'
        if place.kind != 'service':
            kind = 'engine'
            options = self.deployment.engine | {'kind': place.kind}
        self.upstreams[place.name] = self.start_stand_in(
            place.name,
            kind,
            options,
            place.availability_zone,
        )

    def start_stand_in(
        self,
        name: str,
        kind: str,
        options: dict[str, Any],
        availability_zone: str,
    ) -> Node:
        """Start one simulated service and return its node."""
        port = free_port()
        arguments = ['-m', 'gypsumrelay_standins', kind, str(port)]
        process = ManagedProcess(
            name,
            [*arguments, '--options', json.dumps(options)],
            self.folder / f'{name}.log',
        )
        process.start()
        return Node(process, availability_zone, f'http://{HOST}:{port}')

    def wait_for_stand_ins(self) -> None:
        """Wait until all simulated services accept connections."""
        nodes = [*self.platform.values(), *self.upstreams.values()]
        for node in nodes:
            wait_until(partial(accepts, node.url), START_TIMEOUT_SECONDS)

    def publish(self) -> None:
        """Publish the configuration, and a contract and key per account."""
        records: list[Record] = [
            ConfigurationPublished(
                secrets.token_hex(8),
                0,
                self.deployment.configuration,
            ),
        ]
        for contract in self.deployment.contracts:
            account = contract.client_account
            key = CallerKey(account, f'{account}-key', new_secret())
            self.keys[account] = key
            digest = digest_of_key(key.secret)
            records.extend(
                (
                    ContractPut(secrets.token_hex(8), 0, contract),
                    KeyGranted(
                        secrets.token_hex(8),
                        key.key_id,
                        account,
                        digest,
                    ),
                ),
            )
        append_result = LogClient(self.platform['log'].url).append(records)
        if not isinstance(append_result, int):
            raise RuntimeError(
                f'log rejected the configuration: {append_result}',
            )

    def add_agent(self, place: UpstreamPlace) -> None:
        """Configure and start an agent and add it to the instance list."""
        link_port = free_port()
        admin_port = free_port()
        name = f'agent-{place.name}'
        settings = {
            **self.common_settings(name, place.availability_zone, admin_port),
            'link_port': link_port,
            'upstream': {
                'name': place.name,
                'kind': place.kind,
                'serves': place.serves,
                'url': self.upstreams[place.name].url,
                **self.engine_capacities(),
            },
            **self.deployment.agent_settings,
        }
        node = self.new_node('agent', name, settings, admin_port)
        node.availability_zone = place.availability_zone
        node.listed = {
            **self.instance_entry(node, 'agent', link_port, admin_port),
            'labels': {
                'upstream': place.name,
                'kind': place.kind,
                'serves': place.serves,
            },
        }
        self.agents[name] = node
        self.start_node(node)

    def add_entry(self, place: EntryPlace) -> None:
        """Configure and start an entry and add it to the instance list."""
        port = free_port()
        admin_port = free_port()
        settings = {
            **self.common_settings(
                place.name,
                place.availability_zone,
                admin_port,
            ),
            'caller': {'port': port},
            **self.deployment.entry_settings,
        }
        settings['caller'] = settings['caller'] | {'port': port}
        node = self.new_node('entry', place.name, settings, admin_port)
        node.availability_zone = place.availability_zone
        node.url = f'http://{HOST}:{port}'
        node.listed = self.instance_entry(node, 'entry', port, admin_port)
        self.entries[place.name] = node
        self.start_node(node)

    def engine_capacities(self) -> dict[str, int]:
        """Return the engine capacities that agents are configured with."""
        names = ('slots', 'pieces', 'piece_tokens')
        engine = self.deployment.engine
        return {name: engine[name] for name in names if name in engine}

    def common_settings(
        self,
        name: str,
        availability_zone: str,
        admin_port: int,
    ) -> dict[str, Any]:
        """Return the settings common to entries and agents."""
        return {
            'instance': {
                'name': name,
                'availability_zone': availability_zone,
                'host': HOST,
                'admin_port': admin_port,
            },
            'platform': self.platform_settings(),
            'shared_secret': self.secret,
        }

    def platform_settings(self) -> dict[str, str]:
        """Return the settings with the URLs of the platform services."""
        return {
            'log_url': self.platform['log'].url,
            'list_url': self.platform['instances'].url,
            'weights_url': self.platform['weights'].url,
        }

    def new_node(
        self,
        role: str,
        name: str,
        settings: dict[str, Any],
        admin_port: int,
    ) -> Node:
        """Return a node whose process has not been started."""
        path = self.folder / f'{name}.json'
        arguments = ['-m', COMMAND_MODULE, role, '--settings', str(path)]
        process = ManagedProcess(name, arguments, self.folder / f'{name}.log')
        return Node(
            process,
            '',
            admin_url=f'http://{HOST}:{admin_port}',
            settings=settings,
            settings_path=path,
        )

    def instance_entry(
        self,
        node: Node,
        role: str,
        port: int,
        admin_port: int,
    ) -> dict[str, Any]:
        """Return a node's entry for the platform's instance list."""
        return {
            'name': node.process.name,
            'role': role,
            'address': f'{HOST}:{port}',
            'admin_address': f'{HOST}:{admin_port}',
            'availability_zone': node.availability_zone,
            'state': 'live',
        }

    def start_node(self, node: Node) -> None:
        """Start an entry or agent as a new incarnation and report it live."""
        node.process.incarnation = secrets.token_hex(4)
        node.settings['instance']['incarnation'] = node.process.incarnation
        node.settings_path.write_text(json.dumps(node.settings, indent=2))
        incarnation = node.process.incarnation
        node.process.start()
        node.process.incarnation = incarnation
        self.list_node(node, 'live')

    def list_node(self, node: Node, state: str) -> None:
        """Set a node's state in the platform's instance list."""
        change = node.listed | {
            'state': state,
            'incarnation': node.process.incarnation,
        }
        url = f'{self.platform["instances"].url}/change'
        post_json(self.pool, url, change)

    def kill(self, node: Node) -> None:
        """Kill a node and report it gone to the platform's instance list."""
        node.process.kill()
        if node.listed:
            self.list_node(node, 'gone')

    def restart(self, node: Node) -> None:
        """Restart a killed process."""
        if node.listed:
            self.start_node(node)
        else:
            node.process.start()

    def wait_until_serving(self) -> None:
        """Wait until all entries are ready and can use all upstreams.

        Raises:
            TimeoutError: The system was not ready in time.
        """
        expected_upstreams = len(self.deployment.upstreams)
        is_serving = wait_until(
            lambda: all(
                self.known_upstreams(entry) >= expected_upstreams
                for entry in self.entries.values()
            ),
            START_TIMEOUT_SECONDS * 2,
        )
        if not is_serving:
            raise TimeoutError(
                'system was not ready in time; processes not running: '
                f'{self.stopped_processes()}',
            )

    def stopped_processes(self) -> list[str]:
        """Return the names of the processes that are not running."""
        groups = (self.platform, self.upstreams, self.agents, self.entries)
        return [
            name
            for group in groups
            for name, node in group.items()
            if not node.process.is_running()
        ]

    def known_upstreams(self, entry: Node) -> int:
        """Return the number of upstreams that an entry can use.

        The number is 0 for an entry that is not ready.
        """
        ready = get_json(self.pool, f'{entry.admin_url}/readyz')
        status = get_json(self.pool, f'{entry.admin_url}/status')
        if ready is None or status is None:
            return 0
        return int(status['usable_upstreams'])

    def run_command(self, *arguments: str) -> str:
        """Run an operator command in a process and return its output.

        Raises:
            RuntimeError: The command failed.
        """
        finished = subprocess.run(  # noqa: S603 - fixed command line
            [
                *(sys.executable, '-m', COMMAND_MODULE, *arguments),
                *('--settings', str(self.write_operator_settings())),
            ],
            capture_output=True,
            text=True,
            check=False,
        )
        if finished.returncode:
            raise RuntimeError(finished.stdout + finished.stderr)
        return finished.stdout

    def running_decode(
        self,
        tokens: int,
        besides: Collection[str] = (),
    ) -> str:
        """Wait for an active decode run and return its upstream's name.

        Args:
            tokens: Minimum number of tokens that the run has generated.
            besides: Names of upstreams to ignore.

        Raises:
            TimeoutError: No run generated the tokens in time.
        """
        found: list[str] = []

        def find_runs() -> bool:
            found.extend(
                place.name
                for place in self.deployment.upstreams
                if place.kind == 'decode' and place.name not in besides
                for run in self.runs_at(place.name)
                if run['state'] == 'running' and run['output_tokens'] >= tokens
            )
            return bool(found)

        if not wait_until(find_runs, START_TIMEOUT_SECONDS):
            raise TimeoutError('no decode run generated enough tokens in time')
        return found[0]

    def runs_at(self, upstream: str) -> list[dict[str, Any]]:
        """Return the runs recorded by an upstream, or [] if it is down."""
        url = f'{self.upstreams[upstream].url}/record'
        record = get_json(self.pool, url)
        return record['runs'] if record else []

    def stop(self) -> None:
        """Stop all processes; kill those that don't end in time."""
        groups = (self.entries, self.agents, self.upstreams, self.platform)
        for group in groups:
            for node in group.values():
                node.process.signal(signal.SIGCONT)
                node.process.signal(signal.SIGTERM)
            deadline = monotonic() + STOP_TIMEOUT_SECONDS
            for node in group.values():
                remaining = max(0.1, deadline - monotonic())
                if node.process.wait(remaining) is None:
                    node.process.kill()

    def write_operator_settings(self) -> Path:
        """Write the settings of operator commands and return the path."""
        path = self.folder / 'operator.json'
        path.write_text(json.dumps({'platform': self.platform_settings()}))
        return path.resolve()
