"""Faults of a soak: series of signals, store failures and changes that overlap."""

from __future__ import annotations

import collections
from collections.abc import Sequence
from typing import Any

from twisted.internet import defer

from anvillug import event_log
from anvillug.bench import soak_fleet, soak_traffic
from anvillug.standin import platform_store

_MIN_KINDS = 2
_MAX_KINDS = 5
_FAULT_INTERVAL_S = 1.5
_ROLLED_HOSTS = 3
_ROLL_STEP_S = 1.2
_HERD_DIVISOR = 3
# Shortest and longest time.
_PAUSE_S = (0.2, 3.0)
_STORE_FAULT_S = (0.5, 6.0)
_MAX_CONFIGS = 4
_CONFIG_STEP_S = 0.3
_BURST_REQUESTS = 100
_BURST_STEP_S = 0.01


class Faults:
    """Begins series of faults at random times, of a few kinds chosen by the seed.

    With few kinds, processes also live long enough to show slow growth.

    Args:
        fleet: The processes and stand-ins.
        callers: Send additional requests in bursts.
        classes: Kinds of requests in bursts.
    """

    def __init__(
        self,
        fleet: soak_fleet.Fleet,
        callers: soak_traffic.Callers,
        classes: Sequence[soak_traffic.RequestClass],
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        """Faults by kind."""
        self._fleet = fleet
        self._callers = callers
        self._classes = classes
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
        names = self._rng.sample(sorted(actions), self._rng.randint(_MIN_KINDS, _MAX_KINDS))
        self._actions = {name: actions[name] for name in names}

    def begin(self) -> None:
        """Begin the next fault and schedule the one after it, until the soak is over."""
        if self._fleet.stopped or self._callers.stopped:
            return
        name = self._rng.choice(sorted(self._actions))
        self.counts[name] += 1
        event_log.emit('soak_fault', kind=name)
        self._actions[name]()
        self._later(self._rng.expovariate(1 / _FAULT_INTERVAL_S), self.begin)

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
        for place, host in enumerate(self._rng.sample(self._fleet.hosts, _ROLLED_HOSTS)):
            self._later(place * _ROLL_STEP_S, self._on_node, self._fleet.terminate, host)

    def _terminate(self) -> None:
        self._on_node(self._fleet.terminate, self._host())

    def _kill(self) -> None:
        self._on_node(self._fleet.kill, self._host())

    def _herd(self) -> None:
        for host in self._rng.sample(self._fleet.hosts, len(self._fleet.hosts) // _HERD_DIVISOR):
            self._on_node(self._fleet.kill, host)

    def _pause(self) -> None:
        self._on_node(self._fleet.pause, self._host(), self._rng.uniform(*_PAUSE_S))

    def _store(self) -> None:
        fault = self._rng.choice(('outage', 'silent'))
        faults = platform_store.StoreFaults(**{fault: True})
        self._fleet.fail_store(self._rng.uniform(*_STORE_FAULT_S), faults)

    def _config(self) -> None:
        for place in range(self._rng.randint(1, _MAX_CONFIGS)):
            self._later(place * _CONFIG_STEP_S, self._fleet.change_config)

    def _replace(self) -> None:
        defer.ensureDeferred(self._host().replace_backend())

    def _burst(self) -> None:
        for number in range(_BURST_REQUESTS):
            self._later(number * _BURST_STEP_S, self._callers.send, self._rng.choice(self._classes))
