"""Randomized soak: real node processes under traffic and faults, with their promises checked.

The faults come in series that overlap; a seed reproduces their order, but not the scheduling of
the processes. See docs/soak.md.
"""

from __future__ import annotations

import collections
import dataclasses
import pathlib
import random
import sys
import tempfile
from collections.abc import Sequence
from typing import Any

from twisted.internet import task

from anvillug.bench import soak_checks, soak_faults, soak_fleet, soak_records, soak_traffic

SHEET = soak_traffic.RequestClass('sheet', 'idempotent', 'drawbook', 224, 60, 200, 1200)
REVISION = soak_traffic.RequestClass('rev', 'non_idempotent', 'drawbook', 76, 78, 250, 1500, 300)
SCAN = soak_traffic.RequestClass('scan', 'upload', 'fieldvault', 27.2, 72, 300, 2000, 60_000)
BILL = soak_traffic.RequestClass('bill', 'non_idempotent', 'fieldvault', 24.6, 48, 150, 1000, 300)
CLASSES = (SHEET, REVISION, SCAN, BILL)
"""Traffic of the guhachitra-mesh deployment, without calls between services."""

_SLOTS = 12
_FIELDVAULT_EVERY = 4
_START_S = 6.0
_SETTLE_S = 4.0
_MAX_SHOWN = 20


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
    faults: Sequence[str]
    """Kinds of faults; empty to choose them by the seed."""
    logs: pathlib.Path | None
    """Folder for the output of the nodes; None discards it."""


async def run(plan: Plan, reactor: Any) -> int:
    """Run a soak and print what it has found.

    Returns:
        Exit code: 0 if all promises held, 1 if one was broken.
    """
    rng = random.Random(plan.seed)
    records = soak_records.Records()
    services = [
        'fieldvault' if number % _FIELDVAULT_EVERY == 0 else 'drawbook'
        for number in range(plan.nodes)
    ]
    classes = [_scaled(each, plan) for each in CLASSES]
    with tempfile.TemporaryDirectory(prefix='anvillug-soak-') as folder:
        path = pathlib.Path(folder)
        fleet = soak_fleet.Fleet(reactor, path, services, _SLOTS, classes, records, rng)
        addresses = [host.address(2) for host in fleet.hosts]
        callers = soak_traffic.Callers(reactor, addresses, records, rng)
        faults = soak_faults.Faults(
            fleet, callers, classes, soak_faults.choose(rng, plan.seed, plan.faults)
        )
        try:
            await _play(plan, fleet, callers, faults, classes)
        finally:
            fleet.stop()
    return _report(plan, fleet, records, faults.counts)


async def _play(
    plan: Plan,
    fleet: soak_fleet.Fleet,
    callers: soak_traffic.Callers,
    faults: soak_faults.Faults,
    classes: Sequence[soak_traffic.RequestClass],
) -> None:
    fleet.start()
    await task.deferLater(fleet.reactor, _START_S)
    for request_class in classes:
        callers.start(request_class)
    faults.begin()
    await task.deferLater(fleet.reactor, plan.duration_s)
    callers.stopped = True
    await task.deferLater(fleet.reactor, _SETTLE_S)


def _scaled(request_class: soak_traffic.RequestClass, plan: Plan) -> soak_traffic.RequestClass:
    body_bytes = plan.upload_bytes if request_class is SCAN else request_class.body_bytes
    return dataclasses.replace(
        request_class, per_second=request_class.per_second * plan.rate, body_bytes=body_bytes
    )


def _report(
    plan: Plan,
    fleet: soak_fleet.Fleet,
    records: soak_records.Records,
    counts: collections.Counter[str],
) -> int:
    statuses = collections.Counter(attempt.status for attempt in records.attempts)
    broken = soak_checks.broken(records)
    answers = dict(sorted(statuses.items()))
    sys.stdout.write(
        f'seed {plan.seed}: {len(records.attempts)} requests, answers {answers}, '
        f'faults {dict(sorted(counts.items()))}, at most {records.peak_mb:.0f} MB a node\n'
    )
    slowest = max(records.start_ms, default=(0.0, 'none'))
    sys.stdout.write(
        f'{len(records.start_ms)} starts, slowest {slowest[0]:.0f} ms ({slowest[1]})\n'
    )
    for problem in broken[:_MAX_SHOWN]:
        sys.stdout.write(f'broken: {problem}\n')
    sys.stdout.write(f'seed {plan.seed}: {len(broken)} promises broken\n')
    if plan.logs is not None:
        _write_logs(plan.logs, fleet, broken)
    return 1 if broken or not statuses.get(200) else 0


def _write_logs(folder: pathlib.Path, fleet: soak_fleet.Fleet, broken: list[str]) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for host in fleet.hosts:
        (folder / f'host-{host.number}.log').write_text(''.join(host.outputs))
    (folder / 'broken.txt').write_text('\n'.join(broken))
