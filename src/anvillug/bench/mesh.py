"""A mesh of real processes on this machine: log, nodes, backend servers and links."""

from __future__ import annotations

import dataclasses
import json
import pathlib
import tempfile
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import treq
from twisted.internet import task

from anvillug import clock, ids
from anvillug.bench import processes
from anvillug.connection import log_client
from anvillug.version import publisher

REGION = 'bench'
LOG_RETENTION_MS = 600_000
_POLL_S = 0.05
_ANY_PORT = '127.0.0.1:0'
_REQUEST_TIMEOUT_S = 5


class MeshError(Exception):
    """The mesh did not reach a wanted state in time."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostPlan:
    """What runs on one host."""

    host_id: str
    """Id of the host."""
    zone: str
    """Availability zone."""
    service: str
    """Service of its backend server; empty for a host without one."""
    version: str = 'v1'
    """Version of its backend server."""
    backend_options: Mapping[str, object] = dataclasses.field(default_factory=dict)
    """Further options of `standin backend-server`, by name with dashes."""
    link_delay_ms: float | None = None
    """One-way delay of a link in front of the peer address; None for no link."""
    node_settings: Mapping[str, object] = dataclasses.field(default_factory=dict)
    """Further settings of the node."""
    region: str = REGION
    """Region of the zone."""
    ip: str = '127.0.0.1'
    """IP number of the listeners of the node."""


@dataclasses.dataclass(slots=True)
class Host:
    """Processes and addresses of one host."""

    plan: HostPlan
    """What was asked for."""
    caller_address: str
    """Takes calls."""
    operator_address: str
    """Takes operators' requests."""
    settings_file: pathlib.Path
    """Settings of the node."""
    node: processes.ChildProcess
    """The node."""
    backend_address: str = ''
    """Address of the backend server."""
    backend: processes.ChildProcess | None = None
    """The backend server."""
    link_control: str = ''
    """Control address of the link, if any."""


