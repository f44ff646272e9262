"""Tail latency of the load-sample chooser and of baselines with a noisy neighbour."""

from __future__ import annotations

import dataclasses
import itertools
import math
import os
from collections.abc import Iterator, Sequence
from typing import Any

from anvillug import clock
from anvillug.bench import baselines, cpu, load, mesh, neighbour, page, processes, traffic

_SERVICE = 'drawbook'
_ZONES = ('kochi-1', 'kochi-2', 'kochi-3')
_HOSTS = 10
_SLOTS = 10
_LINK_DELAY_MS = 1.5
_CONNECT_COST_MS = 1.0
_SERVICE_SIGMA = 0.3
_REFERENCE_CHOOSER = 'samples'
_WARM_UP_SHARES = (0.2, 0.4, 0.6)
_WARM_UP_MS = 3000
_LEAD_IN_MS = 500
_LEAD_IN_SEED_OFFSET = 1000
# Less than a turn, so that the last calls end before the next turn.
_RUN_MS = 4500
_TURN_MARGIN_MS = 100
_IDLE_S = 3
_TARGET_LATENCY_FACTOR = 4
_MS_PER_SECOND = 1000
_PERCENT = 100
_MS_PER_CORE_PERCENT = 10  # CPU time per second that is 1% of a core


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Parameters of the measurement."""

    seeds: tuple[int, ...] = (1, 2, 3)
    """Seeds of arrivals and of the order in which the neighbour slows hosts."""
    load_shares: tuple[float, ...] = (0.7, 0.9)
    """Offered loads as shares of the capacity of all slots without a neighbour."""
    misleading: tuple[bool, ...] = (False, True)
    """Whether the load reports of the backend servers mislead; each value is measured."""
    service_ms: float = 100
    """Median service time; the shorter it is, the more calls/s and CPU the same load needs."""
    slow_factor: float = 5
    """Factor by which service times on the slowed host grow."""
    interval_ms: float = 300
    """Time for which the neighbour slows a host before it slows another one."""
    hedging: tuple[bool, ...] = (False, True)
    """Whether repeatable calls may be hedged; each value is measured."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChooserRun:
    """Results of one run of one chooser."""

    chooser: str
    """Name of the chooser."""
    load_share: float
    """Offered load as a share of the capacity."""
    misleading: bool
    """Whether the load reports of the backend servers misled."""
    hedged: bool
    """Whether hedges were allowed."""
    result: traffic.LoadResult
    """Counts and latencies."""
    usage: cpu.Usage
    """CPU time used during the run."""
    limit: float
    """Mean concurrency limit of the hosts before the run."""


def capacity_per_second(options: Options) -> float:
    """Return the calls per second that occupy all slots at the mean service time."""
    mean_ms = options.service_ms * math.exp(_SERVICE_SIGMA**2 / 2)
    return _HOSTS * _SLOTS * _MS_PER_SECOND / mean_ms


