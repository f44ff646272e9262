"""Processes and stand-ins of a soak: a store, and hosts with a node and a backend server each."""

from __future__ import annotations

import json
import math
import os
import pathlib
import random
import signal
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet import task

from anvillug import clock, event_log
from anvillug.bench import (
    processes,
    soak_classes,
    soak_config,
    soak_host,
    soak_output,
    soak_records,
    usage,
)
from anvillug.standin import platform_store

MEMORY_LIMIT_MB = 300
"""Memory of a node process by default."""

_PORTS_PER_HOST = 7
_WATCH_S = 0.1
_EXEC_S = 0.001
_MAX_STANDSTILL_MS = 500
# Nodes start in groups, because a start takes half a second of a processor.
_GROUP_NODES = 12
_GROUP_S = 2.5
_NODE_MB = 50
_BYTES_PER_MB = 1 << 20
_MAX_NODES = 240
# Above this size the heartbeats are less frequent.
_HEARTBEAT_NODES = 24
# Interval at which a failure of the store is recorded while it lasts.
_STORE_MARK_S = 1.0
_ORDERS = 'keyed.op'
_STATUSES = 'keyed.status'


def size_problem(nodes: int) -> str:
    """Return why a fleet of this size cannot run on this machine, or an empty string."""
    pages = os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')
    allowed_mb = pages / _BYTES_PER_MB / 2
    if nodes > _MAX_NODES:
        return f'{nodes} nodes exceed the {_MAX_NODES} addresses'
    if nodes * _NODE_MB > allowed_mb:
        return (
            f'{nodes} nodes of {_NODE_MB} MB exceed half of the memory of this machine, '
            f'{allowed_mb:.0f} MB'
        )
    return ''


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
        classes: Sequence[soak_classes.RequestClass],
        records: soak_records.Records,
        rng: random.Random,
    ) -> None:
        self.reactor = reactor
        self.records = records
        self.rng = rng
        self.shared = soak_host.Shared(
            reactor,
            folder,
            slots,
            {each.route: each.work_ms for each in classes},
            records,
            rng,
            20 + os.getpid() % 200,
            [
                int(address.rpartition(':')[2])
                for address in processes.free_addresses(_PORTS_PER_HOST)
            ],
        )
        self.shared.grace_s = clock.to_seconds(records.grace_ms)
        self.shared.heartbeat_factor = max(1, len(services) / _HEARTBEAT_NODES)
        self.store = platform_store.PlatformStore(reactor)
        self.hosts = [
            soak_host.Host(self.shared, number, service) for number, service in enumerate(services)
        ]
        self.before_start: list[Callable[[], None]] = []
        """Actions between the starts of the store and of the hosts."""
        self.after_stop: list[Callable[[], Any]] = []
        """Actions once all processes have ended."""
        self.memory_limit_mb: float = MEMORY_LIMIT_MB
        """Memory of a node process; one that exceeds it is killed."""
        self.changes = soak_config.Changes()
        """Changes of the usual configuration."""
        self._classes = classes
        self._version = 0
        self._time = clock.SystemClock()
        self._store_port: Any = None
        self._watched_at = self._time.now()
        self._watch = task.LoopingCall(self._watch_nodes)

    @property
    def stopped(self) -> bool:
        """Whether the soak is over."""
        return self.shared.stopped

    def start(self) -> None:
        """Start everything."""
        self._store_port = self.reactor.listenTCP(0, self.store.site(), interface='127.0.0.1')
        self.shared.store_address = f'127.0.0.1:{self._store_port.getHost().port}'
        self.change_config()
        for prepare in self.before_start:
            prepare()
        for host in self.hosts:
            group = host.number // _GROUP_NODES
            if group:
                self.later(group * _GROUP_S, self._start_host, host)
            else:
                self._start_host(host)
        self._watched_at = self._time.now()
        self._watch.start(_WATCH_S)
        # Also ends the nodes when the soak is interrupted.
        self.reactor.addSystemEventTrigger('before', 'shutdown', self.stop)

    async def wait_for_start(self) -> None:
        """Wait until all nodes have started, or one has ended."""
        while any(host.is_starting for host in self.hosts) and not self.records.own_ends:
            await task.deferLater(self.reactor, _WATCH_S)

    def stop(self) -> None:
        """End all processes that this fleet has started, and its listeners, unless it has ended."""
        if self.stopped:
            return
        self.shared.stopped = True
        self.records.ended_at = self._time.now()
        self._watch.stop()
        for host in self.hosts:
            if host.node is not None:
                host.node.kill()
                host.node_ended()
            host.stop_backend()
        self._store_port.stopListening()
        for clean_up in self.after_stop:
            clean_up()

    def later(self, delay_s: float, action: Callable[..., Any], *arguments: object) -> None:
        """Call something after a delay, unless the soak is over by then."""
        self.reactor.callLater(delay_s, self._act, action, arguments)

    def change_config(self) -> None:
        """Write the next version of the configuration, with `changes`."""
        self._version += 1
        self.records.configs.append(self._time.now())
        services = {host.service for host in self.hosts}
        self.records.services_by_route.append(
            soak_config.services_by_route(self._classes, self.changes)
        )
        document = soak_config.document(self._classes, services, self._version, self.changes)
        self.order('config', document)

    def order(self, name: str, document: dict[str, object] | None) -> None:
        """Write an order of the operator to the store; None takes it back."""
        content = b'' if document is None else json.dumps(document).encode()
        self.store.topic(_ORDERS).append(name.encode(), content)

    def status(self, name: str) -> dict[str, str]:
        """Return a status that the nodes have written to the store; empty without one."""
        for key, content, _ in self.store.topic(_STATUSES).newest():
            if key == name.encode():
                return json.loads(content)
        return {}

    def terminate(self, host: soak_host.Host) -> None:
        """Stop a node as planned, and kill it after the grace time."""
        if host.expected_end or self._postpones(self.terminate, host):
            return
        host.expected_end = True
        host.terminated_at = self._time.now()
        node = host.node
        self.disturb(host, soak_records.Disturbance.PLANNED)
        self._send(host, signal.SIGTERM)
        self.reactor.callLater(self.shared.grace_s, node.send_signal, signal.SIGKILL)

    def terminate_again(self, host: soak_host.Host) -> None:
        """Repeat SIGTERM to a node that is stopping."""
        if host.terminated_at is not None:
            host.node.send_signal(signal.SIGTERM)

    def hang_up(self, host: soak_host.Host) -> None:
        """Send SIGHUP to a node, whose settings file may have changed."""
        if self._postpones(self.hang_up, host):
            return
        self.disturb(host, soak_records.Disturbance.HANGUP)
        self._send(host, signal.SIGHUP)

    def kill(self, host: soak_host.Host) -> None:
        """Kill a node."""
        host.expected_end = True
        self.disturb(host)
        host.node.send_signal(signal.SIGKILL)

    def pause(self, host: soak_host.Host, duration_s: float) -> None:
        """Suspend a node for a time."""
        node = host.node
        self.disturb(host)
        node.send_signal(signal.SIGSTOP)
        self.reactor.callLater(duration_s, self._resume, host, node)

    def fail_store(self, duration_s: float, faults: platform_store.StoreFaults) -> None:
        """Let the store fail for a time."""
        self.store.faults = faults
        sound = platform_store.StoreFaults()
        self.reactor.callLater(duration_s, setattr, self.store, 'faults', sound)
        for number in range(math.ceil(duration_s / _STORE_MARK_S)):
            self.later(number * _STORE_MARK_S, self._disturb_all, soak_records.Disturbance.STORE)
        self.later(duration_s, self._disturb_all, soak_records.Disturbance.STORE)

    def _act(self, action: Callable[..., Any], arguments: tuple[object, ...]) -> None:
        if not self.stopped:
            action(*arguments)

    def _postpones(self, send: Callable[[soak_host.Host], None], host: soak_host.Host) -> bool:
        """Repeat a call soon if the node process does not run its program yet.

        Until then no program can keep the signal.
        """
        node = host.node
        if not node.running or processes.runs_program(node.pid):
            return False
        self.later(_EXEC_S, self._send_later, send, host, node)
        return True

    def _send_later(
        self,
        send: Callable[[soak_host.Host], None],
        host: soak_host.Host,
        node: processes.ChildProcess,
    ) -> None:
        if host.node is node:
            send(host)

    def _send(self, host: soak_host.Host, number: signal.Signals) -> None:
        """Send a signal, and note how old the node process is and whether it would end by it."""
        node = host.node
        if node.running:
            is_default = processes.has_default_action(node.pid, number)
            action = ', by its default action' if is_default else ''
            host.last_signal = f', {number.name} at {host.age_ms:.0f} ms{action}'
        node.send_signal(number)

    def _resume(self, host: soak_host.Host, node: processes.ChildProcess) -> None:
        self.disturb(host)
        node.send_signal(signal.SIGCONT)

    def disturb(
        self,
        host: soak_host.Host,
        kind: soak_records.Disturbance = soak_records.Disturbance.UNPLANNED,
    ) -> None:
        """Record what is done to a node."""
        self.records.disturb(host.number, self._time.now(), kind)

    def _disturb_all(self, kind: soak_records.Disturbance) -> None:
        for host in self.hosts:
            self.disturb(host, kind)

    def _start_host(self, host: soak_host.Host) -> None:
        host.start_backend()
        host.start_node()

    def _note_standstill(self) -> None:
        """Record that the process of the soak, which is also the store, stood still."""
        now = self._time.now()
        standstill_ms = now - self._watched_at
        self._watched_at = now
        self.records.longest_standstill_ms = max(self.records.longest_standstill_ms, standstill_ms)
        if standstill_ms > _MAX_STANDSTILL_MS:
            self._disturb_all(soak_records.Disturbance.STORE)

    def _watch_nodes(self) -> None:
        self._note_standstill()
        fleet_mb = 0.0
        for host in self.hosts:
            if host.node is None:
                continue
            if not host.node.running:
                self._ended(host)
                continue
            host.note_start()
            memory_mb = usage.anonymous_mb(host.node.pid)
            fleet_mb += memory_mb
            self.records.peak_mb = max(self.records.peak_mb, memory_mb)
            if memory_mb > self.memory_limit_mb:
                self._own_end(host, f'host-{host.number} has {memory_mb:.0f} MB')
                host.expected_end = True
                host.terminated_at = None
                host.node.send_signal(signal.SIGKILL)
        self.records.peak_fleet_mb = max(self.records.peak_fleet_mb, fleet_mb)

    def _ended(self, host: soak_host.Host) -> None:
        """Record the end of a node process, and start it again after a short delay."""
        problem = host.end_problem()
        if problem:
            self._own_end(host, problem)
        host.node_ended()
        self.reactor.callLater(host.restart_s, self._restart, host)

    def _restart(self, host: soak_host.Host) -> None:
        if not self.stopped:
            if host.expected_end:
                self.disturb(host, soak_records.Disturbance.START)
            host.start_node()

    def _own_end(self, host: soak_host.Host, reason: str) -> None:
        """Record an end that nothing from outside has caused; it excuses no lost request."""
        event_log.warn('node_ended', reason=reason)
        self.records.own_ends.append(reason)
        self.records.last_lines += [
            f'host-{host.number} {line}' for line in soak_output.last_warnings(host.output)
        ]
