"""Runs the measures and writes the page of measurements."""

from __future__ import annotations

import dataclasses
import datetime
import pathlib
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from anvillug.bench import page, path_cost, probe_cost, tail_latency, zone_ramp

_TAIL = 'tail'


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """What to measure and where to write it."""

    seed: int
    """Seed of all measures."""
    quick: bool
    """Whether to take small sizes."""
    measures: Sequence[str]
    """Names of the measures."""
    output: pathlib.Path
    """File of the page."""
    runs: int = 3
    """Seeds of the comparison of choosers."""
    loads: tuple[float, ...] = (0.7, 0.9)
    """Offered loads of that comparison."""

    misleading: bool = False
    """Whether that comparison also runs with misleading reports."""

    def command(self, measure: str) -> str:
        """Return the command line that repeats one measure."""
        words = ['anvillug bench tables', f'--seed {self.seed}']
        if self.quick:
            words.append('--quick')
        elif measure == _TAIL:
            loads = ' '.join(f'{load:g}' for load in self.loads)
            words.extend((f'--runs {self.runs}', f'--loads {loads}'))
        if self.misleading and measure == _TAIL:
            words.append('--misleading')
        return ' '.join((*words, f'--measures {measure}'))


_Measure = Callable[[Any, Run], Awaitable[page.Section]]


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


_MEASURES_BY_NAME: dict[str, _Measure] = {
    'path': _path_cost,
    'probes': _probe_cost,
    _TAIL: _tail_latency,
    'zone': _zone_ramp,
}
NAMES = tuple(_MEASURES_BY_NAME)
"""Names of all measures, in the order in which they run."""


async def write(reactor: Any, run: Run) -> int:
    """Run measures one after the other and write each section when it is done.

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
        section = await _MEASURES_BY_NAME[name](reactor, run)
        page.write(run.output, section, f'`{run.command(name)}`, seed {run.seed}, {date}.')
        sys.stdout.write(f'{section.body}\n')
    return 0
