"""What the processes of a scenario count, kept over the end of a process."""

from __future__ import annotations

import collections
import dataclasses
from typing import Any

from anvillug.bench import mesh, processes


@dataclasses.dataclass(slots=True)
class BackendCounts:
    """Newest counts of one backend server process."""

    host_id: str
    """Host that it runs on."""
    version: str
    """Version that it runs."""
    counts: collections.Counter[str]
    """Calls and probes by name."""
    runs: dict[str, dict[str, int]]
    """Executions `by_key` and `by_call`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Totals:
    """Counts of all processes at one moment."""

    at_s: float
    """Time of the reactor's clock."""
    by_host: dict[str, collections.Counter[str]]
    """Counts of the node and the backend servers of each host."""
    started_by_version: collections.Counter[str]
    """Calls started by the backend servers of each version."""


class Counts:
    """Reads counters and watches that no configuration number goes back.

    A process that ended keeps the counts of its last reading, so that calls
    between that reading and its end are missing.

    Args:
        started: The mesh.
    """

    def __init__(self, started: mesh.Mesh) -> None:
        self.frozen: set[int] = set()
        """Ids of processes that are stopped by a signal."""
        self.reverts: list[str] = []
        """Observations of a configuration number below an earlier one."""
        self._mesh = started
        self._backends_by_pid: dict[int, BackendCounts] = {}
        self._admitted_by_pid: dict[int, tuple[str, int]] = {}
        self._number_by_pid: dict[int, int] = {}

    def reachable(self, process: processes.ChildProcess | None) -> bool:
        """Tell whether a process runs and is not frozen."""
        return process is not None and process.running and process.pid not in self.frozen

    def reachable_hosts(self) -> list[mesh.Host]:
        """Return the hosts whose node runs and is not frozen."""
        return [host for host in self._mesh.by_id.values() if self.reachable(host.node)]

    async def read(self) -> None:
        """Read the counts of every reachable process."""
        for host in tuple(self._mesh.by_id.values()):
            if self.reachable(host.node):
                await self._read_node(host)
            if self.reachable(host.backend):
                await self._read_backend(host)

    async def totals(self) -> Totals:
        """Read all counts and return their sums."""
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
        """Read and add up executions.

        Args:
            kind: `by_key` or `by_call`.

        Returns:
            Number of executions by key or call id.
        """
        await self.read()
        found: collections.Counter[str] = collections.Counter()
        for backend in self._backends_by_pid.values():
            found.update(backend.runs[kind])
        return found

    async def _read_node(self, host: mesh.Host) -> None:
        pid = host.node.pid
        state = await self._get(host.operator_address, '/state')
        number = await self._get(host.operator_address, '/config')
        if state is None or number is None:
            return
        admitted = int(state['host']['counters']['admitted'])
        self._admitted_by_pid[pid] = (host.plan.host_id, admitted)
        before = self._number_by_pid.get(pid, 0)
        if number['number'] < before:
            self.reverts.append(f'{host.plan.host_id}: {before} to {number["number"]}')
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
        except Exception:  # noqa: BLE001 the process may end or stop at any moment
            return None
