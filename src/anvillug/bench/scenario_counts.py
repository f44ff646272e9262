"""Counters of the processes of a scenario; they are retained after a process has ended."""

from __future__ import annotations

import collections
import dataclasses
from typing import Any

from anvillug.bench import mesh, processes


@dataclasses.dataclass(slots=True)
class BackendCounts:
    """Counters last read from one backend server process."""

    host_id: str
    """Host of the backend server."""
    version: str
    """Version of the backend server."""
    counts: collections.Counter[str]
    """Counts of calls and probes by the name of the counter."""
    runs: dict[str, dict[str, int]]
    """Number of executions by idempotency key (`by_key`) and by call id (`by_call`)."""


@dataclasses.dataclass(frozen=True, slots=True)
class Totals:
    """Counters of all processes at one time."""

    at_s: float
    """Time of the reactor's clock in seconds."""
    by_host: dict[str, collections.Counter[str]]
    """Sums over the nodes and backend servers that have run on each host."""
    started_by_version: collections.Counter[str]
    """Calls started by the backend servers of each version."""


class CounterReader:
    """Reads counters, and detects configuration numbers that decrease.

    The counters of a process that has ended stay as they were last read. Calls between the
    last read and the end of the process are not counted.

    Args:
        bench_mesh: The mesh.
    """

    def __init__(self, bench_mesh: mesh.Mesh) -> None:
        self.frozen_pids: set[int] = set()
        """Ids of the processes that SIGSTOP has suspended."""
        self.config_regressions: list[str] = []
        """Descriptions of configuration numbers lower than an earlier one of the same process."""
        self._mesh = bench_mesh
        self._backends_by_pid: dict[int, BackendCounts] = {}
        self._admitted_by_pid: dict[int, tuple[str, int]] = {}
        self._number_by_pid: dict[int, int] = {}

    def is_reachable(self, process: processes.ChildProcess | None) -> bool:
        """Return whether a process runs and is not frozen."""
        return process is not None and process.running and process.pid not in self.frozen_pids

    def reachable_hosts(self) -> list[mesh.Host]:
        """Return the hosts whose node runs and is not frozen."""
        return [host for host in self._mesh.by_id.values() if self.is_reachable(host.node)]

    async def read(self) -> None:
        """Read the counters of every reachable process."""
        for host in tuple(self._mesh.by_id.values()):
            if self.is_reachable(host.node):
                await self._read_node(host)
            if self.is_reachable(host.backend):
                await self._read_backend(host)

    async def totals(self) -> Totals:
        """Read all counters and return their sums."""
        await self.read()
        by_host: dict[str, collections.Counter[str]] = collections.defaultdict(collections.Counter)
        started: collections.Counter[str] = collections.Counter()
        for host_id, admitted in self._admitted_by_pid.values():
            by_host[host_id]['admitted'] += admitted
        for backend in self._backends_by_pid.values():
            by_host[backend.host_id].update(backend.counts)
            started[backend.version] += backend.counts['started']
        return Totals(self._mesh.reactor.seconds(), by_host, started)

    async def runs(self, kind: str) -> collections.Counter[str]:
        """Read the executions and add them up over all backend servers.

        Args:
            kind: `by_key` or `by_call`.

        Returns:
            Number of executions by idempotency key or call id.
        """
        await self.read()
        executions: collections.Counter[str] = collections.Counter()
        for backend in self._backends_by_pid.values():
            executions.update(backend.runs[kind])
        return executions

    async def _read_node(self, host: mesh.Host) -> None:
        pid = host.node.pid
        state = await self._get(host.operator_address, '/state')
        number = await self._get(host.operator_address, '/config')
        if state is None or number is None:
            return
        admitted = int(state['host']['counters']['admitted'])
        self._admitted_by_pid[pid] = (host.plan.host_id, admitted)
        previous = self._number_by_pid.get(pid, 0)
        if number['number'] < previous:
            self.config_regressions.append(f'{host.plan.host_id}: {previous} to {number["number"]}')
        self._number_by_pid[pid] = number['number']

    async def _read_backend(self, host: mesh.Host) -> None:
        pid = host.backend.pid if host.backend else 0
        state = await self._get(host.backend_address, '/control/state')
        runs = await self._get(host.backend_address, '/control/runs')
        if state is None or runs is None or not pid:
            return
        version = state['settings']['version']
        counts = collections.Counter(state['counts'])
        self._backends_by_pid[pid] = BackendCounts(host.plan.host_id, version, counts, runs)

    async def _get(self, address: str, path: str) -> Any:
        try:
            return await self._mesh.get(address, path)
        except Exception:  # noqa: BLE001 the process may end or be frozen at any time
            return None
