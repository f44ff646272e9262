"""Runs the measurements and writes their results to a Markdown page."""

from __future__ import annotations

import dataclasses
import datetime
import pathlib
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from anvillug.bench import page, path_cost, probe_cost, tail_latency, zone_ramp

_TAIL_LATENCY = 'tail'


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """What to measure and where to write it."""

    seed: int
    """Seed of all measurements."""
    quick: bool
    """Whether to use small sizes."""
    measures: Sequence[str]
    """Names of the measurements; see `MEASUREMENT_NAMES`."""
    output: pathlib.Path
    """File of the page."""
    runs: int = 3
    """Number of seeds in the comparison of choosers, from `seed` on."""
    loads: tuple[float, ...] = (0.7, 0.9)
    """Offered loads in the comparison of choosers, as shares of the capacity."""
    misleading: bool = False
    """Whether the comparison also runs with misleading load reports of backend servers."""

    def command(self, measurement: str) -> str:
        """Return the command line that repeats one measurement."""
        arguments = ['anvillug bench tables', f'--seed {self.seed}']
        if self.quick:
            arguments.append('--quick')
        elif measurement == _TAIL_LATENCY:
            loads = ' '.join(f'{load:g}' for load in self.loads)
            arguments.extend((f'--runs {self.runs}', f'--loads {loads}'))
        if self.misleading and measurement == _TAIL_LATENCY:
            arguments.append('--misleading')
        return ' '.join((*arguments, f'--measures {measurement}'))


_Measurement = Callable[[Any, Run], Awaitable[page.Section]]


def _path_cost(reactor: Any, run: Run) -> Awaitable[page.Section]:
    options = path_cost.Options(seed=run.seed)
    if run.quick:
        options = dataclasses.replace(options, sequential_calls=1500, duration_ms=6000)
    return path_cost.measure(reactor, options)


def _tail_latency(reactor: Any, run: Run) -> Awaitable[page.Section]:
    options = tail_latency.Options(
        seeds=tuple(range(run.seed, run.seed + run.runs)),
        load_shares=run.loads,
        misleading=(False, True) if run.misleading else (False,),
    )
    return tail_latency.measure(reactor, options)


def _probe_cost(reactor: Any, run: Run) -> Awaitable[page.Section]:
    options = probe_cost.Options(seed=run.seed)
    if run.quick:
        options = dataclasses.replace(options, senders=(2, 8), duration_ms=3000)
    return probe_cost.measure(reactor, options)


def _zone_ramp(reactor: Any, run: Run) -> Awaitable[page.Section]:
    options = zone_ramp.Options(seed=run.seed)
    if run.quick:
        options = dataclasses.replace(options, ramps_ms=(3000, 0), phase_ms=2000)
    return zone_ramp.measure(reactor, options)


_MEASUREMENTS_BY_NAME: dict[str, _Measurement] = {
    'path': _path_cost,
    'probes': _probe_cost,
    _TAIL_LATENCY: _tail_latency,
    'zone': _zone_ramp,
}
MEASUREMENT_NAMES = tuple(_MEASUREMENTS_BY_NAME)
"""Names of all measurements, in the order in which they run."""


async def write(reactor: Any, run: Run) -> int:
    """Run measurements one after the other and write each section when it is complete.

    Args:
        reactor: Twisted reactor.
        run: What to measure.

    Returns:
        Exit code 0.
    """
    for name in run.measures:
        date = datetime.datetime.now(datetime.UTC).strftime('%Y-%m-%d %H:%M UTC')
        sys.stdout.write(f'{name}: started {date}\n')
        sys.stdout.flush()
        section = await _MEASUREMENTS_BY_NAME[name](reactor, run)
        page.write(run.output, section, f'`{run.command(name)}`, seed {run.seed}, {date}.')
        sys.stdout.write(f'{section.body}\n')
    return 0
