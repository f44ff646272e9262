"""Orders of the operator in a soak, besides configurations and roll-outs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from anvillug import clock
from anvillug.bench import soak_fleet, soak_records

# Shortest and longest time.
_EVACUATED_S = (5.5, 10.0)


class Orders:
    """Writes orders to the store.

    Args:
        fleet: The processes and stand-ins.
    """

    def __init__(self, fleet: soak_fleet.Fleet) -> None:
        self.actions_by_kind: dict[str, Callable[[], Any]] = {'evacuate': self._evacuate}
        """Begins a fault of each kind."""
        self._fleet = fleet
        self._time = clock.SystemClock()
        self._is_evacuated = False

    def _evacuate(self) -> None:
        """Evacuate a zone for a time, unless one is evacuated already."""
        if self._is_evacuated:
            return
        self._is_evacuated = True
        hosts = self._fleet.hosts
        zone = self._fleet.rng.choice(hosts).zone
        nodes = frozenset(host.number for host in hosts if host.zone == zone)
        evacuation = soak_records.Evacuation(nodes, self._time.now())
        self._fleet.records.evacuations.append(evacuation)
        self._fleet.order(f'evacuate/{zone}', {})
        evacuated_s = self._fleet.rng.uniform(*_EVACUATED_S)
        self._fleet.later(evacuated_s, self._take_back, evacuation, zone)

    def _take_back(self, evacuation: soak_records.Evacuation, zone: str) -> None:
        evacuation.ended_at = self._time.now()
        self._fleet.order(f'evacuate/{zone}', None)
        self._is_evacuated = False
