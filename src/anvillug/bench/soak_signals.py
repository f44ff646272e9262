"""Faults of a soak by signals, at any moment of the life of a node process, and by scale-in."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from anvillug.bench import soak_fleet, soak_host

SCALE_IN = 'scale-in'
"""Kind of the faults that remove a backend server before its node."""

_ROLLED_HOSTS = 3
_ROLL_STEP_S = 1.2
_HERD_DIVISOR = 3
_SERIES_STEP_S = 0.05
# Shortest and longest time.
_PAUSE_S = (0.2, 3.0)
_EARLY_S = (0.0, 1.0)
# A stop takes 2.3 s without requests.
_LATE_S = (1.3, 2.5)
_AWAY_S = (0.5, 5.0)
_MASKED_S = (1.0, 5.0)


class Signals:
    """Faults by signals.

    Args:
        fleet: The processes and stand-ins.
    """

    def __init__(self, fleet: soak_fleet.Fleet) -> None:
        self._fleet = fleet
        self._rng = fleet.rng
        self.actions_by_kind: dict[str, Callable[[], Any]] = {
            'roll': self._roll,
            'terminate': self._terminate,
            'kill': self._kill,
            'herd': self._herd,
            'pause': self._pause,
            'hangup': self._hangup,
            'early': self._early,
            'late': self._late,
            'at-once': self._at_once,
            'mask': self._mask,
            'terminate-all': self._terminate_all,
            SCALE_IN: self._scale_in,
        }
        """Begins a fault of each kind."""

    def running_host(self) -> soak_host.Host:
        """Return a random host, one with a node process if there is one."""
        running = [host for host in self._fleet.hosts if host.node is not None]
        return self._rng.choice(running or self._fleet.hosts)

    def on_node(self, action: Any, host: soak_host.Host, *arguments: object) -> None:
        """Call something with a host if its node process runs."""
        if host.node is not None:
            action(host, *arguments)

    def _roll(self) -> None:
        for place, host in enumerate(self._rng.sample(self._fleet.hosts, _ROLLED_HOSTS)):
            self._fleet.later(place * _ROLL_STEP_S, self.on_node, self._fleet.terminate, host)

    def _terminate(self) -> None:
        self.on_node(self._fleet.terminate, self.running_host())

    def _kill(self) -> None:
        self.on_node(self._fleet.kill, self.running_host())

    def _herd(self) -> None:
        for host in self._rng.sample(self._fleet.hosts, len(self._fleet.hosts) // _HERD_DIVISOR):
            self.on_node(self._fleet.kill, host)

    def _pause(self) -> None:
        self.on_node(self._fleet.pause, self.running_host(), self._rng.uniform(*_PAUSE_S))

    def _hangup(self) -> None:
        """Send SIGHUP to one node, or to all in quick succession."""
        hosts = self._rng.choice(([self.running_host()], self._fleet.hosts))
        for place, host in enumerate(hosts):
            self._fleet.later(place * _SERIES_STEP_S, self.on_node, self._fleet.hang_up, host)

    def _early(self) -> None:
        """Restart a node, and send it a signal in the first second after its start."""
        host = self.running_host()
        send = self._rng.choice((self._fleet.hang_up, self._fleet.terminate))
        delay_s = self._rng.uniform(*_EARLY_S)
        host.at_next_start.append(lambda: self._fleet.later(delay_s, self.on_node, send, host))
        self._end(host)

    def _late(self) -> None:
        """Send a stopping node another SIGTERM in the last second of its stop, or SIGHUP."""
        host = self.running_host()
        send = self._rng.choice((self._fleet.hang_up, self._fleet.terminate_again))
        self.on_node(self._fleet.terminate, host)
        self._fleet.later(self._rng.uniform(*_LATE_S), self.on_node, send, host)

    def _at_once(self) -> None:
        """End a node, which is started again without a pause."""
        host = self.running_host()
        host.restart_s = 0
        self._end(host)

    def _mask(self) -> None:
        """Restart a node with blocked signals, and stop it some seconds later."""
        host = self.running_host()
        host.before_next_start.append(functools.partial(setattr, host, 'blocks_signals', True))
        delay_s = self._rng.uniform(*_MASKED_S)
        host.at_next_start.append(
            lambda: self._fleet.later(delay_s, self.on_node, self._fleet.terminate, host)
        )
        self.on_node(self._fleet.terminate, host)

    def _terminate_all(self) -> None:
        for host in self._fleet.hosts:
            self.on_node(self._fleet.terminate, host)

    def _scale_in(self) -> None:
        defer.ensureDeferred(self._remove(self.running_host()))

    async def _remove(self, host: soak_host.Host) -> None:
        """Stop a node once its backend server has ended; a new instance comes with the node."""
        if await host.remove_backend():
            host.at_next_start.append(host.start_backend)
            host.restart_s = self._rng.uniform(*_AWAY_S)
            self.on_node(self._fleet.terminate, host)

    def _end(self, host: soak_host.Host) -> None:
        end = self._rng.choice((self._fleet.kill, self._fleet.terminate))
        self.on_node(end, host)