class Comparison:
    """Runs the choosers in turns on one mesh.

    Args:
        bench_mesh: Mesh without processes.
        options: Parameters of the measurement.
    """

    def __init__(self, bench_mesh: mesh.Mesh, options: Options) -> None:
        self._mesh = bench_mesh
        self._options = options
        self._runs: list[ChooserRun] = []
        self._idle: cpu.Usage | None = None
        self._config_number = 0
        self._wall = clock.SystemClock().wall

    async def run(self) -> page.Section:
        """Measure all combinations of the options.

        Returns:
            Section of the page of measurements.
        """
        await self._start()
        for hedged in self._options.hedging:
            await self._set_hedging(hedged)
            await self._run_combinations(hedged)
        body = '\n\n'.join((_latency_table(self._runs, self._options), self._cpu_text()))
        return page.Section('Tail latency with a noisy neighbour', self._introduction(), body)

    async def _set_hedging(self, hedged: bool) -> None:  # noqa: FBT001
        self._config_number += 1
        change = {'services': {_SERVICE: {'hedge': hedged}}}
        await self._mesh.publish_patch(self._config_number, change)
        await self._mesh.wait_until_config_in_effect(self._config_number + 1)

    async def _run_combinations(self, hedged: bool) -> None:  # noqa: FBT001
        for seed, share, misleading in self._combinations():
            noisy_neighbour = neighbour.NoisyNeighbour(
                self._mesh,
                seed,
                self._options.slow_factor,
                self._options.interval_ms,
                misleading=misleading,
            )
            noisy_neighbour.start()
            remaining = set(baselines.CHOOSER_NAMES)
            # A run whose last calls end late skips the turn of the next chooser.
            while remaining:
                chooser_run = await self._run_turn(
                    seed, share, misleading=misleading, hedged=hedged
                )
                if chooser_run.chooser in remaining:
                    remaining.remove(chooser_run.chooser)
                    self._runs.append(chooser_run)
            await noisy_neighbour.stop()
            # Skips a turn, so that the next combination begins with another chooser.
            await self._mesh.sleep(clock.to_seconds(baselines.TURN_MS))

    def _combinations(self) -> Iterator[tuple[int, float, bool]]:
        options = self._options
        for seed in options.seeds:
            for share in options.load_shares:
                for misleading in options.misleading:
                    yield seed, share, misleading

    async def _start(self) -> None:
        options = self._options
        bench_mesh = self._mesh
        bench_mesh.start_log()
        bench_mesh.add_hosts([_plan(number, options) for number in range(_HOSTS)])
        targets = {'latency_p99_ms': options.service_ms * _TARGET_LATENCY_FACTOR}
        service = {'version': 'v1', 'targets': targets, 'hedge': False}
        await bench_mesh.publish_patch(0, {'services': {_SERVICE: service}})
        await bench_mesh.wait_until_config_in_effect(1)
        await bench_mesh.wait_until_serving(_HOSTS, timeout_ms=30_000)
        idle = cpu.Meter(self._pids_by_name())
        await bench_mesh.sleep(_IDLE_S)
        self._idle = idle.read()
        for share in _WARM_UP_SHARES:
            await self._load(share, 0, _WARM_UP_MS)

    def _pids_by_name(self) -> dict[str, int]:
        return self._mesh.pids_by_name() | {'load generator': os.getpid()}

    async def _load(self, share: float, seed: int, duration_ms: float) -> traffic.LoadResult:
        plan = traffic.LoadPlan(
            addresses=tuple(host.caller_address for host in self._mesh.by_id.values()),
            kinds=(traffic.RequestKind('sheet', _SERVICE, path='/sheets/12'),),
            rate_per_second=capacity_per_second(self._options) * share,
            duration_ms=duration_ms,
            seed=seed,
        )
        return await load.run(plan, self._mesh.reactor)

    async def _mean_limit(self) -> float:
        loads = [(await self._mesh.state(host_id))['host']['load'] for host_id in self._mesh.by_id]
        return sum(int(load_text.split(',')[1]) for load_text in loads) / len(loads)

    async def _run_turn(
        self, seed: int, share: float, *, misleading: bool, hedged: bool
    ) -> ChooserRun:
        ms_until_next_turn = baselines.TURN_MS - self._wall() % baselines.TURN_MS
        await self._mesh.sleep(clock.to_seconds(ms_until_next_turn))
        turn = baselines.turn_index(self._wall() + _TURN_MARGIN_MS, len(baselines.CHOOSER_NAMES))
        await self._load(share, seed + _LEAD_IN_SEED_OFFSET, _LEAD_IN_MS)
        limit = await self._mean_limit()
        meter = cpu.Meter(self._pids_by_name())
        result = await self._load(share, seed, _RUN_MS)
        return ChooserRun(
            baselines.CHOOSER_NAMES[turn], share, misleading, hedged, result, meter.read(), limit
        )

    def _cpu_text(self) -> str:
        table = _cpu_table(self._runs)
        if self._idle is None:
            return table
        node_ms = cpu.total_ms(self._idle, ('node ',)) / _HOSTS / _IDLE_S
        idle = (
            f'Without calls, the machine was {self._idle.machine_percent:.0f}% busy, including '
            f'other programs; a node used {node_ms / _MS_PER_CORE_PERCENT:.1f}% of a core.'
        )
        return f'{table}\n\n{idle}'

    def _introduction(self) -> str:
        options = self._options
        return (
            f'{_HOSTS} hosts in {len(_ZONES)} zones, {_SLOTS} slots each, {_CONNECT_COST_MS:g} ms '
            f'of slot time per new connection, median service time {options.service_ms:g} ms '
            f'(log-normal, sigma {_SERVICE_SIGMA:g}). Every connection between nodes has a one-way '
            f'delay of {_LINK_DELAY_MS:g} ms, also within a zone. One host at a time is '
            f'slowed {options.slow_factor:g}-fold for {options.interval_ms:g} ms. The choosers '
            f'take turns of {baselines.TURN_MS / _MS_PER_SECOND:g} s on one mesh and share '
            'admission, limits, retries and hedges; only the choice of the host differs. '
            f'{_RUN_MS / _MS_PER_SECOND:g} s of each turn are measured, with '
            f'seeds {", ".join(map(str, options.seeds))}. Load is the share of '
            f'{capacity_per_second(options):.0f} calls/s. `two-choices` compares the loads that '
            'the host sides report. Misleading: the slowed backend server reports no load and the '
            'others full load on their own endpoint. No chooser reads that endpoint, so this '
            'condition shows only that such reports have no effect. Latencies are those of calls '
            'answered with 200; the others were rejected as not run unless counted as errors.'
        )


