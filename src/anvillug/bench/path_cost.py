"""Added latency and CPU time of the path over two nodes compared with a direct call."""

from __future__ import annotations

import dataclasses
import random
from typing import Any

from twisted.internet import defer

from anvillug.bench import cpu, load, mesh, page, processes, traffic

_SERVICE = 'drawbook'
_ENTRY = 'entry'
_HOST = 'host'
_DIRECT = 'direct'
_PATH = 'two nodes'
_PERCENTILES = (50, 90, 99)
_WARM_UP_CALLS = 400
_WARM_UP_RATE_PER_S = 200
_SETTLE_S = 0.5
# Without service time, timers of the backend server add no noise to the difference.
_REQUEST_KIND = traffic.RequestKind('sheet', _SERVICE, path='/sheets/12?ms=0')


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Parameters of the measurement."""

    seed: int = 1
    """Seed of arrivals."""
    sequential_calls: int = 6000
    """Number of direct calls and of calls over two nodes in the sequential part."""
    rate_per_second: float = 150
    """Rate of direct calls and of calls over two nodes in the open-loop part."""
    duration_ms: float = 30_000
    """Duration of the open-loop part."""


class _Caller:
    """Sends one call at a time to one address; replaces the generator of a `load.Exchange`."""

    def __init__(self, reactor: Any, address: str, seed: int) -> None:
        self.reactor = reactor
        self.plan = traffic.LoadPlan((address,), (_REQUEST_KIND,), 1, 1, seed, max_connections=1)
        self.result = traffic.LoadResult()
        self._rng = random.Random(seed)
        self._pool = load.Pool(reactor, address, 1, self.result)
        self._ended: defer.Deferred[None] = defer.Deferred()

    def exchange_ended(self) -> None:
        """Let `call` return; see `load.LoadGenerator`."""
        self._ended.callback(None)

    async def call(self) -> None:
        """Send a call and wait until it ends."""
        self._ended = defer.Deferred()
        self.result.sent += 1
        request = traffic.draw_request(self.plan, self._rng, self.result.sent)
        exchange = load.Exchange(self, request, self.reactor.seconds())
        self._pool.send(exchange)
        await self._ended

    async def close(self) -> None:
        """Close the connection."""
        await self._pool.close()


@dataclasses.dataclass(frozen=True, slots=True)
class Pair:
    """Results of direct calls and of calls over two nodes in one part."""

    part: str
    """Name of the part: sequential or open loop."""
    direct: traffic.LoadResult
    """Results of direct calls to the backend server."""
    path: traffic.LoadResult
    """Results of calls over two nodes."""
    usage: cpu.Usage
    """CPU time used during the part."""


class PathCost:
    """Runs both parts on one mesh.

    Args:
        bench_mesh: Mesh without processes.
        options: Parameters of the measurement.
    """

    def __init__(self, bench_mesh: mesh.Mesh, options: Options) -> None:
        self._mesh = bench_mesh
        self._options = options

    async def run(self) -> page.Section:
        """Measure both parts.

        Returns:
            Section of the page of measurements.
        """
        await self._start()
        pairs = [await self._run_sequential(), await self._run_open_loop()]
        options = self._options
        introduction = (
            'One caller, an entry node, a host node and its backend server, all on one machine '
            'without added delays; calls take no service time. Direct calls and calls over the two '
            'nodes alternate or run concurrently. Sequential: '
            f'{options.sequential_calls} calls of each kind, alternately. Open loop: Poisson '
            f'arrivals at {options.rate_per_second:g} calls/s of each kind for '
            f'{options.duration_ms / 1000:g} s. CPU per call counts user and system time of each '
            'node, including gossip and load samples.'
        )
        body = '\n\n'.join((_latency_table(pairs), _cpu_table(pairs)))
        return page.Section('Cost of the path over two nodes', introduction, body)

    async def _start(self) -> None:
        bench_mesh = self._mesh
        bench_mesh.start_log()
        bench_mesh.add_hosts(
            [
                mesh.HostPlan(_ENTRY, 'kochi-1', 'other'),
                mesh.HostPlan(_HOST, 'kochi-1', _SERVICE),
            ],
        )
        services = {name: {'version': 'v1'} for name in (_SERVICE, 'other')}
        await bench_mesh.publish_patch(0, {'services': services})
        await bench_mesh.wait_until_config_in_effect(1)
        await bench_mesh.wait_until_serving(2)
        entry = bench_mesh.by_id[_ENTRY].caller_address
        plan = traffic.LoadPlan(
            (entry,),
            (_REQUEST_KIND,),
            _WARM_UP_RATE_PER_S,
            1000 * _WARM_UP_CALLS / _WARM_UP_RATE_PER_S,
            self._options.seed,
        )
        await load.run(plan, bench_mesh.reactor)
        await bench_mesh.sleep(_SETTLE_S)

    def _addresses(self) -> tuple[str, str]:
        by_id = self._mesh.by_id
        return by_id[_HOST].backend_address, by_id[_ENTRY].caller_address

    def _meter(self) -> cpu.Meter:
        return cpu.Meter({name: host.node.pid for name, host in self._mesh.by_id.items()})

    async def _run_sequential(self) -> Pair:
        seed = self._options.seed
        direct, path = (_Caller(self._mesh.reactor, address, seed) for address in self._addresses())
        # The connections are opened before the measured calls.
        await direct.call()
        await path.call()
        meter = self._meter()
        for caller in (direct, path):
            caller.result.latency_us.reset()
        for _ in range(self._options.sequential_calls):
            await direct.call()
            await path.call()
        usage = meter.read()
        await direct.close()
        await path.close()
        return Pair('sequential', direct.result, path.result, usage)

    async def _run_open_loop(self) -> Pair:
        options = self._options
        meter = self._meter()
        direct, path = await defer.gatherResults(
            load.run(
                traffic.LoadPlan(
                    (address,),
                    (_REQUEST_KIND,),
                    options.rate_per_second,
                    options.duration_ms,
                    options.seed + index,
                    spin_ms=1,
                ),
                self._mesh.reactor,
            )
            for index, address in enumerate(self._addresses())
        )
        return Pair('open loop', direct, path, meter.read())


def _latency_table(pairs: list[Pair]) -> str:
    rows = []
    for pair in pairs:
        for percentile in _PERCENTILES:
            direct, path = (result.percentile_ms(percentile) for result in (pair.direct, pair.path))
            rows.append((pair.part, f'p{percentile}', direct, path, path - direct, path / direct))
    columns = ('calls', 'percentile', f'{_DIRECT} ms', f'{_PATH} ms', 'difference ms', 'ratio')
    return page.table(columns, rows)


def _cpu_table(pairs: list[Pair]) -> str:
    rows = []
    for pair in pairs:
        sent = pair.path.sent
        per_call = [cpu.total_ms(pair.usage, (name,)) / sent for name in (_ENTRY, _HOST)]
        not_ok = sum(result.sent - result.by_status['200'] for result in (pair.direct, pair.path))
        rows.append((pair.part, sent, *per_call, not_ok, pair.usage.machine_percent))
    columns = (
        'calls',
        'calls over nodes',
        'entry node CPU ms/call',
        'host node CPU ms/call',
        'not answered with 200',
        'machine CPU %',
    )
    return page.table(columns, rows)


async def measure(reactor: Any, options: Options) -> page.Section:
    """Run the measurement on its own processes.

    Args:
        reactor: Twisted reactor.
        options: Parameters of the measurement.

    Returns:
        Section of the page of measurements.
    """
    with processes.group() as group:
        return await PathCost(mesh.Mesh(reactor, group), options).run()
