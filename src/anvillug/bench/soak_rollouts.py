"""Roll-outs of a soak: a service moves to backend servers of a new version, good or bad."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from anvillug import clock
from anvillug.bench import soak_fleet, soak_host, soak_records

ROLLOUT = 'rollout'
"""Kind of the roll-outs."""

# Shortest and longest time.
_DURATION_S = (9.0, 14.0)
_LOOK_S = 0.1
_MS_PER_SECOND = 1000
_DRAIN_AFTER_S = 3.0
_FAILING_SHARE = 0.4
_SERVICE = 'drawbook'


class Rollouts:
    """Orders roll-outs of one service, one after the other.

    Every second host of the service has no backend server at first. The new version starts on the
    hosts without one, and the hosts of the version that is given up are free for the next one.

    Args:
        fleet: The processes and stand-ins, not started yet.
        kinds: Kinds of faults; all hosts have a backend server without `ROLLOUT`.
    """

    def __init__(self, fleet: soak_fleet.Fleet, kinds: frozenset[str]) -> None:
        self.actions_by_kind: dict[str, Callable[[], Any]] = {ROLLOUT: self._begin}
        """Begins a fault of each kind."""
        self._fleet = fleet
        self._time = clock.SystemClock()
        self._hosts = [host for host in fleet.hosts if host.service == _SERVICE]
        self._is_busy = False
        if ROLLOUT in kinds:
            for host in self._hosts[::2]:
                host.has_backend = False

    def _begin(self) -> None:
        """Order a roll-out, unless the one before it goes on."""
        if self._is_busy:
            return
        self._is_busy = True
        rng = self._fleet.rng
        rollouts = self._fleet.records.rollouts
        version = f'v{len(rollouts) + 2}'
        duration_s = rng.uniform(*_DURATION_S)
        now = self._time.now()
        due_at = now + duration_s * _MS_PER_SECOND
        is_good = rng.choice((True, False))
        rollout = soak_records.Rollout(_SERVICE, version, is_good, now, due_at)
        rollouts.append(rollout)
        document = {'Service': _SERVICE, 'TargetVersion': version, 'DurationS': duration_s}
        self._fleet.order(f'rollout/{_SERVICE}', document)
        new = [host for host in self._hosts if not host.has_backend]
        old = [host for host in self._hosts if host.has_backend]
        for host in new:
            host.has_backend = True
            host.version = version
            host.failing_share = 0 if is_good else _FAILING_SHARE
            host.start_backend()
        self._look(rollout, old, new)

    def _look(
        self,
        rollout: soak_records.Rollout,
        old: list[soak_host.Host],
        new: list[soak_host.Host],
    ) -> None:
        """Stop the old version once the status says so, or let the new one drain."""
        status = self._fleet.status(f'rollout/{_SERVICE}')
        if status.get('TargetVersion') != rollout.version or status['State'] == 'active':
            self._fleet.later(_LOOK_S, self._look, rollout, old, new)
            return
        rollout.state = status['State']
        rollout.ended_at = self._time.now()
        given_up = old if rollout.state == 'completed' else new
        for host in given_up:
            host.has_backend = False
        if given_up is old:
            for old_host in old:
                old_host.stop_backend()
            self._is_busy = False
        else:
            self._fleet.later(_DRAIN_AFTER_S, self._drain, new)

    def _drain(self, hosts: list[soak_host.Host]) -> None:
        removed = [defer.ensureDeferred(host.remove_backend()) for host in hosts]
        defer.DeferredList(removed).addCallback(self._free)

    def _free(self, results: object) -> None:
        self._is_busy = False
