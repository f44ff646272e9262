"""Subcommand `bench`: demonstrations and measurements on real processes."""

from __future__ import annotations

import functools
import pathlib
import sys
from collections.abc import Sequence

from anvillug import findings
from anvillug.process import plain_tcp
from anvillug.process.commands import _reactor

_DEFAULT_OUTPUT = pathlib.Path('docs/measurements.md')
_EXIT_BAD_FILE = 2
_MIN_SOAK_NODES = 4


def demo() -> int:
    """Run stand-ins and three nodes; show calls, patches, a zone taken out and a graceful stop.

    Returns:
        Exit code: 0 if every step succeeded.
    """
    # The benchmarks are not part of a node, so they are imported only here.
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
    output: pathlib.Path = _DEFAULT_OUTPUT,
) -> int:
    """Run measurements on real processes and write the tables of the measurements page.

    Args:
        quick: Use small sizes.
        seed: Seed of arrivals and faults.
        runs: Number of seeds of the chooser comparison, starting at `seed`; 1 with `quick`.
        loads: Offered loads of that comparison; with `quick` only the first.
        misleading: Run that comparison also with backend servers that report a misleading load.
        measures: Measurements to run; all by default.
        output: File that the page is written to.

    Returns:
        Exit code 0.
    """
    # The benchmarks are not part of a node, so they are imported only here.
    from anvillug.bench import tables as bench_tables  # noqa: PLC0415

    unknown = set(measures) - set(bench_tables.MEASUREMENT_NAMES)
    if unknown:
        sys.exit(f'unknown measurement: {", ".join(sorted(unknown))}')
    run = bench_tables.Run(
        seed=seed,
        quick=quick,
        runs=1 if quick else runs,
        loads=tuple(loads[:1] if quick else loads),
        misleading=misleading,
        measures=tuple(measures) or bench_tables.MEASUREMENT_NAMES,
        output=output,
    )
    return _reactor.run(lambda reactor: bench_tables.write(reactor, run))


def scenario(file: pathlib.Path, *, seed: int = 1) -> int:
    """Run a scenario on separate processes and print each step with its outcome.

    Args:
        file: Scenario file.
        seed: Seed of all loads.

    Returns:
        Exit code: 0 if every step succeeded, 1 if a step failed, 2 for an invalid file.
    """
    from anvillug.bench import (  # noqa: PLC0415
        scenario_language,
        scenario_names,
        scenario_runner,
    )

    parsed = scenario_language.load(file)
    scenario_findings = (
        parsed.error if parsed.is_error() else scenario_names.check(parsed.ok, str(file))
    )
    if scenario_findings:
        sys.stderr.write(f'{findings.report(scenario_findings)}\n')
        return _EXIT_BAD_FILE
    return _reactor.run(functools.partial(scenario_runner.run, file.name, parsed.ok, seed))


