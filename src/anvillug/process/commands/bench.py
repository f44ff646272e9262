"""Subcommand `bench`: demonstrations and measurements on real processes."""

from __future__ import annotations

import functools
from collections.abc import Sequence

from anvillug.process import plain_tcp
from anvillug.process.commands import _reactor


def demo() -> int:
    """Start stand-ins and three nodes, show calls, configuration, a zone move and a stop.

    Returns:
        Exit code: 0 if every step held.
    """
    # The bench is not part of a node and is imported only here.
    from anvillug.bench import demo as bench_demo  # noqa: PLC0415

    return _reactor.run(bench_demo.run)


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
