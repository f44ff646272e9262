"""Share of slot time that probes use, by call rate and number of nodes that receive calls."""

from __future__ import annotations

import dataclasses
from typing import Any

from anvillug import clock
from anvillug.bench import cpu, load, mesh, page, processes, traffic

_SERVICE = 'catalogue'
_ZONES = ('graz', 'leoben', 'murau', 'liezen')
_HOSTS = 8
_SLOTS = 10
_PROBE_COST_MS = 6.0
_SERVICE_MS = 20.0
_BUDGET_PERCENT = 1.0
_US_PER_MS = 1000
_PERCENT = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Parameters of the measurement."""

    seed: int = 1
    """Seed of arrivals."""
    senders: tuple[int, ...] = (2, 4, 8)
    """Numbers of entry nodes that receive calls from callers."""
    rates_per_second: tuple[float, ...] = (0, 10, 400)
    """Calls per second of the service, on all nodes together."""
    duration_ms: float = 10_000
    """Duration of one run."""


class ProbeCost:
    """Measures all combinations of the options on one mesh.

    Args:
        bench_mesh: Mesh without processes.
        options: Parameters of the measurement.
    """

    def __init__(self, bench_mesh: mesh.Mesh, options: Options) -> None:
        self._mesh = bench_mesh
        self._options = options

    async def run(self) -> page.Section:
        """Measure all combinations of the options.

        Returns:
            Section of the page of measurements.
        """
        await self._start()
        rows = [
            await self._measure_row(senders, rate)
            for rate in self._options.rates_per_second
            for senders in self._options.senders
        ]
        columns = (
            'calls/s',
            'nodes sending',
            'calls answered with 200',
            'probes',
            'slot time of probes, %',
            'most on one host, %',
            'budget, %',
            'load samples/s of a sending node',
            'machine CPU %',
        )
        seconds = clock.to_seconds(self._options.duration_ms)
        introduction = (
            f'{_HOSTS} hosts in {len(_ZONES)} zones, {_SLOTS} slots each, {_PROBE_COST_MS:g} ms of '
            f'slot time per probe, median service time {_SERVICE_MS:g} ms. The backend servers '
            f'count the slot time of `/health` and `/load` over {seconds:g} s. Only the node '
            'on the host of a backend server probes it; nodes sample each other through '
            '`/-/load`, which does not reach a backend server.'
        )
        return page.Section('Cost of measuring', introduction, page.table(columns, rows))

    async def _start(self) -> None:
        bench_mesh = self._mesh
        bench_mesh.start_log()
        bench_mesh.add_hosts([_plan(number) for number in range(_HOSTS)])
        service = {'version': 'v1', 'probe_budget_percent': _BUDGET_PERCENT}
        await bench_mesh.publish_patch(0, {'services': {_SERVICE: service}})
        await bench_mesh.wait_until_config_in_effect(1)
        await bench_mesh.wait_until_serving(_HOSTS, timeout_ms=30_000)

    async def _measure_row(self, senders: int, rate: float) -> list[object]:
        duration_ms = self._options.duration_ms
        probes_before = await self._probe_counts()
        samples_before = await self._sample_count()
        meter = cpu.Meter({})
        answered = 0
        if rate:
            answered = (await self._load(senders, rate)).by_status['200']
        else:
            await self._mesh.sleep(clock.to_seconds(duration_ms))
        machine_percent = meter.read().machine_percent
        probes_after = await self._probe_counts()
        samples = await self._sample_count() - samples_before
        slot_ms = [
            (new['probe_slot_us'] - old['probe_slot_us']) / _US_PER_MS
            for new, old in zip(probes_after, probes_before, strict=True)
        ]
        probes = sum(
            new['probes'] - old['probes']
            for new, old in zip(probes_after, probes_before, strict=True)
        )
        available_ms = duration_ms * _SLOTS
        return [
            f'{rate:g}',
            senders,
            answered,
            probes,
            f'{_PERCENT * sum(slot_ms) / available_ms / _HOSTS:.3f}',
            f'{_PERCENT * max(slot_ms) / available_ms:.3f}',
            _BUDGET_PERCENT,
            samples / senders / clock.to_seconds(duration_ms),
            machine_percent,
        ]

    async def _load(self, senders: int, rate: float) -> traffic.LoadResult:
        hosts = list(self._mesh.by_id.values())[:senders]
        plan = traffic.LoadPlan(
            addresses=tuple(host.caller_address for host in hosts),
            kinds=(traffic.RequestKind('stock', _SERVICE, path='/stock/7'),),
            rate_per_second=rate,
            duration_ms=self._options.duration_ms,
            seed=self._options.seed,
        )
        return await load.run(plan, self._mesh.reactor)

    async def _probe_counts(self) -> list[dict[str, int]]:
        host_counts = []
        for host in self._mesh.by_id.values():
            counts = (await self._mesh.get(host.backend_address, '/control/state'))['counts']
            host_counts.append({name: counts.get(name, 0) for name in ('probes', 'probe_slot_us')})
        return host_counts

    async def _sample_count(self) -> int:
        states = [await self._mesh.state(host_id) for host_id in self._mesh.by_id]
        return sum(state['entry']['counters']['samples'] for state in states)


def _plan(number: int) -> mesh.HostPlan:
    return mesh.HostPlan(
        f'host-{number}',
        _ZONES[number % len(_ZONES)],
        _SERVICE,
        backend_options={
            'slots': _SLOTS,
            'probe-cost-ms': _PROBE_COST_MS,
            'service-ms': _SERVICE_MS,
            'seed': number,
        },
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
        return await ProbeCost(mesh.Mesh(reactor, group), options).run()
