"""Crowds of clients that do not behave, beside the other faults of a soak."""

from __future__ import annotations

import collections
import math
import random

from anvillug import event_log
from anvillug.bench import (
    processes,
    soak_fleet,
    soak_host,
    soak_records,
    unruly_callers,
    unruly_clients,
)

UNRULY = 'unruly'
"""Kind of these faults."""

_MAX_HABITS = 2
_MAX_NODES = 2
# Shortest and longest time, fewest and most clients.
_LASTS_S = (3.0, 8.0)
_PAUSE_S = (1.0, 6.0)
_CLIENTS = (10, 40)
# How often a crowd is recorded while it lasts, and for how long after it a node may lag behind.
_MARK_S = 1.0
_AFTER_S = 2.0


class Crowds:
    """Sends one crowd after the other to one or two nodes each.

    They have a schedule and a source of choices of their own, so that a seed has the other faults
    that it has without them.

    Args:
        fleet: The processes and stand-ins.
        seed: Seed of the soak.
        duration_s: Time during which crowds begin.
    """

    def __init__(self, fleet: soak_fleet.Fleet, seed: int, duration_s: float) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        """Crowds by the habits of their clients."""
        self._fleet = fleet
        self._rng = random.Random(f'{seed} crowds')
        self._left_s = duration_s
        self._processes: list[processes.ChildProcess] = []
        fleet.after_stop.append(self._end)

    def begin(self) -> None:
        """Begin the first crowd after a pause."""
        pause_s = self._rng.uniform(*_PAUSE_S)
        self._left_s -= pause_s
        if self._left_s > 0:
            self._fleet.later(pause_s, self._begin_crowd)

    def _begin_crowd(self) -> None:
        rng = self._rng
        habits = rng.sample(list(unruly_clients.Habit), rng.randint(1, _MAX_HABITS))
        hosts = rng.sample(self._fleet.hosts, rng.randint(1, _MAX_NODES))
        lasts_s = rng.uniform(*_LASTS_S)
        plan = unruly_callers.Plan(
            [_caller_address(host) for host in hosts],
            [habit.value for habit in habits],
            rng.randint(*_CLIENTS),
            lasts_s,
        )
        name = '+'.join(plan.habits)
        self.counts[f'{UNRULY} {name}'] += 1
        numbers = ','.join(str(host.number) for host in hosts)
        event_log.emit('soak_crowd', habits=name, hosts=numbers, clients=plan.clients)
        self._processes.append(unruly_callers.start(plan))
        for number in range(math.ceil((lasts_s + _AFTER_S) / _MARK_S) + 1):
            self._fleet.later(number * _MARK_S, self._mark, hosts)
        self._left_s -= lasts_s
        self._fleet.later(lasts_s, self.begin)

    def _mark(self, hosts: list[soak_host.Host]) -> None:
        for host in hosts:
            self._fleet.disturb(host, soak_records.Disturbance.CROWD)

    def _end(self) -> None:
        for process in self._processes:
            process.kill()


def _caller_address(host: soak_host.Host) -> str:
    """Return the address that a node listens on for callers, without a link before it."""
    address = host.address(soak_host.CALLER_PORT_INDEX)
    return host.bound_addresses.get(address, address)
