"""Configurations of a soak that change its routes and limits, several in quick succession."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

from anvillug.bench import soak_classes, soak_config, soak_fleet

# Fewest and most configurations in a series.
_SERIES = (2, 5)
# Shortest and longest time.
_STEP_S = (0.02, 0.6)
_CHANGED_S = (2.5, 6.0)
_MAX_CONNECTIONS = (4, 40)
_MAX_BODY_BYTES = 2 << 20
_IDLE_TIMEOUT_MS = 3000


class Routes:
    """Changes configurations.

    Args:
        fleet: The processes and stand-ins.
    """

    def __init__(self, fleet: soak_fleet.Fleet) -> None:
        self.actions_by_kind: dict[str, Callable[[], Any]] = {'routes': self._change}
        """Begins a fault of each kind."""
        self._fleet = fleet
        self._rng = fleet.rng

    def _change(self) -> None:
        """Write a series of configurations, and the usual one after it."""
        delay_s = 0.0
        for _ in range(self._rng.randint(*_SERIES)):
            self._fleet.later(delay_s, self._write, self._changed())
            delay_s += self._rng.uniform(*_STEP_S)
        delay_s += self._rng.uniform(*_CHANGED_S)
        self._fleet.later(delay_s, self._write, soak_config.Changes())

    def _write(self, changes: soak_config.Changes) -> None:
        self._fleet.changes = changes
        self._fleet.change_config()

    def _changed(self) -> soak_config.Changes:
        """Return the usual configuration with one or two changes."""
        changes = soak_config.Changes()
        kinds = (self._drop, self._move, self._shorten, self._cut_connections)
        for change in self._rng.sample(kinds, self._rng.randint(1, 2)):
            changes = change(changes)
        return changes

    def _drop(self, changes: soak_config.Changes) -> soak_config.Changes:
        route = self._rng.choice(soak_classes.CALLERS).route
        return dataclasses.replace(changes, dropped=frozenset((route,)))

    def _move(self, changes: soak_config.Changes) -> soak_config.Changes:
        moved = self._rng.choice(soak_classes.CALLERS)
        services = {each.service for each in soak_classes.CALLERS} - {moved.service}
        service = self._rng.choice(sorted(services))
        return dataclasses.replace(changes, moved={moved.route: service})

    def _shorten(self, changes: soak_config.Changes) -> soak_config.Changes:
        return dataclasses.replace(
            changes, max_body_bytes=_MAX_BODY_BYTES, idle_timeout_ms=_IDLE_TIMEOUT_MS
        )

    def _cut_connections(self, changes: soak_config.Changes) -> soak_config.Changes:
        return dataclasses.replace(changes, max_connections=self._rng.randint(*_MAX_CONNECTIONS))
