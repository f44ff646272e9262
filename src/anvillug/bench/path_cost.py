"""Added latency and CPU of the path over two nodes against a direct call."""

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
_WARM_UP_RATE = 200
_SETTLE_S = 0.5
# Without service time, timers of the backend server don't blur the difference.
_KIND = traffic.RequestKind('sheet', _SERVICE, path='/sheets/12?ms=0')


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Size of the measure."""

    seed: int = 1
    """Seed of arrivals."""
    sequential_calls: int = 6000
    """Calls of each side, one after the other."""
    rate_per_second: float = 150
    """Rate of each side in the open-loop part."""
    duration_ms: float = 30_000
    """Length of the open-loop part."""


class _Caller:
    """Sends one call at a time to one address; owner of its exchanges."""

    def __init__(self, reactor: Any, address: str, seed: int) -> None:
        self.reactor = reactor
        self.plan = traffic.LoadPlan((address,), (_KIND,), 1, 1, seed, max_connections=1)
        self.result = traffic.LoadResult()
        self._rng = random.Random(seed)
        self._pool = load.Pool(reactor, address, 1, self.result)
        self._ended: defer.Deferred[None] = defer.Deferred()

    def exchange_ended(self) -> None:
        """Go on with the next call; see `load.LoadGenerator`."""
        self._ended.callback(None)

    async def call(self) -> None:
        """Send a call and wait for its end."""
        self._ended = defer.Deferred()
        self.result.sent += 1
        request = traffic.planned_request(self.plan, self._rng, self.result.sent)
        exchange = load.Exchange(self, request, self.reactor.seconds())
        self._pool.send(exchange)
        await self._ended

    async def close(self) -> None:
        """Close the connection."""
        await self._pool.close()


@dataclasses.dataclass(frozen=True, slots=True)
class Pair:
    """Results of the two sides of one part."""

    part: str
    """What the calls were like."""
    direct: traffic.LoadResult
    """Calls to the backend server itself."""
    path: traffic.LoadResult
    """Calls over two nodes."""
    usage: cpu.Usage
    """CPU used during the part."""


class PathCost:
    """Runs both parts on one mesh.

    Args:
        started: Mesh without processes.
        options: Size of the measure.
    """

    def __init__(self, started: mesh.Mesh, options: Options) -> None:
        self._mesh = started
        self._options = options

    async def run(self) -> page.Section:
        """Measure both parts.

        Returns:
            The section of the page.
        """
        await self._start()
        pairs = [await self._sequential(), await self._open_loop()]
        options = self._options
        introduction = (
            'One caller, an entry node, a host node and its backend server, all on one machine '
            'without links; calls take no service time. Direct calls and calls over the two nodes '
            f'alternate or overlap in one run. Sequential: {options.sequential_calls} calls of '
            'each side in turns. Open loop: Poisson arrivals at '
            f'{options.rate_per_second:g} calls/s on each side for '
            f'{options.duration_ms / 1000:g} s. CPU per call counts user and system time of each '
            'node, gossip and load samples included.'
        )
        body = '\n\n'.join((_latencies(pairs), _cpu(pairs)))
        return page.Section('Cost of the path over two nodes', introduction, body)

    async def _start(self) -> None:
        started = self._mesh
        started.start_log()
        started.add_hosts(
            [
                mesh.HostPlan(_ENTRY, 'kochi-1', 'other'),
                mesh.HostPlan(_HOST, 'kochi-1', _SERVICE),
            ],
        )
        services = {name: {'version': 'v1'} for name in (_SERVICE, 'other')}
        await started.patch(0, {'services': services})
        await started.wait_config(1)
        await started.wait_serving(2)
        entry = started.by_id[_ENTRY].caller_address
        plan = traffic.LoadPlan(
            (entry,),
            (_KIND,),
            _WARM_UP_RATE,
            1000 * _WARM_UP_CALLS / _WARM_UP_RATE,
            self._options.seed,
        )
        await load.run(plan, started.reactor)
        await started.sleep(_SETTLE_S)

    def _addresses(self) -> tuple[str, str]:
        by_id = self._mesh.by_id
        return by_id[_HOST].backend_address, by_id[_ENTRY].caller_address

    def _meter(self) -> cpu.Meter:
        return cpu.Meter({name: host.node.pid for name, host in self._mesh.by_id.items()})

    async def _sequential(self) -> Pair:
        seed = self._options.seed
        direct, path = (_Caller(self._mesh.reactor, address, seed) for address in self._addresses())
        # The connections open before the measured calls.
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

    async def _open_loop(self) -> Pair:
        options = self._options
        meter = self._meter()
        direct, path = await defer.gatherResults(
            load.run(
                traffic.LoadPlan(
                    (address,),
                    (_KIND,),
                    options.rate_per_second,
                    options.duration_ms,
                    options.seed + place,
                    spin_ms=1,
                ),
                self._mesh.reactor,
            )
            for place, address in enumerate(self._addresses())
        )
        return Pair('open loop', direct, path, meter.read())


def _latencies(pairs: list[Pair]) -> str:
    rows = []
    for pair in pairs:
        for percentile in _PERCENTILES:
            direct, path = (result.percentile_ms(percentile) for result in (pair.direct, pair.path))
            rows.append((pair.part, f'p{percentile}', direct, path, path - direct, path / direct))
    columns = ('calls', 'percentile', f'{_DIRECT} ms', f'{_PATH} ms', 'difference ms', 'ratio')
    return page.table(columns, rows)


def _cpu(pairs: list[Pair]) -> str:
    rows = []
    for pair in pairs:
        sent = pair.path.sent
        per_call = [cpu.total_ms(pair.usage, (name,)) / sent for name in (_ENTRY, _HOST)]
        not_whole = sum(
            result.sent - result.by_status['200'] for result in (pair.direct, pair.path)
        )
        rows.append((pair.part, sent, *per_call, not_whole, pair.usage.machine_percent))
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
    """Run the measure on processes of its own.

    Args:
        reactor: Twisted reactor.
        options: Size of the measure.

    Returns:
        The section of the page.
    """
    with processes.group() as group:
        return await PathCost(mesh.Mesh(reactor, group), options).run()