def soak(  # noqa: WPS211 - each is a flag
    *,
    seed: int = 1,
    seconds: float = 60,
    nodes: int = 12,
    rate: float = 1,
    upload_bytes: int = 60_000,
    grace_s: float = 6,
    time_factor: float = 1,
    faults: Sequence[str] = (),
    logs: pathlib.Path | None = None,
) -> int:
    """Run nodes under traffic and random faults, and check their promises.

    Args:
        seed: Seed of faults and traffic.
        seconds: Time during which faults begin.
        nodes: Number of node processes, at least 4; at most half of the memory of the machine.
        rate: Traffic as a share of that of the guhachitra-mesh deployment.
        upload_bytes: Mean size of uploads.
        grace_s: Time in seconds from SIGTERM to SIGKILL.
        time_factor: Factor of work, latency objectives, timeouts and deadlines.
        faults: Kinds of faults, as docs/soak.md names them; chosen by the seed by default.
        logs: Folder for the output of the nodes and the list of broken promises.

    Returns:
        Exit code: 0 if all promises held, 1 if one was broken, 2 for invalid arguments.
    """
    from anvillug.bench import soak as bench_soak  # noqa: PLC0415
    from anvillug.bench import soak_faults, soak_fleet  # noqa: PLC0415

    is_positive = min(seconds, rate, upload_bytes, grace_s, time_factor) > 0
    if nodes < _MIN_SOAK_NODES or not is_positive:
        sys.stderr.write(f'soak: nodes must be {_MIN_SOAK_NODES} or more, the rest above 0\n')
        return _EXIT_BAD_FILE
    size_problem = soak_fleet.size_problem(nodes)
    if size_problem:
        sys.stderr.write(f'soak: {size_problem}\n')
        return _EXIT_BAD_FILE
    unknown = sorted(set(faults) - soak_faults.KINDS)
    if unknown:
        sys.stderr.write(f'soak: unknown faults {", ".join(unknown)}\n')
        return _EXIT_BAD_FILE
    plan = bench_soak.Plan(
        seed, seconds, nodes, rate, upload_bytes, grace_s, time_factor, faults, logs
    )
    return _reactor.run(functools.partial(bench_soak.run, plan))


def stops(  # noqa: WPS211 - each is a flag
    *,
    habit: str = 'goes-on',
    connections: int = 60,
    pause_ms: float = 100,
    stops: int = 4,
    busy: int = 0,
    grace_s: float = 6,
    work_ms: float = 0,
    timeout_ms: int = 1500,
    code: pathlib.Path | None = None,
    seed: int = 1,
) -> int:
    """Stop a node again and again under callers that keep their connections open.

    Args:
        habit: What callers do when a response announces the close: `honours-close` or
            `goes-on`; or `half-closes` after each request, with a connection for each.
        connections: Connections to the node.
        pause_ms: Mean time between the end of a request and the next one.
        stops: Number of stops, three seconds more than the grace time apart.
        busy: Number of busy processes beside.
        grace_s: Time in seconds from SIGTERM to SIGKILL.
        work_ms: Mean time of work on a request; by default, that of its kind.
        timeout_ms: Timeout of the routes, and deadline of the callers.
        code: Checkout whose code the nodes run; this one by default.
        seed: Seed of the work and the pauses.

    Returns:
        Exit code: 0 if no request was passed on or older than 200 ms when it was cut, and each
        caller that goes on had at most one cut by a stop, the others none; 1 otherwise, 2 for
        invalid arguments.
    """
    from anvillug.bench import socket_exchange  # noqa: PLC0415
    from anvillug.bench import stops as bench_stops  # noqa: PLC0415

    known = sorted(each.value for each in bench_stops.HABITS)
    is_negative = min(pause_ms, busy, work_ms) < 0
    if habit not in known or min(connections, stops) < 1 or is_negative:
        sys.stderr.write(f'stops: habits are {", ".join(known)}; 1 connection and stop or more\n')
        return _EXIT_BAD_FILE
    if min(grace_s, timeout_ms) <= 0:
        sys.stderr.write('stops: grace_s and timeout_ms must be above 0\n')
        return _EXIT_BAD_FILE
    plan = bench_stops.Plan(
        socket_exchange.Habit(habit),
        connections,
        pause_ms,
        stops,
        grace_s,
        work_ms,
        timeout_ms,
        busy,
        code,
        seed,
    )
    return _reactor.run(functools.partial(bench_stops.run, plan))


