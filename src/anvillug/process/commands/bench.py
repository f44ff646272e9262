"""Subcommand `bench`: demonstrations and measurements on real processes."""

from __future__ import annotations

from anvillug.process.commands import _reactor


def demo() -> int:
    """Start stand-ins and three nodes, show calls, configuration, a zone move and a stop.

    Returns:
        Exit code: 0 if every step held.
    """
    # The bench is not part of a node and is imported only here.
    from anvillug.bench import demo as bench_demo  # noqa: PLC0415

    return _reactor.run(bench_demo.run)