def _plan(number: int, options: Options) -> mesh.HostPlan:
    return mesh.HostPlan(
        f'host-{number}',
        _ZONES[number % len(_ZONES)],
        _SERVICE,
        backend_options={
            'slots': _SLOTS,
            'connect-cost-ms': _CONNECT_COST_MS,
            'service-ms': options.service_ms,
            'service-sigma': _SERVICE_SIGMA,
            'seed': number,
        },
        link_delay_ms=_LINK_DELAY_MS,
        node_settings={'chooser': baselines.ROTATION},
    )


def _latency_table(runs: Sequence[ChooserRun], options: Options) -> str:
    rows: list[Sequence[object]] = []
    combinations = itertools.product(options.hedging, options.misleading, options.load_shares)
    for hedged, misleading, share in combinations:
        combination_runs = [
            run
            for run in runs
            if (run.hedged, run.misleading, run.load_share) == (hedged, misleading, share)
        ]
        labels = (
            'on' if hedged else 'off',
            'misleading' if misleading else 'true',
            f'{share:.0%}',
        )
        rows.extend(_combination_rows(combination_runs, labels))
    columns = (
        'hedging',
        'reports',
        'load',
        'chooser',
        'calls',
        'not answered with 200, %',
        'errors',
        'p50 ms',
        'p99 ms',
        'p99.9 ms',
        'p99 over ours',
        'p99.9 over ours',
        'p99 over ours, by seed',
        'limit of a host before',
    )
    return page.table(columns, rows)


def _combination_rows(
    combination_runs: Sequence[ChooserRun], labels: Sequence[str]
) -> Iterator[Sequence[object]]:
    results_by_chooser = {
        chooser: [run.result for run in combination_runs if run.chooser == chooser]
        for chooser in baselines.CHOOSER_NAMES
    }
    reference = results_by_chooser[_REFERENCE_CHOOSER]
    for chooser, results in results_by_chooser.items():
        limits = [run.limit for run in combination_runs if run.chooser == chooser]
        limit = sum(limits) / len(limits)
        yield [*labels, chooser, *_metrics(results, reference), limit]


def _metrics(
    results: Sequence[traffic.LoadResult], reference: Sequence[traffic.LoadResult]
) -> Iterator[object]:
    merged = _merged(results)
    merged_reference = _merged(reference)
    yield merged.sent
    yield _PERCENT * (1 - merged.by_status['200'] / merged.sent)
    yield sum(merged.errors.values()) + sum(merged.wrong.values())
    for percentile in (50, 99, 99.9):
        yield merged.percentile_ms(percentile)
    for tail in (99, 99.9):
        yield merged.percentile_ms(tail) / merged_reference.percentile_ms(tail)
    by_seed = [
        result.percentile_ms(99) / reference_result.percentile_ms(99)
        for result, reference_result in zip(results, reference, strict=True)
    ]
    yield ', '.join(f'{ratio:.2f}' for ratio in by_seed)


def _merged(results: Sequence[traffic.LoadResult]) -> traffic.LoadResult:
    merged = traffic.LoadResult()
    for result in results:
        merged.merge(result)
    return merged


def _cpu_table(runs: Sequence[ChooserRun]) -> str:
    rows = []
    for share in sorted({run.load_share for run in runs}):
        usages = [run.usage for run in runs if run.load_share == share]
        machine = [usage.machine_percent for usage in usages]
        busiest = [usage.busiest_percent for usage in usages]
        rows.append(
            (f'{share:.0%}', sum(machine) / len(machine), max(machine), max(busiest)),
        )
    columns = ('load', 'machine CPU %, mean', 'machine CPU %, most', 'busiest process, % of a core')
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
        return await Comparison(mesh.Mesh(reactor, group), options).run()
