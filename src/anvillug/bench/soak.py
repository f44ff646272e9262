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

from twisted.internet import defer, task

from anvillug import event_log
from anvillug.bench import soak_fleet, soak_records, soak_traffic
from anvillug.standin import platform_store

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
    logs: pathlib.Path | None
    """Folder for the output of the nodes; None discards it."""


class _Faults:
    """Begins series of faults at random times."""

    def __init__(self, fleet: soak_fleet.Fleet, callers: soak_traffic.Callers) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        """Faults by kind."""
        self._fleet = fleet
        self._callers = callers
        self._rng = fleet.rng
        actions = {
            'roll': self._roll,
            'terminate': self._terminate,
            'kill': self._kill,
            'herd': self._herd,
            'pause': self._pause,
            'store': self._store,
            'config': self._config,
            'replace': self._replace,
            'burst': self._burst,
        }
        # With few kinds of faults a seed, processes also live long enough to show slow growth.
        names = self._rng.sample(sorted(actions), self._rng.randint(2, 5))
        self._actions = {name: actions[name] for name in names}

    def begin(self) -> None:
        """Begin the next fault and schedule the one after it, until the soak is over."""
        if self._fleet.stopped or self._callers.stopped:
            return
        name = self._rng.choice(sorted(self._actions))
        self.counts[name] += 1
        event_log.emit('soak_fault', kind=name)
        self._actions[name]()
        self._later(self._rng.expovariate(1 / 1.5), self.begin)

    def _later(self, delay_s: float, action: Any, *arguments: object) -> None:
        self._fleet.reactor.callLater(delay_s, self._act, action, arguments)

    def _act(self, action: Any, arguments: tuple[object, ...]) -> None:
        if not self._fleet.stopped:
            action(*arguments)

    def _host(self) -> soak_fleet.Host:
        running = [host for host in self._fleet.hosts if host.node is not None]
        return self._rng.choice(running or self._fleet.hosts)

    def _on_node(self, action: Any, host: soak_fleet.Host, *arguments: object) -> None:
        if host.node is not None:
            action(host, *arguments)

    def _roll(self) -> None:
        for place, host in enumerate(self._rng.sample(self._fleet.hosts, 3)):
            self._later(place * 1.2, self._on_node, self._fleet.terminate, host)

    def _terminate(self) -> None:
        self._on_node(self._fleet.terminate, self._host())

    def _kill(self) -> None:
        self._on_node(self._fleet.kill, self._host())

    def _herd(self) -> None:
        for host in self._rng.sample(self._fleet.hosts, len(self._fleet.hosts) // 3):
            self._on_node(self._fleet.kill, host)

    def _pause(self) -> None:
        self._on_node(self._fleet.pause, self._host(), self._rng.uniform(0.2, 3.0))

    def _store(self) -> None:
        fault = self._rng.choice(('outage', 'silent'))
        faults = platform_store.StoreFaults(**{fault: True})
        self._fleet.fail_store(self._rng.uniform(0.5, 6.0), faults)

    def _config(self) -> None:
        for place in range(self._rng.randint(1, 4)):
            self._later(place * 0.3, self._fleet.change_config)

    def _replace(self) -> None:
        defer.ensureDeferred(self._host().replace_backend())

    def _burst(self) -> None:
        for number in range(100):
            self._later(number * 0.01, self._callers.send, self._rng.choice(CLASSES))


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
        faults = _Faults(fleet, callers)
        try:
            await _play(plan, fleet, callers, faults, classes)
        finally:
            fleet.stop()
    return _report(plan, fleet, records, faults.counts)


async def _play(
    plan: Plan,
    fleet: soak_fleet.Fleet,
    callers: soak_traffic.Callers,
    faults: _Faults,
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
    broken = records.broken()
    answers = dict(sorted(statuses.items()))
    sys.stdout.write(
        f'seed {plan.seed}: {len(records.attempts)} requests, answers {answers}, '
        f'faults {dict(sorted(counts.items()))}, at most {records.peak_mb:.0f} MB a node\n'
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
