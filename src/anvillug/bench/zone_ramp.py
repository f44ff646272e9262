"""Latencies and failures of calls while an availability zone is taken out and returns."""

from __future__ import annotations

import dataclasses
from typing import Any

from twisted.internet import defer

from anvillug import clock
from anvillug.bench import cpu, load, mesh, page, processes, traffic
from anvillug.version import publisher

_ZONES = ('graz', 'leoben', 'murau', 'liezen')
_DRAINED_ZONE = _ZONES[-1]
_HOSTS_BY_SERVICE = {'catalogue': 8, 'warehouse': 4}
_SLOTS = 10
_MS_PER_SECOND = 1000
_SERVICE_MS = 100.0
_LINK_DELAY_MS = 1.0
_LOAD_SHARE = 0.5
_HOST_CAPACITY_PER_S = _SLOTS * _MS_PER_SECOND / _SERVICE_MS
_WARM_UP_FRACTIONS = (0.3, 0.7, 1.0)
_TARGETS = {'latency_p99_ms': 400}


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Parameters of the measurement."""

    seed: int = 1
    """Seed of arrivals."""
    ramps_ms: tuple[int, ...] = (10_000, 0)
    """Ramps to compare; with 0, a returning zone receives its full share of calls at once."""
    phase_ms: float = 5000
    """Duration of each phase; the return is measured in two phases."""
    restart_cold: bool = True
    """Whether the backend servers of the zone are cold when it returns."""


class ZoneRamp:
    """Runs the phases once for each ramp on one mesh.

    Args:
        bench_mesh: Mesh without processes.
        options: Parameters of the measurement.
    """

    def __init__(self, bench_mesh: mesh.Mesh, options: Options) -> None:
        self._mesh = bench_mesh
        self._options = options
        self._config_number = 0
        self._rows: list[list[object]] = []

    async def run(self) -> page.Section:
        """Measure all phases.

        Returns:
            Section of the page of measurements.
        """
        await self._start()
        for ramp_ms in self._options.ramps_ms:
            await self._run_cycle(ramp_ms)
        columns = (
            'ramp ms',
            'phase',
            'service',
            'offered calls/s',
            'answered calls/s',
            'not run',
            'other failures',
            'p50 ms',
            'p99 ms',
            'machine CPU %',
        )
        body = page.table(columns, self._rows)
        title = 'Service while an availability zone leaves and returns'
        return page.Section(title, self._introduction(), body)

    async def _start(self) -> None:
        bench_mesh = self._mesh
        bench_mesh.start_log()
        bench_mesh.add_hosts(
            [
                _plan(service, number)
                for service, count in _HOSTS_BY_SERVICE.items()
                for number in range(count)
            ],
        )
        service = {'version': 'v1', 'targets': _TARGETS}
        await self._patch({'services': dict.fromkeys(_HOSTS_BY_SERVICE, service)})
        await bench_mesh.wait_until_serving(sum(_HOSTS_BY_SERVICE.values()), timeout_ms=30_000)
        for load_fraction in _WARM_UP_FRACTIONS:
            await self._load(load_fraction)

    async def _run_cycle(self, ramp_ms: int) -> None:
        await self._patch({'zones': {_DRAINED_ZONE: {'state': 'in', 'ramp_ms': ramp_ms}}})
        await self._load(1)
        await self._measure_phase(ramp_ms, 'before')
        await self._take_out(ramp_ms)
        await self._bring_back(ramp_ms)

    async def _take_out(self, ramp_ms: int) -> None:
        await self._patch({'zones': {_DRAINED_ZONE: {'state': 'out'}}}, wait=False)
        await self._measure_phase(ramp_ms, 'leaving')
        await self._measure_phase(ramp_ms, 'out')

    async def _bring_back(self, ramp_ms: int) -> None:
        if self._options.restart_cold:
            await self._set_backends_cold()
        await self._patch({'zones': {_DRAINED_ZONE: {'state': 'in'}}}, wait=False)
        await self._measure_phase(ramp_ms, 'returning')
        await self._measure_phase(ramp_ms, 'returning, second part')
        await self._measure_phase(ramp_ms, 'after')

    async def _set_backends_cold(self) -> None:
        for host_id, host in self._mesh.by_id.items():
            if host.plan.zone == _DRAINED_ZONE:
                await self._mesh.set_backend_faults(host_id, cold=True)

    async def _patch(self, change: object, *, wait: bool = True) -> None:
        publication = await self._mesh.publish_patch(self._config_number, change)
        if not isinstance(publication, publisher.Accepted):
            raise mesh.MeshError(
                f'patch against configuration {self._config_number} was not accepted: {publication}'
            )
        self._config_number += 1
        if wait:
            await self._mesh.wait_until_config_in_effect(self._config_number)

    async def _measure_phase(self, ramp_ms: int, phase: str) -> None:
        meter = cpu.Meter({})
        results = await self._load(1)
        machine_percent = meter.read().machine_percent
        seconds = clock.to_seconds(self._options.phase_ms)
        for service, result in zip(_HOSTS_BY_SERVICE, results, strict=True):
            succeeded = result.by_status['200']
            not_run = result.by_outcome['not-run']
            self._rows.append(
                [
                    ramp_ms,
                    phase,
                    service,
                    result.sent / seconds,
                    succeeded / seconds,
                    not_run,
                    result.sent - succeeded - not_run,
                    result.percentile_ms(50),
                    result.percentile_ms(99),
                    machine_percent,
                ],
            )

    def _load(self, load_fraction: float) -> defer.Deferred[list[traffic.LoadResult]]:
        # No caller uses an entry node of the drained zone, since those nodes leave with it.
        hosts = [host for host in self._mesh.by_id.values() if host.plan.zone != _DRAINED_ZONE]
        plans = [
            traffic.LoadPlan(
                addresses=tuple(host.caller_address for host in hosts),
                kinds=(traffic.RequestKind('stock', service, path='/stock/7'),),
                rate_per_second=load_fraction * _LOAD_SHARE * _HOST_CAPACITY_PER_S * count,
                duration_ms=self._options.phase_ms,
                seed=self._options.seed,
            )
            for service, count in _HOSTS_BY_SERVICE.items()
        ]
        return defer.gatherResults([load.run(plan, self._mesh.reactor) for plan in plans])

    def _introduction(self) -> str:
        sizes = ' and '.join(f'{name} ({count})' for name, count in _HOSTS_BY_SERVICE.items())
        cold = 'cold' if self._options.restart_cold else 'warm'
        return (
            f'Hosts of {sizes} in {len(_ZONES)} zones, {_SLOTS} slots each, median service time '
            f'{_SERVICE_MS:g} ms, a one-way delay of {_LINK_DELAY_MS:g} ms in front of every node. '
            f'Offered load is {_LOAD_SHARE:.0%} of the capacity of all zones. Zone '
            f'{_DRAINED_ZONE} is taken out and brought back by patches, published at the start of '
            f'the phases "leaving" and "returning"; its backend servers are {cold} on return. '
            f'Each phase lasts {clock.to_seconds(self._options.phase_ms):g} s. Both ramps run on '
            'one mesh, one after the other.'
        )


def _plan(service: str, number: int) -> mesh.HostPlan:
    return mesh.HostPlan(
        f'{service}-{number}',
        _ZONES[number % len(_ZONES)],
        service,
        backend_options={'slots': _SLOTS, 'service-ms': _SERVICE_MS, 'seed': number},
        link_delay_ms=_LINK_DELAY_MS,
    )


async def measure(reactor: Any, options: Options) -> page.Section:
    """Run the measurement on its own processes.

    Args:
        reactor: Twisted reactor.
        options: Parameters of the measurement.

    Returns:
        Section of the page of measurements.
    """
    with processes.group() as group:
        return await ZoneRamp(mesh.Mesh(reactor, group), options).run()
