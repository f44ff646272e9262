"""Randomized soak: real node processes under traffic and faults, with their promises checked.

The faults come in series that overlap; a seed reproduces their order, but not the scheduling of
the processes. See docs/soak.md.
"""

from __future__ import annotations

import dataclasses
import pathlib
import random
import tempfile
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet import task

from anvillug.bench import (
    soak_classes,
    soak_faults,
    soak_fleet,
    soak_records,
    soak_report,
    soak_traffic,
    soak_unruly,
)

_SLOTS = 12
_FIELDVAULT_EVERY = 4
_START_S = 6.0
_SETTLE_S = 4.0
_MAX_LATE_S = 15


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a soak."""

    seed: int
    """Seed of faults and traffic."""
    duration_s: float
    """Time during which faults begin."""
    nodes: int
    """Node processes."""
    rate: float
    """Traffic as a share of the table's."""
    upload_bytes: int
    """Mean size of uploads."""
    grace_s: float
    """Time from SIGTERM to SIGKILL."""
    time_factor: float
    """Factor of work, latency objectives, timeouts and deadlines."""
    faults: Sequence[str]
    """Kinds of faults; empty to choose them by the seed."""
    logs: pathlib.Path | None
    """Folder for the output of the nodes and the report; None discards them."""


async def run(plan: Plan, reactor: Any) -> int:
    """Run a soak and print what it has found.

    Returns:
        Exit code: 0 if all promises held, 1 if one was broken.
    """
    rng = random.Random(plan.seed)
    records = soak_records.Records(plan.grace_s)
    services = [
        'fieldvault' if number % _FIELDVAULT_EVERY == 0 else 'drawbook'
        for number in range(plan.nodes)
    ]
    kinds = soak_faults.choose(rng, plan.seed, plan.faults)
    classes = [_scaled(each, plan) for each in soak_classes.CALLERS]
    call = _scaled(soak_classes.CALL, plan)
    called = [call] if soak_faults.CALLS in kinds else []
    with tempfile.TemporaryDirectory(prefix='anvillug-soak-') as folder:
        path = pathlib.Path(folder)
        fleet = soak_fleet.Fleet(reactor, path, services, _SLOTS, [*classes, *called], records, rng)
        addresses = [host.address(2) for host in fleet.hosts]
        outside = soak_traffic.CallerProcesses(addresses, classes, plan.seed, plan.duration_s)
        callers = soak_traffic.Callers(reactor, addresses, records, outside)
        faults = soak_faults.Faults(fleet, callers, classes, call, kinds)
        crowds = soak_unruly.Crowds(fleet, plan.seed, plan.duration_s)
        begins = [faults.begin, *([crowds.begin] if soak_unruly.UNRULY in kinds else ())]
        try:
            await _play(plan, fleet, callers, outside, begins)
        finally:
            outside.stop()
            fleet.stop()
    outside.record(records)
    outputs = {f'host-{host.number}.log': ''.join(host.outputs) for host in fleet.hosts}
    return soak_report.write(plan.seed, records, faults.counts + crowds.counts, outputs, plan.logs)


async def _play(
    plan: Plan,
    fleet: soak_fleet.Fleet,
    callers: soak_traffic.Callers,
    outside: soak_traffic.CallerProcesses,
    begins: Sequence[Callable[[], None]],
) -> None:
    fleet.start()
    fleet.records.stalls.tick_in_loop(fleet.reactor)
    await task.deferLater(fleet.reactor, _START_S)
    await fleet.wait_for_start()
    outside.start()
    for begin in begins:
        begin()
    await task.deferLater(fleet.reactor, plan.duration_s)
    callers.stopped = True
    await task.deferLater(fleet.reactor, _SETTLE_S)
    for _ in range(_MAX_LATE_S):
        if not outside.running:
            return
        await task.deferLater(fleet.reactor, 1)
    fleet.records.own_ends.append(f'callers run {_SETTLE_S + _MAX_LATE_S:.0f} s after their time')


def _scaled(request_class: soak_classes.RequestClass, plan: Plan) -> soak_classes.RequestClass:
    body_bytes = (
        plan.upload_bytes if request_class is soak_classes.SCAN else request_class.body_bytes
    )
    return dataclasses.replace(
        request_class,
        per_second=request_class.per_second * plan.rate,
        body_bytes=body_bytes,
        work_ms=request_class.work_ms * plan.time_factor,
        target_ms=request_class.target_ms * plan.time_factor,
        deadline_ms=int(request_class.deadline_ms * plan.time_factor),
    )
