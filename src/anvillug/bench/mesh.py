"""Runs a mesh of processes on this machine: platform log, nodes, backend servers and links."""

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
    """The mesh did not reach an expected state in time."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostPlan:
    """Processes to start for one host, and their settings."""

    host_id: str
    """Id of the host."""
    zone: str
    """Availability zone."""
    service: str
    """Service of the backend server; empty for a host without a backend server."""
    version: str = 'v1'
    """Version of the backend server."""
    backend_options: Mapping[str, object] = dataclasses.field(default_factory=dict)
    """Additional options of `standin backend-server`; names are written with dashes."""
    link_delay_ms: float | None = None
    """One-way delay of the link in front of the peer address; None for no link."""
    node_settings: Mapping[str, object] = dataclasses.field(default_factory=dict)
    """Additional settings of the node."""
    region: str = REGION
    """Region of the zone."""
    ip: str = '127.0.0.1'
    """IP address on which the node listens."""


@dataclasses.dataclass(slots=True)
class Host:
    """Processes and addresses of one host."""

    plan: HostPlan
    """Plan by which the processes were started."""
    caller_address: str
    """Address at which the node accepts calls."""
    operator_address: str
    """Address of the node's operator API."""
    settings_file: pathlib.Path
    """Settings file of the node."""
    node: processes.ChildProcess
    """Process of the node."""
    backend_address: str = ''
    """Address of the backend server; empty until it is known."""
    backend: processes.ChildProcess | None = None
    """Process of the backend server."""
    link_control_address: str = ''
    """Control address of the link; empty without a link."""