def crowd(  # noqa: WPS211 - each is a flag
    *,
    habit: str = 'resets-length',
    clients: int = 10,
    seconds: float = 15,
    nodes: int = 4,
    code: pathlib.Path | None = None,
    memory_mb: float = 300,
) -> int:
    """Play a crowd of clients that do not behave at the first of some nodes.

    Args:
        habit: What the clients do; see `bench/unruly_clients.py`.
        clients: Number of clients, at most 200.
        seconds: Time in seconds for which they do it, at most 120.
        nodes: Number of node processes, at least 2 and at most 12.
        code: Checkout whose code the nodes run; this one by default.
        memory_mb: Memory of a node process; one that exceeds it is killed.

    Returns:
        Exit code: 0 if no node ended by itself and all ordinary requests after the crowd were
        answered, 1 otherwise, 2 for invalid arguments.
    """
    from anvillug.bench import crowds, unruly_callers, unruly_clients  # noqa: PLC0415

    known = [each.value for each in unruly_clients.Habit]
    is_bounded = (
        1 <= clients <= unruly_callers.MAX_CLIENTS
        and 0 < seconds <= crowds.MAX_S
        and crowds.MIN_NODES <= nodes <= crowds.MAX_NODES
        and memory_mb > 0
    )
    if habit not in known or not is_bounded:
        sys.stderr.write(f'crowd: habits are {", ".join(known)}; for the limits, see --help\n')
        return _EXIT_BAD_FILE
    checkout = None if code is None else code.resolve()
    plan = crowds.Plan(unruly_clients.Habit(habit), clients, seconds, nodes, checkout, memory_mb)
    return _reactor.run(functools.partial(crowds.run, plan))


def starts(
    *,
    trouble: str = 'port',
    hold_s: float = 25,
    repeats: int = 20,
    code: pathlib.Path | None = None,
) -> int:
    """Start a node under trouble again and again, by the run line of the deploy file.

    Args:
        trouble: What it meets: `port` (each of its addresses is held), `settings` (the file is half
            written), `mask` (signals are blocked) or `early` (a signal in the first milliseconds).
        hold_s: Time in seconds for which an address is held or the file is half written.
        repeats: Starts for each signal and delay of `early`.
        code: Checkout whose code the nodes run; this one by default.

    Returns:
        Exit code: 0 if no node ended otherwise than it was told to, 1 otherwise, 2 for invalid
        arguments.
    """
    from anvillug.bench import soak_launch  # noqa: PLC0415
    from anvillug.bench import starts as bench_starts  # noqa: PLC0415

    known = [each.value for each in bench_starts.Trouble]
    if trouble not in known or hold_s <= 0 or repeats < 1:
        sys.stderr.write(f'starts: troubles are {", ".join(known)}; the rest above 0\n')
        return _EXIT_BAD_FILE
    checkout = soak_launch.ROOT if code is None else code.resolve()
    plan = bench_starts.Plan(bench_starts.Trouble(trouble), hold_s, repeats=repeats, code=checkout)
    return _reactor.run(functools.partial(bench_starts.run, plan))


def capacity(
    *,
    parts: Sequence[str] = ('logic', 'memory', 'log', 'nodes'),
    nodes: Sequence[int] = (4, 16, 48, 96),
    services: Sequence[int] = (10,),
    seed: int = 11,
) -> int:
    """Measure the cost of control per node and print tables with slopes.

    Args:
        parts: Parts to measure: logic, memory, log, nodes.
        nodes: Numbers of nodes in the meshes; 96 need about 6 GB of memory.
        services: Numbers of services in the document; each mesh is measured with each number.
        seed: Seed of random choices.

    Returns:
        Exit code: 0 if all parts were measured, 2 for an unknown part.
    """
    # The benchmarks are not part of a node, so they are imported only here.
    from anvillug.bench import capacity as bench_capacity  # noqa: PLC0415

    plan = bench_capacity.Plan(tuple(parts), tuple(nodes), tuple(services), seed)
    return _reactor.run(functools.partial(bench_capacity.run, plan))


def footprint() -> int:
    """Measure the memory of the parts of a node and the cost of control messages in this process.

    Returns:
        Exit code: 0.
    """
    plain_tcp.disable_tls()
    # Imports before the first measurement would be counted as memory of the first part.
    from anvillug.bench import capacity_control  # noqa: PLC0415

    return _reactor.run(capacity_control.main)
