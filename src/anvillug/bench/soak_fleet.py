"""Processes and stand-ins of a soak: a store, and hosts with a node and a backend server each."""

from __future__ import annotations

import json
import os
import pathlib
import random
import re
import signal
from collections.abc import Sequence
from typing import Any

from twisted.internet import defer, task

from anvillug import clock, event_log
from anvillug.bench import processes, soak_records, soak_traffic
from anvillug.standin import platform_store

MEMORY_LIMIT_MB = 300
"""Memory of a node process; one that exceeds it is killed."""
GRACE_S = 6.0
"""Time from SIGTERM to SIGKILL."""

_PORTS_PER_HOST = 7
_ZONES = 3
_RESTART_S = 0.5
_WATCH_S = 0.1
_BACK_S = 2.0
_ORDERS = 'keyed.op'
_LEAVE_RETRY_S = 0.5
_LEAVE_TRIES = 5
_SERVED_AFTER_LEAVE_S = 4.0
_ANONYMOUS_MEMORY = re.compile(r'^RssAnon:\s+(\d+) kB', re.MULTILINE)
_KB_PER_MB = 1024
_STATUS_OK = 200


class Host:
    """One host: a node process, and the backend server beside it.

    Args:
        fleet: The fleet.
        number: Number of the host.
        service: Service of its backend server.
    """

    def __init__(self, fleet: Fleet, number: int, service: str) -> None:
        self.number = number
        """Number of the host."""
        self.service = service
        """Service of its backend server."""
        self.node: processes.ChildProcess | None = None
        """Node process."""
        self.expected_end = False
        """Whether the end of the node process was caused from outside."""
        self.outputs: list[str] = []
        """Output of the node processes that have ended."""
        self._fleet = fleet
        self._ip = f'127.{fleet.network}.0.{number + 11}'
        self._boots = 0
        self._backend: soak_traffic.Backend | None = None
        self._port: Any = None
        self._heartbeats: task.LoopingCall | None = None

    def address(self, index: int) -> str:
        """Return the address with a port of the host, by the order of `_settings`."""
        return f'{self._ip}:{self._fleet.ports[index]}'

    def start_node(self) -> None:
        """Start the node process as the deploy file does."""
        path = self._fleet.folder / f'host-{self.number}.json'
        path.write_text(json.dumps(self._settings()))
        self.expected_end = False
        self.node = processes.ChildProcess(('mesh', str(path)))

    def start_backend(self) -> None:
        """Start a new instance of the backend server."""
        fleet = self._fleet
        self._boots += 1
        self._backend = soak_traffic.Backend(
            fleet.reactor,
            self.number,
            self.service,
            f'i-{self.number}-{self._boots}',
            fleet.slots,
            int(clock.SystemClock().wall()),
            fleet.records,
            fleet.work_ms_by_route,
            fleet.rng,
        )
        self._port = self._backend.serve(self.address(0))
        self._heartbeats = self._backend.start_heartbeats(self.address(4))

    async def replace_backend(self) -> None:
        """Let the backend server leave, and start another instance at its address."""
        backend = self._backend
        if backend.left_at is not None or backend.state != 'ready':
            return
        if self._fleet.rng.choice((True, False)):
            backend.state = 'draining'
            await backend.send_heartbeat(self.address(4))
        self._heartbeats.stop()
        for _ in range(_LEAVE_TRIES):
            if await backend.deregister(self.address(4)) == _STATUS_OK:
                backend.left_at = backend.time.now()
                break
            await task.deferLater(self._fleet.reactor, _LEAVE_RETRY_S)
        await task.deferLater(self._fleet.reactor, _SERVED_AFTER_LEAVE_S)
        await defer.maybeDeferred(self._port.stopListening)
        await task.deferLater(self._fleet.reactor, _BACK_S)
        if not self._fleet.stopped:
            self.start_backend()

    def stop_backend(self) -> None:
        """Stop the heartbeats and the listener."""
        if self._heartbeats.running:
            self._heartbeats.stop()
        self._port.stopListening()

    def memory_mb(self) -> float:
        """Return the private memory of the node process."""
        try:
            status = pathlib.Path(f'/proc/{self.node.pid}/status').read_text()
        except OSError:
            return 0.0
        found = _ANONYMOUS_MEMORY.search(status)
        return int(found.group(1)) / _KB_PER_MB if found else 0.0

    def _settings(self) -> dict[str, object]:
        app, *listeners = (self.address(index) for index in range(5))
        names = ('Inbound', 'Outbound', 'ReadyAddr', 'Control')
        return {
            'Self': {
                'NodeName': f'host-{self.number}',
                'Ip': self._ip,
                'Zone': f'zone-{self.number % _ZONES}',
                'AppAddr': app,
                'Service': self.service,
            },
            'Network': {
                'Listen': dict(zip(names, listeners, strict=True)),
                'InternalPorts': self._fleet.ports[5:],
            },
            'Platform': {'Platform': {'Address': self._fleet.store_address}},
            'Terms': {'Bounds': {'GraceS': GRACE_S}},
        }