class Mesh:
    """Starts the processes of a mesh, sends requests to them and waits for states.

    Args:
        reactor: Twisted reactor.
        group: List of `processes.group`, which stops the processes.
    """

    def __init__(self, reactor: Any, group: list[processes.ChildProcess]) -> None:
        self.reactor = reactor
        self.by_id: dict[str, Host] = {}
        """Hosts by id."""
        self.log_address = ''
        """Address of the platform log."""
        self.log: processes.ChildProcess | None = None
        """Process of the platform log."""
        self._group = group
        self._directory = tempfile.TemporaryDirectory(prefix='anvillug-bench-')

    def start_log(self, **options: object) -> None:
        """Start the platform log.

        Args:
            **options: Options of `standin log`; names are written with underscores.
        """
        self.log = self._start_standin('log', options)
        self.log_address = self.log.wait_for_event()['address']

    def add_hosts(self, plans: list[HostPlan]) -> None:
        """Start the nodes and the backend servers of hosts in parallel."""
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
        """Start the backend server of a host without waiting until it is listening.

        Args:
            host: The host.
            **changes: Options that replace those of the plan; names with underscores.
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
        host.backend = self._start_standin('backend-server', options)

    def restart_node(self, host: Host) -> None:
        """Restart the node of a host with the same settings."""
        host.node = self._start_process(['node', str(host.settings_file)])
        host.node.wait_for_event('node_started')

    async def publish_patch(self, base: int, change: object) -> publisher.Publication:
        """Publish a configuration patch.

        Args:
            base: Configuration number that the patch is written against.
            change: JSON merge patch.

        Returns:
            The result of the publication.
        """
        client = log_client.HttpLogClient(self.reactor, self.log_address)
        new_patch = publisher.Patch(ids.ConfigNumber(base), change, REGION)
        return await publisher.Publisher(client, self.reactor).publish(new_patch)

    async def get(self, address: str, path: str) -> Any:
        """Send a GET request and return the JSON response."""
        url = f'http://{address}{path}'
        response = await treq.get(url, reactor=self.reactor, timeout=_REQUEST_TIMEOUT_S)
        return await treq.json_content(response)

    async def post(self, address: str, path: str, data: object) -> Any:
        """Send a POST request with JSON and return the JSON response."""
        url = f'http://{address}{path}'
        response = await treq.post(url, json=data, reactor=self.reactor, timeout=_REQUEST_TIMEOUT_S)
        return await treq.json_content(response)

    async def state(self, host_id: str) -> Any:
        """Return the state that a node reports at `/state`."""
        return await self.get(self.by_id[host_id].operator_address, '/state')

    async def set_backend_faults(self, host_id: str, **faults: object) -> None:
        """Set the injected faults of a backend server."""
        await self.post(self.by_id[host_id].backend_address, '/control/faults', faults)

    async def set_link_faults(self, host_id: str, **faults: object) -> None:
        """Set the injected faults of the link in front of a node."""
        await self.post(self.by_id[host_id].link_control_address, '/control/faults', faults)

    async def set_log_faults(self, **faults: object) -> None:
        """Set the injected faults of the platform log."""
        await self.post(self.log_address, '/control/faults', faults)

    async def wait_until(
        self,
        what: str,
        holds: Callable[[], Awaitable[bool]],
        timeout_ms: float = 15_000,
    ) -> float:
        """Wait until a condition holds.

        Args:
            what: Description of the condition for the error message.
            holds: Returns whether the condition holds.
            timeout_ms: Maximum time to wait.

        Returns:
            Time waited in milliseconds.

        Raises:
            MeshError: If the condition does not hold in time.
        """
        started = self.reactor.seconds()
        while not await holds():
            if self.reactor.seconds() - started > clock.to_seconds(timeout_ms):
                raise MeshError(f'{what}: condition not met within {timeout_ms:.0f} ms')
            await self.sleep(_POLL_S)
        return (self.reactor.seconds() - started) * 1000

    async def wait_until_serving(self, count: int, timeout_ms: float = 15_000) -> None:
        """Wait until every node lists `count` hosts that serve a service."""

        async def all_hosts_listed() -> bool:
            for host_id in self.by_id:
                services = (await self.state(host_id))['members']['services']
                if sum(host_count for name, host_count in services.items() if name) < count:
                    return False
            return True

        await self.wait_until(f'{count} hosts are serving', all_hosts_listed, timeout_ms)

    async def wait_until_config_in_effect(self, number: int, timeout_ms: float = 15_000) -> float:
        """Wait until a configuration number is in effect on every running node."""

        async def is_in_effect() -> bool:
            numbers = [
                (await self.get(host.operator_address, '/config'))['number']
                for host in self.by_id.values()
                if host.node.running
            ]
            return min(numbers) >= number

        return await self.wait_until(f'configuration {number} in effect', is_in_effect, timeout_ms)

    def pids_by_name(self) -> dict[str, int]:
        """Return the process ids of nodes and backend servers by role and host id."""
        pids = {f'node {name}': host.node.pid for name, host in self.by_id.items()}
        for name, host in self.by_id.items():
            if host.backend is not None:
                pids[f'backend server {name}'] = host.backend.pid
        return pids

    async def sleep(self, seconds: float) -> None:
        """Wait without blocking the reactor."""
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
        link_control_address = ''
        if plan.link_delay_ms is not None:
            options = {'target': peer, 'delay-ms': plan.link_delay_ms}
            link_event = self._start_standin('link', options).wait_for_event()
            data['advertised_peer_address'] = link_event['address']
            link_control_address = link_event['control_address']
        settings_file = pathlib.Path(self._directory.name) / f'{plan.host_id}.json'
        settings_file.write_text(json.dumps(data))
        node = self._start_process(['node', str(settings_file)])
        host = Host(
            plan, caller, operator, settings_file, node, link_control_address=link_control_address
        )
        self.by_id[plan.host_id] = host
        return host

    def _start_standin(self, kind: str, options: Mapping[str, object]) -> processes.ChildProcess:
        arguments = ['standin', kind]
        for name, value in options.items():
            arguments.append(f'--{name.replace("_", "-")}')
            if value is not True:
                arguments.append(str(value))
        return self._start_process(arguments)

    def _start_process(self, arguments: list[str]) -> processes.ChildProcess:
        process = processes.ChildProcess(arguments)
        self._group.append(process)
        return process
