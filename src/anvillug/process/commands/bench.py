"""Subcommand `bench`: demonstrations and measurements on real processes."""

from __future__ import annotations

import pathlib
import sys
from collections.abc import Sequence

from anvillug.process.commands import _reactor

_PAGE = pathlib.Path('docs/measurements.md')


def demo() -> int:
    """Start stand-ins and three nodes, show calls, configuration, a zone move and a stop.

    Returns:
        Exit code: 0 if every step held.
    """
    # The bench is not part of a node and is imported only here.
    from anvillug.bench import demo as bench_demo  # noqa: PLC0415

    return _reactor.run(bench_demo.run)


def tables(
    *,
    quick: bool = False,
    seed: int = 1,
    runs: int = 3,
    loads: Sequence[float] = (0.7, 0.9),
    misleading: bool = False,
    measures: Sequence[str] = (),
    output: pathlib.Path = _PAGE,
) -> int:
    """Run measures on real processes and write their tables to the page of measurements.

    Args:
        quick: Take small sizes.
        seed: Seed of arrivals and faults.
        runs: Seeds of the comparison of choosers, from `seed` on; 1 with `quick`.
        loads: Offered loads of that comparison; 0.7 with `quick`.
        misleading: Run that comparison also with misleading reports of backend servers.
        measures: Measures to run; none for all.
        output: File of the page.

    Returns:
        Exit code 0.
    """
    # The bench is not part of a node and is imported only here.
    from anvillug.bench import tables as bench_tables  # noqa: PLC0415

    unknown = set(measures) - set(bench_tables.NAMES)
    if unknown:
        sys.exit(f'no such measure: {", ".join(sorted(unknown))}')
    run = bench_tables.Run(
        seed=seed,
        quick=quick,
        runs=1 if quick else runs,
        loads=tuple(loads[:1] if quick else loads),
        misleading=misleading,
        measures=tuple(measures) or bench_tables.NAMES,
        output=output,
    )
    return _reactor.run(lambda reactor: bench_tables.write(reactor, run))
