"""Subcommand `bench`: demonstrations and measurements on real processes."""

from __future__ import annotations

import functools
import pathlib
import sys
from collections.abc import Sequence

from anvillug import findings
from anvillug.process import plain_tcp
from anvillug.process.commands import _reactor

_PAGE = pathlib.Path('docs/measurements.md')
_BAD_FILE = 2


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


def scenario(file: pathlib.Path, *, seed: int = 1) -> int:
    """Run a scenario on processes of its own and print each step with its outcome.

    Args:
        file: Scenario file.
        seed: Seed of all loads.

    Returns:
        Exit code: 0 if every step held, 1 if one did not, 2 for a bad file.
    """
    from anvillug.bench import (  # noqa: PLC0415
        scenario_language,
        scenario_names,
        scenario_runner,
    )

    parsed = scenario_language.load(file)
    found = parsed.error if parsed.is_error() else scenario_names.check(parsed.ok, str(file))
    if found:
        sys.stderr.write(f'{findings.report(found)}\n')
        return _BAD_FILE
    return _reactor.run(functools.partial(scenario_runner.run, file.name, parsed.ok, seed))


def capacity(
    *,
    parts: Sequence[str] = ('logic', 'memory', 'log', 'nodes'),
    nodes: Sequence[int] = (4, 16, 48, 96),
    services: Sequence[int] = (10,),
    seed: int = 11,
) -> int:
    """Measure what control costs per node and print tables with slopes.

    Args:
        parts: What to measure: logic, memory, log, nodes.
        nodes: Numbers of nodes of the meshes; 96 take about 6 GB of memory.
        services: Numbers of services in the document; each mesh is run with each.
        seed: Seed of random choices.

    Returns:
        Exit code: 0 when everything was measured, 2 for an unknown part.
    """
    # The bench is not part of a node and is imported only here.
    from anvillug.bench import capacity as bench_capacity  # noqa: PLC0415

    plan = bench_capacity.Plan(tuple(parts), tuple(nodes), tuple(services), seed)
    return _reactor.run(functools.partial(bench_capacity.run, plan))


def footprint() -> int:
    """Measure the memory of the parts of a node and the cost of control messages in this process.

    Returns:
        Exit code: 0.
    """
    plain_tcp.leave_out_tls()
    # What is imported before the first measurement would be counted with the first part.
    from anvillug.bench import capacity_control  # noqa: PLC0415

    return _reactor.run(capacity_control.main)
