"""Measures the control-plane costs per node on real nodes without calls."""

from __future__ import annotations

import collections
import dataclasses
import math
import os
import random
import re
import statistics
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from anvillug.bench import mesh, processes, usage
from anvillug.connection import log_client
from anvillug.process import gossip
from anvillug.version import fold, publisher, reader

ZONES = 7
REGIONS = 3
WINDOW_S = 15.0
CHANGES_PER_DAY = 28_000
PATCHES_PER_SECOND = 2.0
RESTARTS_PER_SECOND = 0.5

_START_BATCH_SIZE = 12  # starting a node takes about 1 s of CPU time
_START_TIMEOUT_MS = 60_000.0
_APPENDS_PER_SECOND = 2000
_KB = 1024
_HOSTS_PER_SUBNET = 250
_FIRST_SUBNET = 64
_SUBNETS = 128
_PERCENT = 100
_CONFIG_IN_EFFECT = re.compile(r'time_ms=(\d+) level=\w+ event=config_in_effect number=(\d+)')


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Costs per node in one window; the fields are the columns."""

    nodes: int
    """Nodes of the mesh."""
    services: int
    """Services in the configuration document."""
    load: str
    """Kind of change made during the window."""
    per_second: float
    """Achieved rate of changes per second."""
    resident_mb: float
    """Median resident memory of a node."""
    private_mb: float
    """Median memory of a node that is not shared with other processes."""
    cpu_percent: float
    """Mean share of a core used by a node."""
    gossip_kb_s: float
    """Mean gossip bytes per node and second, both directions, without framing."""
    log_kb_s: float
    """Mean bytes of log responses and appends per node and second, without headers."""
    exchanges_s: float
    """Gossip exchanges started per node and second."""
    reads_s: float
    """Reads of the log per node and second."""
    spread_p50_ms: float
    """Median time from the append of a patch until it was in effect on all nodes."""
    spread_max_ms: float
    """Maximum of these times."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Reading:
    """CPU time in seconds and counters of all nodes, read at one time."""

    time_s: float
    cpu_by_pid: dict[int, float]
    counts_by_pid: dict[int, collections.Counter[str]]