class Mesh:
    """Starts processes, talks to them and waits for their states.

    Args:
        reactor: Twisted reactor.
        group: List of `processes.group` that ends the processes.
    """

    def __init__(self, reactor: Any, group: list[processes.ChildProcess]) -> None:
        self.reactor = reactor
        self.by_id: dict[str, Host] = {}
        """Hosts by id."""
        self.log_address = ''
        """Address of the platform log."""
        self.log: processes.ChildProcess | None = None
        """The platform log."""
        self._group = group
        self._folder = tempfile.TemporaryDirectory(prefix='anvillug-bench-')

    def start_log(self, **options: object) -> None:
        """Start the platform log.

        Args:
            **options: Options of `standin log`, with underscores.
        """
        self.log = self._start('log', options)
        self.log_address = self.log.wait_for_event()['address']

    def add_hosts(self, plans: list[HostPlan]) -> None:
        """Start the nodes and backend servers of hosts side by side."""
        hosts = [self._start_node(plan) for plan in plans]
        for host in hosts:
            host.node.wait_for_event('node_started')
        for host in hosts:
            if host.plan.service:
                self.start_backend(host)
        for host in hosts:
            if host.backend is not None:
                host.backend_address = host.backend.wait_for_event()['address']

    def start_backend(self, host: Host, **changes: object) -> None:
        """Start the backend server of a host; its address is known once it listens.

        Args:
            host: The host.
            **changes: Options that differ from the plan, with underscores.
        """
        plan = host.plan
        options = {
            'announce-address': host.operator_address,
            'service': plan.service,
            'version': plan.version,
            'backend-id': plan.host_id,
            'address': host.backend_address or _ANY_PORT,
            **plan.backend_options,
            **{name.replace('_', '-'): value for name, value in changes.items()},
        }
        host.backend = self._start('backend-server', options)

    def restart_node(self, host: Host) -> None:
        """Start the node of a host again with the same settings."""
        host.node = self._run(['node', str(host.settings_file)])
        host.node.wait_for_event('node_started')

    async def patch(self, base: int, change: object) -> publisher.Publication:
        """Publish a configuration patch.

        Args:
            base: Configuration number that the patch is written against.
            change: JSON merge patch.

        Returns:
            What became of the patch.
        """
        client = log_client.HttpLogClient(self.reactor, self.log_address)
        wanted = publisher.Patch(ids.ConfigNumber(base), change, REGION)
        return await publisher.Publisher(client, self.reactor).publish(wanted)

    async def get(self, address: str, path: str) -> Any:
        """Return the JSON answer to a GET request."""
        url = f'http://{address}{path}'
        answer = await treq.get(url, reactor=self.reactor, timeout=_REQUEST_TIMEOUT_S)
        return await treq.json_content(answer)

    async def post(self, address: str, path: str, data: object) -> Any:
        """Return the JSON answer to a POST request with JSON."""
        url = f'http://{address}{path}'
        answer = await treq.post(url, json=data, reactor=self.reactor, timeout=_REQUEST_TIMEOUT_S)
        return await treq.json_content(answer)

    async def state(self, host_id: str) -> Any:
        """Return the state dump of a node."""
        return await self.get(self.by_id[host_id].operator_address, '/state')

    async def backend_faults(self, host_id: str, **faults: object) -> None:
        """Switch faults of a backend server."""
        await self.post(self.by_id[host_id].backend_address, '/control/faults', faults)

    async def link_faults(self, host_id: str, **faults: object) -> None:
        """Switch faults of the link in front of a node."""
        await self.post(self.by_id[host_id].link_control, '/control/faults', faults)

    async def log_faults(self, **faults: object) -> None:
        """Switch faults of the platform log."""
        await self.post(self.log_address, '/control/faults', faults)

    async def wait_until(
        self,
        what: str,
        holds: Callable[[], Awaitable[bool]],
        timeout_ms: float = 15_000,
    ) -> float:
        """Wait until a condition holds.

        Args:
            what: Name of the condition for the error.
            holds: Checks the condition.
            timeout_ms: Longest time to wait.

        Returns:
            Milliseconds waited.

        Raises:
            MeshError: If the condition did not hold in time.
        """
        started = self.reactor.seconds()
        while not await holds():
            if self.reactor.seconds() - started > clock.to_seconds(timeout_ms):
                raise MeshError(f'{what}: not so after {timeout_ms:.0f} ms')
            await self.sleep(_POLL_S)
        return (self.reactor.seconds() - started) * 1000

    async def wait_serving(self, count: int, timeout_ms: float = 15_000) -> None:
        """Wait until every node knows `count` hosts with a service."""

        async def all_known() -> bool:
            for host_id in self.by_id:
                services = (await self.state(host_id))['members']['services']
                if sum(found for name, found in services.items() if name) < count:
                    return False
            return True

        await self.wait_until(f'{count} hosts serve', all_known, timeout_ms)

    async def wait_config(self, number: int, timeout_ms: float = 15_000) -> float:
        """Wait until every node has a configuration number in effect."""

        async def in_effect() -> bool:
            numbers = [
                (await self.get(host.operator_address, '/config'))['number']
                for host in self.by_id.values()
                if host.node.running
            ]
            return min(numbers) >= number

        return await self.wait_until(f'configuration {number}', in_effect, timeout_ms)

    def pid_by_name(self) -> dict[str, int]:
        """Return the process ids of nodes and backend servers by their names."""
        pids = {f'node {name}': host.node.pid for name, host in self.by_id.items()}
        for name, host in self.by_id.items():
            if host.backend is not None:
                pids[f'backend server {name}'] = host.backend.pid
        return pids

    async def sleep(self, seconds: float) -> None:
        """Wait while the reactor runs."""
        await task.deferLater(self.reactor, seconds)

    def _start_node(self, plan: HostPlan) -> Host:
        caller, peer, control, operator = processes.free_addresses(4, plan.ip)
        data = {
            'host_id': plan.host_id,
            'region': plan.region,
            'zone': plan.zone,
            'caller_address': caller,
            'peer_address': peer,
            'control_address': control,
            'operator_address': operator,
            'log_address': self.log_address,
            'log_retention_ms': LOG_RETENTION_MS,
            'claim_lifetime_ms': LOG_RETENTION_MS // 2,
            **plan.node_settings,
        }
        link_control = ''
        if plan.link_delay_ms is not None:
            options = {'target': peer, 'delay-ms': plan.link_delay_ms}
            told = self._start('link', options).wait_for_event()
            data['advertised_peer_address'] = told['address']
            link_control = told['control_address']
        settings_file = pathlib.Path(self._folder.name) / f'{plan.host_id}.json'
        settings_file.write_text(json.dumps(data))
        node = self._run(['node', str(settings_file)])
        host = Host(plan, caller, operator, settings_file, node, link_control=link_control)
        self.by_id[plan.host_id] = host
        return host

    def _start(self, kind: str, options: Mapping[str, object]) -> processes.ChildProcess:
        words = ['standin', kind]
        for name, value in options.items():
            words.append(f'--{name.replace("_", "-")}')
            if value is not True:
                words.append(str(value))
        return self._run(words)

    def _run(self, words: list[str]) -> processes.ChildProcess:
        process = processes.ChildProcess(words)
        self._group.append(process)
        return process
