"""Faults of a soak that take hosts out of service and bring them back."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from anvillug.bench import soak_fleet, soak_host, soak_signals

# Shortest and longest time.
_AWAY_S = (0.5, 5.0)


class Scaling:
    """Removes hosts and brings them back.

    Args:
        fleet: The processes and stand-ins.
        signals: Chooses nodes.
    """

    def __init__(self, fleet: soak_fleet.Fleet, signals: soak_signals.Signals) -> None:
        self.actions_by_kind: dict[str, Callable[[], Any]] = {'scale-in': self._scale_in}
        """Begins a fault of each kind."""
        self._fleet = fleet
        self._signals = signals

    def _scale_in(self) -> None:
        defer.ensureDeferred(self._remove(self._signals.running_host()))

    async def _remove(self, host: soak_host.Host) -> None:
        """Stop a node once its backend server has ended; a new instance comes with the node."""
        if not await host.remove_backend():
            return
        host.at_next_start.append(host.start_backend)
        host.restart_s = self._fleet.rng.uniform(*_AWAY_S)
        self._signals.on_node(self._fleet.terminate, host)