class NodeCost:
    """Measures the costs on one mesh.

    Args:
        reactor: Twisted reactor.
        group: List of `processes.group`.
        count: Number of nodes.
        services: Number of services in the document.
        seed: Seed of the choice of nodes to restart.
    """

    def __init__(
        self,
        reactor: Any,
        group: list[processes.ChildProcess],
        count: int,
        services: int,
        seed: int,
    ) -> None:
        self._mesh = mesh.Mesh(reactor, group)
        self._count = count
        self._services = services
        self._rng = random.Random(seed)
        self._client: Any = None
        self._reader: Any = None

    async def rows(self) -> list[Row]:
        """Start the mesh; measure it idle, during patches and during restarts of nodes."""
        await self._start()
        return [
            await self._measure_window('idle', self._run_idle),
            await self._measure_window('patches', self._run_patches),
            await self._measure_window('restarts', self._run_restarts),
        ]

    async def _start(self) -> None:
        bench_mesh = self._mesh
        bench_mesh.start_log(append_limit_per_second=_APPENDS_PER_SECOND)
        # Depends on the process id, so that concurrent benches rarely use the same subnet.
        subnet = _FIRST_SUBNET + os.getpid() % _SUBNETS
        plans = [
            mesh.HostPlan(
                f'host-{index:05d}',
                f'zone-{index % ZONES}',
                '',
                region=f'region-{index % ZONES % REGIONS}',
                ip=f'127.{subnet}.{index // _HOSTS_PER_SUBNET}.{index % _HOSTS_PER_SUBNET + 1}',
            )
            for index in range(self._count)
        ]
        for begin in range(0, self._count, _START_BATCH_SIZE):
            bench_mesh.add_hosts(plans[begin : begin + _START_BATCH_SIZE])
        self._client = log_client.HttpLogClient(bench_mesh.reactor, bench_mesh.log_address)
        self._reader = reader.ConfigReader(self._client)
        await self._publish(document_of(self._services))
        await bench_mesh.wait_until_config_in_effect(1, _START_TIMEOUT_MS)
        await bench_mesh.wait_until(
            'all nodes list all members', self._is_membership_complete, _START_TIMEOUT_MS
        )
        # Gossip propagates the starts for a while; the idle window begins afterwards.
        await bench_mesh.sleep((gossip.CHANGE_WINDOW_TICKS + 2) * gossip.INTERVAL_S)

    async def _is_membership_complete(self) -> bool:
        for host_id in self._mesh.by_id:
            if (await self._mesh.state(host_id))['members']['count'] < self._count:
                return False
        return True

    async def _publish(self, change: object) -> None:
        state = await self._reader.catch_up()
        patch = publisher.Patch(state.number, change, 'bench')
        result = await publisher.Publisher(self._client, self._mesh.reactor).publish(patch, state)
        if not isinstance(result, publisher.Accepted):
            raise mesh.MeshError(f'patch was not accepted: {result}')

    async def _measure_window(self, load: str, run: Callable[[], Awaitable[int]]) -> Row:
        before = await self._read_usage()
        first = (await self._reader.catch_up()).number + 1
        done = await run()
        after = await self._read_usage()
        last = (await self._reader.catch_up()).number
        duration_s = after.time_s - before.time_s
        # Nodes restarted in the window are excluded, since a restart resets their counters to 0.
        surviving_pids = before.cpu_by_pid.keys() & after.cpu_by_pid.keys()
        cpu = [after.cpu_by_pid[pid] - before.cpu_by_pid[pid] for pid in surviving_pids]
        memories = [usage.memory(pid) for pid in surviving_pids]
        total: collections.Counter[str] = collections.Counter()
        for pid in surviving_pids:
            total.update(after.counts_by_pid[pid])
            total.subtract(before.counts_by_pid[pid])
        per_node = {name: count / duration_s / len(surviving_pids) for name, count in total.items()}
        spreads_ms = await self._spreads_ms(range(first, last + 1))
        return Row(
            nodes=self._count,
            services=self._services,
            load=load,
            per_second=done / duration_s,
            resident_mb=statistics.median(memory.resident_mb for memory in memories),
            private_mb=statistics.median(memory.private_mb for memory in memories),
            cpu_percent=_PERCENT * statistics.fmean(cpu) / duration_s,
            gossip_kb_s=per_node['gossip_bytes'] / _KB,
            log_kb_s=per_node['log_bytes'] / _KB,
            exchanges_s=per_node['exchanges'],
            reads_s=per_node['log_reads'],
            spread_p50_ms=statistics.median(spreads_ms) if spreads_ms else 0,
            spread_max_ms=max(spreads_ms, default=0),
        )

    async def _read_usage(self) -> _Reading:
        cpu_by_pid = {}
        counts_by_pid = {}
        for host in self._mesh.by_id.values():
            state = await self._mesh.get(host.operator_address, '/state')
            cpu_by_pid[host.node.pid] = usage.cpu_seconds(host.node.pid)
            counts_by_pid[host.node.pid] = _counts(state)
        return _Reading(self._mesh.reactor.seconds(), cpu_by_pid, counts_by_pid)

    async def _run_idle(self) -> int:
        await self._mesh.sleep(WINDOW_S)
        return 0

    async def _run_patches(self) -> int:
        return await self._run_paced(PATCHES_PER_SECOND, self._patch_one)

    async def _patch_one(self, index: int) -> None:
        name = f'service-{index % self._services:03d}'
        change = {'services': {name: {'targets': {'latency_p99_ms': 100 + index}}}}
        await self._publish(change)

    async def _run_restarts(self) -> int:
        return await self._run_paced(RESTARTS_PER_SECOND, self._restart_one)

    async def _restart_one(self, index: int) -> None:
        # Nodes of the first half are never restarted, so that their costs cover the whole window.
        hosts = list(self._mesh.by_id.values())
        host = self._rng.choice(hosts[self._count // 2 :])
        host.node.kill()
        self._mesh.restart_node(host)

    async def _run_paced(self, rate: float, step: Callable[[int], Awaitable[None]]) -> int:
        begin = self._mesh.reactor.seconds()
        done = 0
        while done < rate * WINDOW_S:
            await step(done)
            done += 1
            wait_s = begin + done / rate - self._mesh.reactor.seconds()
            await self._mesh.sleep(max(0, wait_s))
        return done

    async def _spreads_ms(self, numbers: range) -> list[float]:
        """Return the time from append to effect on all nodes for each number, in ms."""
        times_of_nodes = [times_by_number(host.node.output()) for host in self._mesh.by_id.values()]
        appended = await self._append_times()
        return [
            max(time_in_effect(times, number) for times in times_of_nodes) - appended[number]
            for number in numbers
        ]

    async def _append_times(self) -> dict[int, float]:
        """Return the wall time of the append that created each number."""
        times: dict[int, float] = {}
        state = fold.empty()
        while True:
            page = await self._client.read(
                log_client.CONFIGURATION_STREAM,
                state.next_offset,
                reader.PAGE_RECORDS,
                0,
            )
            if not page.records:
                return times
            for record in page.records:
                state = fold.apply(state, record)
                times.setdefault(state.number, record.time_ms)


def _counts(state: Mapping[str, Any]) -> collections.Counter[str]:
    counts: collections.Counter[str] = collections.Counter()
    for name, traffic in state['control'].items():
        kind = 'log' if name == 'log' else 'gossip'
        counts[f'{kind}_bytes'] += traffic['bytes_sent'] + traffic['bytes_received']
    counts['log_reads'] = state['control']['log']['reads']
    counts['exchanges'] = state['gossip']['sent']
    return counts


async def run(reactor: Any, count: int, services: int, seed: int) -> list[Row]:
    """Measure the costs on one mesh.

    Args:
        reactor: Twisted reactor.
        count: Number of nodes.
        services: Number of services in the document.
        seed: Seed of random choices.

    Returns:
        One row per window.
    """
    with processes.group() as group:
        return await NodeCost(reactor, group, count, services, seed).rows()


def times_by_number(output: str) -> dict[int, float]:
    """Return when each configuration number came into effect, from the event log of a node."""
    times: dict[int, float] = {}
    for time_ms, number in _CONFIG_IN_EFFECT.findall(output):
        times.setdefault(int(number), float(time_ms))
    return times


def time_in_effect(times: dict[int, float], number: int) -> float:
    """Return when a number or a later one came into effect.

    A node that folds two patches from one read logs only the later number.

    Args:
        times: Times by number.
        number: Number to look for.

    Returns:
        Wall time in milliseconds; infinite when the number was never in effect.
    """
    return min((time_ms for other, time_ms in times.items() if other >= number), default=math.inf)


def document_of(services: int) -> dict[str, Any]:
    """Return a configuration document with routes and targets of realistic size."""
    return {
        'services': {
            f'service-{index:03d}': {
                'version': 'v2026.11.3',
                'targets': {'latency_p99_ms': 50, 'safety': 'balanced', 'spare_percent': 20},
                'routes': [
                    {'name': 'reads', 'prefix': '/read', 'methods': ['GET'], 'repeatable': True},
                    {
                        'name': 'writes',
                        'prefix': '/write',
                        'methods': ['POST'],
                        'repeatable': False,
                        'criticality': 'critical',
                    },
                ],
            }
            for index in range(services)
        },
        'zones': {f'zone-{index}': {'state': 'in', 'ramp_ms': 30_000} for index in range(ZONES)},
    }