class Fleet:
    """All processes and stand-ins of a soak.

    Args:
        reactor: Twisted reactor.
        folder: Folder for the settings files.
        services: Service of the backend server of each host.
        slots: Slots of each backend server.
        classes: Traffic table.
        records: Receives what is seen.
        rng: Source of random choices.
    """

    def __init__(  # noqa: WPS211 - all describe the fleet
        self,
        reactor: Any,
        folder: pathlib.Path,
        services: Sequence[str],
        slots: int,
        classes: Sequence[soak_traffic.RequestClass],
        records: soak_records.Records,
        rng: random.Random,
    ) -> None:
        self.reactor = reactor
        self.folder = folder
        self.slots = slots
        self.records = records
        self.rng = rng
        self.stopped = False
        """Whether the soak is over."""
        self.work_ms_by_route = {each.route: each.work_ms for each in classes}
        self.network = 20 + os.getpid() % 200
        self.ports = [
            int(address.rpartition(':')[2]) for address in processes.free_addresses(_PORTS_PER_HOST)
        ]
        self.store = platform_store.PlatformStore(reactor)
        self.store_address = ''
        self.hosts = [Host(self, number, service) for number, service in enumerate(services)]
        self._classes = classes
        self._version = 0
        self._time = clock.SystemClock()
        self._store_port: Any = None
        self._watch = task.LoopingCall(self._watch_nodes)

    def start(self) -> None:
        """Start everything."""
        self._store_port = self.reactor.listenTCP(0, self.store.site(), interface='127.0.0.1')
        self.store_address = f'127.0.0.1:{self._store_port.getHost().port}'
        self.change_config()
        for host in self.hosts:
            host.start_backend()
            host.start_node()
        self._watch.start(_WATCH_S)
        # Also ends the nodes when the soak is interrupted.
        self.reactor.addSystemEventTrigger('before', 'shutdown', self.stop)

    def stop(self) -> None:
        """End all processes that this fleet has started, and its listeners, unless it has ended."""
        if self.stopped:
            return
        self.stopped = True
        self._watch.stop()
        for host in self.hosts:
            if host.node is not None:
                host.node.kill()
                host.outputs.append(host.node.output())
            host.stop_backend()
        self._store_port.stopListening()

    def change_config(self) -> None:
        """Write the next version of the configuration, whose routes differ in one timeout."""
        self._version += 1
        self.records.configs.append(self._time.now())
        paths = [
            {
                'Name': each.route,
                'PathPrefix': f'/{each.route}/',
                'Kind': each.kind,
                'Service': each.service,
                'TimeoutMs': each.deadline_ms + self._version % 2,
                'TargetLatencyMs': each.target_ms,
                'Priority': 1,
                'MaxAttempts': 2,
            }
            for each in self._classes
        ]
        services = [
            {'Name': name, 'HealthPath': '/health', 'MaxConnections': 260, 'ColdPerS': 43}
            for name in sorted({host.service for host in self.hosts})
        ]
        limits = {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 64 << 20}
        document = {
            'Version': f'{self._version:08x}',
            'Services': services,
            'Limits': {**limits, 'HeaderTimeoutMs': 3000, 'IdleTimeoutMs': 15000},
            'VirtualHosts': [{'Host': soak_traffic.HOST, 'Paths': paths}],
        }
        self.store.topic(_ORDERS).append(b'config', json.dumps(document).encode())

    def terminate(self, host: Host) -> None:
        """Stop a node as planned, and kill it after the grace time."""
        if host.expected_end:
            return
        host.expected_end = True
        node = host.node
        self._disturb(host, soak_records.Disturbance.PLANNED)
        node.send_signal(signal.SIGTERM)
        self.reactor.callLater(GRACE_S, node.send_signal, signal.SIGKILL)

    def kill(self, host: Host) -> None:
        """Kill a node."""
        host.expected_end = True
        self._disturb(host)
        host.node.send_signal(signal.SIGKILL)

    def pause(self, host: Host, duration_s: float) -> None:
        """Suspend a node for a time."""
        node = host.node
        self._disturb(host)
        node.send_signal(signal.SIGSTOP)
        self.reactor.callLater(duration_s, self._resume, host, node)

    def fail_store(self, duration_s: float, faults: platform_store.StoreFaults) -> None:
        """Let the store fail for a time."""
        self.store.faults = faults
        sound = platform_store.StoreFaults()
        self.reactor.callLater(duration_s, setattr, self.store, 'faults', sound)

    def _resume(self, host: Host, node: processes.ChildProcess) -> None:
        self._disturb(host)
        node.send_signal(signal.SIGCONT)

    def _disturb(
        self, host: Host, kind: soak_records.Disturbance = soak_records.Disturbance.UNPLANNED
    ) -> None:
        self.records.disturb(host.number, self._time.now(), kind)

    def _watch_nodes(self) -> None:
        for host in self.hosts:
            if host.node is None:
                continue
            if not host.node.running:
                self._ended(host)
                continue
            memory_mb = host.memory_mb()
            self.records.peak_mb = max(self.records.peak_mb, memory_mb)
            if memory_mb > MEMORY_LIMIT_MB:
                self._own_end(f'host-{host.number} has {memory_mb:.0f} MB')
                host.expected_end = True
                host.node.send_signal(signal.SIGKILL)

    def _ended(self, host: Host) -> None:
        """Record the end of a node process, and start it again after a short delay."""
        if not host.expected_end:
            self._own_end(f'host-{host.number} ended by itself')
        host.outputs.append(host.node.output())
        host.node = None
        self.reactor.callLater(_RESTART_S, self._restart, host)

    def _restart(self, host: Host) -> None:
        if not self.stopped:
            if host.expected_end:
                self._disturb(host, soak_records.Disturbance.START)
            host.start_node()

    def _own_end(self, reason: str) -> None:
        """Record an end that nothing from outside has caused; it excuses no lost request."""
        event_log.warn('node_ended', reason=reason)
        self.records.own_ends.append(reason)
